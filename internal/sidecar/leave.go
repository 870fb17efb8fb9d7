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
	// listedFor is how long word from the list of VMs holds. The list has no
	// versions, so an old reading cannot be told from a new one; routers repeat
	// the word while the list says so, and it lapses when they no longer do.
	listedFor = 2 * time.Minute
	// exportWithin bounds the export of cached prefixes.
	exportWithin = 20 * time.Second
	// recentSessions is how many sessions' prefixes are exported at most: twice
	// an upstream's share of 6.3 million chats over 2,900 upstreams.
	recentSessions = 4096
)

// leave is what is known of the upstream's leaving.
type leave struct {
	order    wire.Notice // the latest of those with a version
	listed   time.Time   // until when word from the list holds
	left     bool        // new work is refused
	exported bool
	patience time.Time // until when the export is waited for
	stopping bool
	stopBy   time.Time
	exited   bool
}

func (s *State) leaving(now time.Time) bool {
	return s.leave.stopping || s.emptying.on || s.leave.order.Leaving || now.Before(s.leave.listed)
}

// noticed takes a notice. Operators' orders have versions, by which an order
// that was overtaken is told; whatever arrives last must not win.
func (s *State) noticed(e Noticed) []Effect {
	s.order(e.Notice)
	if e.Notice.Version == 0 && e.Notice.Leaving {
		s.leave.listed = e.Now.Add(listedFor)
		s.timers.add(s.leave.listed, token.Nonce{})
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

func (s *State) order(n wire.Notice) {
	if n.Version > s.leave.order.Version {
		s.leave.order = n
	}
}

func (s *State) stop(now time.Time) {
	if s.leave.stopping {
		return
	}
	s.leave.stopping = true
	s.leave.stopBy = now.Add(s.settings.StopTimeout)
	s.timers.add(s.leave.stopBy, token.Nonce{})
}

// reviewLeave does what leaving asks for: it sends away what waits, exports
// the cached prefixes, and ends the process once nothing is in flight.
func (s *State) reviewLeave(now time.Time) []Effect {
	l := &s.leave
	if !s.leaving(now) {
		l.left = false
		return nil
	}
	var effects []Effect
	if !l.left {
		l.left, l.exported = true, false
		l.patience = now.Add(exportWithin)
		s.timers.add(l.patience, token.Nonce{})
		effects = append(s.evacuate(now, verdict.ReasonDraining, "the upstream is leaving"),
			Export{Sessions: s.recent.latest()})
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
	if !now.Before(s.leave.stopBy) {
		return true
	}
	if !s.leave.exported && now.Before(s.leave.patience) {
		return false
	}
	for _, r := range s.requests {
		awaited := !r.delivered && now.Before(r.closed.Add(s.settings.DetachGrace))
		if r.phase != ended || r.readers > 0 || awaited {
			return false
		}
	}
	return true
}

// sessions remembers the sessions served last.
type sessions struct {
	seq  uint64
	used map[uint64]uint64 // when, by session
}

func (s *sessions) touch(session uint64) {
	if session == 0 {
		return
	}
	if s.used == nil {
		s.used = make(map[uint64]uint64)
	}
	s.seq++
	s.used[session] = s.seq
	if len(s.used) >= 2*recentSessions {
		s.trim()
	}
}

func (s *sessions) trim() {
	for _, session := range s.ordered()[recentSessions:] {
		delete(s.used, session)
	}
}

// latest returns the sessions, the latest first.
func (s *sessions) latest() []uint64 {
	all := s.ordered()
	return all[:min(len(all), recentSessions)]
}

func (s *sessions) ordered() []uint64 {
	all := slices.Collect(maps.Keys(s.used))
	slices.SortFunc(all, func(x, y uint64) int { return cmp.Compare(s.used[y], s.used[x]) })
	return all
}
