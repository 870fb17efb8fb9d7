// Package decay computes the weights of events for counters with exponential decay, in which the
// weight of an event falls exponentially with its age. Counters are not updated as time passes.
// Instead, each new event has a larger weight than those before it, so the cost of counting does
// not depend on the number of counters.
//
// The counters are the caller's. A counter is the sum of the weights of its events, and its value
// at a given time is that sum divided by the weight of an event at that time.
//
// Package load uses it for requests, reported loads and the events of streams, and package outlier
// for the outcomes of requests.
package decay

import (
	"math"
	"time"
)

// rebaseAfterTimeConstants is the number of time constants after which Rebase is due. Weights have
// then grown to e^4, which costs sums of float64 no noticeable precision.
const rebaseAfterTimeConstants = 4

// Clock computes the weights of events. All counters that share a Clock must be rescaled together,
// as described at Rebase.
type Clock struct {
	timeConstant time.Duration // time in which a weight falls to 1/e
	epoch        time.Time     // when an event had weight one
}

// NewClock returns a Clock whose weights fall to 1/e within timeConstant, which must be positive.
func NewClock(timeConstant time.Duration) Clock {
	return Clock{timeConstant: timeConstant}
}

// Weight returns the weight of an event at now. Before counting an event, callers must call Rebase
// with the same time: on a new Clock, or long after the last Rebase, the weight is +Inf. Reading a
// counter needs no Rebase: its value is then zero.
func (c *Clock) Weight(now time.Time) float64 {
	return math.Exp(now.Sub(c.epoch).Seconds() / c.timeConstant.Seconds())
}

// Rebase limits the growth of weights. If due is true, an event at now has weight one from then on,
// and the caller must divide all its counters by the returned weight. Otherwise nothing changes.
func (c *Clock) Rebase(now time.Time) (weight float64, due bool) {
	if now.Sub(c.epoch) <= rebaseAfterTimeConstants*c.timeConstant {
		return 1, false
	}
	weight = c.Weight(now)
	c.epoch = now
	return weight, true
}
