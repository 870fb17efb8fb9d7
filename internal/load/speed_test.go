package load

import (
	"math"
	"testing"
	"time"
)

// recordStream records the events of a stream of an engine for one second.
func recordStream(s *Speed, now time.Time, vm VM, interval time.Duration) {
	for at := time.Duration(0); at < time.Second; at += interval {
		s.RecordEvents(now.Add(at), vm, "chat", 1, interval)
	}
}

// Two of five engines become five times slower. Their loads do not show it: they run as many
// requests as the others, and each takes five times as long. The intervals between stream events
// must show it within a second, also to a router that has sent no requests to these engines.
func TestSlowEnginesAreDetectedByEventIntervals(t *testing.T) {
	members := vms(5)
	router, parent, other := NewSpeed(), NewSpeed(), NewSpeed()
	for _, vm := range members {
		recordStream(router, start, vm, 40*time.Millisecond)
		recordStream(other, start, vm, 40*time.Millisecond)
	}
	now := start.Add(time.Second)
	if err := parent.MergeReport(now, members, router.Report(members)); err != nil {
		t.Fatal(err)
	}
	for i, vm := range members {
		interval := 40 * time.Millisecond
		if i < 2 {
			interval *= 5
		}
		recordStream(router, now, vm, interval)
	}
	now = now.Add(time.Second)
	if err := parent.MergeReport(now, members, router.Report(members)); err != nil {
		t.Fatal(err)
	}
	if err := other.MergeSummary(now, members, parent.Summary(now, members)); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Speed{router, other} {
		for i, vm := range members {
			if slowdown := s.Slowdown(now, vm); (slowdown > minSummarySlowdown) != (i < 2) {
				t.Errorf("engine %d has a slowdown of %.2f", i, slowdown)
			}
		}
	}
	// The slowdown must be forgotten once the engine runs normally again.
	for _, vm := range members {
		recordStream(router, now, vm, 40*time.Millisecond)
		recordStream(router, now.Add(time.Second), vm, 40*time.Millisecond)
	}
	if slowdown := router.Slowdown(now.Add(2*time.Second), members[0]); slowdown > minSummarySlowdown {
		t.Errorf("slowdown %.2f two seconds after the engine has recovered", slowdown)
	}
}

// An engine has 16 slots, and its answers take a second each, so a request with 8 requests ahead
// waits for half a second. If waits are longer, for example because prompts have to be read, the
// observed waits must correct the estimate.
func TestEstimateUsesAnswersThenObservedWaits(t *testing.T) {
	s, now := NewSpeed(), start
	for range 50 {
		s.RecordAnswer(now, 1, "chat", time.Second)
		s.RecordFirstByte(now, 1, "chat", 80*time.Millisecond, 0)
	}
	if got, want := s.EstimateFirstByte(now, 1, "chat", 8, 16), 0.58; math.Abs(got-want) > 0.02 {
		t.Errorf("first byte estimated after %.2f s, want %.2f", got, want)
	}
	for range 50 {
		s.RecordFirstByte(now, 1, "chat", 1080*time.Millisecond, 8)
	}
	if got, want := s.EstimateFirstByte(now, 1, "chat", 8, 16), 1.08; math.Abs(got-want) > 0.06 {
		t.Errorf("after waits of a second, first byte estimated after %.2f s, want %.2f", got, want)
	}
}

// Most requests that a router awaits are of low urgency. An urgent request must be estimated to
// overtake them.
func TestUrgentRequestsHaveFewAhead(t *testing.T) {
	var mix UrgencyMix
	for range 9 {
		mix.AddWaiting(7)
	}
	mix.AddWaiting(0)
	if got := mix.FractionAhead(0); math.Abs(got-2.0/11) > 1e-9 {
		t.Errorf("fraction %.3f ahead of an urgent request", got)
	}
	if got := mix.FractionAhead(7); got != 1 {
		t.Errorf("fraction %.3f ahead of a request of low urgency, want 1", got)
	}
	for range 9 {
		mix.RemoveWaiting(7)
	}
	if got := mix.FractionAhead(0); got != 1 {
		t.Errorf("fraction %.3f ahead of an urgent request when only urgent ones wait, want 1", got)
	}
}

// FuzzSpeeds merges arbitrary messages, as routers of any release may send them.
func FuzzSpeeds(f *testing.F) {
	members := vms(5)
	known := NewSpeed()
	recordStream(known, start, 3, 40*time.Millisecond)
	recordStream(known, start, 3, 400*time.Millisecond)
	f.Add(known.Summary(start, members))
	f.Add(known.Report(members))
	f.Add([]byte{0, 1, 0, 255, 0, 2, 255, 0})
	f.Add([]byte{9})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewSpeed()
		_ = s.MergeReport(start, members, b)
		_ = s.MergeSummary(start, members, b)
		for _, vm := range members {
			if slowdown := s.Slowdown(start, vm); !(slowdown > 0 && slowdown < 2*maxIntervalFactor) {
				t.Fatalf("slowdown %v", slowdown)
			}
		}
	})
}

// A router that has just started, or has served no stream for an hour, receives a summary of slow
// engines. Merging it without rebasing the weights first would turn the slowdown into NaN, and
// everything computed from it.
func TestIdleRoutersMergeSummaries(t *testing.T) {
	members := vms(2)
	parent := NewSpeed()
	recordStream(parent, start, members[1], 40*time.Millisecond)
	recordStream(parent, start.Add(time.Second), members[0], 400*time.Millisecond)
	now := start.Add(2 * time.Second)
	summary := parent.Summary(now, members)
	started, idle := NewSpeed(), NewSpeed()
	recordStream(idle, now.Add(-time.Hour), members[1], 40*time.Millisecond)
	for name, s := range map[string]*Speed{"started": started, "idle": idle} {
		if err := s.MergeSummary(now, members, summary); err != nil {
			t.Fatal(err)
		}
		if got, want := s.Slowdown(now, members[0]), parent.Slowdown(now, members[0]); !(math.Abs(got-want) < 0.3) {
			t.Errorf("%s: slowdown %.2f, want %.2f", name, got, want)
		}
	}
}
