package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// importSettleTime is how long after the end of an import the upstream may still crash of
// it. An upstream may accept a prefix before it has loaded it.
const importSettleTime = time.Second

// ImportRequested is posted when another sidecar transfers a cached prefix. ImportEnded
// follows.
type ImportRequested struct {
	Now         time.Time
	Ticket      Ticket
	Session     uint64
	Fingerprint quarantine.Fingerprint // of the request whose prompt it is; zero: not known
}

// ImportEnded is posted when the import for an ImportRequested has ended or was refused.
type ImportEnded struct {
	Now    time.Time
	Ticket Ticket
	Err    error // nil: the prefix is imported
}

func (e ImportRequested) at() time.Time { return e.Now }
func (e ImportEnded) at() time.Time     { return e.Now }

// prefixImport is an import of which the upstream may crash.
type prefixImport struct {
	exposure exposure
	session  uint64
	settleAt time.Time // when a probe shows whether the upstream has survived; zero: in progress
}

// prefixImports holds the imports that the upstream has not survived yet.
type prefixImports map[Ticket]*prefixImport

// any reports whether an import has a finding.
func (m prefixImports) any(find func(*exposure) crashFinding, finding crashFinding) bool {
	for _, i := range m {
		if find(&i.exposure) == finding && !i.exposure.isRecorded {
			return true
		}
	}
	return false
}

// inOrder returns the imports in the order in which they were requested.
func (m prefixImports) inOrder() []*prefixImport {
	var out []*prefixImport
	for _, ticket := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[ticket])
	}
	return out
}

// dropResolved drops the imports that have ended and of which it is known whether the
// upstream crashed.
func (m prefixImports) dropResolved(find func(*exposure) crashFinding) {
	maps.DeleteFunc(m, func(_ Ticket, i *prefixImport) bool {
		return !i.settleAt.IsZero() && (i.exposure.isRecorded || find(&i.exposure) != crashUnknown)
	})
}

// handleImport decides whether a cached prefix may be imported now. Nothing may reach the
// upstream beside a suspect that runs alone: after a crash it would not be known which of
// the two was the cause.
func (s *State) handleImport(e ImportRequested) []Effect {
	reply := ReplyTransfer{Ticket: e.Ticket, Fingerprint: e.Fingerprint, Err: s.refuseImport(e)}
	if reply.Err == nil {
		s.imports[e.Ticket] = &prefixImport{exposure: s.beginExposure(e.Now, e.Fingerprint), session: e.Session}
	}
	return []Effect{reply}
}

// refuseImport returns the reason why a cached prefix may not be imported, nil if it may.
func (s *State) refuseImport(e ImportRequested) *verdict.Error {
	action := s.quarantine.Decide(e.Now, e.Fingerprint, false).Action
	switch {
	case action == quarantine.Refuse:
		return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "the prefix is of a request that crashes upstreams")
	case action != quarantine.Allow:
		return verdict.New(verdict.NotRun, verdict.ReasonSuspect, "the prefix is of a request that may crash upstreams")
	case s.draining(e.Now):
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream is leaving")
	case s.probe.down || len(s.interrupted) > 0:
		return verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "the upstream is down or may have crashed")
	case s.isolated != nil || len(s.lane) > 0:
		return verdict.New(verdict.NotRun, verdict.ReasonSuspect, "a suspect runs alone or waits to do so")
	}
	return nil
}

// handleImportEnded records the end of an import. The upstream may still crash of it.
func (s *State) handleImportEnded(e ImportEnded) []Effect {
	i := s.imports[e.Ticket]
	if i == nil {
		return nil
	}
	if e.Err != nil {
		i.settleAt = e.Now
		s.endExposure(e.Now, &i.exposure)
		return s.resolveCrashes(e.Now)
	}
	i.settleAt = e.Now.Add(importSettleTime)
	s.timers.add(i.settleAt, token.Nonce{})
	s.prefixes.imported(i.session, i.exposure.fingerprint)
	return nil
}

// settleImports requests the probe that shows whether the upstream has survived imports,
// when the time in which it may crash of them has passed.
func (s *State) settleImports(now time.Time) {
	for _, i := range s.imports {
		if !i.exposure.isEnded && !i.settleAt.IsZero() && !now.Before(i.settleAt) {
			s.endExposure(now, &i.exposure)
		}
	}
}
