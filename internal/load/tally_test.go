package load

import (
	"math"
	"testing"
	"time"
)

// After a surge, twelve of eighteen upstreams are suspected and receive no requests, so they
// report no load. Their loads during the surge stayed in the mean, no upstream appeared to be
// over the bound, and sessions accumulated at the other six.
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
		t.Errorf("estimated mean %.1f 6 s after the surge", got)
	}
}

// An upstream that rarely receives requests rarely reports its load. Without newer reports, the
// mean of the old ones is the best estimate.
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

// After a surge, two thirds of the upstreams have worked off their queues and report their load
// ten times per second. The others receive no requests and report nothing. Three seconds later,
// their loads during the surge made up half of the mean, and of the bound derived from it.
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
		t.Errorf("estimated mean %.1f 3 s after the surge", got)
	}
}
