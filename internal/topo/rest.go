package topo

import (
	"sync"
	"time"
)

// backoffs holds until when the store has asked this process for no calls. Stores limit
// reads and writes separately, so a store may ask for no calls of one of the two only.
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

// extend records that the store asked for no calls like r for a time. It never shortens
// a backoff.
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

// remaining returns how long no calls like r may be made, or zero if they may.
func (s *backoffs) remaining(r request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until[backoffIndex(r)].Sub(now), 0)
}
