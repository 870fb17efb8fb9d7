package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// soloReview is how often a suspect that runs alone is looked at.
const soloReview = time.Second

// schedule starts what may start. While a suspect runs alone, and while it is
// not known whether the upstream has crashed, nothing does.
func (s *State) schedule(now time.Time) []Effect {
	if !s.probe.heard || len(s.broken) > 0 || s.soloHolds(now) {
		return nil
	}
	if len(s.lane) > 0 {
		return s.scheduleAlone(now)
	}
	var effects []Effect
	for {
		next, ok := s.queue.Next(now)
		if !ok {
			return effects
		}
		effects = append(effects, s.start(now, s.requests[next.ID]))
	}
}

// soloHolds reports whether a suspect runs alone that has not proved harmless.
func (s *State) soloHolds(now time.Time) bool {
	if s.solo == nil {
		return false
	}
	if s.book.ClearIfSurvived(now, s.solo.print(), s.solo.started) {
		s.solo = nil
		return false
	}
	if !now.Before(s.soloNext) {
		s.soloNext = now.Add(soloReview)
		s.timers.add(s.soloNext, s.solo.nonce())
	}
	return true
}

// scheduleAlone starts the likeliest culprit in the lane once nothing runs.
func (s *State) scheduleAlone(now time.Time) []Effect {
	if s.queue.Running() > 0 {
		return nil
	}
	r := slices.MinFunc(s.lane, func(x, y *request) int {
		if s.book.IsLikelierCause(now, x.print(), y.print()) {
			return -1
		}
		return 1
	})
	if s.book.Recheck(now, r.print()) == quarantine.Refuse {
		err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "this request crashes upstreams")
		return append(s.withdraw(now, r, err), s.schedule(now)...)
	}
	s.removeFromLane(r)
	s.solo = r
	s.queue.Begin(now, s.admissible(now, &r.submit, 0))
	return []Effect{s.start(now, r)}
}

func (s *State) removeFromLane(r *request) {
	s.lane = slices.DeleteFunc(s.lane, func(x *request) bool { return x == r })
}

// start hands the call to the upstream and lets go of it here.
func (s *State) start(now time.Time, r *request) Effect {
	r.phase, r.started = running, now
	effect := Start{Submit: r.submit, Deadline: r.deadline}
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.recent.touch(r.submit.Session)
	return effect
}

// tooLate answers a request that has missed its deadline while it waited.
func (s *State) tooLate(now time.Time, r *request) []Effect {
	err := verdict.New(verdict.NotRun, verdict.ReasonDeadline, "its turn did not come within its deadline")
	return s.withdraw(now, r, err.WithRetryAfter(s.queue.Backoff()))
}

// withdraw ends a request that has not run and now will not, and sends those
// who read it along the chain, if there is one and its caller still wants it.
func (s *State) withdraw(now time.Time, r *request, err *verdict.Error) []Effect {
	s.queue.Remove(r.nonce())
	if r.alone {
		s.removeFromLane(r)
		s.book.Revoke(r.print())
	}
	f := Finish{Nonce: r.nonce(), Error: err}
	if r.cancelled {
		s.table.Cancel(r.nonce())
	} else {
		f.Moved = s.table.Withdraw(r.nonce(), err.Reason)
	}
	return s.close(now, r, f)
}

// evacuate withdraws all that waits, so that it can run elsewhere.
func (s *State) evacuate(now time.Time, reason verdict.Reason, detail string) []Effect {
	var effects []Effect
	for _, r := range s.inPhase(queued) {
		effects = append(effects, s.withdraw(now, r, verdict.New(verdict.NotRun, reason, "%s", detail))...)
	}
	return effects
}

// inPhase returns the requests in a phase, in the order of their arrival.
func (s *State) inPhase(p phase) []*request {
	var out []*request
	for _, r := range s.requests {
		if r.phase == p {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y *request) int { return cmp.Compare(x.seq, y.seq) })
	return out
}
