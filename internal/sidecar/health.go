package sidecar

import (
	"time"

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

// probeNumber numbers the probes from 1 in the order in which they begin.
type probeNumber uint64

// probe is the health of the upstream as last probed.
type probe struct {
	begun    probeNumber // the latest probe that has begun
	returned probeNumber // the latest probe that has returned; zero: none
	lastGone probeNumber // the latest probe that found the upstream gone; zero: none
	again    bool        // another probe was requested while one was in progress
	next     time.Time
	state    upstream.State // as found by the latest probe
	down     bool
	timeouts int // consecutive probes that timed out
	instance upstream.Instance
	external int  // as counted by countExternal
	counted  bool // external is known
}

// pending reports whether a probe is in progress.
func (p *probe) pending() bool { return p.begun != p.returned }

// requestProbe requests a probe that begins now. The result of one that is in progress
// may describe the upstream as it was before.
func (s *State) requestProbe(now time.Time) {
	s.probe.next = now
	s.probe.again = s.probe.pending()
}

// startDueProbe starts a probe if one is due and none is in progress.
func (s *State) startDueProbe(now time.Time) []Effect {
	if s.probe.pending() || now.Before(s.probe.next) {
		return nil
	}
	s.probe.begun++
	s.probe.again = false
	return []Effect{Probe{}}
}

// handleProbe applies the result of a probe.
func (s *State) handleProbe(e Probed) []Effect {
	p, h := &s.probe, e.Health
	restarted := h.Instance != "" && p.instance != "" && h.Instance != p.instance
	s.countExternal(h, restarted)
	p.returned = p.begun
	p.state = h.State
	if h.State == upstream.Gone {
		p.lastGone = p.begun
	}
	if h.Instance != "" {
		p.instance = h.Instance
	}
	withdrawn := s.updateDown(e.Now, h.State)
	effects := append(s.resolveCrashes(e.Now), withdrawn...)
	effects = append(effects, s.announceOnce(h.State)...)
	p.next = e.Now.Add(s.probeInterval())
	s.timers.add(p.next, token.Nonce{})
	return effects
}

// probeInterval returns the time from the end of a probe to the next one.
func (s *State) probeInterval() time.Duration {
	p := &s.probe
	switch {
	case p.again || len(s.interrupted) > 0:
		return 0
	case p.down || p.external > 0 || p.timeouts > 0:
		return probeIntervalDown
	}
	return probeIntervalUp
}

// countExternal updates the number of external requests: those that an earlier
// incarnation of the sidecar has left running at the upstream. Without this, a
// restarted sidecar would load its upstream beyond the bound. No request starts before
// the first probe that counts them. The number can only decrease, since later probes
// include requests of this incarnation: those that started before the probe began and
// still run are certainly among them.
func (s *State) countExternal(h upstream.Health, restarted bool) {
	p := &s.probe
	switch {
	case restarted || h.State == upstream.Gone:
		p.external, p.counted = 0, true
	case h.State == upstream.Up && !p.counted:
		p.external, p.counted = h.Running, true
	case h.State == upstream.Up && p.external > 0:
		p.external = max(0, min(p.external, h.Running-s.runningSince(p.begun)))
	}
	s.queue.SetExternal(p.external)
}

// runningSince returns the number of running requests that had started before a probe
// began.
func (s *State) runningSince(n probeNumber) int {
	count := 0
	for _, r := range s.requests {
		if r.phase == running && r.exposure.probesAtStart < n {
			count++
		}
	}
	return count
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
