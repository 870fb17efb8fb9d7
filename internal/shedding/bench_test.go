package shedding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/pace"
)

// BenchmarkAdmit measures a decision, including its part of the updates of the admitted fractions: at
// a pool that is not short, and at plain upstreams that reject a third of the attempts. At the target
// size, each of 330 routers receives 23 of 7,600 requests per second.
func BenchmarkAdmit(b *testing.B) {
	for _, short := range []bool{false, true} {
		for _, size := range []struct{ perSecond, orgs int }{{23, 14000}, {100, 24}, {1000, 24}, {1000, 1000}, {1000, 14000}} {
			b.Run(fmt.Sprintf("short=%v/rate=%d/orgs=%d", short, size.perSecond, size.orgs), func(b *testing.B) {
				benchmarkAdmit(b, short, size.perSecond, size.orgs)
			})
		}
	}
}

func benchmarkAdmit(b *testing.B, short bool, perSecond, orgs int) {
	gap := time.Second / time.Duration(perSecond)
	p, now := New(rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
	situation := func() Situation { return Situation{Upstreams: 3, Routers: 1, Root: true} }
	requests := make([]Request, 2*orgs)
	for i := range requests {
		requests[i] = Request{
			Class: demand.Class{Org: uint32(i/2 + 1), Rank: uint8(i % 2)}, Kind: "chat", Organisation: "an-organisation",
			Requirement: pace.Requirement{Objective: time.Second, Deadline: 12 * time.Second},
		}
	}
	serve := func(i int) {
		now = now.Add(gap)
		if p.Admit(now, requests[i%len(requests)], situation).Admit {
			p.RecordAttempt(now, !short || i%3 > 0)
		}
	}
	for i := range 30 * perSecond {
		serve(i)
	}
	if p.Status(now).Short != short {
		b.Fatalf("short is %v: %+v", !short, p.latest)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		serve(i)
	}
	b.StopTimer()
	if p.Status(now).Short != short {
		b.Fatalf("short is %v: %+v", !short, p.latest)
	}
}

// BenchmarkRecordEvents measures what each piece of a stream costs beside its request.
func BenchmarkRecordEvents(b *testing.B) {
	p, now := New(rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(150 * time.Microsecond)
		p.RecordEvents(now, float64(20+i%20), 1, 50*time.Millisecond)
	}
}
