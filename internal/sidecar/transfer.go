package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// PrefixRead is posted when a cached prefix has been read from the upstream and is about
// to be transferred. Another request of the session may have started since the export
// began.
type PrefixRead struct {
	Now     time.Time
	Ticket  Ticket
	Session uint64
}

func (e PrefixRead) at() time.Time { return e.Now }

// ReplyTransfer answers an ImportRequested or PrefixRead.
type ReplyTransfer struct {
	Ticket      Ticket
	Fingerprint quarantine.Fingerprint // of the request whose prompt it is
	Err         *verdict.Error         // nil: the prefix may be transferred
}

func (ReplyTransfer) isEffect() {}

// isTransferable reports whether a cached prefix may be transferred to another upstream,
// which reads it as it would by running the request. A request that has not run to its end
// may crash each upstream that reads it, and may be crashing this one at the moment.
func (s *State) isTransferable(now time.Time, p *cachedPrefix) bool {
	return p.complete && s.quarantine.Decide(now, p.fingerprint, false).Action == quarantine.Allow
}

// transferable returns the sessions whose prefixes may be transferred, most recent first.
func (s *State) transferable(now time.Time) []uint64 {
	return s.prefixes.mostRecent(func(p *cachedPrefix) bool { return s.isTransferable(now, p) })
}

// export starts an export of cached prefixes to the VMs that serve the sessions after this
// one.
func (s *State) export(now time.Time, sessions []uint64) Effect {
	s.drain.exports++
	s.drain.exportBy = now.Add(exportTimeout)
	s.timers.add(s.drain.exportBy, token.Nonce{})
	return Export{Sessions: sessions}
}

// exportCompleted exports the prefix that the end of a request has completed, if exports
// have left out its session because the request was running.
func (s *State) exportCompleted(now time.Time, r *request) []Effect {
	p := s.prefixes.finish(r.submit.Session, r.fingerprint())
	if p == nil || !s.isTransferable(now, p) {
		return nil
	}
	var effects []Effect
	if s.draining(now) && s.drain.begun {
		effects = append(effects, s.export(now, []uint64{r.submit.Session}))
	}
	if vms := s.join.joinedSince(now, p.incompleteSince); len(vms) > 0 {
		effects = append(effects, ExportTo{VMs: vms, Sessions: []uint64{r.submit.Session}})
	}
	return effects
}

// handlePrefixRead decides whether a prefix that has been read may be transferred.
func (s *State) handlePrefixRead(e PrefixRead) []Effect {
	reply := ReplyTransfer{Ticket: e.Ticket}
	p := s.prefixes.bySession[e.Session]
	if p == nil || !s.isTransferable(e.Now, p) {
		reply.Err = verdict.New(verdict.NotRun, verdict.ReasonSuspect, "the session's newest request has not run to its end or is a suspect")
	} else {
		reply.Fingerprint = p.fingerprint
	}
	return []Effect{reply}
}
