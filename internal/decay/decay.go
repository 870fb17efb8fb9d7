// Package decay counts with exponential decay: what has happened lately weighs more, and each
// event loses its weight exponentially. What is counted is not touched as time goes
// by; instead each new event weighs more than those before it, so that counting costs
// the same however many counts there are.
//
// Package load uses it for what callers ask for, package outlier for what upstreams
// answer.
package decay

import (
	"math"
	"time"
)

// rebaseAfterSpans is how many spans a Clock lets weights grow. They are e^4 then, far from
// where a float loses precision.
const rebaseAfterSpans = 4

// Clock gives weights.
type Clock struct {
	span  time.Duration // in which a weight falls to 1/e
	epoch time.Time     // when an event weighed one
}

// NewClock returns a Clock by which an event's weight falls to 1/e in span.
func NewClock(span time.Duration) Clock {
	return Clock{span: span}
}

// Weight returns what an event at now weighs.
func (c *Clock) Weight(now time.Time) float64 {
	return math.Exp(now.Sub(c.epoch).Seconds() / c.span.Seconds())
}

// Rebase returns by what all that was counted is to be divided first, and whether that
// is due. From then on an event at now weighs one.
func (c *Clock) Rebase(now time.Time) (weight float64, due bool) {
	if now.Sub(c.epoch) <= rebaseAfterSpans*c.span {
		return 1, false
	}
	weight = c.Weight(now)
	c.epoch = now
	return weight, true
}
