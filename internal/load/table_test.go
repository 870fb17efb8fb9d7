package load

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// FuzzMerge merges arbitrary messages into a table, as any peer may send them.
func FuzzMerge(f *testing.F) {
	known := NewTable()
	known.Observe(start, 1, Report{Load: 7, Weight: 2})
	known.Observe(start, 2, Report{State: Draining})
	f.Add(known.Pack(start, 8))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		table := NewTable()
		for i := range 3 {
			now := start.Add(time.Duration(i) * time.Second)
			if err := table.Merge(now, b); err != nil {
				return
			}
			if mean, known := table.Mean(now); mean < 0 || known > maxPacked {
				t.Fatalf("mean %v of %d", mean, known)
			}
			b = table.Pack(now, maxPacked)
		}
	})
}

// The age of a sample must grow while it passes from peer to peer. Otherwise two peers could keep
// the load of a dead upstream alive between them.
func TestSamplesAgeInCirculation(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(start, 1, Report{Load: 9})
	now := start
	for now.Sub(start) <= maxAge {
		if err := b.Merge(now, a.Pack(now, 1)); err != nil {
			t.Fatal(err)
		}
		a, b = b, a
		now = now.Add(10 * time.Millisecond)
	}
	if _, ok := a.Get(now, 1); ok {
		t.Fatal("the sample is still valid after it has expired")
	}
	if len(a.Pack(now, 1)) != 0 {
		t.Fatal("the sample is still sent after it has expired")
	}
}

// receiveSamples merges a sample of each upstream i every(i) seconds into table, each age seconds
// old.
func receiveSamples(table *Table, upstreams, seconds, age int, every func(int) int, load func(i, second int) int) (now time.Time) {
	for s := range seconds {
		now = start.Add(time.Duration(s+age) * time.Second)
		for i := range upstreams {
			if (s+i)%every(i) == 0 {
				at := start.Add(time.Duration(s) * time.Second)
				source := NewTable()
				source.Observe(at, VM(i), Report{Load: load(i, s)})
				_ = table.Merge(now, source.Pack(now, 1))
			}
		}
	}
	return now
}

// During a surge the load of every upstream grows by one per second. All samples that a sidecar
// has are at least eight seconds old. Without extrapolation it underestimates the mean and
// refuses requests despite spare capacity.
func TestMeanKeepsUpWithASurge(t *testing.T) {
	table := NewTable()
	every := func(int) int { return 4 }
	now := receiveSamples(table, 40, 30, 8, every, func(_, second int) int { return 50 + second })
	trueMean := 50 + now.Sub(start).Seconds()
	if mean, _ := table.Mean(now); mean < trueMean-1 || mean > trueMean+1 {
		t.Fatalf("mean %.1f, true mean %.1f", mean, trueMean)
	}
}

// Busy upstreams are sampled more often than idle ones. With constant loads, this must not look
// like a rise, or upstreams would exceed their bounds for as long as the imbalance lasts.
func TestBusyUpstreamsDoNotLookLikeASurge(t *testing.T) {
	table := NewTable()
	busy := func(i int) bool { return i%2 == 0 }
	every := func(i int) int {
		if busy(i) {
			return 1
		}
		return 15
	}
	now := receiveSamples(table, 40, 30, 2, every, func(i, _ int) int {
		if busy(i) {
			return 70
		}
		return 30
	})
	if mean, known := table.Mean(now); mean != 50 || known != 40 {
		t.Fatalf("mean %.2f of %d, true mean 50 of 40", mean, known)
	}
}

// Three requests reach an upstream in one burst. A sample taken before them arrives last, through
// another peer, with the same time. When it replaced the newer one, the pool's mean was too low,
// and upstreams with spare capacity refused the rest of the burst.
func TestHigherOfSimultaneousLoadsIsKept(t *testing.T) {
	before, after := NewTable(), NewTable()
	before.Observe(start, 1, Report{Load: 0})
	after.Observe(start, 1, Report{Load: 3})
	for _, order := range [][]*Table{{before, after}, {after, before}} {
		table := NewTable()
		for _, from := range order {
			if err := table.Merge(start, from.Pack(start, 1)); err != nil {
				t.Fatal(err)
			}
		}
		if got, _ := table.Get(start, 1); got.Load != 3 {
			t.Errorf("load %d, want 3", got.Load)
		}
	}
}
