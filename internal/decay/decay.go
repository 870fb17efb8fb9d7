// Package decay implements counters with exponential decay: the weight of an event falls
// exponentially with its age. Counters are not updated as time passes. Instead, each new event
// has a larger weight than those before it, so the cost of counting does not depend on the number
// of counters.
//
// Package load uses it for the requests of callers, and package outlier for the outcomes at
// upstreams.
package decay

import (
	"math"
	"time"
)

// rebaseAfterTimeConstants is the number of spans after which a Clock rescales weights. Weights then
// reach e^4, well within the precision of a float64.
const rebaseAfterTimeConstants = 4

// Clock computes the weights of events.
type Clock struct {
	timeConstant time.Duration // time in which a weight falls to 1/e
	epoch        time.Time     // when an event had weight one
}

// NewClock returns a Clock whose weights fall to 1/e within span.
func NewClock(timeConstant time.Duration) Clock {
	return Clock{timeConstant: timeConstant}
}

// Weight returns the weight of an event at now.
func (c *Clock) Weight(now time.Time) float64 {
	return math.Exp(now.Sub(c.epoch).Seconds() / c.timeConstant.Seconds())
}

// Rebase returns whether all counters have to be rescaled, and by what weight they have to be
// divided. Afterwards an event at now has weight one.
func (c *Clock) Rebase(now time.Time) (weight float64, due bool) {
	if now.Sub(c.epoch) <= rebaseAfterTimeConstants*c.timeConstant {
		return 1, false
	}
	weight = c.Weight(now)
	c.epoch = now
	return weight, true
}
