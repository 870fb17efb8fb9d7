package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var (
	badPart, companion, popular = PartFingerprint(1), PartFingerprint(2), PartFingerprint(3)
)

// lostWith returns a request with content and parts that was sent a moment before it was lost.
func lostWith(now time.Time, content Fingerprint, parts ...Fingerprint) []RunningRequest {
	return []RunningRequest{{Fingerprint: content, Parts: parts, Started: now.Add(-time.Millisecond)}}
}

// crashedUnderParts returns a Table in which so many upstreams have crashed under requests with these parts, no two
// alike.
func crashedUnderParts(crashes int, parts ...Fingerprint) *Table {
	table := New("", 0)
	for i := range crashes {
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostWith(epoch, Fingerprint(100+i), parts...))
	}
	return table
}

// failTrial records a crash at which a request with these parts was tried.
func failTrial(table *Table, now time.Time, parts ...Fingerprint) {
	lost := lostWith(now, Fingerprint(now.UnixNano()), parts...)
	lost[0].Tried = true
	table.RecordObservedCrash(now, fmt.Sprint("trial at ", now), now, lost)
}

// Guards against refusing all requests with a part before one of them was tried alone, and against sending them on
// after it has failed.
func TestPartIsRefusedAfterAFailedTrial(t *testing.T) {
	for crashes, want := range []Action{Allow, Allow, Allow, Try, Try, Try} {
		if got := crashedUnderParts(crashes, badPart).DecideObserved(epoch, 7, badPart); got.Action != want {
			t.Errorf("after %d crashes: %+v", crashes, got)
		}
	}
	table := crashedUnderParts(3, badPart)
	failTrial(table, epoch, badPart)
	got := table.DecideObserved(epoch, 7, popular, badPart)
	if got.Action != Refuse || got.Fingerprint != badPart || !got.Until.Equal(epoch.Add(firstTrialPause)) {
		t.Errorf("after a failed trial: %+v", got)
	}
	if other := table.DecideObserved(epoch, 7, popular); other.Action != Allow {
		t.Errorf("a request without the part: %+v", other)
	}
}

// The upstreams are replaced by such that bear the part. Guards against refusing it for good, and against
// trials without end while they are not.
func TestRefusedPartIsTriedAgainNowAndThen(t *testing.T) {
	table := crashedUnderParts(3, badPart)
	now, trials := epoch, 0
	for now.Before(epoch.Add(time.Hour)) {
		table.Expire(now)
		if table.DecideObserved(now, 7, badPart).Action == Try {
			trials++
			failTrial(table, now, badPart)
		}
		now = now.Add(time.Second)
	}
	if trials < 4 || trials > 8 {
		t.Errorf("%d trials in an hour", trials)
	}
	now = now.Add(maxTrialPause)
	if got := table.DecideObserved(now, 7, badPart); got.Action != Try && got.Action != Allow {
		t.Errorf("after an hour: %+v", got)
	}
	table.RecordPartsServed(now, []Fingerprint{badPart})
	if got := table.DecideObserved(now, 7, badPart); got.Action != Allow {
		t.Errorf("served: %+v", got)
	}
}

// Guards against suspecting parts that are served all the time, before the crash, after it, or at other routers.
func TestServedPartsAreNoSuspects(t *testing.T) {
	for name, serve := range map[string]func(table *Table){
		"before": func(table *Table) { table.RecordPartsServed(epoch.Add(-servedBefore/2), []Fingerprint{popular}) },
		"after":  nil,
	} {
		table := New("", 0)
		for i := range 5 {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			if serve != nil {
				serve(table)
			}
			table.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, lostWith(now, Fingerprint(100+i), popular, badPart))
			if serve == nil {
				table.RecordPartsServed(now.Add(time.Millisecond), []Fingerprint{popular})
			}
		}
		if got := table.DecideObserved(epoch.Add(time.Second), 7, popular); got.Action != Allow {
			t.Errorf("%s: %+v", name, got)
		}
		if got := table.DecideObserved(epoch.Add(time.Second), 7, badPart); got.Action != Try {
			t.Errorf("%s, the part that is never served: %+v", name, got)
		}
	}
	serving, other := New("", 0), crashedUnderParts(4, popular)
	serving.RecordPartsServed(epoch, []Fingerprint{popular})
	for now := epoch; now.Before(epoch.Add(2 * time.Second)); now = now.Add(200 * time.Millisecond) {
		_ = serving.MergeObserved(now, other.GossipObserved(now, 200))
		_ = other.MergeObserved(now, serving.GossipObserved(now, 200))
	}
	if got := other.DecideObserved(epoch.Add(2*time.Second), 7, popular); got.Action != Allow {
		t.Errorf("served at another router: %+v", got)
	}
}

// All requests with a part that crashes upstreams have another one as well. Guards against sending such requests on
// since either part may be the cause, and against refusing one that has only the other.
func TestInseparablePartsAreRefusedTogether(t *testing.T) {
	table := crashedUnderParts(3, badPart, companion)
	failTrial(table, epoch, badPart, companion)
	if got := table.DecideObserved(epoch, 7, badPart, companion); got.Action != Refuse {
		t.Errorf("both: %+v", got)
	}
	if got := table.DecideObserved(epoch, 7, companion); got.Action != Try {
		t.Errorf("one of them: %+v", got)
	}
	table.RecordPartsServed(epoch, []Fingerprint{companion})
	if got := table.DecideObserved(epoch, 7, badPart); got.Action != Refuse {
		t.Errorf("the other one was served: %+v", got)
	}
}

// A request that crashes upstreams has a part of its own that others never have. Guards against a part that excuses
// the request it belongs to.
func TestContentIsNotExcusedByItsOwnParts(t *testing.T) {
	table := New("", 0)
	for i := range 4 {
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostWith(epoch, 7, companion))
	}
	if got := table.DecideObserved(epoch, 7, companion); got.Action != Refuse || got.Fingerprint != 7 {
		t.Errorf("%+v", got)
	}
}

// Guards against the fingerprint of a request's content that is taken for that of a part.
func TestKindsOfFingerprintsDiffer(t *testing.T) {
	for _, hash := range []uint64{0, 1, 1 << 63, ^uint64(0)} {
		if p := ContentFingerprint(hash); p.IsPart() || p == 0 {
			t.Errorf("content of %x: %x", hash, uint64(p))
		}
		if p := PartFingerprint(hash); !p.IsPart() {
			t.Errorf("part of %x: %x", hash, uint64(p))
		}
	}
}
