package decay

import (
	"math"
	"testing"
	"time"
)

// Guards against a counter that jumps when weights are rescaled, or drifts. Events occur ten times
// per second for a minute; the sum must stay the limit of the geometric series of their weights.
func TestSumIsThatOfExponentialWindow(t *testing.T) {
	const timeConstant, gap = 2 * time.Second, 100 * time.Millisecond
	c := NewClock(timeConstant)
	now, sum := time.Unix(1_000_000, 0), 0.0
	want := 1 / (1 - math.Exp(-gap.Seconds()/timeConstant.Seconds()))
	for i := range 600 {
		now = now.Add(gap)
		if weight, due := c.Rebase(now); due {
			sum /= weight
		}
		sum += c.Weight(now)
		if got := sum / c.Weight(now); i > 300 && math.Abs(got-want) > 1e-4 {
			t.Fatalf("event %d: the sum is %v, want %v", i, got, want)
		}
	}
}
