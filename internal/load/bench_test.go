package load

import (
	"fmt"
	"testing"
	"time"
)

func fullTable(n int) *Table {
	t := NewTable()
	for i := range n {
		t.Observe(start.Add(time.Duration(i%20)*time.Second), VM(i), Report{Load: 50 + i%7, Weight: 1})
	}
	return t
}

// BenchmarkTable measures the cost of a message for a router or sidecar.
func BenchmarkTable(b *testing.B) {
	now := start.Add(20 * time.Second)
	for _, n := range []int{130, 1000, 2900} {
		t := fullTable(n)
		b.Run(fmt.Sprintf("mean/upstreams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t.Mean(now)
			}
		})
		b.Run(fmt.Sprintf("pack/upstreams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t.Pack(now, 8)
			}
		})
		packed := t.Pack(now, 8)
		b.Run(fmt.Sprintf("merge/upstreams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_ = t.Merge(now, packed)
			}
		})
	}
}
