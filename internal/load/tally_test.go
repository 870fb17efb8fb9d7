package load

import (
	"math"
	"testing"
	"time"
)

// A surge leaves twelve of eighteen upstreams suspected: they get nothing, and so tell
// nothing any more. The loads that they told in the surge stayed in the mean for as long,
// no upstream seemed to be over the bound, and sessions piled up at the other six.
func TestMeanForgetsLoadsNoLongerReported(t *testing.T) {
	loads, now := NewPoolLoad(), time.Unix(1000, 0)
	for vm := range VM(18) {
		loads.Observe(now, vm, 100)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		for vm := range VM(6) {
			loads.Observe(now, vm, 10)
		}
	}
	if got := loads.Mean(18, 0); got > 25 {
		t.Errorf("6 s after the surge the mean is believed to be %.1f", got)
	}
}

// An upstream that is asked once in a while tells its load as seldom. With nothing newer,
// that is what is known.
func TestMeanOfOldLoadsIsTheirMean(t *testing.T) {
	loads, now := NewPoolLoad(), time.Unix(1000, 0)
	for vm := range VM(4) {
		loads.Observe(now, vm, 10)
	}
	loads.Observe(now.Add(time.Minute), 9, 4)
	loads.Keep([]VM{0, 1, 2, 3})
	if got := loads.Mean(4, 0); math.Abs(got-10) > 0.01 {
		t.Errorf("mean %.3f, want 10", got)
	}
}

// A surge is over. Two thirds of the upstreams have worked off what waited there and tell
// so ten times a second; the others are asked nothing, and so tell nothing. Three seconds
// later what they told in the surge made up half of the mean, and with it of the bound.
func TestMeanFollowsReportingUpstreams(t *testing.T) {
	loads, now := NewPoolLoad(), time.Unix(1000, 0)
	for vm := range VM(46) {
		loads.Observe(now, vm, 150)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for vm := range VM(31) {
			loads.Observe(now, vm, 10)
		}
	}
	if got := loads.Mean(46, 0); got > 12 {
		t.Errorf("3 s after the surge the mean is believed to be %.1f", got)
	}
}
