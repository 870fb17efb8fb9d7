package retry

import "time"

// slotClock numbers moments of equal length, from the first event on. Differences of times
// are taken on the monotonic clock: the time of day may jump.
type slotClock struct {
	current int64     // number of the present one
	since   time.Time // when the first one began; zero: no event yet
}

// advance makes the slot of now the present one, and returns by how many it has moved on,
// at most some. Time does not go back.
func (s *slotClock) advance(now time.Time, length time.Duration, limit int64) (moved int64) {
	if s.since.IsZero() {
		s.since = now
	}
	slot := now.Sub(s.since).Nanoseconds() / int64(length)
	moved = min(max(slot-s.current, 0), limit)
	s.current = max(s.current, slot)
	return moved
}

// index returns where in a ring of n the slot lies that is ahead of the present one, or
// behind it where ahead is negative.
func (s *slotClock) index(ahead int64, n int) int {
	return int(((s.current+ahead)%int64(n) + int64(n)) % int64(n))
}
