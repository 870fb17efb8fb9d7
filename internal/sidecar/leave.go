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
	// listedTTL is how long word from the list of VMs holds. The list has no
	// versions, so an old reading cannot be told from a new one; routers repeat
	// the word while the list says so, and it lapses when they no longer do.
	listedTTL = 2 * time.Minute
	// exportTimeout bounds the export of cached prefixes.
	exportTimeout = 20 * time.Second
	// maxRecentSessions is how many sessions' prefixes are exported at most: twice
	// an upstream's share of 6.3 million chats over 2,900 upstreams.
	maxRecentSessions = 4096
)

// drainState is what is known of the upstream's leaving.
type drainState struct {
	order       wire.Notice // the latest of those with a version
	listedUntil time.Time   // until when word from the list holds
	begun       bool        // new work is refused
	exported    bool
	exportBy    time.Time // until when the export is waited for
	stopping    bool
	stopBy      time.Time
	exited      bool
}

func (s *State) draining(now time.Time) bool {
	return s.drain.stopping || s.orderDrain.on || s.drain.order.Leaving || now.Before(s.drain.listedUntil)
}

// handleNotice takes a notice. Operators' orders have versions, by which an order
// that was overtaken is told; whatever arrives last must not win.
func (s *State) handleNotice(e NoticeReceived) []Effect {
	s.applyOrder(e.Notice)
	if e.Notice.Version == 0 && e.Notice.Leaving {
		s.drain.listedUntil = e.Now.Add(listedTTL)
		s.timers.add(s.drain.listedUntil, token.Nonce{})
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

func (s *State) applyOrder(n wire.Notice) {
	if n.Version > s.drain.order.Version {
		s.drain.order = n
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

// advanceDrain does what leaving asks for: it sends away what waits, exports
// the cached prefixes, and ends the process once nothing is in flight.
func (s *State) advanceDrain(now time.Time) []Effect {
	l := &s.drain
	if !s.draining(now) {
		l.begun = false
		return nil
	}
	var effects []Effect
	if !l.begun {
		l.begun, l.exported = true, false
		l.exportBy = now.Add(exportTimeout)
		s.timers.add(l.exportBy, token.Nonce{})
		effects = append(s.withdrawQueued(now, verdict.ReasonDraining, "the upstream is leaving"),
			Export{Sessions: s.recent.mostRecent()})
	}
	if l.stopping && !l.exited && s.mayExit(now) {
		l.exited = true
		effects = append(effects, Exit{})
	}
	return effects
}

// mayExit reports whether nothing would be cut: all answers have ended and
// gone out, or nobody has come for them within the grace.
func (s *State) mayExit(now time.Time) bool {
	if !now.Before(s.drain.stopBy) {
		return true
	}
	if !s.drain.exported && now.Before(s.drain.exportBy) {
		return false
	}
	for _, r := range s.requests {
		unclaimed := !r.delivered && now.Before(r.endedAt.Add(s.settings.DetachGrace))
		if r.phase != ended || r.readers > 0 || unclaimed {
			return false
		}
	}
	return true
}

// recentSessionSet remembers the recentSessionSet served last.
type recentSessionSet struct {
	seq     uint64
	lastUse map[uint64]uint64 // when, by session
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

// mostRecent returns the sessions, the mostRecent first.
func (s *recentSessionSet) mostRecent() []uint64 {
	all := s.byRecency()
	return all[:min(len(all), maxRecentSessions)]
}

func (s *recentSessionSet) byRecency() []uint64 {
	all := slices.Collect(maps.Keys(s.lastUse))
	slices.SortFunc(all, func(x, y uint64) int { return cmp.Compare(s.lastUse[y], s.lastUse[x]) })
	return all
}
