package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSizes are numbers of entries of a Book: one crash of a busy engine, a
// bad hour, and a full table.
var benchSizes = []int{50, 500, 4000}

// filled returns a Book of n entries, 50 to a crash.
func filled(n int) *Table {
	b := New("vm-123", 1)
	for i := 0; i < n; i += 50 {
		running := make([]RunningRequest, 50)
		for j := range running {
			running[j] = RunningRequest{Fingerprint: Fingerprint(uint64(i+j+1) * 0x9E3779B97F4A7C15), Started: epoch}
		}
		b.RecordCrash(epoch.Add(time.Second), running)
	}
	return b
}

func benchBooks(b *testing.B, f func(b *testing.B, book *Table)) {
	for _, n := range benchSizes {
		book := filled(n)
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) { f(b, book) })
	}
}

// A request that is no suspect: what every request costs.
func BenchmarkDecideFree(b *testing.B) {
	benchBooks(b, func(b *testing.B, book *Table) {
		for b.Loop() {
			book.Decide(epoch, 1, false)
		}
	})
}

func BenchmarkDecideSuspect(b *testing.B) {
	benchBooks(b, func(b *testing.B, book *Table) {
		for b.Loop() {
			book.Decide(epoch, Fingerprint(0x9E3779B97F4A7C15), false)
		}
	})
}

// One message of 256 bytes, written and merged; with bytes an entry on the wire.
func BenchmarkGossip(b *testing.B) {
	benchBooks(b, func(b *testing.B, book *Table) {
		now := epoch
		for b.Loop() {
			now = now.Add(time.Second)
			if now.After(epoch.Add(20 * time.Second)) {
				now = epoch
			}
			book.Gossip(now, 256)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	message := filled(50).All(epoch)
	benchBooks(b, func(b *testing.B, book *Table) {
		for b.Loop() {
			_ = book.Merge(epoch, message)
		}
		b.ReportMetric(float64(len(message))/50, "wire-bytes/entry")
	})
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var book *Table
			for b.Loop() {
				book = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				book = filled(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/entry")
			runtime.KeepAlive(book)
		})
	}
}
