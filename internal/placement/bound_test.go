package placement

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// beliefs are what a router may believe of a pool's upstreams, whether it is consistent or not.
type beliefs struct {
	mean float64
	of   map[load.VM]belief
	at   []load.VM // by index
}

type belief struct {
	load, upper, cost      float64
	drift                  float64
	estimate               Estimate
	suspected, unavailable bool
}

func (b beliefs) Load(vm load.VM) float64      { return b.of[vm].load }
func (b beliefs) UpperLoad(vm load.VM) float64 { return b.of[vm].upper }
func (b beliefs) Drift(vm load.VM) float64     { return b.of[vm].drift }
func (b beliefs) Mean() float64                { return b.mean }
func (b beliefs) Cost(vm load.VM) float64      { return b.of[vm].cost }
func (b beliefs) Estimate(vm load.VM) Estimate { return b.of[vm].estimate }
func (b beliefs) IsSuspected(vm load.VM) bool  { return b.of[vm].suspected }
func (b beliefs) Unavailable(i int) bool       { return b.of[b.at[i]].unavailable }

func drawBeliefs(t *rapid.T, members []Member) beliefs {
	b := beliefs{mean: rapid.Float64Range(0, 10).Draw(t, "mean"), of: make(map[load.VM]belief)}
	for _, m := range members {
		x := belief{
			load:        rapid.Float64Range(0, 30).Draw(t, "load"),
			estimate:    Estimate{Start: rapid.Float64Range(0, 3).Draw(t, "start"), Queued: rapid.Bool().Draw(t, "queued"), Slowdown: rapid.Float64Range(0.5, 5).Draw(t, "slowdown")},
			drift:       rapid.Float64Range(0, 4).Draw(t, "drift"),
			suspected:   rapid.Bool().Draw(t, "suspected"),
			unavailable: rapid.IntRange(0, 4).Draw(t, "unavailable") == 0,
		}
		x.upper = x.load + rapid.Float64Range(0, 3).Draw(t, "uncertainty")
		x.cost = (x.load + 1) * rapid.Float64Range(1, 5).Draw(t, "latency")
		if x.estimate.Queued {
			x.estimate.QueueWait = x.estimate.Start / 2
		}
		b.of[m.VM] = x
		b.at = append(b.at, m.VM)
	}
	return b
}

// Guards against a load bound that depends on how many upstreams are suspected, slow, or spread
// over: no request goes to an upstream over the bound while another one of the region, suspected
// or not, is below it and may get requests.
func TestNothingExceedsTheBoundWhileAnotherIsBelow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(1, 40).Draw(t, "upstreams"))
		for i := range members {
			members[i].Domain = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
		}
		pool, l := NewPool(members, Locality{Domain: "a"}), drawBeliefs(t, members)
		q := Query{
			Session:       rapid.Uint64Range(0, 50).Draw(t, "session"),
			LoadMultiple:  rapid.SampledFrom([]float64{1.2, 1.6, 2}).Draw(t, "multiple"),
			BoundJitter:   rapid.Float64Range(0, 1).Draw(t, "jitter"),
			Random:        rapid.Uint64().Draw(t, "random"),
			SessionShare:  rapid.Float64Range(0, 0.5).Draw(t, "share"),
			IgnoreDomains: rapid.Bool().Draw(t, "ignore domains"),
			Deferred:      rapid.Bool().Draw(t, "deferred"),
		}
		if rapid.Bool().Draw(t, "with limit") {
			q.LatencyLimit, q.ShortestObjective = rapid.Float64Range(0.1, 2).Draw(t, "limit"), 0.5
		}
		var out [MaxCandidates]Choice
		n, basis := pool.ChooseBounded(l, q, &out)
		below := 0
		for _, m := range members {
			if x := l.of[m.VM]; !x.unavailable && x.upper < basis.Bound {
				below++
			}
		}
		for at, c := range out[:min(n, below)] {
			if x := l.of[members[c.Index].VM]; x.upper >= basis.Bound {
				t.Fatalf("choice %d of %d has load %.1f, over the bound of %.1f; %d upstreams are below it", at, n, x.upper, basis.Bound, below)
			}
		}
	})
}

// Guards against upstreams that many routers fill over the load bound within the time that a
// report takes: they take over requests of suspected ones only with room for what their last
// report does not contain.
func TestTakeoverLeavesRoomForUnreportedRequests(t *testing.T) {
	members := newMembers(2)
	pool := NewPool(members, Locality{})
	l := beliefs{mean: 7, at: []load.VM{members[0].VM, members[1].VM}}
	for _, c := range []struct {
		drift     float64
		takesOver bool
	}{{0, true}, {1, true}, {3, false}} {
		l.of = map[load.VM]belief{
			members[0].VM: {load: 2, upper: 2, suspected: true},
			members[1].VM: {load: 8, upper: 8, drift: c.drift},
		}
		chosen := chosenIndices(pool, l, Query{Session: 5, LoadMultiple: 2})
		if takesOver := chosen[0] == 1; takesOver != c.takesOver {
			t.Errorf("with a drift of %.0f the other upstream takes over: %v, want %v", c.drift, takesOver, c.takesOver)
		}
	}
}
