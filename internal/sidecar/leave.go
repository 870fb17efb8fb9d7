package sidecar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// listNoticeTTL is how long a notice that stems from the list of VMs is valid. The
	// list has no versions, so an old reading of it cannot be distinguished from a
	// new one. Routers repeat the notice while the VM is listed as leaving. When they
	// stop, it expires.
	listNoticeTTL = 2 * time.Minute
	// exportTimeout limits the duration of an export of cached prefixes.
	exportTimeout = 20 * time.Second
	// maxRecentSessions limits the sessions whose prefixes are exported. It is twice
	// an upstream's share of 6.3 million chats over 2,900 upstreams.
	maxRecentSessions = 4096
)

// drainState is the state of draining the upstream, whichever reason State.draining
// finds for it.
type drainState struct {
	notice          wire.Notice // with the highest version so far; from an operators' order to drain
	listNoticeUntil time.Time   // until when a notice from the list of VMs is valid
	begun           bool        // this drain has started: the queued requests have been withdrawn
	exportEnded     bool
	exportBy        time.Time // limit of the wait for the export
	stopping        bool
	stopBy          time.Time
	exited          bool // Exit has been emitted
}

// draining reports whether no new requests are admitted: because of a stop, an
// order of the controller, or a notice that the VM leaves.
func (s *State) draining(now time.Time) bool {
	return s.drain.stopping || s.orderDrain.on || s.drain.notice.Leaving || now.Before(s.drain.listNoticeUntil)
}

// handleNotice applies a notice. A notice from an operators' order has a version, so
// an outdated one that arrives late is ignored. A notice without a version is from the
// list of VMs.
func (s *State) handleNotice(e NoticeReceived) []Effect {
	s.applyNotice(e.Notice)
	if e.Notice.Version == 0 && e.Notice.Leaving {
		s.drain.listNoticeUntil = e.Now.Add(listNoticeTTL)
		s.timers.add(s.drain.listNoticeUntil, token.Nonce{})
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

// applyNotice applies a notice with a version, unless a later one has been applied.
func (s *State) applyNotice(n wire.Notice) {
	if n.Version > s.drain.notice.Version {
		s.drain.notice = n
	}
}

func (s *State) beginStop(now time.Time) {
	if s.drain.stopping {
		return
	}
	s.drain.stopping = true
	s.drain.stopBy = now.Add(s.settings.StopTimeout)
	s.timers.add(s.drain.stopBy, token.Nonce{})
}

// advanceDrain carries out draining: it withdraws queued requests, exports the
// cached prefixes, and, on a stop, exits when no request is in flight.
func (s *State) advanceDrain(now time.Time) []Effect {
	d := &s.drain
	if !s.draining(now) {
		d.begun = false
		return nil
	}
	var effects []Effect
	if !d.begun {
		d.begun, d.exportEnded = true, false
		d.exportBy = now.Add(exportTimeout)
		s.timers.add(d.exportBy, token.Nonce{})
		effects = append(s.withdrawQueued(now, verdict.ReasonDraining, "the upstream is leaving"),
			Export{Sessions: s.recent.mostRecent()})
	}
	if d.stopping && !d.exited && s.mayExit(now) {
		d.exited = true
		effects = append(effects, Exit{})
	}
	return effects
}

// mayExit reports whether the process can exit without interrupting a response. The
// export of prefixes must have ended or timed out. Each response must have ended and
// have no reader, and must have been sent completely to a router, unless DetachGrace
// has passed since its end. From stopBy on, mayExit always reports true.
func (s *State) mayExit(now time.Time) bool {
	if !now.Before(s.drain.stopBy) {
		return true
	}
	if !s.drain.exportEnded && now.Before(s.drain.exportBy) {
		return false
	}
	for _, r := range s.requests {
		mayBeClaimed := !r.delivered && now.Before(r.endedAt.Add(s.settings.DetachGrace))
		if r.phase != ended || r.readers > 0 || mayBeClaimed {
			return false
		}
	}
	return true
}

// recentSessionSet is the set of the most recently served sessions.
type recentSessionSet struct {
	seq     uint64
	lastUse map[uint64]uint64 // sequence number of the last use, by session
}

func (s *recentSessionSet) touch(session uint64) {
	if session == 0 {
		return
	}
	if s.lastUse == nil {
		s.lastUse = make(map[uint64]uint64)
	}
	s.seq++
	s.lastUse[session] = s.seq
	if len(s.lastUse) >= 2*maxRecentSessions {
		s.trim()
	}
}

func (s *recentSessionSet) trim() {
	for _, session := range s.byRecency()[maxRecentSessions:] {
		delete(s.lastUse, session)
	}
}

// mostRecent returns up to maxRecentSessions sessions, most recent first.
func (s *recentSessionSet) mostRecent() []uint64 {
	all := s.byRecency()
	return all[:min(len(all), maxRecentSessions)]
}

func (s *recentSessionSet) byRecency() []uint64 {
	all := slices.Collect(maps.Keys(s.lastUse))
	slices.SortFunc(all, func(x, y uint64) int { return cmp.Compare(s.lastUse[y], s.lastUse[x]) })
	return all
}
