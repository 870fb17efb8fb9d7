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

// BenchmarkAccount measures a request that is left, among as many as an Account keeps: one of which other copies were
// left, and one of which none were.
func BenchmarkAccount(b *testing.B) {
	for _, kept := range []int{700, maxEnded} {
		for name, p := range map[string]Fingerprint{"repeated": 7, "new": 1 << 40} {
			b.Run(fmt.Sprint(kept, "/", name), func(b *testing.B) {
				a := NewAccount()
				for i := range kept {
					a.Left(epoch, a.Send(epoch, fmt.Sprint("upstream-", i%500), Copy{Fingerprint: Fingerprint(i + 1), Due: epoch.Add(time.Minute)}))
				}
				b.ReportAllocs()
				for i := range b.N {
					s := a.Send(epoch, fmt.Sprint("upstream-", i%500), Copy{Fingerprint: p, Due: epoch.Add(time.Minute)})
					a.Whereabouts(p)
					a.Left(epoch, s)
					a.Answered(s)
				}
			})
		}
	}
}

// BenchmarkDecideObserved measures the decision on a request with three shared parts, which no crash is known of, and
// on one with a part that is refused, among the entries of power losses.
func BenchmarkDecideObserved(b *testing.B) {
	table := New("", 0)
	for i := range 60 {
		var lost []RunningRequest
		for j := range 16 {
			lost = append(lost, RunningRequest{Fingerprint: Fingerprint(100*i + j + 1), Parts: []Fingerprint{PartFingerprint(uint64(100*i + j)), badPart}, Started: epoch})
		}
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lost)
	}
	failTrial(table, epoch, badPart)
	for name, part := range map[string]Fingerprint{"sound": PartFingerprint(1 << 40), "refused": badPart} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.DecideObserved(epoch, 1<<41, PartFingerprint(1<<42), PartFingerprint(1<<43), part)
			}
		})
	}
}

// BenchmarkGossipObserved measures one message of news of crashes, and its bytes for each entry.
func BenchmarkGossipObserved(b *testing.B) {
	for _, crashes := range []int{1, 60, 500} {
		b.Run(fmt.Sprint("crashes=", crashes), func(b *testing.B) {
			table := New("", 0)
			for i := range crashes {
				table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostWith(epoch, Fingerprint(i+1), badPart, PartFingerprint(uint64(100+i))))
			}
			entries := table.pick(epoch, true)
			message, n := encodeObserved(entries, 200)
			now := epoch
			for b.Loop() {
				if now = now.Add(time.Second); now.After(epoch.Add(20 * time.Second)) {
					now = epoch
				}
				table.GossipObserved(now, 200)
			}
			b.ReportMetric(float64(len(message))/float64(n), "wire-bytes/entry")
			b.ReportMetric(float64(n), "entries/message")
		})
	}
}
