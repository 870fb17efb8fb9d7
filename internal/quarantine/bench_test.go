package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSizes are numbers of entries in a Table: one crash of a busy upstream, many
// crashes in an hour, and a nearly full Table.
var benchSizes = []int{50, 500, 4000}

// newFilledTable returns a Table of n entries, 50 for each crash.
func newFilledTable(n int) *Table {
	table := New("vm-123", 1)
	for i := 0; i < n; i += 50 {
		running := make([]RunningRequest, 50)
		for j := range running {
			running[j] = RunningRequest{Fingerprint: Fingerprint(uint64(i+j+1) * 0x9E3779B97F4A7C15), Started: epoch}
		}
		table.RecordCrash(epoch.Add(time.Second), running)
	}
	return table
}

func benchTables(b *testing.B, f func(b *testing.B, table *Table)) {
	for _, n := range benchSizes {
		table := newFilledTable(n)
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) { f(b, table) })
	}
}

// BenchmarkDecideAllow measures the cost for each request that is not a suspect.
func BenchmarkDecideAllow(b *testing.B) {
	benchTables(b, func(b *testing.B, table *Table) {
		for b.Loop() {
			table.Decide(epoch, 1, false)
		}
	})
}

func BenchmarkDecideSuspect(b *testing.B) {
	benchTables(b, func(b *testing.B, table *Table) {
		for b.Loop() {
			table.Decide(epoch, Fingerprint(0x9E3779B97F4A7C15), false)
		}
	})
}

// BenchmarkGossip measures encoding one message of at most 256 bytes.
func BenchmarkGossip(b *testing.B) {
	benchTables(b, func(b *testing.B, table *Table) {
		now := epoch
		for b.Loop() {
			now = now.Add(time.Second)
			if now.After(epoch.Add(20 * time.Second)) {
				now = epoch
			}
			table.Gossip(now, 256)
		}
	})
}

// BenchmarkMerge measures merging a message of 50 entries and reports its size per
// entry.
func BenchmarkMerge(b *testing.B) {
	message := newFilledTable(50).All(epoch)
	benchTables(b, func(b *testing.B, table *Table) {
		for b.Loop() {
			_ = table.Merge(epoch, message)
		}
		b.ReportMetric(float64(len(message))/50, "wire-bytes/entry")
	})
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var table *Table
			for b.Loop() {
				table = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				table = newFilledTable(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/entry")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkAccount measures a request that is left, among as many as an Account keeps.
func BenchmarkAccount(b *testing.B) {
	for _, kept := range []int{700, maxEnded} {
		b.Run(fmt.Sprint(kept), func(b *testing.B) {
			a := NewAccount()
			for i := range kept {
				a.Left(epoch, a.Send(epoch, fmt.Sprint("upstream-", i%500), Copy{Fingerprint: Fingerprint(i + 1), Due: epoch.Add(time.Minute)}))
			}
			b.ReportAllocs()
			for i := range b.N {
				s := a.Send(epoch, fmt.Sprint("upstream-", i%500), Copy{Fingerprint: 7, Due: epoch.Add(time.Minute)})
				a.Whereabouts(7)
				a.Left(epoch, s)
				a.Answered(s)
			}
		})
	}
}
