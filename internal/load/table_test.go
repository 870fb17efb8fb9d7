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
func TestSamplesGrowOldInCirculation(t *testing.T) {
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
