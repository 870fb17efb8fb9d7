package load

import (
	"math"
	"testing"
	"time"
)

// recordStream has an engine make events of a recordStream for a second, with a pause between them.
func recordStream(s *Speed, now time.Time, vm VM, interval time.Duration) {
	for at := time.Duration(0); at < time.Second; at += interval {
		s.RecordEvents(now.Add(at), vm, "chat", 1, interval)
	}
}

// Two of five engines come to work five times slower. Their loads do not tell: they hold as
// many requests as the others, and keep them five times as long. The pauses between the
// events of their streams do, within a second, also to a router that has sent them nothing.
func TestSlowEnginesAreDetectedByEventIntervals(t *testing.T) {
	members := vms(5)
	router, reader, other := NewSpeed(), NewSpeed(), NewSpeed()
	for _, vm := range members {
		recordStream(router, start, vm, 40*time.Millisecond)
		recordStream(other, start, vm, 40*time.Millisecond)
	}
	now := start.Add(time.Second)
	if err := reader.MergeReport(now, members, router.Report(members)); err != nil {
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
	if err := reader.MergeReport(now, members, router.Report(members)); err != nil {
		t.Fatal(err)
	}
	if err := other.MergeSummary(now, members, reader.Summary(now, members)); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Speed{router, other} {
		for i, vm := range members {
			if slowdown := s.Slowdown(now, vm); (slowdown > minSummarySlowdown) != (i < 2) {
				t.Errorf("engine %d is taken to be %.2f times slower", i, slowdown)
			}
		}
	}
	// It is forgotten when the engine works as before.
	for _, vm := range members {
		recordStream(router, now, vm, 40*time.Millisecond)
		recordStream(router, now.Add(time.Second), vm, 40*time.Millisecond)
	}
	if slowdown := router.Slowdown(now.Add(2*time.Second), members[0]); slowdown > minSummarySlowdown {
		t.Errorf("two seconds after the engine has recovered it is taken to be %.2f times slower", slowdown)
	}
}

// An engine with 16 places serves answers of a second each, so that behind 8 requests that
// wait another one waits for half a second. If prompts that have to be read make that
// longer, the waits themselves tell.
func TestEstimateUsesAnswersThenObservedWaits(t *testing.T) {
	s, now := NewSpeed(), start
	for range 50 {
		s.RecordAnswer(now, 1, "chat", time.Second)
		s.RecordFirstByte(now, 1, "chat", 80*time.Millisecond, 0)
	}
	if got, want := s.EstimateFirstByte(now, 1, "chat", 8, 16), 0.58; math.Abs(got-want) > 0.02 {
		t.Errorf("a first byte is expected after %.2f s, want %.2f", got, want)
	}
	for range 50 {
		s.RecordFirstByte(now, 1, "chat", 1080*time.Millisecond, 8)
	}
	if got, want := s.EstimateFirstByte(now, 1, "chat", 8, 16), 1.08; math.Abs(got-want) > 0.06 {
		t.Errorf("after waits of a second a first byte is expected after %.2f s, want %.2f", got, want)
	}
}

// Of what a router awaits most is of little urgency: an urgent request goes before it.
func TestUrgentRequestsHaveFewAhead(t *testing.T) {
	var mix UrgencyMix
	for range 9 {
		mix.AddWaiting(7)
	}
	mix.AddWaiting(0)
	if got := mix.FractionAhead(0); math.Abs(got-2.0/11) > 1e-9 {
		t.Errorf("%.3f of what waits goes before an urgent request", got)
	}
	if got := mix.FractionAhead(7); got != 1 {
		t.Errorf("%.3f goes before one of little urgency", got)
	}
	for range 9 {
		mix.RemoveWaiting(7)
	}
	if got := mix.FractionAhead(0); got != 1 {
		t.Errorf("%.3f goes before an urgent one when only urgent ones wait", got)
	}
}

// FuzzSpeeds feeds a Speed with what a router of any release may send.
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
				t.Fatalf("slowness %v", slowdown)
			}
		}
	})
}

// A router has just started, or has served no stream for an hour. What it is told of slow
// engines then must mean the same to it as to any other: weights that were worked out for
// another time would make of it a number that is none, and all that follows from it.
func TestIdleRoutersMergeSummaries(t *testing.T) {
	members := vms(2)
	reader := NewSpeed()
	recordStream(reader, start, members[1], 40*time.Millisecond)
	recordStream(reader, start.Add(time.Second), members[0], 400*time.Millisecond)
	now := start.Add(2 * time.Second)
	summary := reader.Summary(now, members)
	started, idle := NewSpeed(), NewSpeed()
	recordStream(idle, now.Add(-time.Hour), members[1], 40*time.Millisecond)
	for name, s := range map[string]*Speed{"started": started, "quiet": idle} {
		if err := s.MergeSummary(now, members, summary); err != nil {
			t.Fatal(err)
		}
		if got, want := s.Slowdown(now, members[0]), reader.Slowdown(now, members[0]); !(math.Abs(got-want) < 0.3) {
			t.Errorf("%s: the engine is taken to be %.2f times slower, want %.2f", name, got, want)
		}
	}
}
