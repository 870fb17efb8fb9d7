package load

import (
	"math"
	"testing"
	"time"
)

// One of two booking services becomes five times slower, and is well again later. The
// router knows the first after a few answers and forgets it when it sends nothing more
// there; a service that others use meanwhile is what it was.
func TestRelativeLatencyDetectsAndForgetsSlowUpstream(t *testing.T) {
	p, now := NewRelativeLatency(), time.Unix(1000, 0)
	const typical = 60 * time.Millisecond
	answer := func(vm VM, d time.Duration, n int) {
		for range n {
			now = now.Add(50 * time.Millisecond)
			p.RecordAnswer(now, vm, "login", d)
		}
	}
	answer(1, typical, 20)
	answer(2, typical, 20)
	answer(2, 5*typical, 4)
	if got := p.Factor(now, 2); got < 2.5 {
		t.Errorf("after four slow answers it counts as %.2f times slower", got)
	}
	if got := p.Factor(now, 1); math.Abs(got-1) > 0.2 {
		t.Errorf("the other counts as %.2f times slower", got)
	}
	now = now.Add(10 * time.Second)
	if got := p.Factor(now, 2); got > 1.2 {
		t.Errorf("10 s later it still counts as %.2f times slower", got)
	}
}

// Kinds of request take different times. An upstream that happens to get the long ones
// is no slower for that.
func TestRelativeLatencyComparesSameKind(t *testing.T) {
	p, now := NewRelativeLatency(), time.Unix(1000, 0)
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		p.RecordAnswer(now, 1, "short", 20*time.Millisecond)
		p.RecordAnswer(now, 2, "long", 2*time.Second)
	}
	if a, b := p.Factor(now, 1), p.Factor(now, 2); math.Abs(a-b) > 0.01 {
		t.Errorf("slowness %.2f and %.2f", a, b)
	}
}

// Answers that come at once, and a single one that takes very long, say little.
func TestRelativeLatencyBoundsSingleAnswer(t *testing.T) {
	p, now := NewRelativeLatency(), time.Unix(1000, 0)
	p.RecordAnswer(now, 1, "login", 0)
	p.RecordAnswer(now, 1, "login", time.Hour)
	if got := p.Factor(now, 1); got > 1+latencySmoothing*maxLatencyFactor {
		t.Errorf("slowness %.2f", got)
	}
	p.Keep(nil)
	if got := p.Factor(now, 1); got != 1 {
		t.Errorf("slowness %.2f of one that is forgotten", got)
	}
}

// A request that fails after its upstream hung for two seconds says that it is slow, one
// that fails at once that it costs a second attempt, neither that it is fast.
func TestRelativeLatencyCountsFailuresAsSlow(t *testing.T) {
	p, now := NewRelativeLatency(), time.Unix(1000, 0)
	p.RecordFailure(now, 3, "unknown", time.Second)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		p.RecordAnswer(now, 1, "login", 60*time.Millisecond)
		p.RecordFailure(now, 2, "login", time.Millisecond)
	}
	if got := p.Factor(now, 2); got < 1.5 || got > failureFactor {
		t.Errorf("one that fails at once counts as %.2f times slower", got)
	}
	p.RecordFailure(now, 2, "login", 2*time.Second)
	if got := p.Factor(now, 2); got < 3 {
		t.Errorf("one that hangs counts as %.2f times slower", got)
	}
	if got := p.Factor(now, 3); got != 1 {
		t.Errorf("one of whose kind nothing is known counts as %.2f times slower", got)
	}
}
