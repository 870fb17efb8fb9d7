package dispatch

import (
	"cmp"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// unreachable handles a sidecar that cannot be connected to. What has been
// sent to it before may be running there, so that is tried again for a while.
//
// A key that a caller holds may have reached the sidecar through another
// router, so that nothing is known of it until the sidecar is asked.
func (s *State) unreachable(e Unreachable) []Effect {
	a := &s.attempts[e.Attempt]
	if a.phase == over {
		return nil
	}
	fresh := a.phase == submitted && a.reconnects == 0 && !a.held
	if fresh {
		s.unsent++
		return s.failed(e.Attempt, retry.Failure{Err: e.Err})
	}
	return s.lost(e.Attempt)
}

// lost handles a connection that broke. The sidecar either has the request or
// not, and the same key to the same sidecar settles it either way: it joins
// what runs, or runs for the first time.
func (s *State) lost(i int) []Effect {
	a := &s.attempts[i]
	if a.phase == over {
		return nil
	}
	a.reconnects++
	err := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the connection to the upstream was lost")
	if s.plan.Direct || a.reconnects > maxReconnects {
		return s.failed(i, retry.Failure{Err: err, Reached: true})
	}
	if a.reconnects > reconnectsHere && s.alive() == 1 && s.mayRunElsewhere() && s.budget.Withdraw() {
		a.phase = over
		s.note(err)
		return s.offer(false)
	}
	if a.phase == admitted {
		return []Effect{Attach{Attempt: i, Retry: a.reconnects}}
	}
	return []Effect{Resubmit{Attempt: i, Retry: a.reconnects}}
}

// mayRunElsewhere reports whether a second run may take the place of a sidecar
// that does not answer. It costs budget, while more tries to reconnect do not.
func (s *State) mayRunElsewhere() bool {
	return s.plan.Idempotent && s.winner == none && !s.spent()
}

func (s *State) refused(e Refused) []Effect {
	a := s.attempts[e.Attempt]
	if a.phase == over {
		return nil
	}
	if e.Moved != nil && a.link+1 < MaxKeyChain {
		s.attempts[e.Attempt].phase = over
		return s.follow(a.link+1, *e.Moved)
	}
	if e.Moved != nil {
		e.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonMoved, "the request has moved too often to be followed")
	}
	// An attach is refused by a sidecar that has the request no longer, or by
	// the next incarnation. The request had been admitted there.
	asked := a.phase == admitted || s.plan.Direct
	return s.failed(e.Attempt, retry.Failure{Err: e.Err, Reached: asked, Final: e.Final})
}

// opened handles the first piece of an answer. The first attempt to get there
// answers the caller; a hedge that comes second is cancelled.
func (s *State) opened(e ResponseStarted) []Effect {
	i := e.Attempt
	if s.winner != none || s.attempts[i].phase == over {
		return nil
	}
	s.winner, s.begun = i, true
	s.resume = s.plan.Resumable && e.Resumable
	return append(s.dropOthers(i), Deliver{Attempt: i, Resumable: s.resume})
}

// declined handles an upstream's own word that it has failed. Where the request
// may run again that is tried; else the upstream's answer is the best there is.
func (s *State) declined(e ErrorResponse) []Effect {
	if s.winner != none || s.attempts[e.Attempt].phase == over {
		return nil
	}
	f := retry.Failure{Err: e.Err, Reached: true}
	if s.begun { // of another answer, which this one cannot go on with
		return append([]Effect{Cancel{Attempt: e.Attempt}}, s.failed(e.Attempt, f)...)
	}
	if retry.Decide(f, s.conditions()) != retry.Retry || s.spent() || s.alive() > 1 || !s.budget.Withdraw() {
		return s.opened(ResponseStarted{Now: e.Now, Attempt: e.Attempt})
	}
	s.attempts[e.Attempt].phase = over
	s.note(e.Err)
	return append([]Effect{Cancel{Attempt: e.Attempt}}, s.offer(false)...)
}

func (s *State) dropOthers(keep int) []Effect {
	var effects []Effect
	for i := range s.attempts {
		if i != keep && s.attempts[i].phase != over {
			s.attempts[i].phase = over
			effects = append(effects, Cancel{Attempt: i})
		}
	}
	return effects
}

func (s *State) ended(e Ended) []Effect {
	if e.Err != nil {
		return s.failed(e.Attempt, retry.Failure{Err: e.Err, Reached: retry.ReachedUpstream(e.Err)})
	}
	s.attempts[e.Attempt].phase = over
	s.finished = true
	return []Effect{Finish{}}
}

// failed ends an attempt and decides what follows.
func (s *State) failed(i int, f retry.Failure) []Effect {
	a := &s.attempts[i]
	if a.phase == over {
		return nil
	}
	a.phase = over
	s.note(f.Err)
	if i == s.winner && s.resume {
		s.winner = none
	}
	// If it was the request that crashed the upstream, its hedge is about to
	// crash the next one.
	if s.hedged && f.Err.Reason == verdict.ReasonUpstreamFailed && f.Err.Verdict != verdict.NotRun {
		return append(s.dropOthers(s.winner), s.next(*a, f)...)
	}
	if i != s.winner && s.alive() > 0 {
		return nil // the other of two hedged attempts goes on
	}
	return s.next(*a, f)
}

func (s *State) next(a attempt, f retry.Failure) []Effect {
	next := s.after(a, f)
	if f.Err.Reason == verdict.ReasonOverBound && s.full == none {
		s.full = a.candidate
	}
	switch {
	case next == retry.Reroute && s.spent() && s.askAgain && s.full != none:
		return s.offerAgain()
	case s.plan.AttachOnly || s.spent() || next == retry.Stop:
		return s.finish(f.Err)
	case next == retry.Retry && !s.budget.Withdraw():
		return s.finish(f.Err)
	default:
		return s.offer(false)
	}
}

// after returns what may follow a failure. A refusal of a key that the caller
// holds is remembered by the sidecar and told to every copy of the request, so
// no copy may run under another key.
func (s *State) after(a attempt, f retry.Failure) retry.Decision {
	if a.held && f.Err.Verdict == verdict.NotRun {
		return retry.Stop
	}
	return retry.Decide(f, s.conditions())
}

// note remembers what an attempt's failure says about the request as a whole.
func (s *State) note(err *verdict.Error) {
	if err.Verdict != verdict.NotRun {
		s.doubt = err
	}
	if err.RetryAfter > 0 && (s.later == 0 || err.RetryAfter < s.later) {
		s.later = err.RetryAfter
	}
}

// finish ends the request with err, or with what makes err untrue: one attempt
// that may have run outweighs any number that have not.
func (s *State) finish(err *verdict.Error) []Effect {
	var effects []Effect
	if s.hedged {
		effects = s.dropOthers(s.winner)
	}
	s.finished = true
	if err.Verdict == verdict.NotRun && s.doubt != nil {
		err = s.doubt
	}
	if s.begun && err.Verdict != verdict.Ran {
		sent := *err
		sent.Verdict = verdict.Ran // the caller has a part of the answer
		err = &sent
	}
	if worthwhile(err) {
		err = err.WithRetryAfter(s.advice())
	}
	return append(effects, Finish{Err: err})
}

// advice returns when to come back: the soonest that an upstream named, else what the
// requests of its pool speak for.
func (s *State) advice() time.Duration {
	if s.later > 0 {
		return s.later
	}
	left := time.Duration(0)
	if !s.plan.Deadline.IsZero() {
		left = s.plan.Deadline.Sub(s.now)
	}
	return cmp.Or(s.budget.RetryAfter(left), defaultRetryAfter)
}

// worthwhile reports whether the same request may fare better later.
func worthwhile(err *verdict.Error) bool {
	return err.Verdict == verdict.NotRun && retry.Transient(err.Reason)
}

// ticked handles the deadlines and starts the hedge.
func (s *State) ticked(now time.Time) []Effect {
	switch {
	case due(s.plan.Deadline, now):
		return s.overdue("the answer is not complete within the profile's deadline")
	case !s.begun && due(s.plan.FirstByte, now):
		return s.overdue("the answer has not begun within the profile's deadline")
	case s.maySwitch() && due(s.sent.Add(s.plan.SwitchAfter), now):
		return s.giveUp()
	case s.mayHedge() && due(s.began.Add(s.plan.HedgeAfter), now):
		s.hedged = true
		if s.alive() > 0 && s.budget.Withdraw() {
			return s.offer(false)
		}
	}
	return nil
}

// silent gives up an answer that has paused for too long, if another upstream can
// go on with it. Otherwise it is waited for: silence alone ends no answer.
func (s *State) silent(e Stalled) []Effect {
	if e.Attempt != s.winner || !s.resume || s.spent() || !s.budget.Withdraw() {
		return nil
	}
	s.winner = none
	s.note(verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the stream paused for too long"))
	return append(s.dropOthers(none), s.offer(false)...)
}

// giveUp cancels an attempt that has said nothing for too long and offers the
// request elsewhere. An upstream that hangs looks like this, and one whose answer
// was lost on a connection that stays open.
func (s *State) giveUp() []Effect {
	if !s.budget.Withdraw() {
		s.patient = true
		return nil
	}
	s.note(verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the upstream did not answer in time"))
	return append(s.dropOthers(none), s.offer(false)...)
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

// overdue ends the request at a deadline. Attempts that were never sent have
// been sealed before, so one that is alive may have run.
func (s *State) overdue(detail string) []Effect {
	v := verdict.NotRun
	if s.alive() > 0 {
		v = verdict.MayHaveRun
	}
	err := verdict.New(v, verdict.ReasonDeadline, "%s", detail)
	err.EarlierUnknown = s.plan.CallerHasKey && v == verdict.NotRun
	return s.finish(err)
}
