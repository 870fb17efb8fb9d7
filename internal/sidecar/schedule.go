package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// isolationCheckInterval is how often a suspect that runs alone is looked at.
const isolationCheckInterval = time.Second

// schedule starts what may start. While a suspect runs alone, and while it is
// not known whether the upstream has crashed, nothing does.
func (s *State) schedule(now time.Time) []Effect {
	if !s.probe.known || len(s.interrupted) > 0 || s.isolatedBlocks(now) {
		return nil
	}
	if len(s.lane) > 0 {
		return s.scheduleIsolated(now)
	}
	var effects []Effect
	for {
		next, ok := s.queue.Next(now)
		if !ok {
			return effects
		}
		effects = append(effects, s.startRequest(now, s.requests[next.ID]))
	}
}

// isolatedBlocks reports whether a suspect runs alone that has not proved harmless.
func (s *State) isolatedBlocks(now time.Time) bool {
	if s.isolated == nil {
		return false
	}
	if s.quarantine.ClearIfSurvived(now, s.isolated.fingerprint(), s.isolated.started) {
		s.isolated = nil
		return false
	}
	if !now.Before(s.nextIsolationCheck) {
		s.nextIsolationCheck = now.Add(isolationCheckInterval)
		s.timers.add(s.nextIsolationCheck, s.isolated.nonce())
	}
	return true
}

// scheduleIsolated starts the likeliest culprit in the lane once nothing runs.
func (s *State) scheduleIsolated(now time.Time) []Effect {
	if s.queue.Running() > 0 {
		return nil
	}
	r := slices.MinFunc(s.lane, func(x, y *request) int {
		if s.quarantine.IsLikelierCause(now, x.fingerprint(), y.fingerprint()) {
			return -1
		}
		return 1
	})
	if s.quarantine.Recheck(now, r.fingerprint()) == quarantine.Refuse {
		err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "this request crashes upstreams")
		return append(s.withdraw(now, r, err), s.schedule(now)...)
	}
	s.removeFromLane(r)
	s.isolated = r
	s.queue.Begin(now, s.admissionRequest(now, &r.submit, 0))
	return []Effect{s.startRequest(now, r)}
}

func (s *State) removeFromLane(r *request) {
	s.lane = slices.DeleteFunc(s.lane, func(x *request) bool { return x == r })
}

// startRequest hands the call to the upstream and lets go of it here.
func (s *State) startRequest(now time.Time, r *request) Effect {
	r.phase, r.started = running, now
	effect := Start{Submit: r.submit, Deadline: r.deadline}
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.recent.touch(r.submit.Session)
	return effect
}

// withdrawExpired answers a request that has missed its deadline while it waited.
func (s *State) withdrawExpired(now time.Time, r *request) []Effect {
	err := verdict.New(verdict.NotRun, verdict.ReasonDeadline, "its turn did not come within its deadline")
	return s.withdraw(now, r, err.WithRetryAfter(s.queue.Backoff()))
}

// withdraw ends a request that has not run and now will not, and sends those
// who read it along the chain, if there is one and its caller still wants it.
func (s *State) withdraw(now time.Time, r *request, err *verdict.Error) []Effect {
	s.queue.Remove(r.nonce())
	if r.isolated {
		s.removeFromLane(r)
		s.quarantine.Revoke(r.fingerprint())
	}
	f := Finish{Nonce: r.nonce(), Error: err}
	if r.cancelled {
		s.table.Cancel(r.nonce())
	} else {
		f.Moved = s.table.Withdraw(r.nonce(), err.Reason)
	}
	return s.finishRequest(now, r, f)
}

// withdrawQueued withdraws all that waits, so that it can run elsewhere.
func (s *State) withdrawQueued(now time.Time, reason verdict.Reason, detail string) []Effect {
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
