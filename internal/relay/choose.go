package relay

import (
	"slices"
	"time"
)

// fresh reports whether what p told last may still be relied on, with some patience
// more than usual.
func (s *State) fresh(now time.Time, p *peer, patience time.Duration) bool {
	since := now.Sub(p.beatAt)
	if p.beatAt.IsZero() || since > s.timing.HeartbeatTimeout+patience {
		return false
	}
	if !p.behind.IsZero() && now.Sub(p.behind) > s.timing.PullTimeout+patience {
		return false // its messages arrive, and what is pulled from it does not
	}
	for _, k := range p.beat.Progress {
		if k.Age < 0 || milliseconds(k.Age)+since > s.timing.MaxAge+patience {
			return false
		}
	}
	return true
}

// patience returns how much longer than the next in order this router relies on a
// parent. Those that rely on one of their failure domain wait for that one to find
// another, and of all others only the first takes the reader's place at once.
func (s *State) patience(now time.Time, candidates []*peer) time.Duration {
	classes, ahead := 0, 0
	for _, p := range candidates {
		if !now.Before(p.suspect) {
			ahead++
		}
	}
	if ahead > 1 {
		classes++
	}
	if len(s.sorted) >= flatMost && ahead > 0 && candidates[0].node.Domain == s.self.Domain {
		classes += 2
	}
	return time.Duration(classes) * s.timing.Stagger
}

// lagging reports whether this router's own reading of the store fails or has brought
// nothing for too long.
func (s *State) lagging(now time.Time) bool {
	if s.failing {
		return true
	}
	for _, k := range s.own {
		if k.Age < 0 || milliseconds(k.Age)+now.Sub(s.ownAt) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// choose settles whom this router relies on, and whether it reads the store: it
// does unless it relies on one that is to read before it. A reader that the store does
// not answer is followed by those next in order, and by none whose own reading works.
// While its own reading lags, as when it alone is cut off from the store, a router
// relies on any that is fresh, and goes on trying.
func (s *State) choose(now time.Time) []Effect {
	candidates := s.candidates(now)
	parent, reading := s.firstFresh(now, candidates), false
	if parent == nil && slices.Contains(candidates, s.parent) && s.fresh(now, s.parent, s.patience(now, candidates)) {
		parent = s.parent
	}
	if parent != nil && parent.beat.StoreFailing && (s.eager(now, candidates) || !s.lagging(now)) {
		parent = nil
	}
	if parent == nil {
		reading = true
		if s.lagging(now) {
			parent = s.firstFresh(now, s.sorted)
		}
	}
	var out []Effect
	if parent != s.parent {
		s.parent = parent
		rely := SetParent{}
		if parent != nil {
			rely.Parent = parent.node
		}
		out = append(out, rely)
	}
	if reading != s.reading {
		s.reading = reading
		out = append(out, SwitchStoreReading{On: reading})
	}
	return out
}

// firstFresh returns the first of candidates that this router may rely on. One that
// the store does not answer comes after all others.
func (s *State) firstFresh(now time.Time, candidates []*peer) *peer {
	var failing *peer
	for _, p := range candidates {
		switch {
		case !s.fresh(now, p, 0) || slices.Contains(p.beat.Path, s.self.Name):
		case !p.beat.StoreFailing:
			return p
		case failing == nil:
			failing = p
		}
	}
	return failing
}

// eager reports whether this router is among those that are to read next.
func (s *State) eager(now time.Time, candidates []*peer) bool {
	ahead := 0
	for _, p := range candidates {
		if !now.Before(p.suspect) && !(p.beat.StoreFailing && s.fresh(now, p, 0)) {
			ahead++
		}
	}
	return ahead < eager
}

// candidates returns the routers that are to read before this one, in order. In a
// large region it is the first of its failure domain that relies on those of
// others.
func (s *State) candidates(now time.Time) []*peer {
	if len(s.sorted) < flatMost {
		return s.before(s.sorted)
	}
	var own, first []*peer
	seen := make(map[string]bool)
	for _, p := range s.sorted {
		if now.Before(p.suspect) {
			continue
		}
		if p.node.Domain == s.self.Domain {
			own = append(own, p)
		}
		if !seen[p.node.Domain] {
			seen[p.node.Domain] = true
			first = append(first, p)
		}
	}
	if before := s.before(own); len(before) > 0 {
		return before
	}
	return s.before(first)
}

// before returns those of sorted that are to read before this router.
func (s *State) before(sorted []*peer) []*peer {
	for i, p := range sorted {
		if s.order.compare(p.order) < 0 {
			return sorted[:i]
		}
	}
	return sorted
}
