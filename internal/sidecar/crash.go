package sidecar

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// exposure is a span of time in which a request, or the import of its prompt, may crash the
// upstream.
type exposure struct {
	fingerprint quarantine.Fingerprint // zero: not known
	started     time.Time
	// instance and probesAtStart describe what was known of the upstream at the start: its
	// process, and the number of probes that had begun.
	instance      upstream.Instance
	probesAtStart probeNumber
	// isEnded reports whether the upstream no longer works on it, but may have crashed.
	// probesAtEnd is the number of probes that had begun by then.
	isEnded     bool
	probesAtEnd probeNumber
	// isRecorded reports whether a crash of the upstream during this span is recorded.
	isRecorded bool
}

// beginExposure returns an exposure that starts now.
func (s *State) beginExposure(now time.Time, fp quarantine.Fingerprint) exposure {
	return exposure{fingerprint: fp, started: now, instance: s.probe.instance, probesAtStart: s.probe.begun}
}

// endExposure marks the end of an exposure and requests the probe that shows whether the
// upstream has survived it.
func (s *State) endExposure(now time.Time, x *exposure) {
	x.isEnded, x.probesAtEnd = true, s.probe.begun
	s.requestProbe(now)
}

// crashFinding is what is known about whether the upstream crashed during an exposure.
type crashFinding uint8

const (
	crashUnknown crashFinding = iota
	notCrashed
	crashed
)

// findCrash returns whether the upstream crashed during an exposure. A probe counts only
// for what it can have seen: that the upstream has survived, if it began after the end; that
// the process has ended, if it began after the start. An upstream that names its process is
// known by that name. One that breaks off a call and then answers no probe counts as crashed:
// it is as lost to its requests.
func (s *State) findCrash(x *exposure) crashFinding {
	p := &s.probe
	switch {
	case x.instance != "" && p.instance != x.instance:
		return crashed
	case x.instance == "" && p.lastGone > x.probesAtStart:
		return crashed
	case !x.isEnded || p.returned <= x.probesAtEnd:
		return crashUnknown
	case p.state == upstream.Up:
		return notCrashed
	case p.state == upstream.Gone || p.timeouts >= frozenThreshold:
		return crashed
	}
	return crashUnknown
}

// resolveCrashes finishes the interrupted requests, and forgets the imports, for which it
// is known whether the upstream crashed. If it crashed, all that it was working on is
// recorded before any response ends.
func (s *State) resolveCrashes(now time.Time) []Effect {
	var effects []Effect
	if s.hasCrashed() {
		effects = append(effects, s.recordCrash(now))
	}
	s.imports.dropResolved(s.findCrash)
	failed := s.interrupted
	s.interrupted = nil
	for _, r := range failed {
		if !r.exposure.isRecorded && s.findCrash(&r.exposure) == crashUnknown {
			s.interrupted = append(s.interrupted, r)
			continue
		}
		effects = append(effects, s.finishFailed(now, r, r.failure)...)
	}
	return effects
}

// hasCrashed reports whether a crash of the upstream is to be recorded: one that broke off
// a call, or that an import may have caused. A restart alone is none: a process may hand
// over to the next one and finish its requests.
func (s *State) hasCrashed() bool {
	isCrash := func(r *request) bool { return s.findCrash(&r.exposure) == crashed }
	return slices.ContainsFunc(s.interrupted, isCrash) || s.imports.any(s.findCrash, crashed)
}

// recordCrash records the requests that the upstream was running, and the prefixes that it
// was importing or had just imported, as suspects. Those that started at its next process
// are none.
func (s *State) recordCrash(now time.Time) ReportCrash {
	var report ReportCrash
	var entries []quarantine.RunningRequest
	record := func(x *exposure) bool {
		if x.isRecorded || s.probe.state == upstream.Up && s.findCrash(x) != crashed {
			return false
		}
		x.isRecorded = true
		entries = append(entries, quarantine.RunningRequest{Fingerprint: x.fingerprint, Started: x.started})
		return true
	}
	for _, r := range append(s.inPhase(running), s.interrupted...) {
		if record(&r.exposure) {
			report.Running++
		}
	}
	for _, i := range s.imports.inOrder() {
		if record(&i.exposure) {
			report.Imports++
		}
	}
	s.quarantine.RecordCrash(now, entries)
	return report
}
