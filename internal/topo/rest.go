package topo

import (
	"sync"
	"time"
)

// backoffs is until when a store wants no calls of this process. Reading and writing have bounds
// of their own there, so that a store may want the one and not the other.
type backoffs struct {
	mu    sync.Mutex
	until [2]time.Time // of reads, and of writes
}

func backoffIndex(r request) int {
	if r.isWrite() {
		return 1
	}
	return 0
}

// extend takes in that the store wants no calls like r for a time.
func (s *backoffs) extend(r request, now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(d); until.After(s.until[backoffIndex(r)]) {
		s.until[backoffIndex(r)] = until
	}
}

// remaining returns for how much longer the store wants no calls like r.
func (s *backoffs) remaining(r request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until[backoffIndex(r)].Sub(now), 0)
}
