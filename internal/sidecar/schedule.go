package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// isolationCheckInterval is how often the sidecar checks whether a suspect that runs
// alone has run for long enough to be cleared.
const isolationCheckInterval = time.Second

// schedule starts the requests that may start. None may start before a probe has
// shown what the upstream is running, while a suspect runs alone, or while it is not known
// whether the upstream has crashed.
func (s *State) schedule(now time.Time) []Effect {
	if !s.probe.counted || len(s.interrupted) > 0 || s.checkIsolated(now) {
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

// checkIsolated returns whether a suspect that runs alone blocks other requests. It
// clears a suspect that has run for long enough; other requests may then run beside
// it. Otherwise it sets a timer for the next check.
func (s *State) checkIsolated(now time.Time) bool {
	if s.isolated == nil {
		return false
	}
	if s.quarantine.ClearIfSurvived(now, s.isolated.fingerprint(), s.isolated.exposure.started) {
		s.isolated = nil
		return false
	}
	if !now.Before(s.nextIsolationCheck) {
		s.nextIsolationCheck = now.Add(isolationCheckInterval)
		s.timers.add(s.nextIsolationCheck, s.isolated.nonce())
	}
	return true
}

// scheduleIsolated starts a suspect from the isolation lane if no other request runs and
// the upstream has survived all imports: the one that is the most likely cause of the crashes. If that one has been convicted
// while it waited, it is withdrawn instead and scheduling continues.
func (s *State) scheduleIsolated(now time.Time) []Effect {
	if s.queue.Running() > 0 || len(s.imports) > 0 {
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

// startRequest returns the effect that starts the call, and releases the body and
// header of the request.
func (s *State) startRequest(now time.Time, r *request) Effect {
	r.phase, r.exposure = running, s.beginExposure(now, r.fingerprint())
	effect := Start{Submit: r.submit, Deadline: r.deadline}
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.prefixes.begin(now, r.submit.Session, r.fingerprint())
	return effect
}

// withdrawSuspects withdraws the queued requests that have become suspects, or have been
// convicted, since they were admitted to run beside others. The evidence sends them on to
// the VM where they may run alone.
func (s *State) withdrawSuspects(now time.Time) []Effect {
	if s.quarantineChanges == s.quarantine.Changes() {
		return nil
	}
	s.quarantineChanges = s.quarantine.Changes()
	var effects []Effect
	for _, r := range s.inPhase(queued) {
		if r.isolated {
			continue
		}
		switch s.quarantine.Decide(now, r.fingerprint(), false).Action {
		case quarantine.Allow:
		case quarantine.Refuse:
			effects = append(effects, s.withdraw(now, r, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "this request crashes upstreams"))...)
		default:
			err := verdict.New(verdict.NotRun, verdict.ReasonSuspect, "the request may run alone only").WithRetryAfter(quarantine.RetryAfter)
			effects = append(effects, s.withdraw(now, r, err)...)
		}
	}
	return effects
}

// withdrawExpired withdraws a request that can no longer start in time.
func (s *State) withdrawExpired(now time.Time, r *request) []Effect {
	err := verdict.New(verdict.NotRun, verdict.ReasonDeadline, "its turn did not come within its deadline")
	return s.withdraw(now, r, err.WithRetryAfter(s.queue.Backoff()))
}

// withdraw ends a request that has not run and will not run here. Unless it was
// cancelled, its readers are redirected to its successor key, if it has one. The end of
// a suspect's response carries the evidence on it.
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
	if err.Reason == verdict.ReasonSuspect || err.Reason == verdict.ReasonQuarantined {
		f.Control.Suspects = s.quarantine.EvidenceFor(now, r.fingerprint())
	}
	return s.finishRequest(now, r, f)
}

// withdrawQueued withdraws all queued requests, so that they can run at other VMs.
func (s *State) withdrawQueued(now time.Time, reason verdict.Reason, detail string) []Effect {
	var effects []Effect
	for _, r := range s.inPhase(queued) {
		effects = append(effects, s.withdraw(now, r, verdict.New(verdict.NotRun, reason, "%s", detail))...)
	}
	return effects
}

// inPhase returns the requests in a phase, in order of admission.
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
