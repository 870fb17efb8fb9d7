package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// probeIntervalDown is the probe interval while the upstream is down, has not
	// answered the last probe, or still runs requests of an earlier incarnation of
	// the sidecar.
	probeIntervalDown = 500 * time.Millisecond
	// probeIntervalUp is the probe interval otherwise.
	probeIntervalUp = 5 * time.Second
	// frozenThreshold is the number of consecutive probes that must time out before
	// an upstream that still accepts connections counts as down. A single timeout
	// may be a short pause.
	frozenThreshold = 2
)

// handleCallEnd finishes a request whose call has ended. A request that has not run is
// withdrawn. If the connection to the upstream failed while the request ran, the
// request stays interrupted until a probe has shown whether the upstream crashed: the
// caller may resend the request as soon as its response ends, and by then it must be
// recorded as a suspect.
func (s *State) handleCallEnd(e CallEnded) []Effect {
	r := s.requests[e.Nonce]
	if r == nil || r.phase != running {
		return nil
	}
	s.queue.Done(e.Now, e.Nonce)
	if s.isolated == r {
		s.isolated = nil
	}
	switch {
	case e.Err == nil:
		s.quarantine.RecordFinished(e.Now, r.fingerprint())
		s.table.Finish(e.Nonce, verdict.Ran, s.keepUntil(e.Now, r))
		return append(s.finishRequest(e.Now, r, Finish{Nonce: e.Nonce}), s.exportCompleted(e.Now, r)...)
	case e.Err.Verdict == verdict.NotRun:
		s.probe.next = e.Now
		return s.withdraw(e.Now, r, e.Err)
	case e.Err.Reason == verdict.ReasonUpstreamFailed && !r.crashRecorded:
		r.phase, r.failure = interrupted, e.Err
		s.interrupted = append(s.interrupted, r)
		s.probe.next = e.Now
		return nil
	default:
		return s.finishFailed(e.Now, r, e.Err)
	}
}

// finishFailed finishes a request that failed and may have run. If it ran during a
// crash of the upstream, the end of the response carries the evidence on it.
func (s *State) finishFailed(now time.Time, r *request, err *verdict.Error) []Effect {
	if !r.crashRecorded {
		s.quarantine.Revoke(r.fingerprint())
	}
	s.table.Finish(r.nonce(), err.Verdict, s.keepUntil(now, r))
	f := Finish{Nonce: r.nonce(), Error: err}
	if r.crashRecorded {
		f.Control.Suspects = s.quarantine.EvidenceFor(now, r.fingerprint())
	}
	return s.finishRequest(now, r, f)
}

// keepUntil returns until when the response to r is retained.
func (s *State) keepUntil(now time.Time, r *request) time.Time {
	return now.Add(max(s.settings.KeepAnswer, r.submit.Policy.KeepAnswer))
}

// finishRequest ends the response to a request and retains it until keepUntil.
func (s *State) finishRequest(now time.Time, r *request, f Finish) []Effect {
	suspects := f.Control.Suspects
	f.Control = s.control(now)
	if suspects != nil {
		f.Control.Suspects = suspects
	}
	r.phase, r.endedAt, r.failure = ended, now, nil
	r.keepUntil = s.keepUntil(now, r)
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
	s.timers.add(r.keepUntil, r.nonce())
	s.retained = append(s.retained, r)
	return append([]Effect{f}, s.trimRetained()...)
}

// startDueProbe starts a probe if one is due and none is in progress.
func (s *State) startDueProbe(now time.Time) []Effect {
	if s.probe.pending || now.Before(s.probe.next) {
		return nil
	}
	s.probe.pending = true
	return []Effect{Probe{}}
}

// handleProbe applies the result of a probe.
func (s *State) handleProbe(e Probed) []Effect {
	p, h := &s.probe, e.Health
	restarted := p.known && h.Instance != "" && p.instance != "" && h.Instance != p.instance
	p.pending = false
	s.countExternal(h, restarted)
	p.known = true
	if h.Instance != "" {
		p.instance = h.Instance
	}
	effects := s.resolveInterrupted(e.Now, h.State == upstream.Gone || restarted)
	effects = append(effects, s.updateDown(e.Now, h.State)...)
	effects = append(effects, s.announceOnce(h.State)...)
	s.probe.next = e.Now.Add(s.probeInterval())
	s.timers.add(s.probe.next, token.Nonce{})
	return effects
}

func (s *State) probeInterval() time.Duration {
	if s.probe.down || s.probe.external > 0 || s.probe.timeouts > 0 {
		return probeIntervalDown
	}
	return probeIntervalUp
}

// countExternal updates the number of external requests: those that an earlier
// incarnation of the sidecar has left running at the upstream. Without this, a
// restarted sidecar would load its upstream beyond the bound. The count starts as the
// number that the first probe returned and can only decrease: later probes lag behind
// and include requests of this incarnation.
func (s *State) countExternal(h upstream.Health, restarted bool) {
	switch {
	case restarted || h.State == upstream.Gone:
		s.probe.external = 0
	case h.State == upstream.Up && !s.probe.known:
		s.probe.external = h.Running
	case h.State == upstream.Up:
		own := s.queue.Running() - s.probe.external
		s.probe.external = max(0, min(s.probe.external, h.Running-own))
	}
	s.queue.SetExternal(s.probe.external)
}

// resolveInterrupted finishes the interrupted requests, now that it is known whether
// the upstream crashed. If it crashed, all requests that were running are recorded as
// suspects before any response ends.
func (s *State) resolveInterrupted(now time.Time, crashed bool) []Effect {
	failed := s.interrupted
	if len(failed) == 0 {
		return nil
	}
	s.interrupted = nil
	var effects []Effect
	if crashed {
		effects = append(effects, ReportCrash{Running: s.recordCrash(now, failed)})
	}
	for _, r := range failed {
		effects = append(effects, s.finishFailed(now, r, r.failure)...)
	}
	return effects
}

// recordCrash records the running requests and the given interrupted ones as suspects
// and returns their number.
func (s *State) recordCrash(now time.Time, failed []*request) int {
	var entries []quarantine.RunningRequest
	all := append(s.inPhase(running), failed...)
	for _, r := range all {
		r.crashRecorded = true
		if r.fingerprint() != 0 {
			entries = append(entries, quarantine.RunningRequest{Fingerprint: r.fingerprint(), Started: r.started})
		}
	}
	if len(entries) > 0 {
		s.quarantine.RecordCrash(now, entries)
	}
	return len(all)
}

// updateDown updates whether the upstream is down. If it is, queued requests are
// withdrawn, since waiting here would only delay them.
func (s *State) updateDown(now time.Time, state upstream.State) []Effect {
	if state == upstream.Frozen {
		s.probe.timeouts++
	} else {
		s.probe.timeouts = 0
	}
	s.probe.down = state == upstream.Gone || s.probe.timeouts >= frozenThreshold
	if !s.probe.down {
		return nil
	}
	return s.withdrawQueued(now, verdict.ReasonUpstreamDown, "the upstream is down")
}
