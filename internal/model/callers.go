package model

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/retry"
)

const (
	// requestProfile is the name of the only profile that requests have.
	requestProfile = "request"
	// retryWindow is the window of the retry budget.
	retryWindow = 10 * time.Second
)

// session is a conversation whose prompt may grow with each response.
type session struct {
	id           uint64
	promptTokens int
}

// call is one request of a caller, including its retries.
type call struct {
	session                               *session
	promptTokens, newTokens, answerTokens int
	arrivedAt                             time.Time
	tries                                 int
	attempts                              int
	tried                                 map[int]bool
	responseStarted, late                 bool // the first byte has reached the caller; it came after the objective
	abandoned, ended                      bool // the caller has left; the outcome is recorded
}

// scheduleArrivals schedules the next arrival, which schedules the one after it.
func (f *fleet) scheduleArrivals() {
	rate, hotShare := f.rate()
	f.clock.After(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.clock.Now().Sub(startTime) > f.config.Length {
			return
		}
		f.submit(f.newCall(hotShare))
		f.scheduleArrivals()
	})
}

// rate returns the current number of arrivals per second, and the share of them, 0 to 1, that
// belongs to the single session of a surge.
func (f *fleet) rate() (perSecond, hotShare float64) {
	base := f.config.Callers.PerSecond
	perSecond = base
	for _, s := range f.config.Surges {
		if at := f.clock.Now().Sub(startTime); at >= s.At && at < s.At+s.Duration {
			perSecond += base * (s.Factor - 1)
			if s.SingleSession {
				hotShare += base * (s.Factor - 1)
			}
		}
	}
	return perSecond, hotShare / perSecond
}

func (f *fleet) newCall(hotShare float64) *call {
	c := &call{arrivedAt: f.clock.Now(), session: &session{}, tried: make(map[int]bool)}
	if len(f.sessions) > 0 {
		index := 0
		if f.random.Float64() >= hotShare {
			index = f.drawSession()
		}
		c.session = f.sessions[index]
	}
	c.promptTokens = c.session.promptTokens
	c.newTokens = f.config.Callers.NewTokens
	c.answerTokens = int(f.random.ExpFloat64() * float64(f.config.Callers.AnswerTokens))
	f.result.recordArrival(c.arrivedAt)
	f.clock.After(f.config.Callers.Patience, func() { f.abandon(c) })
	return c
}

// drawSession returns the index of a random session. With a skew, the first ones are more likely.
func (f *fleet) drawSession() int {
	n := float64(len(f.sessions))
	x := f.random.Float64()
	if skew := f.config.Callers.Skew; skew > 0 {
		x = math.Pow(x, 1/(1-min(skew, maxSkew)))
	}
	return min(int(x*n), len(f.sessions)-1)
}

// maxSkew keeps the exponent in drawSession finite.
const maxSkew = 0.95

func (f *fleet) initialPromptTokens() int {
	return int(f.random.ExpFloat64() * float64(f.config.Callers.PromptTokens))
}

// abandon records a failure if the caller has no complete response yet.
func (f *fleet) abandon(c *call) {
	if c.ended {
		return
	}
	c.ended, c.abandoned = true, true
	f.result.recordFailure(c.arrivedAt)
}

// submit sends a request to a random router.
func (f *fleet) submit(c *call) {
	if c.ended {
		return
	}
	c.tries++
	clear(c.tried)
	c.attempts = 0
	r := f.routers[f.random.IntN(len(f.routers))]
	now := f.clock.Now()
	r.retryBudget.Request(now, f.retryRule())
	r.returnScheduler.Arrived(now)
	r.tracker.RecordObjective(0, f.config.Callers.Objective)
	q := placement.Query{Session: c.session.id, LoadMultiple: f.config.Pool.LoadMultiple, Random: f.random.Uint64(), Now: now}
	if c.session.id != 0 {
		q.SessionShare = r.tracker.RecordRequest(now, c.session.id, requestProfile)
	}
	f.clock.After(hopLatency, func() { f.dispatch(r, c, q) })
}

func (f *fleet) retryRule() retry.Rule {
	return retry.Rule{Ratio: f.config.Callers.RetryRatio, Slack: f.config.Callers.RetrySlack / float64(len(f.routers)), Window: retryWindow}
}

// dispatch sends a request to the best candidate that it has not been sent to yet, or rejects it.
func (f *fleet) dispatch(r *router, c *call, q placement.Query) {
	if c.ended {
		return
	}
	var choices [placement.MaxCandidates]placement.Choice
	q.Now = f.clock.Now()
	n, basis := r.tracker.Choose(q.Now, r.pool, f.policy, balance.Request{
		Query: q, Profile: requestProfile, Objective: f.config.Callers.Objective,
		TimeLeft: f.config.Callers.Patience - q.Now.Sub(c.arrivedAt), ObjectiveMissed: c.tries > 1, HearsAll: r == f.routers[0], Unavailable: f.unavailable(r),
	}, &choices)
	if basis.ShouldReject {
		f.reject(r, c)
		return
	}
	for _, choice := range choices[:n] {
		if !c.tried[choice.Index] {
			c.tried[choice.Index] = true
			c.attempts++
			f.startAttempt(r, c, q, choice, basis)
			return
		}
	}
	f.reject(r, c)
}

// unavailable returns a function that reports whether the router must send nothing to an
// upstream, by index. It is nil if all upstreams are available.
func (f *fleet) unavailable(r *router) func(int) bool {
	if r.observations.Empty() {
		return nil
	}
	return func(i int) bool {
		permission, _ := r.observations.Conditions(f.clock.Now(), f.upstreams[i].name).Permission(condition.Work)
		return permission == condition.Never
	}
}

// startAttempt sends a request to one upstream and records its progress and outcome.
func (f *fleet) startAttempt(r *router, c *call, q placement.Query, choice placement.Choice, basis placement.Basis) {
	u, sent, outcomeRecorded := f.upstreams[choice.Index], f.clock.Now(), false
	a := balance.Attempt{VM: u.id, Profile: requestProfile, Urgency: basis.Urgency, Load: choice.Load, Deferred: basis.Deferred}
	r.tracker.BeginWait(a)
	waiting := true
	endWait := func() {
		if waiting {
			waiting = false
			r.tracker.EndWait(a)
		}
	}
	recordOutcome := func(succeeded bool) {
		if !outcomeRecorded {
			outcomeRecorded = true
			r.tracker.RecordOutcome(f.clock.Now(), a, f.clock.Now().Sub(sent), succeeded)
		}
	}
	ended := false
	endAttempt := func() {
		if !ended {
			ended = true
			endWait()
			r.tracker.EndAttempt(u.id)
		}
	}
	r.tracker.BeginAttempt(u.id)
	j := &job{call: c, donor: f.donor(r, c, choice), deferred: basis.Deferred}
	var firstByteAt, lastEventAt time.Time
	j.onFirstByte = func() {
		endWait()
		recordOutcome(true)
		firstByteAt, lastEventAt = f.clock.Now(), f.clock.Now()
		f.recordFirstByte(r, c, choice.Index)
	}
	j.onEvent = func() {
		r.tracker.RecordEvents(f.clock.Now(), u.id, requestProfile, 1, f.clock.Now().Sub(lastEventAt))
		lastEventAt = f.clock.Now()
	}
	j.onDone = func(succeeded bool) {
		endAttempt()
		if succeeded {
			r.tracker.RecordAnswerTime(f.clock.Now(), u.id, requestProfile, f.clock.Now().Sub(firstByteAt))
			f.recordResponse(r, c)
			return
		}
		recordOutcome(false)
		f.retryOrReject(r, c, q)
	}
	f.clock.After(time.Duration(balance.HangMultiple*float64(f.config.Callers.Objective)), func() { recordOutcome(false) })
	f.clock.After(f.config.Callers.Patience-f.clock.Now().Sub(c.arrivedAt), endAttempt)
	f.watchCrash(u, u.incarnation, func() bool { return ended || c.ended }, func() {
		endAttempt()
		recordOutcome(false)
		f.retryOrReject(r, c, q)
	})
	f.clock.After(hopLatency, func() {
		if c.ended || u.offer(j) {
			return
		}
		endAttempt()
		if u.rest > 0 {
			r.observations.RecordResting(f.clock.Now(), u.name, u.rest)
		}
		recordOutcome(false)
		f.retryOrReject(r, c, q)
	})
}

// watchCrash calls onCrash once the upstream's incarnation differs from the given one. It checks
// every sampleInterval and stops when isOver returns true.
func (f *fleet) watchCrash(u *upstream, incarnation int, isOver func() bool, onCrash func()) {
	f.clock.After(sampleInterval, func() {
		switch {
		case isOver():
		case u.incarnation != incarnation:
			onCrash()
		case u.load() > 0 && f.clock.HasTimeLeft():
			f.watchCrash(u, incarnation, isOver, onCrash)
		}
	})
}

// donor returns the upstream that the prompt cache of the session is to be fetched from, or nil.
func (f *fleet) donor(r *router, c *call, choice placement.Choice) *upstream {
	if !f.policy.Donors || c.session.id == 0 || f.upstreams[choice.Index].engine == nil {
		return nil
	}
	if last, ok := r.lastServed[c.session.id]; ok && f.policy.LastServed && last != choice.Index {
		return f.upstreams[last]
	}
	if choice.Donor == placement.None {
		return nil
	}
	return f.upstreams[choice.Donor]
}

// recordFirstByte records the first byte of a response and the load that the upstream reports
// with it.
func (f *fleet) recordFirstByte(r *router, c *call, index int) {
	if f.config.Pool.ReportsLoad {
		r.tracker.RecordLoad(f.clock.Now(), f.upstreams[index].id, f.upstreams[index].load())
		r.tracker.SetSlots(f.upstreams[index].slots)
	}
	r.returnScheduler.Answered(f.clock.Now())
	if c.session.id != 0 {
		r.lastServed[c.session.id] = index
	}
	if !c.responseStarted {
		c.responseStarted = true
		c.late = f.result.recordFirstByte(f.clock.Now().Add(2 * hopLatency).Sub(c.arrivedAt))
	}
}

// recordResponse records a complete response.
func (f *fleet) recordResponse(r *router, c *call) {
	if c.ended {
		return
	}
	c.ended = true
	if f.config.Callers.PromptsGrow {
		c.session.promptTokens = max(c.session.promptTokens, c.promptTokens+c.newTokens+c.answerTokens)
	}
	r.tracker.RecordDuration(requestProfile, f.clock.Now().Sub(c.arrivedAt))
	f.result.recordResponse(c.arrivedAt, c.late)
}

// retryOrReject sends a request whose attempt failed to another upstream, if the number of
// attempts and the retry budget allow it, and rejects it otherwise.
func (f *fleet) retryOrReject(r *router, c *call, q placement.Query) {
	switch {
	case c.ended:
	case c.responseStarted: // the caller has received part of the response, so that it cannot be retried
		c.ended = true
		f.result.recordFailure(c.arrivedAt)
	case c.attempts < f.config.Callers.MaxAttempts && r.retryBudget.Withdraw(f.clock.Now(), f.retryRule()):
		f.dispatch(r, c, q)
	default:
		f.reject(r, c)
	}
}

// earliestAvailability returns the time until an upstream is available to the router again.
// Zero: one is available now.
func (f *fleet) earliestAvailability(r *router) time.Duration {
	soonest := condition.Forever
	for _, u := range f.upstreams {
		soonest = min(soonest, r.observations.AvailableIn(f.clock.Now(), u.name))
	}
	return soonest
}

// reject rejects a request. Its caller submits it again after a delay, unless it has used all its
// tries.
func (f *fleet) reject(r *router, c *call) {
	left := f.config.Callers.Patience - f.clock.Now().Sub(c.arrivedAt)
	delay := max(r.returnScheduler.Schedule(f.clock.Now(), left, f.random.Float64()), f.earliestAvailability(r))
	f.result.recordRejection(c.arrivedAt)
	if c.tries >= f.config.Callers.MaxTries {
		c.ended = true
		f.result.recordRefusal(c.arrivedAt)
		return
	}
	maxDelay := time.Duration(retry.MaxDelayShare * float64(left))
	f.clock.After(min(delay, maxDelay), func() { f.submit(c) })
}
