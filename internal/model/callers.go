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
	// kind is the name of the one kind of requests.
	kind = "request"
	// retryWindow is the time over which retries are bounded.
	retryWindow = 10 * time.Second
)

// session is a chat, and what its prompt has grown to.
type session struct {
	id     uint64
	prompt int // tokens
}

// call is one request of a caller.
type call struct {
	session               *session
	prompt, fresh, answer int // tokens
	asked                 time.Time
	tries                 int
	attempts              int
	tried                 map[int]bool
	begun, late           bool // its first byte is there; not within the objective
	left, ended           bool // its caller has gone; it is over
}

// arrive lets the next caller come, and all after it.
func (f *fleet) arrive() {
	rate, hot := f.rate()
	f.clock.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.clock.now.Sub(start) > f.config.Length {
			return
		}
		f.ask(f.newCall(hot))
		f.arrive()
	})
}

// rate returns how many callers come in a second now, and which part of them asks for
// one session.
func (f *fleet) rate() (perSecond, hot float64) {
	usual := f.config.Callers.PerSecond
	perSecond = usual
	for _, s := range f.config.Surges {
		if at := f.clock.now.Sub(start); at >= s.At && at < s.At+s.For {
			perSecond += usual * (s.Times - 1)
			if s.Session {
				hot += usual * (s.Times - 1)
			}
		}
	}
	return perSecond, hot / perSecond
}

func (f *fleet) newCall(hot float64) *call {
	c := &call{asked: f.clock.now, session: &session{}, tried: make(map[int]bool)}
	if len(f.sessions) > 0 {
		at := 0
		if f.random.Float64() >= hot {
			at = f.sessionAt()
		}
		c.session = f.sessions[at]
	}
	c.prompt = c.session.prompt
	c.fresh = f.config.Callers.NewTokens
	c.answer = int(f.random.ExpFloat64() * float64(f.config.Callers.AnswerTokens))
	f.result.asked(c.asked)
	f.clock.after(f.config.Callers.Patience, func() { f.leave(c) })
	return c
}

// sessionAt draws a session: with a skew, the first ones more often.
func (f *fleet) sessionAt() int {
	n := float64(len(f.sessions))
	x := f.random.Float64()
	if skew := f.config.Callers.Skew; skew > 0 {
		x = math.Pow(x, 1/(1-min(skew, mostSkew)))
	}
	return min(int(x*n), len(f.sessions)-1)
}

// mostSkew keeps the exponent of the skew finite.
const mostSkew = 0.95

func (f *fleet) promptAtStart() int {
	return int(f.random.ExpFloat64() * float64(f.config.Callers.Prompt))
}

// leave ends the wait of a caller without a whole answer.
func (f *fleet) leave(c *call) {
	if c.ended {
		return
	}
	c.ended, c.left = true, true
	f.result.failed(c.asked)
}

// ask sends a request to a router.
func (f *fleet) ask(c *call) {
	if c.ended {
		return
	}
	c.tries++
	clear(c.tried)
	c.attempts = 0
	r := f.routers[f.random.IntN(len(f.routers))]
	now := f.clock.now
	r.window.Request(now, f.rule())
	r.returns.Arrived(now)
	r.tracker.RecordObjective(0, f.config.Callers.Objective)
	q := placement.Query{Session: c.session.id, LoadMultiple: f.config.Pool.LoadMultiple, Random: f.random.Uint64(), Now: now}
	if c.session.id != 0 {
		q.SessionShare = r.tracker.RecordRequest(now, c.session.id, kind)
	}
	f.clock.after(hop, func() { f.send(r, c, q) })
}

func (f *fleet) rule() retry.Rule {
	return retry.Rule{Ratio: f.config.Callers.RetryRatio, Slack: f.config.Callers.RetrySlack / float64(len(f.routers)), Window: retryWindow}
}

// send offers a request to the upstream that the router's decisions put first.
func (f *fleet) send(r *router, c *call, q placement.Query) {
	if c.ended {
		return
	}
	var out [placement.MaxCandidates]placement.Choice
	q.Now = f.clock.now
	n, basis := r.tracker.Choose(q.Now, r.placed, f.on, balance.Request{
		Query: q, Profile: kind, Objective: f.config.Callers.Objective,
		TimeLeft: f.config.Callers.Patience - q.Now.Sub(c.asked), ObjectiveMissed: c.tries > 1, Unavailable: f.closed(r),
	}, &out)
	if basis.ShouldReject {
		f.refuse(r, c)
		return
	}
	for _, choice := range out[:n] {
		if !c.tried[choice.Index] {
			c.tried[choice.Index] = true
			c.attempts++
			f.attempt(r, c, q, choice, basis)
			return
		}
	}
	f.refuse(r, c)
}

// closed returns which upstreams a router sends nothing; nil: none.
func (f *fleet) closed(r *router) func(int) bool {
	if r.said.Empty() {
		return nil
	}
	return func(i int) bool {
		leave, _ := r.said.Conditions(f.clock.now, f.upstreams[i].name).Permission(condition.Work)
		return leave == condition.Never
	}
}

// attempt sends a request to one upstream.
func (f *fleet) attempt(r *router, c *call, q placement.Query, choice placement.Choice, basis placement.Basis) {
	u, sent, judged := f.upstreams[choice.Index], f.clock.now, false
	a := balance.Attempt{VM: u.id, Profile: kind, Urgency: basis.Urgency, Load: choice.Load, Deferred: basis.Deferred}
	r.tracker.BeginWait(a)
	waits := true
	begun := func() {
		if waits {
			waits = false
			r.tracker.EndWait(a)
		}
	}
	judge := func(well bool) {
		if !judged {
			judged = true
			r.tracker.RecordOutcome(f.clock.now, a, f.clock.now.Sub(sent), well)
		}
	}
	over := false
	end := func() {
		if !over {
			over = true
			begun()
			r.tracker.EndAttempt(u.id)
		}
	}
	r.tracker.BeginAttempt(u.id)
	j := &job{call: c, donor: f.donor(r, c, choice), behind: basis.Deferred}
	var first, last time.Time
	j.first = func() {
		begun()
		judge(true)
		first, last = f.clock.now, f.clock.now
		f.begun(r, c, choice.Index)
	}
	j.event = func() {
		r.tracker.RecordEvents(f.clock.now, u.id, kind, 1, f.clock.now.Sub(last))
		last = f.clock.now
	}
	j.done = func(well bool) {
		end()
		if well {
			r.tracker.RecordAnswerTime(f.clock.now, u.id, kind, f.clock.now.Sub(first))
			f.answered(r, c)
			return
		}
		judge(false)
		f.again(r, c, q)
	}
	f.clock.after(time.Duration(balance.HangMultiple*float64(f.config.Callers.Objective)), func() { judge(false) })
	f.clock.after(f.config.Callers.Patience-f.clock.now.Sub(c.asked), end)
	f.watchCrash(u, u.life, func() bool { return over || c.ended }, func() {
		end()
		judge(false)
		f.again(r, c, q)
	})
	f.clock.after(hop, func() {
		if c.ended || u.offer(j) {
			return
		}
		end()
		if u.rest > 0 {
			r.said.RecordResting(f.clock.now, u.name, u.rest)
		}
		judge(false)
		f.again(r, c, q)
	})
}

// watchCrash calls do when an upstream has crashed since a life of it, unless that is of
// no more interest.
func (f *fleet) watchCrash(u *upstream, life int, over func() bool, do func()) {
	f.clock.after(sampleEvery, func() {
		switch {
		case over():
		case u.life != life:
			do()
		case u.load() > 0 && f.clock.now.Before(f.clock.end):
			f.watchCrash(u, life, over, do)
		}
	})
}

// donor returns the upstream that the router names as the holder of a prompt, or nil.
func (f *fleet) donor(r *router, c *call, choice placement.Choice) *upstream {
	if !f.on.Donors || c.session.id == 0 || f.upstreams[choice.Index].engine == nil {
		return nil
	}
	if last, ok := r.last[c.session.id]; ok && f.on.LastServed && last != choice.Index {
		return f.upstreams[last]
	}
	if choice.Donor == placement.None {
		return nil
	}
	return f.upstreams[choice.Donor]
}

// begun takes in the first byte of an answer.
func (f *fleet) begun(r *router, c *call, at int) {
	if f.config.Pool.TellsLoad {
		r.tracker.RecordLoad(f.clock.now, f.upstreams[at].id, f.upstreams[at].load())
		r.tracker.SetSlots(f.upstreams[at].places)
	}
	r.returns.Answered(f.clock.now)
	if c.session.id != 0 {
		r.last[c.session.id] = at
	}
	if !c.begun {
		c.begun = true
		c.late = f.result.begun(f.clock.now.Add(2 * hop).Sub(c.asked))
	}
}

// answered takes in a whole answer.
func (f *fleet) answered(r *router, c *call) {
	if c.ended {
		return
	}
	c.ended = true
	if f.config.Callers.Grows {
		c.session.prompt = max(c.session.prompt, c.prompt+c.fresh+c.answer)
	}
	r.tracker.RecordDuration(kind, f.clock.now.Sub(c.asked))
	f.result.answered(c.asked, c.late)
}

// again offers a request to the next upstream, if that is allowed.
func (f *fleet) again(r *router, c *call, q placement.Query) {
	switch {
	case c.ended:
	case c.begun: // a part of the answer is with the caller
		c.ended = true
		f.result.failed(c.asked)
	case c.attempts < f.config.Callers.Attempts && r.window.Withdraw(f.clock.now, f.rule()):
		f.send(r, c, q)
	default:
		f.refuse(r, c)
	}
}

// opens returns when the first upstream takes requests of a router again; zero: one does now.
func (f *fleet) opens(r *router) time.Duration {
	soonest := condition.Forever
	for _, u := range f.upstreams {
		soonest = min(soonest, r.said.AvailableIn(f.clock.now, u.name))
	}
	return soonest
}

// refuse tells a caller when to come back.
func (f *fleet) refuse(r *router, c *call) {
	left := f.config.Callers.Patience - f.clock.now.Sub(c.asked)
	back := max(r.returns.Schedule(f.clock.now, left, f.random.Float64()), f.opens(r))
	f.result.turnedAway(c.asked)
	if c.tries >= f.config.Callers.Tries {
		c.ended = true
		f.result.refused(c.asked)
		return
	}
	most := time.Duration(retry.MaxDelayShare * float64(left))
	f.clock.after(min(back, most), func() { f.ask(c) })
}
