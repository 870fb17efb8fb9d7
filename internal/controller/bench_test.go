package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// newSettledState returns a State that has queried n upstreams, all of which
// have the desired model loaded.
func newSettledState(n int) (*State, time.Time) {
	s, now := NewState(time.Second), time.Unix(1_800_000_000, 0)
	s.Step(LeaseChanged{Now: now, Token: 1})
	s.Step(newDesired(n))
	for !s.allQueried {
		for _, send := range s.Step(Tick{Now: now}) {
			have := wire.ModelSpec{Model: "m", Version: "1"}
			s.Step(Replied{Now: now, VM: send.VM.ID, Order: send.Order, Status: wire.OrderStatus{Loaded: have}})
		}
	}
	return s, now
}

func newDesired(n int) Desired {
	var d Desired
	for i := range 22 {
		d.Pools = append(d.Pools, profile.Pool{Name: fmt.Sprint("pool-", i), Model: "m", Version: "1", MaxUnavailable: 0.1})
	}
	for i := range n {
		d.VMs = append(d.VMs, topo.VM{ID: fmt.Sprint("vm-", i), Pool: fmt.Sprint("pool-", i%22)})
	}
	return d
}

var benchSizes = []int{20, 300, 2900}

// Measures the tick that runs four times a second when there is nothing to
// load.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			s, now := newSettledState(n)
			now = now.Add(time.Minute)
			for b.Loop() {
				s.Step(Tick{Now: now})
			}
		})
	}
}

// Measures the update of the pools and their upstreams, which runs every
// second.
func BenchmarkDesired(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			s, _ := newSettledState(n)
			d := newDesired(n)
			for b.Loop() {
				s.Step(d)
			}
		})
	}
}

// Measures the first round of queries by a new holder.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			for b.Loop() {
				newSettledState(n)
			}
		})
	}
}
