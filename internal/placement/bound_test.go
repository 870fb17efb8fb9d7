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
	estimate               Estimate
	suspected, unavailable bool
}

func (b beliefs) Load(vm load.VM) float64      { return b.of[vm].load }
func (b beliefs) UpperLoad(vm load.VM) float64 { return b.of[vm].upper }
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
