package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// valueBytes is about the size in the store of an organisation with its change.
const valueBytes = 600

// objectCounts are the numbers of objects to measure; the last one is the design target.
var objectCounts = []int{1400, 4700, 14000}

func organisation(i int, v topo.Version) topo.Object {
	r := Revision{
		Change: Change{ID: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Author: "operator", Time: time.Unix(1e9, 0), Reason: "routine", Parent: "ZYXWVUTSRQPONMLKJIHGFEDCBA"},
		Spec:   json.RawMessage(`"` + strings.Repeat("x", valueBytes-200) + `"`),
	}
	value, _ := r.Encode()
	return topo.Object{Ref: topo.Ref{Kind: topo.KindOrganisation, Name: fmt.Sprintf("organisation-%05d", i)}, Version: v, Value: value}
}

// filledSet returns a Set of n objects, in the state after a listing.
func filledSet(n int) *Set {
	s := NewSet()
	var all []topo.Object
	for i := range n {
		all = append(all, organisation(i, topo.Version(i+1)))
	}
	s.Apply(Batch{Objects: all, Claim: &Claim{To: topo.Version(n)}, DeletionHorizon: topo.Version(n)})
	return s
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSet measures the memory that a node's configuration uses, the cost of a change,
// and the size of the answer to a node that lacks one change or everything.
func BenchmarkSet(b *testing.B) {
	for _, n := range objectCounts {
		b.Run(fmt.Sprintf("hold/objects=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := filledSet(n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/object")
				b.ReportMetric(float64(s.Bytes())/float64(n), "value-B/object")
			}
		})
		b.Run(fmt.Sprintf("change/objects=%d", n), func(b *testing.B) {
			s := filledSet(n)
			next := make([]topo.Object, 1000)
			v := topo.Version(n)
			for i := range next {
				next[i] = organisation(i*7%n, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v++
				o := next[i%len(next)]
				o.Version = v
				s.Apply(Batch{Objects: []topo.Object{o}, Claim: &Claim{From: v - 1, To: v}})
			}
		})
		b.Run(fmt.Sprintf("answer/objects=%d", n), func(b *testing.B) {
			s := filledSet(n)
			q := Query{Since: s.Version() - 1, Summary: s.Summary()}
			b.ReportAllocs()
			var d Delta
			for b.Loop() {
				d = s.Answer(q)
			}
			b.ReportMetric(encodedBytes(q), "query-B")
			b.ReportMetric(encodedBytes(d), "delta-B")
			b.ReportMetric(encodedBytes(s.Answer(Query{Since: s.Version(), Summary: s.Summary()})), "no-news-B")
		})
		b.Run(fmt.Sprintf("whole/objects=%d", n), func(b *testing.B) {
			s := filledSet(n)
			for b.Loop() {
				size, pieces := 0.0, 0
				to := NewFollower(1, DefaultTiming())
				effects := to.startPull(time.Unix(0, 0), "peer", 0)
				for to.pull != nil {
					d := s.Answer(effects[len(effects)-1].(SendQuery).Query)
					size += encodedBytes(d)
					pieces++
					effects = to.Step(QueryAnswered{Peer: "peer", Delta: d})
				}
				b.ReportMetric(size/float64(n), "wire-B/object")
				b.ReportMetric(float64(pieces), "pieces")
			}
		})
	}
}

func encodedBytes(v any) float64 {
	b, _ := json.Marshal(v)
	return float64(len(b))
}
