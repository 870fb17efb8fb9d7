package sidecar

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// crashFinding is what is known about whether the upstream crashed while it ran a request.
type crashFinding uint8

const (
	crashUnknown crashFinding = iota
	notCrashed
	crashed
)

// findCrash returns whether the upstream crashed while it ran a request. A probe counts
// only for what it can have seen: that the upstream has survived, if it began after the
// call had failed; that the process has ended, if it began after the request had started.
// An upstream that names its process is known by that name. One that breaks off a call and
// then answers no probe counts as crashed: it is as lost to its requests.
func (s *State) findCrash(r *request) crashFinding {
	p := &s.probe
	probedSince := r.phase == interrupted && p.returned > r.probesAtFailure
	switch {
	case r.instance != "" && p.instance != r.instance:
		return crashed
	case r.instance == "" && p.lastGone > r.probesAtStart:
		return crashed
	case !probedSince:
		return crashUnknown
	case p.state == upstream.Up:
		return notCrashed
	case p.state == upstream.Gone || p.timeouts >= frozenThreshold:
		return crashed
	}
	return crashUnknown
}

// resolveInterrupted finishes the interrupted requests for which it is known whether the
// upstream crashed. If it crashed, all requests that were running are recorded as suspects
// before any response ends.
func (s *State) resolveInterrupted(now time.Time) []Effect {
	var effects []Effect
	if slices.ContainsFunc(s.interrupted, func(r *request) bool { return s.findCrash(r) == crashed }) {
		effects = append(effects, ReportCrash{Running: s.recordCrash(now)})
	}
	failed := s.interrupted
	s.interrupted = nil
	for _, r := range failed {
		if !r.crashRecorded && s.findCrash(r) == crashUnknown {
			s.interrupted = append(s.interrupted, r)
			continue
		}
		effects = append(effects, s.finishFailed(now, r, r.failure)...)
	}
	return effects
}

// recordCrash records the requests that the upstream was running when it crashed as
// suspects, and returns their number. Those that started at its next process are none.
func (s *State) recordCrash(now time.Time) int {
	var entries []quarantine.RunningRequest
	count := 0
	for _, r := range append(s.inPhase(running), s.interrupted...) {
		if r.crashRecorded || s.probe.state == upstream.Up && s.findCrash(r) != crashed {
			continue
		}
		r.crashRecorded = true
		count++
		if r.fingerprint() != 0 {
			entries = append(entries, quarantine.RunningRequest{Fingerprint: r.fingerprint(), Started: r.started})
		}
	}
	if len(entries) > 0 {
		s.quarantine.RecordCrash(now, entries)
	}
	return count
}
