package load

import (
	"math"
	"testing"
	"time"
)

// One of two upstreams becomes five times slower. The router detects it after a few answers and
// forgets it when it sends no more requests there. The factor of the other upstream does not
// change.
func TestRelativeLatencyDetectsAndForgetsSlowUpstream(t *testing.T) {
	r, now := NewRelativeLatency(), time.Unix(1000, 0)
	const typical = 60 * time.Millisecond
	answer := func(vm VM, d time.Duration, n int) {
		for range n {
			now = now.Add(50 * time.Millisecond)
			r.RecordAnswer(now, vm, "login", d)
		}
	}
	answer(1, typical, 20)
	answer(2, typical, 20)
	answer(2, 5*typical, 4)
	if got := r.Factor(now, 2); got < 2.5 {
		t.Errorf("factor %.2f after four slow answers, want 2.5 at least", got)
	}
	if got := r.Factor(now, 1); math.Abs(got-1) > 0.2 {
		t.Errorf("factor %.2f of the other upstream, want about 1", got)
	}
	now = now.Add(10 * time.Second)
	if got := r.Factor(now, 2); got > 1.2 {
		t.Errorf("factor %.2f of the slow upstream 10 s later, want 1.2 at most", got)
	}
}

// Guards against an upstream that counts as slow because it gets requests of a kind that takes
// longer.
func TestRelativeLatencyComparesSameKind(t *testing.T) {
	r, now := NewRelativeLatency(), time.Unix(1000, 0)
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		r.RecordAnswer(now, 1, "short", 20*time.Millisecond)
		r.RecordAnswer(now, 2, "long", 2*time.Second)
	}
	if a, b := r.Factor(now, 1), r.Factor(now, 2); math.Abs(a-b) > 0.01 {
		t.Errorf("factors %.2f and %.2f, want them equal", a, b)
	}
}

// A zero latency and a single very long one must not dominate the average.
func TestRelativeLatencyBoundsSingleAnswer(t *testing.T) {
	r, now := NewRelativeLatency(), time.Unix(1000, 0)
	r.RecordAnswer(now, 1, "login", 0)
	r.RecordAnswer(now, 1, "login", time.Hour)
	if got := r.Factor(now, 1); got > 1+latencySmoothing*maxLatencyFactor {
		t.Errorf("factor %.2f after a single very long answer", got)
	}
	r.Keep(nil)
	if got := r.Factor(now, 1); got != 1 {
		t.Errorf("factor %.2f of a forgotten upstream, want 1", got)
	}
}

// A request that fails after its upstream hung for two seconds shows that the upstream is slow. A
// request that fails immediately costs a second attempt. Neither must count as a fast answer.
func TestRelativeLatencyCountsFailuresAsSlow(t *testing.T) {
	r, now := NewRelativeLatency(), time.Unix(1000, 0)
	r.RecordFailure(now, 3, "unknown", time.Second)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		r.RecordAnswer(now, 1, "login", 60*time.Millisecond)
		r.RecordFailure(now, 2, "login", time.Millisecond)
	}
	if got := r.Factor(now, 2); got < 1.5 || got > failureFactor {
		t.Errorf("factor %.2f of an upstream that fails immediately", got)
	}
	r.RecordFailure(now, 2, "login", 2*time.Second)
	if got := r.Factor(now, 2); got < 3 {
		t.Errorf("factor %.2f of an upstream that hangs, want 3 at least", got)
	}
	if got := r.Factor(now, 3); got != 1 {
		t.Errorf("factor %.2f of an upstream without answers of that kind, want 1", got)
	}
}
