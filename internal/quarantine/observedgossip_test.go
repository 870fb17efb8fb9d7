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
				if got.Tried != e.Tried || got.Status != e.Status || !got.At.Equal(e.At) || waitBucket(got.Elapsed) != waitBucket(e.Elapsed) {
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

// Many crashes of refused requests are told again and again. Guards against a first entry that never has its turn:
// each router would need crashes of its own to know a request.
func TestNewEntriesAreToldBeforeRepeats(t *testing.T) {
	const refused, crashes = 8, 10
	leaf, root := New("", 0), New("", 0)
	now := epoch
	tell := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(100 * time.Millisecond) {
			if err := root.MergeObserved(now, leaf.GossipObserved(now, 200)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range refused * crashes {
		leaf.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, lostNow(now, Fingerprint(1+i%refused)))
	}
	tell(20 * time.Second)
	leaf.RecordObservedCrash(now, "upstream-new", now, lostNow(now, 100))
	tell(time.Second)
	if root.observedCrashes(now, 100) == 0 {
		t.Error("an entry has not been told a second after its crash")
	}
}

// An upstream ends each 700 ms under requests of which one has a bad part, each time at another router, and with
// it many that had begun. Guards against news of the part that waits for seconds at the router which all news of a
// region goes through.
func TestNewsOfPartsPassesThoseOfOthers(t *testing.T) {
	const begun, notBegun = 40, 3
	root, leaf := New("", 0), New("", 0)
	next := uint64(1000)
	lose := func(now time.Time, upstream string, parts ...Fingerprint) {
		next++
		root.RecordObservedCrash(now, upstream, now, lostWith(now, Fingerprint(next), parts...))
	}
	now := epoch
	for i := range 12 {
		upstream := fmt.Sprint("upstream-", i)
		for range begun {
			lose(now, upstream)
		}
		for j := range notBegun {
			parts := []Fingerprint{PartFingerprint(next + 1), PartFingerprint(next + 2)}
			if j == notBegun-1 {
				parts[0] = badPart
			}
			lose(now, upstream, parts...)
		}
		for until := now.Add(700 * time.Millisecond); now.Before(until); now = now.Add(200 * time.Millisecond) {
			if err := leaf.MergeObserved(now, root.GossipObserved(now, 200)); err != nil {
				t.Fatal(err)
			}
		}
		if i >= 3 {
			if got := leaf.DecideObserved(now, 7, badPart); got.Action == Allow {
				t.Fatalf("%d crashes, and %v after the third one: %+v", i+1, now.Sub(epoch)-3*700*time.Millisecond, got)
			}
		}
	}
}

// Guards against a router that goes on suspecting what another one has cleared while it was not heard.
func TestClearedEntriesAreToldToWhoSuspectsThem(t *testing.T) {
	cleared, suspecting := New("", 0), crashedUnderParts(3, popular)
	tell(t, epoch, suspecting, cleared, 200)
	cleared.RecordPartsServed(epoch, []Fingerprint{popular})
	now := epoch
	for ; now.Before(epoch.Add(gossipPeriod + 5*time.Second)); now = now.Add(200 * time.Millisecond) {
		cleared.GossipObserved(now, 200) // nobody hears it
		cleared.GossipRestrictions(now, 200)
	}
	for until := now.Add(5 * time.Second); now.Before(until); now = now.Add(200 * time.Millisecond) {
		tell(t, now, suspecting, cleared, 200)
		tell(t, now, cleared, suspecting, 200)
	}
	if got := suspecting.DecideObserved(now, 7, popular); got.Action != Allow {
		t.Errorf("%+v", got)
	}
}
