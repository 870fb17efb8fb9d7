package load

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// vms returns the members of a pool.
func vms(n int) []VM {
	out := make([]VM, n)
	for i := range out {
		out[i] = VM(i + 1)
	}
	return out
}

// A router sends few requests to each upstream and rarely receives a report of its load. It must
// use the loads published by its parent instead of the mean.
func TestKnownLoadsReachSubscribers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := vms(rapid.IntRange(1, 2*maxSharedEntries).Draw(t, "upstreams"))
		parent, router := NewPoolLoad(), NewPoolLoad()
		highest := 0
		for _, vm := range members {
			load := rapid.IntRange(0, maxSharedLoad).Draw(t, "load")
			parent.Observe(start, vm, load)
			highest = max(highest, load)
		}
		if err := router.MergeKnown(start, members, parent.PackKnown(start, members)); err != nil {
			t.Fatal(err)
		}
		highestSeen := 0.0
		for _, vm := range members {
			got, want := router.Load(start, vm), parent.Load(start, vm)
			highestSeen = max(highestSeen, got)
			if len(members) <= maxSharedEntries && got != want {
				t.Errorf("load %v, want %v", got, want)
			}
		}
		if highestSeen != float64(highest) {
			t.Errorf("the highest load is %v, want %d", highestSeen, highest)
		}
	})
}

// A pool of 117 upstreams behind 68 routers, one of which knows all loads. When it published only
// the 32 highest, the others used the mean for the rest and did not know which upstreams had
// spare capacity: beside a hot session, 81 of 2410 requests went to upstreams over the load
// bound. A pool of 2,900 upstreams does not fit into one message and must be known after one
// round of messages.
func TestLargePoolsArePublishedInFull(t *testing.T) {
	for _, c := range []struct{ upstreams, messages int }{{117, 1}, {160, 1}, {400, 4}, {2900, 23}} {
		members := vms(c.upstreams)
		parent, router := NewPoolLoad(), NewPoolLoad()
		now := start
		for range c.messages {
			for i, vm := range members {
				parent.Observe(now, vm, i%60)
			}
			b := parent.PackKnown(now, members)
			if limit := 4 * 160; len(b) > limit {
				t.Errorf("%d upstreams: message of %d bytes, want %d at most", c.upstreams, len(b), limit)
			}
			if err := router.MergeKnown(now, members, b); err != nil {
				t.Fatal(err)
			}
			now = now.Add(200 * time.Millisecond)
		}
		unknown := 0
		for _, vm := range members {
			if router.entries[vm] == nil {
				unknown++
			}
		}
		if unknown > 0 {
			t.Errorf("%d upstreams: after %d messages the loads of %d are unknown", c.upstreams, c.messages, unknown)
		}
	}
}

// A load takes a second to pass through three routers. By then the last router has received a
// newer one with an answer of the upstream, and must keep it.
func TestOldLoadsDoNotReplaceNewerOnes(t *testing.T) {
	members := vms(1)
	first, second, last := NewPoolLoad(), NewPoolLoad(), NewPoolLoad()
	first.Observe(start, members[0], 20)
	afterHalfSecond := start.Add(500 * time.Millisecond)
	if err := second.MergeObserved(afterHalfSecond, members, first.PackObserved(afterHalfSecond, time.Time{}, members)); err != nil {
		t.Fatal(err)
	}
	last.Observe(afterHalfSecond, members[0], 3)
	now := start.Add(900 * time.Millisecond)
	if err := last.MergeKnown(now, members, second.PackKnown(now, members)); err != nil {
		t.Fatal(err)
	}
	if got := last.Load(afterHalfSecond, members[0]); got > 4 {
		t.Errorf("load %.1f, want the newer 3", got)
	}
}

// Two routers exchange loads. If each forwarded loads that it has only from the other, an
// outdated load would circulate between them forever.
func TestReceivedLoadsAreNotSentBack(t *testing.T) {
	members := vms(3)
	parent, router := NewPoolLoad(), NewPoolLoad()
	parent.Observe(start, members[0], 9)
	if err := router.MergeKnown(start, members, parent.PackKnown(start, members)); err != nil {
		t.Fatal(err)
	}
	if b := router.PackObserved(start, start.Add(-time.Second), members); b != nil {
		t.Errorf("the router reports %v, which it received from its parent", b)
	}
	router.Observe(start.Add(time.Millisecond), members[1], 4)
	b := router.PackObserved(start.Add(time.Millisecond), start, members)
	if err := parent.MergeObserved(start.Add(time.Millisecond), members, b); err != nil {
		t.Fatal(err)
	}
	if got := parent.Load(start.Add(time.Millisecond), members[1]); got != 4 {
		t.Errorf("the parent has load %v, want 4, as reported by the router", got)
	}
	late := start.Add(time.Millisecond + maxSharedAge + 1)
	if b := parent.PackKnown(late, members); b != nil {
		t.Errorf("the parent still publishes %v after it has expired", b)
	}
}

// A load that an upstream reported to the router itself takes precedence over one that another
// router received shortly before.
func TestOwnReportBrieflyTakesPrecedence(t *testing.T) {
	members := vms(1)
	parent, router := NewPoolLoad(), NewPoolLoad()
	parent.Observe(start, members[0], 20)
	packed := parent.PackKnown(start, members)
	router.Observe(start, members[0], 3)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{ownReportPrecedence - 1, 3}, {ownReportPrecedence, 20}} {
		now := start.Add(c.after)
		if err := router.MergeKnown(now, members, packed); err != nil {
			t.Fatal(err)
		}
		if got := router.Load(now, members[0]); math.Abs(got-c.want) > 0.5 {
			t.Errorf("after %v the load is %v, want %v", c.after, got, c.want)
		}
	}
}

// Guards against an upper bound that ignores how uncertain an old report is, by which an upstream
// would receive too many requests. The bound must rise with the age of the last report, up to a
// limit.
func TestUpperBoundGrowsWithAge(t *testing.T) {
	loads := NewPoolLoad()
	for _, vm := range vms(4) {
		loads.Observe(start, vm, 9)
	}
	vm, previous := VM(1), 9.0
	for _, age := range []time.Duration{0, time.Second, 4 * time.Second} {
		upper := loads.UpperBound(start.Add(age), vm)
		if upper < previous {
			t.Errorf("upper bound %v after %v, want at least %v", upper, age, previous)
		}
		previous = upper
	}
	if limit := 9 + upperDeviations*3; previous > limit {
		t.Errorf("upper bound %v, want at most %v", previous, limit)
	}
}

// FuzzShared merges arbitrary messages, as routers of any release may send them.
func FuzzShared(f *testing.F) {
	members := vms(5)
	known := NewPoolLoad()
	known.Observe(start, members[2], 7)
	f.Add(known.PackKnown(start, members))
	f.Add(known.PackObserved(start, time.Time{}, members))
	f.Add([]byte{255, 255, 1, 0})
	f.Add([]byte{0, 1, 255, 255, 0, 1, 7, 0})
	f.Add([]byte{9})
	f.Fuzz(func(t *testing.T, b []byte) {
		loads := NewPoolLoad()
		err := loads.MergeKnown(start, members, b)
		for _, vm := range members {
			l := loads.Load(start, vm)
			if l < 0 || l > maxSharedLoad+1 || err != nil && l != 0 {
				t.Fatalf("load %v, error %v", l, err)
			}
		}
	})
}

// Guards against a wrong estimate of how much of the load a router counts itself: all of it if it
// sends all requests, and only its own share if it is one of many routers.
func TestOwnShare(t *testing.T) {
	for _, c := range []struct {
		own, reported int
		want          float64
	}{{0, 0, 1}, {3, 0, 1}, {1, 3, 0.25}, {0, 4, 0}} {
		loads := NewPoolLoad()
		for range c.own {
			loads.Begin(1)
		}
		loads.Observe(start, 1, c.own+c.reported)
		if got := loads.OwnShare(1, 0); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d own and %d reported requests: own share %v, want %v", c.own, c.reported, got, c.want)
		}
	}
}
