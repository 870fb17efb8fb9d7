package dispatch

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// MaxKeyChain is the largest number of keys, from the first through its
	// successors, under which one request may run.
	MaxKeyChain = 4

	// maxReconnects is the number of consecutive reconnects to one sidecar for a
	// request, without any progress in between.
	maxReconnects = 6

	// reconnectsBeforeFailover is the number of consecutive reconnects to one
	// sidecar, without any progress, after which a request that may run at another
	// upstream is offered there.
	reconnectsBeforeFailover = 1

	// defaultRetryAfter is sent where neither an upstream nor the Budget gives a time.
	defaultRetryAfter = time.Second
)

// Budget pays for retries and hedges, and sets when rejected callers retry.
type Budget interface {
	// Withdraw pays for one more attempt, or reports false if the budget is too low.
	Withdraw(retry.Cause) bool
	// RetryAfter returns after which time a caller should retry; zero: no
	// preference. left is the time until the deadline; zero: no deadline.
	RetryAfter(left time.Duration) time.Duration
}

// phase is the progress of an attempt.
type phase uint8

const (
	submitted phase = iota // may or may not have reached the sidecar
	admitted               // the sidecar has accepted the request
	ended
)

// attempt is the state of one attempt.
type attempt struct {
	phase          phase
	candidate      int  // index of the upstream it was offered to, or none
	underCallerKey bool // runs under the caller's key or a successor of it
	chainIndex     int  // position in the chain of keys, from 0
	reconnects     int  // since the last progress
}

// State is the state machine of one request.
type State struct {
	plan              Plan
	budget            Budget
	startedAt         time.Time
	now               time.Time // of the last event that carries a time
	lastOfferAt       time.Time // when the last attempt was offered
	attempts          []attempt
	offered           int  // candidates used so far
	unreachedAttempts int  // attempts that failed before anything was sent
	firstOverBound    int  // first candidate that refused because of its load bound, or none
	mayOfferAgain     bool // firstOverBound may be offered the request once more
	hedged            bool
	switchBudgetSpent bool // the budget did not cover a switch: the attempt continues
	winner            int  // attempt whose response goes to the caller, or none
	takeover          int  // attempt that is to continue the paused response of the winner, or none
	deliveryStarted   bool // a response to the caller has started
	resumable         bool // another run may continue that response
	finished          bool

	mayHaveRunErr *verdict.Error // latest failure with a verdict other than NotRun; nil: none
	minRetryAfter time.Duration  // shortest Retry-After of the failed attempts; zero: none gave one
}

// none is the absence of a candidate or an attempt.
const none = -1

// New returns the State of a request that has not started.
func New(p Plan, b Budget) *State {
	return &State{plan: p, budget: b, winner: none, takeover: none, firstOverBound: none, mayOfferAgain: true}
}

// Finished reports whether Step has returned a Finish.
func (s *State) Finished() bool {
	return s.finished
}

// Wake returns when the next Ticked is due; the zero time means never.
func (s *State) Wake() time.Time {
	next := s.plan.Deadline
	if !s.deliveryStarted {
		next = earlier(next, s.plan.FirstByte)
		if s.mayHedge() {
			next = earlier(next, s.startedAt.Add(s.plan.HedgeAfter))
		}
	}
	if s.maySwitch() {
		next = earlier(next, s.lastOfferAt.Add(s.plan.SwitchAfter))
	}
	return next
}

// earlier returns the earlier of two times; a zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Step applies an event and returns the effects that follow from it.
func (s *State) Step(event Event) []Effect {
	if s.finished {
		return nil
	}
	if now := timeOf(event); !now.IsZero() {
		s.now = now
	}
	switch e := event.(type) {
	case Began:
		s.startedAt = e.Now
		if s.plan.AttachOnly {
			s.offered++
			return []Effect{Attach{Attempt: s.addAttempt(attempt{phase: admitted, candidate: none, underCallerKey: true})}}
		}
		return s.offer(s.plan.CallerHasKey)
	case Unreachable:
		return s.unreachable(e)
	case Refused:
		return s.refused(e)
	case ConnectionLost:
		return s.connectionLost(e.Attempt)
	case Admitted:
		s.markAdmitted(e.Attempt)
	case ErrorResponse:
		return s.errorResponse(e)
	case ResponseStarted:
		return s.responseStarted(e)
	case PieceDelivered:
		return s.pieceDelivered()
	case Stalled:
		return s.stalled(e)
	case Ended:
		return s.ended(e)
	case NotSent:
		s.attempts[e.Attempt].phase = ended
	case Ticked:
		return s.ticked(e.Now)
	}
	return nil
}

// timeOf returns when an event happened, or the zero time if the event carries none.
func timeOf(event Event) time.Time {
	switch e := event.(type) {
	case Began:
		return e.Now
	case Unreachable:
		return e.Now
	case Refused:
		return e.Now
	case ConnectionLost:
		return e.Now
	case ErrorResponse:
		return e.Now
	case ResponseStarted:
		return e.Now
	case Stalled:
		return e.Now
	case Ended:
		return e.Now
	case Ticked:
		return e.Now
	}
	return time.Time{}
}

// requestInfo returns the properties of the request that its retries depend on. A
// resumable request may run more than once, and may run again after its response has
// started, because another run can continue the response.
func (s *State) requestInfo() retry.RequestInfo {
	return retry.RequestInfo{
		Idempotent:    s.plan.Idempotent || s.plan.Resumable,
		ReadOnly:      s.plan.ReadOnly,
		AnswerStarted: s.deliveryStarted && !s.resumable,
	}
}

// mayHedge reports whether a hedged attempt may still start.
func (s *State) mayHedge() bool {
	return !s.hedged && s.plan.HedgeAfter > 0 && !s.plan.CallerHasKey &&
		!s.exhausted() && retry.MayHedge(s.requestInfo())
}

// maySwitch reports whether the only active attempt may be cancelled and the request
// offered to another upstream.
func (s *State) maySwitch() bool {
	return s.plan.SwitchAfter > 0 && s.winner == none && !s.switchBudgetSpent && !s.exhausted() && s.activeAttempts() == 1 &&
		s.requestInfo().Idempotent
}

// exhausted reports whether the request may go to no further upstream.
func (s *State) exhausted() bool {
	sends := len(s.attempts) - s.unreachedAttempts
	return s.offered >= s.plan.MaxOffers || s.plan.MaxSends > 0 && sends >= s.plan.MaxSends
}

// activeAttempts returns the number of attempts that have not ended.
func (s *State) activeAttempts() int {
	n := 0
	for _, a := range s.attempts {
		if a.phase != ended {
			n++
		}
	}
	return n
}

// addAttempt records an attempt and returns its number.
func (s *State) addAttempt(a attempt) int {
	s.attempts = append(s.attempts, a)
	return len(s.attempts) - 1
}

// markAdmitted records that the sidecar of attempt i has the request.
func (s *State) markAdmitted(i int) {
	a := &s.attempts[i]
	if a.phase == submitted {
		a.phase = admitted
		a.reconnects = 0
	}
}

// offer offers the request to the next candidate, or ends the request if there is none.
func (s *State) offer(underCallerKey bool) []Effect {
	if s.exhausted() {
		return s.finish(verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left to try"))
	}
	s.offered++
	return s.offerTo(s.offered-1, underCallerKey)
}

// offerTo offers the request to a candidate.
func (s *State) offerTo(candidate int, underCallerKey bool) []Effect {
	s.lastOfferAt = s.now
	i := s.addAttempt(attempt{candidate: candidate, underCallerKey: underCallerKey})
	return []Effect{Offer{Attempt: i, Candidate: candidate, Continue: s.deliveryStarted, Takeover: s.winner != none}}
}

// offerAgain offers the request once more to the first candidate that refused it
// because of its load bound, after all others have refused too.
//
// An upstream derives its load bound from the reported loads of the others. In a
// surge that has not been reported to it yet, it refuses although it is the least
// loaded of the pool, and the others, which are offered the request later, refuse
// correctly. The caller would be rejected although an upstream has spare capacity.
// The second offer carries the loads that the others reported, and with the true
// loads of a pool some upstream is always below its bound. With nine simultaneous
// requests to three idle upstreams, 18 of 8640 requests were rejected without the
// second offer and 1 of 17280 with it.
func (s *State) offerAgain() []Effect {
	s.mayOfferAgain = false
	return s.offerTo(s.firstOverBound, false)
}

// follow continues the request under a successor key.
func (s *State) follow(chainIndex int, key wire.Key) []Effect {
	if s.plan.AttachOnly {
		return []Effect{FollowAttach{Attempt: s.addAttempt(attempt{phase: admitted, candidate: none, underCallerKey: true, chainIndex: chainIndex}), Key: key}}
	}
	return []Effect{Follow{Attempt: s.addAttempt(attempt{candidate: none, underCallerKey: true, chainIndex: chainIndex}), Key: key}}
}
