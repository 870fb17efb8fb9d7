package load

import (
	"math"
	"time"
)

const (
	// stayDecay is the time in which the weight of a request in the mean stay falls to 1/e.
	stayDecay = 2 * time.Second
	// priorStay is the mean stay while next to no request has ended.
	priorStay = time.Second
	// maxStayStep limits the time between two calls of advance that counts: before a longer
	// one, no request needed the mean.
	maxStayStep = time.Second
)

// stays estimates how long requests stay at upstreams, from the number in flight and the number
// that end. Unlike the durations of those that end, it does not lag behind when queues grow.
type stays struct {
	ended      int     // requests that have ended since advance
	inFlight   float64 // seconds that requests were in flight, newer ones with more weight
	endedTotal float64 // requests that have ended, newer ones with more weight
	advancedAt time.Time
}

// advance counts the time up to now, with a number of requests in flight, and the requests that
// have ended in that time.
func (s *stays) advance(now time.Time, inFlight int) {
	step := min(now.Sub(s.advancedAt), maxStayStep).Seconds()
	decay := math.Exp(-step / stayDecay.Seconds())
	s.inFlight = s.inFlight*decay + float64(inFlight)*step
	s.endedTotal = s.endedTotal*decay + float64(s.ended)
	s.ended, s.advancedAt = 0, now
}

// mean returns the mean time that a request stays.
func (s *stays) mean() time.Duration {
	seconds := (s.inFlight + priorStay.Seconds()) / (s.endedTotal + 1)
	return time.Duration(seconds * float64(time.Second))
}
