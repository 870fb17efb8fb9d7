package retry

import "time"

// slotClock numbers time slots of equal length, starting with the first event. Time differences
// use the monotonic clock, because the wall clock may jump.
type slotClock struct {
	current int64     // number of the current slot
	since   time.Time // start of the first slot; zero: no event yet
}

// advance makes the slot at now the current one and returns how many slots it has moved on, limit
// at most. It never moves back.
func (s *slotClock) advance(now time.Time, length time.Duration, limit int64) (moved int64) {
	if s.since.IsZero() {
		s.since = now
	}
	slot := now.Sub(s.since).Nanoseconds() / int64(length)
	moved = min(max(slot-s.current, 0), limit)
	s.current = max(s.current, slot)
	return moved
}

// index returns the index of the slot in a ring of n that is ahead slots after the current one,
// or before it if ahead is negative.
func (s *slotClock) index(ahead int64, n int) int {
	return int(((s.current+ahead)%int64(n) + int64(n)) % int64(n))
}
