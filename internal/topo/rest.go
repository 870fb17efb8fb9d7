package topo

import (
	"sync"
	"time"
)

// rests is until when a store wants no calls of this process. Reading and writing have bounds
// of their own there, so that a store may want the one and not the other.
type rests struct {
	mu    sync.Mutex
	until [2]time.Time // of reads, and of writes
}

func restOf(r request) int {
	if r.writes() {
		return 1
	}
	return 0
}

// asked takes in that the store wants no calls like r for a time.
func (s *rests) asked(r request, now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(d); until.After(s.until[restOf(r)]) {
		s.until[restOf(r)] = until
	}
}

// left returns for how much longer the store wants no calls like r.
func (s *rests) left(r request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until[restOf(r)].Sub(now), 0)
}
