package relay

import (
	"slices"
	"time"
)

// isFresh reports whether this router may follow p according to p's last heartbeat.
// grace extends each of the time limits.
func (s *State) isFresh(now time.Time, p *peer, grace time.Duration) bool {
	since := now.Sub(p.heartbeatAt)
	if p.heartbeatAt.IsZero() || since > s.timing.HeartbeatTimeout+grace {
		return false
	}
	if !p.unpulledSince.IsZero() && now.Sub(p.unpulledSince) > s.timing.PullTimeout+grace {
		return false // heartbeats arrive, but pulls bring nothing
	}
	for _, progress := range p.heartbeat.Progress {
		if progress.Age < 0 || milliseconds(progress.Age)+since > s.timing.MaxAge+grace {
			return false
		}
	}
	return true
}

// gracePeriod returns by how much this router extends its time limits before it gives up
// its parent: zero to three Staggers. The next router in rank has no grace period, so it
// alone replaces the reader at once; the others wait for one Stagger. In a large region,
// a router that follows one of its own failure domain waits for two more, so that the
// router it follows can find another parent first.
func (s *State) gracePeriod(now time.Time, candidates []*peer) time.Duration {
	staggers, ahead := 0, s.liveCount(now, candidates)
	if ahead > 1 {
		staggers++
	}
	if len(s.sorted) >= maxFlatRouters && ahead > 0 && candidates[0].router.Domain == s.self.Domain {
		staggers += 2
	}
	return time.Duration(staggers) * s.timing.Stagger
}

// isLagging reports whether this router's own reading of the store fails or its state
// was not confirmed within MaxAge.
func (s *State) isLagging(now time.Time) bool {
	if s.storeFailing {
		return true
	}
	for _, progress := range s.own {
		if progress.Age < 0 || milliseconds(progress.Age)+now.Sub(s.ownAsOf) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// chooseParent sets the parent, and whether this router reads the store. It follows the
// first fresh candidate, or keeps its parent within the grace period, and otherwise
// reads the store. If the parent reports that the store does not answer it, this router
// also reads the store if it is an immediate successor or if its own state does not lag,
// and in the latter case no longer follows the parent. A router that reads the store and
// whose own state lags, for instance because it alone cannot reach the store, keeps
// trying and meanwhile follows any fresh router.
func (s *State) chooseParent(now time.Time) []Effect {
	candidates := s.candidates(now)
	parent, reading := s.firstFresh(now, candidates), false
	if parent == nil && slices.Contains(candidates, s.parent) && s.isFresh(now, s.parent, s.gracePeriod(now, candidates)) {
		parent = s.parent
	}
	if parent != nil && parent.heartbeat.StoreFailing && (s.isImmediateSuccessor(now, candidates) || !s.isLagging(now)) {
		parent = nil
	}
	if parent == nil && !s.awaitsParent(now, candidates) {
		reading = true
		if s.isLagging(now) {
			parent = s.firstFresh(now, s.sorted)
		}
	}
	var out []Effect
	if parent != s.parent {
		s.parent = parent
		s.updateConfirmed()
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

// candidatesAtOnce is how many routers, the first in rank, a router without a fresh parent asks at
// once, and of how many the loss delays the reading of the store at a start: each of these reads the
// store if those before it are gone, one StartWait/candidatesAtOnce after the other.
const candidatesAtOnce = 5

// awaitsParent reports whether this router has just started and another one may soon be
// followed: the register of routers was not read yet, or lists routers before this one.
// Without this wait, each of hundreds of routers that start together would list the whole
// store, and most of them would give the listing up a moment later.
func (s *State) awaitsParent(now time.Time, candidates []*peer) bool {
	if s.reading {
		return false
	}
	wait := s.timing.StartWait
	if s.registerRead {
		wait = wait * time.Duration(min(s.liveCount(now, candidates), candidatesAtOnce)) / candidatesAtOnce
	}
	return now.Sub(s.startedAt) < wait
}

// liveCount returns the number of candidates that are not suspect.
func (s *State) liveCount(now time.Time, candidates []*peer) int {
	n := 0
	for _, p := range candidates {
		if !now.Before(p.suspectUntil) {
			n++
		}
	}
	return n
}

// firstFresh returns the first of candidates that this router may follow, or nil. A
// candidate that gets no answer from the store is used only if there is no other.
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

// isImmediateSuccessor reports whether this router starts to read the store at once when
// the reader reports that the store does not answer it: fewer than immediateSuccessors
// of candidates are neither suspect nor report the same.
func (s *State) isImmediateSuccessor(now time.Time, candidates []*peer) bool {
	ahead := 0
	for _, p := range candidates {
		if !now.Before(p.suspectUntil) && !(p.heartbeat.StoreFailing && s.isFresh(now, p, 0)) {
			ahead++
		}
	}
	return ahead < immediateSuccessors
}

// candidates returns the routers that may read the store in preference to this one, by
// rank. In a large region, the first router of a failure domain chooses among the first
// routers of all failure domains, and every other router among those of its own.
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

// rankedBefore returns the part of sorted that ranks before this router.
func (s *State) rankedBefore(sorted []*peer) []*peer {
	for i, p := range sorted {
		if s.rank.compare(p.rank) < 0 {
			return sorted[:i]
		}
	}
	return sorted
}
