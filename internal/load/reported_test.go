package load

import (
	"testing"
	"time"
)

// Guards against showing operators a slowdown that has passed, and against keeping those of upstreams
// that are gone.
func TestReportedSlowdownExpires(t *testing.T) {
	r, now := NewReportedSlowdowns(), time.Unix(1000, 0)
	r.Record(now, 1, 2.5)
	r.Record(now, 2, 1)
	if got := r.Get(now.Add(reportedSlowdownTTL), 1); got != 2.5 {
		t.Errorf("slowdown %v within its lifetime, want 2.5", got)
	}
	if got := r.Get(now.Add(reportedSlowdownTTL+time.Millisecond), 1); got != 0 {
		t.Errorf("slowdown %v after its lifetime, want none", got)
	}
	r.Keep([]VM{2})
	if got := r.Get(now, 1); got != 0 {
		t.Errorf("slowdown %v of an upstream that is gone", got)
	}
	if got := r.Get(now, 2); got != 1 {
		t.Errorf("slowdown %v of a listed upstream, want 1", got)
	}
}
