package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// probeDown is how often an upstream is probed that is down, or that still
	// runs requests of a former sidecar.
	probeDown = 500 * time.Millisecond
	// probeUp is how often any other upstream is probed.
	probeUp = 5 * time.Second
	// frozenAfter is how many probes in a row must time out until an upstream
	// that still accepts connections counts as down. One alone may be a pause.
	frozenAfter = 2
)

// ended closes a request whose call is over. When the call broke off it is
// asked first whether the upstream has crashed, so that its caller, who may
// send it again at once, is not answered before the suspicion is known.
func (s *State) ended(e Ended) []Effect {
	r := s.requests[e.Nonce]
	if r == nil || r.phase != running {
		return nil
	}
	s.queue.Done(e.Now, e.Nonce)
	if s.solo == r {
		s.solo = nil
	}
	switch {
	case e.Err == nil:
		s.book.RecordFinished(e.Now, r.print())
		s.table.Finish(e.Nonce, verdict.Ran, s.keepUntil(e.Now, r))
		return s.close(e.Now, r, Finish{Nonce: e.Nonce})
	case e.Err.Verdict == verdict.NotRun:
		s.probe.next = e.Now
		return s.withdraw(e.Now, r, e.Err)
	case e.Err.Reason == verdict.ReasonUpstreamFailed && !r.crashed:
		r.phase, r.failure = broken, e.Err
		s.broken = append(s.broken, r)
		s.probe.next = e.Now
		return nil
	default:
		return s.failed(e.Now, r, e.Err)
	}
}

// failed closes a request that may have run.
func (s *State) failed(now time.Time, r *request, err *verdict.Error) []Effect {
	if !r.crashed {
		s.book.Revoke(r.print())
	}
	s.table.Finish(r.nonce(), err.Verdict, s.keepUntil(now, r))
	f := Finish{Nonce: r.nonce(), Error: err}
	if r.crashed {
		f.Control.Suspects = s.book.EvidenceFor(now, r.print())
	}
	return s.close(now, r, f)
}

func (s *State) keepUntil(now time.Time, r *request) time.Time {
	return now.Add(max(s.settings.KeepAnswer, r.submit.Treatment.KeepAnswer))
}

// close ends the answer to a request and keeps it for a while.
func (s *State) close(now time.Time, r *request, f Finish) []Effect {
	suspects := f.Control.Suspects
	f.Control = s.control(now)
	if suspects != nil {
		f.Control.Suspects = suspects
	}
	r.phase, r.closed, r.failure = ended, now, nil
	r.keepUntil = s.keepUntil(now, r)
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
	s.timers.add(r.keepUntil, r.nonce())
	s.kept = append(s.kept, r)
	return append([]Effect{f}, s.trim()...)
}

// reviewProbe starts a probe that is due.
func (s *State) reviewProbe(now time.Time) []Effect {
	if s.probe.asked || now.Before(s.probe.next) {
		return nil
	}
	s.probe.asked = true
	return []Effect{Probe{}}
}

// probed takes in how the upstream is.
func (s *State) probed(e Probed) []Effect {
	p, h := &s.probe, e.Health
	restarted := p.heard && h.Instance != "" && p.instance != "" && h.Instance != p.instance
	p.asked = false
	s.countForeign(h, restarted)
	p.heard = true
	if h.Instance != "" {
		p.instance = h.Instance
	}
	effects := s.settleBroken(e.Now, h.State == upstream.Gone || restarted)
	effects = append(effects, s.setDown(e.Now, h.State)...)
	effects = append(effects, s.reviewJoin(h.State)...)
	s.probe.next = e.Now.Add(s.probeEvery())
	s.timers.add(s.probe.next, token.Nonce{})
	return effects
}

func (s *State) probeEvery() time.Duration {
	if s.probe.down || s.probe.foreign > 0 || s.probe.frozen > 0 {
		return probeDown
	}
	return probeUp
}

// countForeign counts the requests that a former sidecar has left running at
// the upstream. A restarted sidecar that forgot them would load its upstream
// beyond the bound. Their number is what the upstream reported at first, and
// only falls from there: later reports lag and hold requests of our own.
func (s *State) countForeign(h upstream.Health, restarted bool) {
	switch {
	case restarted || h.State == upstream.Gone:
		s.probe.foreign = 0
	case h.State == upstream.Up && !s.probe.heard:
		s.probe.foreign = h.Running
	case h.State == upstream.Up:
		ours := s.queue.Running() - s.probe.foreign
		s.probe.foreign = max(0, min(s.probe.foreign, h.Running-ours))
	}
	s.queue.SetExternal(s.probe.foreign)
}

// settleBroken answers the calls that broke off, now that it is known whether
// the upstream crashed. All that was running then is entered as suspect,
// before anyone is answered.
func (s *State) settleBroken(now time.Time, crashed bool) []Effect {
	victims := s.broken
	if len(victims) == 0 {
		return nil
	}
	s.broken = nil
	var effects []Effect
	if crashed {
		effects = append(effects, Crashed{Running: s.enterCrash(now, victims)})
	}
	for _, r := range victims {
		effects = append(effects, s.failed(now, r, r.failure)...)
	}
	return effects
}

// enterCrash returns how many calls were under way.
func (s *State) enterCrash(now time.Time, victims []*request) int {
	var entries []quarantine.RunningRequest
	all := append(s.inPhase(running), victims...)
	for _, r := range all {
		r.crashed = true
		if r.print() != 0 {
			entries = append(entries, quarantine.RunningRequest{Fingerprint: r.print(), Started: r.started})
		}
	}
	if len(entries) > 0 {
		s.book.RecordCrash(now, entries)
	}
	return len(all)
}

// setDown notes whether the upstream answers. When it does not, what waits can
// only lose time here.
func (s *State) setDown(now time.Time, state upstream.State) []Effect {
	if state == upstream.Frozen {
		s.probe.frozen++
	} else {
		s.probe.frozen = 0
	}
	s.probe.down = state == upstream.Gone || s.probe.frozen >= frozenAfter
	if !s.probe.down {
		return nil
	}
	return s.evacuate(now, verdict.ReasonUpstreamDown, "the upstream is down")
}
