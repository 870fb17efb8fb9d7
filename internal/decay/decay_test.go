package decay

import (
	"math"
	"testing"
	"time"
)

// Events occur ten times per second for a minute. The sum must stay that of an exponential
// window, regardless of when weights are rescaled.
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
