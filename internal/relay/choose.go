package relay

import (
	"slices"
	"time"
)

// isFresh reports whether what p told last may still be relied on, with some patience
// more than usual.
func (s *State) isFresh(now time.Time, p *peer, grace time.Duration) bool {
	since := now.Sub(p.heartbeatAt)
	if p.heartbeatAt.IsZero() || since > s.timing.HeartbeatTimeout+grace {
		return false
	}
	if !p.unpulledSince.IsZero() && now.Sub(p.unpulledSince) > s.timing.PullTimeout+grace {
		return false // its messages arrive, and what is pulled from it does not
	}
	for _, k := range p.heartbeat.Progress {
		if k.Age < 0 || milliseconds(k.Age)+since > s.timing.MaxAge+grace {
			return false
		}
	}
	return true
}

// gracePeriod returns how much longer than the next in order this router relies on a
// parent. Those that rely on one of their failure domain wait for that one to find
// another, and of all others only the first takes the reader's place at once.
func (s *State) gracePeriod(now time.Time, candidates []*peer) time.Duration {
	staggers, ahead := 0, 0
	for _, p := range candidates {
		if !now.Before(p.suspectUntil) {
			ahead++
		}
	}
	if ahead > 1 {
		staggers++
	}
	if len(s.sorted) >= maxFlatRouters && ahead > 0 && candidates[0].router.Domain == s.self.Domain {
		staggers += 2
	}
	return time.Duration(staggers) * s.timing.Stagger
}

// isLagging reports whether this router's own reading of the store fails or has brought
// nothing for too long.
func (s *State) isLagging(now time.Time) bool {
	if s.storeFailing {
		return true
	}
	for _, k := range s.own {
		if k.Age < 0 || milliseconds(k.Age)+now.Sub(s.ownAsOf) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// chooseParent settles whom this router relies on, and whether it reads the store: it
// does unless it relies on one that is to read before it. A reader that the store does
// not answer is followed by those next in order, and by none whose own reading works.
// While its own reading lags, as when it alone is cut off from the store, a router
// relies on any that is fresh, and goes on trying.
func (s *State) chooseParent(now time.Time) []Effect {
	candidates := s.candidates(now)
	parent, reading := s.firstFresh(now, candidates), false
	if parent == nil && slices.Contains(candidates, s.parent) && s.isFresh(now, s.parent, s.gracePeriod(now, candidates)) {
		parent = s.parent
	}
	if parent != nil && parent.heartbeat.StoreFailing && (s.isImmediateSuccessor(now, candidates) || !s.isLagging(now)) {
		parent = nil
	}
	if parent == nil {
		reading = true
		if s.isLagging(now) {
			parent = s.firstFresh(now, s.sorted)
		}
	}
	var out []Effect
	if parent != s.parent {
		s.parent = parent
		effect := SetParent{}
		if parent != nil {
			effect.Parent = parent.router
		}
		out = append(out, effect)
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
		case !s.isFresh(now, p, 0) || slices.Contains(p.heartbeat.Path, s.self.Name):
		case !p.heartbeat.StoreFailing:
			return p
		case failing == nil:
			failing = p
		}
	}
	return failing
}

// isImmediateSuccessor reports whether this router is among those that are to read next.
func (s *State) isImmediateSuccessor(now time.Time, candidates []*peer) bool {
	ahead := 0
	for _, p := range candidates {
		if !now.Before(p.suspectUntil) && !(p.heartbeat.StoreFailing && s.isFresh(now, p, 0)) {
			ahead++
		}
	}
	return ahead < immediateSuccessors
}

// candidates returns the routers that are to read before this one, in order. In a
// large region it is the first of its failure domain that relies on those of
// others.
func (s *State) candidates(now time.Time) []*peer {
	if len(s.sorted) < maxFlatRouters {
		return s.rankedBefore(s.sorted)
	}
	var own, first []*peer
	seen := make(map[string]bool)
	for _, p := range s.sorted {
		if now.Before(p.suspectUntil) {
			continue
		}
		if p.router.Domain == s.self.Domain {
			own = append(own, p)
		}
		if !seen[p.router.Domain] {
			seen[p.router.Domain] = true
			first = append(first, p)
		}
	}
	if before := s.rankedBefore(own); len(before) > 0 {
		return before
	}
	return s.rankedBefore(first)
}

// rankedBefore returns those of sorted that are to read rankedBefore this router.
func (s *State) rankedBefore(sorted []*peer) []*peer {
	for i, p := range sorted {
		if s.rank.compare(p.rank) < 0 {
			return sorted[:i]
		}
	}
	return sorted
}
