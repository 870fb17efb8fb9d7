package load

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// FuzzMerge feeds a table with what any peer may send.
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

// A sample that goes from node to node must grow old on its way: were it to
// look newer, two nodes could keep a dead upstream's load alive between them.
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
		t.Fatal("the sample still counts after its time")
	}
	if len(a.Pack(now, 1)) != 0 {
		t.Fatal("the sample is still passed on after its time")
	}
}

// receiveSamples has table receiveSamples of each upstream i every(i) seconds, age seconds late.
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

// An organisation surges: every upstream's load grows by one a second. All
// that a sidecar has heard is eight seconds old or more, so it takes the mean
// for lower than it is and refuses requests for which there is room.
func TestMeanKeepsUpWithASurge(t *testing.T) {
	table := NewTable()
	every := func(int) int { return 4 }
	now := receiveSamples(table, 40, 30, 8, every, func(_, second int) int { return 50 + second })
	trueMean := 50 + now.Sub(start).Seconds()
	if mean, _ := table.Mean(now); mean < trueMean-1 || mean > trueMean+1 {
		t.Fatalf("mean %.1f, true mean %.1f", mean, trueMean)
	}
}

// Busy upstreams are heard of more often than idle ones. With loads that do
// not change, that must not look like a rise: upstreams would go over their
// bounds for as long as the imbalance lasts.
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

// Three requests reach an upstream in one burst. A sample from before them, which went
// by way of another node, arrives last, with the same time. Taken for the later one,
// it made the pool's mean too low, and upstreams with room refused the rest of the
// burst.
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
