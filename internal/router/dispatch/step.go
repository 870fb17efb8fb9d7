package dispatch

import (
	"cmp"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// unreachable handles a sidecar, or an upstream that has no sidecar, to which no
// connection could be opened. If the attempt was sent there before, it may be running
// there, so the connection is retried like a lost one.
//
// A request under a caller's key may have reached the sidecar through another
// router. Whether it has run is unknown until the sidecar answers.
func (s *State) unreachable(e Unreachable) []Effect {
	a := &s.attempts[e.Attempt]
	if a.phase == ended {
		return nil
	}
	neverSent := a.phase == submitted && a.reconnects == 0 && !a.underCallerKey
	if neverSent {
		s.unreachedAttempts++
		return s.failed(e.Attempt, retry.Failure{Err: e.Err})
	}
	return s.connectionLost(e.Attempt)
}

// connectionLost handles a connection that broke. The sidecar may or may not have
// the request. Submitting the same key to the same sidecar again is right in both
// cases: it joins the running request or starts it for the first time.
func (s *State) connectionLost(i int) []Effect {
	a := &s.attempts[i]
	if a.phase == ended {
		return nil
	}
	a.reconnects++
	err := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the connection to the upstream was lost")
	if s.plan.Direct || a.reconnects > maxReconnects {
		return s.failed(i, retry.Failure{Err: err, Reached: true})
	}
	if a.reconnects > reconnectsBeforeFailover && s.activeAttempts() == 1 && s.mayRunElsewhere() && s.budget.Withdraw(retry.CauseFailure) {
		a.phase = ended
		s.recordFailure(err)
		return s.offer(false)
	}
	if a.phase == admitted {
		return []Effect{Attach{Attempt: i, Retry: a.reconnects}}
	}
	return []Effect{Resubmit{Attempt: i, Retry: a.reconnects}}
}

// mayRunElsewhere reports whether the request may run at another upstream in place
// of one whose sidecar does not answer. That costs budget, reconnecting does not.
func (s *State) mayRunElsewhere() bool {
	return s.plan.Idempotent && s.winner == none && !s.exhausted()
}

// refused handles a refusal. It follows the successor key, if there is one.
func (s *State) refused(e Refused) []Effect {
	a := s.attempts[e.Attempt]
	if a.phase == ended {
		return nil
	}
	if e.Successor != nil && a.chainIndex+1 < MaxKeyChain {
		s.attempts[e.Attempt].phase = ended
		return s.follow(a.chainIndex+1, *e.Successor)
	}
	if e.Successor != nil {
		e.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonMoved, "the request has moved too often to be followed")
	}
	if e.Misdirected { // the upstream that was chosen was not reached
		s.unreachedAttempts++
	}
	// An attach is refused by a sidecar that no longer has the request, or by the
	// sidecar's next incarnation. The request had been admitted there.
	reachedUpstream := a.phase == admitted || s.plan.Direct
	return s.failed(e.Attempt, retry.Failure{Err: e.Err, Reached: reachedUpstream, Final: e.Final})
}

// responseStarted handles the first piece of a response. The first attempt with a
// response serves the caller, and all others are cancelled.
func (s *State) responseStarted(e ResponseStarted) []Effect {
	i := e.Attempt
	if s.attempts[i].phase == ended || s.winner != none && i != s.takeover {
		return nil
	}
	s.winner, s.takeover, s.deliveryStarted = i, none, true
	s.resumable = s.plan.Resumable && e.Resumable
	return append(s.cancelOthers(i), Deliver{Attempt: i, Resumable: s.resumable})
}

// errorResponse handles a response in which the upstream says that it failed. The
// request runs again if it may; otherwise this response goes to the caller.
func (s *State) errorResponse(e ErrorResponse) []Effect {
	if s.attempts[e.Attempt].phase == ended || s.winner != none && e.Attempt != s.takeover {
		return nil
	}
	f := retry.Failure{Err: e.Err, Reached: true}
	if s.deliveryStarted { // part of another response, which this one cannot continue
		return append([]Effect{Cancel{Attempt: e.Attempt}}, s.failed(e.Attempt, f)...)
	}
	if retry.Decide(f, s.requestInfo()) != retry.Retry || s.exhausted() || s.activeAttempts() > 1 || !s.budget.Withdraw(retry.CauseFailure) {
		return s.responseStarted(ResponseStarted{Now: e.Now, Attempt: e.Attempt})
	}
	s.attempts[e.Attempt].phase = ended
	s.recordFailure(e.Err)
	return append([]Effect{Cancel{Attempt: e.Attempt}}, s.offer(false)...)
}

// cancelOthers cancels all active attempts but one.
func (s *State) cancelOthers(keep int) []Effect {
	var effects []Effect
	for i := range s.attempts {
		if i != keep && s.attempts[i].phase != ended {
			s.attempts[i].phase = ended
			effects = append(effects, Cancel{Attempt: i})
		}
	}
	return effects
}

// ended handles the end of a response.
func (s *State) ended(e Ended) []Effect {
	if e.Err != nil {
		return s.failed(e.Attempt, retry.Failure{Err: e.Err, Reached: retry.ReachedUpstream(e.Err)})
	}
	s.attempts[e.Attempt].phase = ended
	s.finished = true
	return []Effect{Finish{}}
}

// failed ends an attempt and decides how the request continues.
func (s *State) failed(i int, f retry.Failure) []Effect {
	a := &s.attempts[i]
	if a.phase == ended {
		return nil
	}
	a.phase = ended
	s.recordFailure(f.Err)
	if i == s.takeover {
		s.takeover = none
	}
	if i == s.winner && s.resumable { // another attempt may continue the response
		s.winner = none
	}
	// If the request crashed the upstream, the hedged attempt would crash the next
	// one too.
	if s.hedged && f.Err.Reason == verdict.ReasonUpstreamFailed && f.Err.Verdict != verdict.NotRun {
		return append(s.cancelOthers(s.winner), s.retryOrFinish(*a, f)...)
	}
	if i != s.winner && s.activeAttempts() > 0 {
		return nil // the other hedged attempt continues
	}
	return s.retryOrFinish(*a, f)
}

// retryOrFinish offers the request to a further upstream after a failure, or ends it.
func (s *State) retryOrFinish(a attempt, f retry.Failure) []Effect {
	next := s.nextAction(a, f)
	if f.Err.Reason == verdict.ReasonOverBound && s.firstOverBound == none {
		s.firstOverBound = a.candidate
	}
	switch {
	case next == retry.Reroute && s.exhausted() && s.mayOfferAgain && s.firstOverBound != none:
		return s.offerAgain()
	case s.plan.AttachOnly || s.exhausted() || next == retry.Stop:
		return s.finish(f.Err)
	case next == retry.Retry && !s.budget.Withdraw(retry.CauseFailure):
		return s.finish(f.Err)
	default:
		return s.offer(false)
	}
}

// nextAction returns what may follow a failure. A caller may submit a request several
// times under its key, also through other routers. The sidecar remembers that it has
// refused the key and refuses each of these submissions, so none of them may be run
// under another key.
func (s *State) nextAction(a attempt, f retry.Failure) retry.Decision {
	if a.underCallerKey && f.Err.Verdict == verdict.NotRun {
		return retry.Stop
	}
	return retry.Decide(f, s.requestInfo())
}

// recordFailure keeps what a failed attempt implies for the verdict and the
// Retry-After of the whole request.
func (s *State) recordFailure(err *verdict.Error) {
	if err.Verdict != verdict.NotRun {
		s.mayHaveRunErr = err
	}
	if err.RetryAfter > 0 && (s.minRetryAfter == 0 || err.RetryAfter < s.minRetryAfter) {
		s.minRetryAfter = err.RetryAfter
	}
}

// finish ends the request with err. If err has the verdict NotRun and an earlier
// attempt may have run, the request ends with that attempt's failure instead. Once a
// response to the caller has started, the verdict is always Ran.
func (s *State) finish(err *verdict.Error) []Effect {
	var effects []Effect
	if s.hedged {
		effects = s.cancelOthers(s.winner)
	}
	s.finished = true
	if err.Verdict == verdict.NotRun && s.mayHaveRunErr != nil {
		err = s.mayHaveRunErr
	}
	if s.deliveryStarted && err.Verdict != verdict.Ran {
		ran := *err
		ran.Verdict = verdict.Ran // the caller has a part of the response
		err = &ran
	}
	if mayRetryLater(err) {
		err = err.WithRetryAfter(s.retryAfter())
	}
	return append(effects, Finish{Err: err})
}

// retryAfter returns after which time the caller should retry: the shortest time
// that an upstream gave, else the time from the Budget, else defaultRetryAfter.
func (s *State) retryAfter() time.Duration {
	if s.minRetryAfter > 0 {
		return s.minRetryAfter
	}
	left := time.Duration(0)
	if !s.plan.Deadline.IsZero() {
		left = s.plan.Deadline.Sub(s.now)
	}
	return cmp.Or(s.budget.RetryAfter(left), defaultRetryAfter)
}

// mayRetryLater reports whether the same request may succeed later.
func mayRetryLater(err *verdict.Error) bool {
	return err.Verdict == verdict.NotRun && retry.Transient(err.Reason)
}

// ticked handles the deadlines, the switch to another upstream and the hedged attempt.
func (s *State) ticked(now time.Time) []Effect {
	switch {
	case reached(s.plan.Deadline, now):
		return s.deadlineExceeded("the answer is not complete within the profile's deadline")
	case !s.deliveryStarted && reached(s.plan.FirstByte, now):
		return s.deadlineExceeded("the answer has not begun within the profile's deadline")
	case s.maySwitch() && reached(s.lastOfferAt.Add(s.plan.SwitchAfter), now):
		return s.switchUpstream()
	case s.mayHedge() && reached(s.startedAt.Add(s.plan.HedgeAfter), now):
		s.hedged = true
		if s.activeAttempts() > 0 && s.budget.Withdraw(retry.CauseHedge) {
			return s.offer(false)
		}
	}
	return nil
}

// stalled offers the rest of a response that has paused for too long to another upstream. The
// response goes on meanwhile: a pause alone never ends one, and the other upstream may refuse. The
// first of the two that sends anything is the one that serves the caller.
func (s *State) stalled(e Stalled) []Effect {
	if e.Attempt != s.winner || !s.resumable || s.exhausted() || s.activeAttempts() > 1 || !s.budget.Withdraw(retry.CauseStall) {
		return nil
	}
	s.takeover = len(s.attempts)
	return s.offer(false)
}

// pieceDelivered handles a piece of the winner's response. The response has not ended, so no other
// attempt takes it over.
func (s *State) pieceDelivered() []Effect {
	s.attempts[s.winner].reconnects = 0
	if s.takeover == none {
		return nil
	}
	s.takeover = none
	return s.cancelOthers(s.winner)
}

// switchUpstream cancels an attempt that has had no response for too long and offers
// the request to another upstream. The cause may be an upstream that hangs, or a
// response that was lost on a connection that stays open.
func (s *State) switchUpstream() []Effect {
	if !s.budget.Withdraw(retry.CauseSlow) {
		s.switchBudgetSpent = true
		return nil
	}
	s.recordFailure(verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the upstream did not answer in time"))
	return append(s.cancelOthers(none), s.offer(false)...)
}

// reached reports whether a time is set and has come.
func reached(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

// deadlineExceeded ends the request at a deadline. The router has reported NotSent
// for all attempts that were not sent, so an active attempt may have run.
func (s *State) deadlineExceeded(detail string) []Effect {
	v := verdict.NotRun
	if s.activeAttempts() > 0 {
		v = verdict.MayHaveRun
	}
	err := verdict.New(v, verdict.ReasonDeadline, "%s", detail)
	err.EarlierUnknown = s.plan.CallerHasKey && v == verdict.NotRun
	return s.finish(err)
}
