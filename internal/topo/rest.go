package topo

import (
	"sync"
	"time"
)

// backoffs holds the ends of the backoffs that the store has requested of this process.
// Stores limit the rates of reads and writes separately, so each has its own backoff.
type backoffs struct {
	mu    sync.Mutex
	until [2]time.Time // of reads and of writes, by backoffIndex
}

func backoffIndex(r request) int {
	if r.isWrite() {
		return 1
	}
	return 0
}

// extend starts a backoff of duration d from now for reads or writes, whichever r is. It
// never shortens a backoff.
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

// remaining returns the rest of the backoff that applies to r, or zero if there is none.
func (s *backoffs) remaining(r request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until[backoffIndex(r)].Sub(now), 0)
}
