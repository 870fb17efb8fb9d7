package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against news that changes on its way, or does not keep to its size.
func TestObservedNewsArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := New("", 0), New("", 0)
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			var lost []RunningRequest
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				lost = append(lost, RunningRequest{
					Fingerprint: Fingerprint(rapid.Uint64Min(1).Draw(t, "fingerprint")), Started: epoch,
					Awaited: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "awaited")),
					Tried:   rapid.Bool().Draw(t, "tried"),
				})
			}
			from.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lost)
		}
		const budget = 200
		for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(200 * time.Millisecond) {
			m := from.GossipObserved(now, budget)
			if len(m) > budget {
				t.Fatalf("%d bytes, want at most %d", len(m), budget)
			}
			if err := to.MergeObserved(now, m); err != nil {
				t.Fatal(err)
			}
		}
		if to.size != from.size {
			t.Fatalf("%d of %d entries have arrived", to.size, from.size)
		}
		for p, entries := range from.byFingerprint {
			for _, e := range entries {
				i := slices.IndexFunc(to.byFingerprint[p], func(o *Entry) bool { return o.Crash == e.Crash })
				if i < 0 {
					t.Fatalf("%+v has not arrived", e)
				}
				got := to.byFingerprint[p][i]
				if got.Tried != e.Tried || got.Status != e.Status || !got.At.Equal(e.At) || waitBucket(got.RunTime) != waitBucket(e.RunTime) {
					t.Fatalf("sent %+v, arrived %+v", e, got)
				}
			}
		}
	})
}

// Guards against a decoder that panics on bytes of another release.
func TestStrangeObservedNewsAreRefused(t *testing.T) {
	table := New("", 0)
	for _, m := range []string{"[", "[]", "\x81\x01", "\x81\x83\x01\x02\x81\x01", "\x81\x83\x01\x02\x81\x83\x01\x19\xff\xff\x01"} {
		_ = table.MergeObserved(epoch, []byte(m))
	}
	if table.size > 0 {
		t.Errorf("%d entries", table.size)
	}
}

// Many requests that are never sent again are lost at crashes beside one that is lost at each. Guards
// against its news waiting behind theirs.
func TestNewsOfRepeatedCrashesGoFirst(t *testing.T) {
	from, to := New("", 0), New("", 0)
	next := Fingerprint(1000)
	now := epoch
	for i := range 4 {
		lost := []Fingerprint{7}
		for range maxSuspectsPerCrash - 1 {
			lost = append(lost, next)
			next++
		}
		from.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, lostNow(now, lost...))
		now = now.Add(500 * time.Millisecond)
		if err := to.MergeObserved(now, from.GossipObserved(now, 200)); err != nil {
			t.Fatal(err)
		}
	}
	if got := to.DecideObserved(now, 7); got.Action != Refuse {
		t.Errorf("%+v", got)
	}
}
