package load

import (
	"math"
	"testing"
	"time"
)

// stream has an engine make events of a stream for a second, with a pause between them.
func stream(s *Speed, now time.Time, vm VM, pause time.Duration) {
	for at := time.Duration(0); at < time.Second; at += pause {
		s.RecordEvents(now.Add(at), vm, "chat", 1, pause)
	}
}

// Two of five engines come to work five times slower. Their loads do not tell: they hold as
// many requests as the others, and keep them five times as long. The pauses between the
// events of their streams do, within a second, also to a router that has sent them nothing.
func TestSlowEnginesAreKnownByTheirPauses(t *testing.T) {
	members := vms(5)
	router, reader, other := NewSpeed(), NewSpeed(), NewSpeed()
	for _, vm := range members {
		stream(router, start, vm, 40*time.Millisecond)
		stream(other, start, vm, 40*time.Millisecond)
	}
	now := start.Add(time.Second)
	if err := reader.MergeReport(now, members, router.Report(members)); err != nil {
		t.Fatal(err)
	}
	for i, vm := range members {
		pause := 40 * time.Millisecond
		if i < 2 {
			pause *= 5
		}
		stream(router, now, vm, pause)
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
			if slow := s.Slowdown(now, vm); (slow > slowTold) != (i < 2) {
				t.Errorf("engine %d is taken to be %.2f times slower", i, slow)
			}
		}
	}
	// It is forgotten when the engine works as before.
	for _, vm := range members {
		stream(router, now, vm, 40*time.Millisecond)
		stream(router, now.Add(time.Second), vm, 40*time.Millisecond)
	}
	if slow := router.Slowdown(now.Add(2*time.Second), members[0]); slow > slowTold {
		t.Errorf("two seconds after the engine has recovered it is taken to be %.2f times slower", slow)
	}
}

// An engine with 16 places serves answers of a second each, so that behind 8 requests that
// wait another one waits for half a second. If prompts that have to be read make that
// longer, the waits themselves tell.
func TestWaitsAreExpectedFromAnswersAndThenFromWaits(t *testing.T) {
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
func TestUrgentRequestsWaitBehindFew(t *testing.T) {
	var m UrgencyMix
	for range 9 {
		m.AddWaiting(7)
	}
	m.AddWaiting(0)
	if got := m.FractionAhead(0); math.Abs(got-2.0/11) > 1e-9 {
		t.Errorf("%.3f of what waits goes before an urgent request", got)
	}
	if got := m.FractionAhead(7); got != 1 {
		t.Errorf("%.3f goes before one of little urgency", got)
	}
	for range 9 {
		m.RemoveWaiting(7)
	}
	if got := m.FractionAhead(0); got != 1 {
		t.Errorf("%.3f goes before an urgent one when only urgent ones wait", got)
	}
}

// FuzzSpeeds feeds a Speed with what a router of any release may send.
func FuzzSpeeds(f *testing.F) {
	members := vms(5)
	known := NewSpeed()
	stream(known, start, 3, 40*time.Millisecond)
	stream(known, start, 3, 400*time.Millisecond)
	f.Add(known.Summary(start, members))
	f.Add(known.Report(members))
	f.Add([]byte{0, 1, 0, 255, 0, 2, 255, 0})
	f.Add([]byte{9})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewSpeed()
		_ = s.MergeReport(start, members, b)
		_ = s.MergeSummary(start, members, b)
		for _, vm := range members {
			if slow := s.Slowdown(start, vm); !(slow > 0 && slow < 2*speedMost) {
				t.Fatalf("slowness %v", slow)
			}
		}
	})
}

// A router has just started, or has served no stream for an hour. What it is told of slow
// engines then must mean the same to it as to any other: weights that were worked out for
// another time would make of it a number that is none, and all that follows from it.
func TestQuietRoutersTakeInWhatTheyAreTold(t *testing.T) {
	members := vms(2)
	reader := NewSpeed()
	stream(reader, start, members[1], 40*time.Millisecond)
	stream(reader, start.Add(time.Second), members[0], 400*time.Millisecond)
	now := start.Add(2 * time.Second)
	told := reader.Summary(now, members)
	started, quiet := NewSpeed(), NewSpeed()
	stream(quiet, now.Add(-time.Hour), members[1], 40*time.Millisecond)
	for name, s := range map[string]*Speed{"started": started, "quiet": quiet} {
		if err := s.MergeSummary(now, members, told); err != nil {
			t.Fatal(err)
		}
		if got, want := s.Slowdown(now, members[0]), reader.Slowdown(now, members[0]); !(math.Abs(got-want) < 0.3) {
			t.Errorf("%s: the engine is taken to be %.2f times slower, want %.2f", name, got, want)
		}
	}
}
