// Package policy compares the decisions of packages placement and load with baseline
// policies. The production packages make the decisions; a small simulation of a pool and
// its callers runs in virtual time from fixed seeds.
package policy

import (
	"runtime"
	"slices"
	"sync"
	"testing"
)

// target is one model's share of the target fleet, with an upstream replaced every 20 s.
// Each cache holds 1.5 times an upstream's share of the live chats.
var target = scenario{
	name: "target", routers: 330, upstreams: 130, pools: 22, liveChats: 286_000, cacheTokens: 32_000_000,
	loadMultiple: 1.25, replaceEvery: 20, restartEvery: 60, surgeChats: 24, surgeRate: 190,
	windows: [4]float64{2600, 600, 300, 100},
}

// Smaller pools. Their loads vary more, so they need a larger load multiple.
var (
	twenty = scenario{
		name: "20_runners", routers: 4, upstreams: 20, pools: 2, liveChats: 8_800, cacheTokens: 7_000_000,
		loadMultiple: 1.75, replaceEvery: 600, restartEvery: 600, surgeChats: 4, surgeRate: 6,
		windows: [4]float64{2600, 3600, 300, 100},
	}
	three = scenario{
		name: "3_runners", routers: 4, upstreams: 3, pools: 2, liveChats: 530, cacheTokens: 3_000_000,
		loadMultiple: 2.25, replaceEvery: 1200, restartEvery: 600, surgeChats: 2, surgeRate: 0.35,
		windows: [4]float64{2600, 3600, 300, 100},
	}
)

var (
	random     = policy{name: "two_random_choices", twoChoices: true, skipFull: true}
	rendezvous = policy{name: "rendezvous"}
	bounded    = policy{name: "rendezvous_with_bound", bound: true, relaySamples: true}
	shipped    = policy{
		name: "ours", bound: true, ticket: true, detectConcurrent: true, relaySamples: true, skipFull: true,
		export: true, handOver: true,
	}
	baselines = []policy{random, rendezvous, bounded, shipped}
	ablations = []policy{
		without("tickets", func(p *policy) { p.ticket = false }),
		without("telling_concurrent_turns", func(p *policy) { p.detectConcurrent = false }),
		without("samples_relayed", func(p *policy) { p.relaySamples = false }),
		without("skipping_full_ones", func(p *policy) { p.skipFull = false }),
		without("export_at_leaves", func(p *policy) { p.export = false }),
		without("hand-over_at_joins", func(p *policy) { p.handOver = false }),
	}
)

// without returns the shipped policy with one mechanism disabled.
func without(name string, disable func(*policy)) policy {
	p := shipped
	p.name += "_without_" + name
	disable(&p)
	return p
}

// window holds the measurements of one phase of a run.
type window struct {
	name                             string
	seconds                          float64
	requests, refusals, rejected     int
	reusable, reused                 int       // prompt tokens of continued chats: that could be cached, that were
	upBytes, downBytes, ownLoadBytes int       // control traffic in bytes
	skews                            []float64 // one per second, sorted
	overBound                        int       // maximum number of requests over the bound at the true mean
}

// simulate runs a policy and returns its windows after the warm-up.
func simulate(p policy, s scenario) (out []window) {
	f := newFleet(p, s)
	chats := make([]chat, s.surgeChats)
	for i := range chats {
		f.reset(&chats[i])
	}
	for i, name := range []string{"warm-up", "calm", "surge", "settling"} {
		f.window = window{name: name, seconds: s.windows[i]}
		end := f.seconds + s.windows[i]
		if name == "surge" {
			f.surgeTurn(chats, end)
		}
		f.runUntil(end)
		slices.Sort(f.window.skews)
		out = append(out, f.window)
	}
	return out[1:]
}

func ratio(n, of int) float64      { return float64(n) / float64(max(of, 1)) }
func (w *window) maxSkew() float64 { return w.skews[len(w.skews)-1] }
func (w *window) reuse() float64   { return ratio(w.reused, w.reusable) }

func (w *window) report(b *testing.B, s scenario) {
	mean := 0.0
	for _, x := range w.skews {
		mean += x / float64(len(w.skews))
	}
	rate := float64(s.pools) / w.seconds / float64(s.routers)
	for unit, value := range map[string]float64{
		"ns/op": 0, "reuse": w.reuse(), "over-bound": float64(w.overBound),
		"skew-mean": mean, "skew-p99": w.skews[len(w.skews)*99/100], "skew-worst": w.maxSkew(),
		"refusals/req": ratio(w.refusals, w.requests), "refused-in-the-end": ratio(w.rejected, w.requests),
		"samples-up-B/s": float64(w.upBytes) * rate, "samples-down-B/s": float64(w.downBytes) * rate,
		"own-load-B/s": float64(w.ownLoadBytes) * rate,
	} {
		b.ReportMetric(value, unit)
	}
}

// BenchmarkPolicy reports metrics for each policy and window. Control bytes are those of
// one router for all its pools, assuming that all pools are like the simulated one.
func BenchmarkPolicy(b *testing.B) {
	type row struct {
		policy
		scenario
		windows []window
	}
	var rows []*row
	add := func(s scenario, name string, cacheTokens int, policies ...policy) {
		s.name += name
		s.cacheTokens = cacheTokens
		for _, p := range policies {
			rows = append(rows, &row{policy: p, scenario: s})
		}
	}
	add(target, "", target.cacheTokens, slices.Concat(baselines, ablations)...)
	add(target, "_caches_of_24M", 24_000_000, rendezvous, shipped)
	add(target, "_caches_of_40M", 40_000_000, rendezvous, shipped)
	add(twenty, "", twenty.cacheTokens, baselines...)
	add(three, "", three.cacheTokens, baselines...)
	semaphore := make(chan struct{}, max(runtime.GOMAXPROCS(0)/3, 1))
	var wg sync.WaitGroup
	for _, r := range rows {
		wg.Go(func() {
			semaphore <- struct{}{}
			r.windows = simulate(r.policy, r.scenario)
			<-semaphore
		})
	}
	wg.Wait()
	for _, r := range rows {
		for _, w := range r.windows {
			b.Run(r.scenario.name+"/"+r.policy.name+"/"+w.name, func(b *testing.B) { w.report(b, r.scenario) })
		}
	}
}

// A few chats of one organisation generate a third of the traffic while upstreams are
// replaced. The test guards against three failures: other chats lose their cached
// prefixes, upstreams run far above the mean load from the first second on, or requests
// are rejected.
func TestPolicyHoldsThroughASurge(t *testing.T) {
	s := scenario{
		routers: 60, upstreams: 30, pools: 22, liveChats: 66_000, cacheTokens: 32_000_000,
		loadMultiple: 1.25, replaceEvery: 20, restartEvery: 60, surgeChats: 6, surgeRate: 44,
		windows: [4]float64{120, 60, 60, 60},
	}
	rendezvousWindows := simulate(rendezvous, s)
	for i, w := range simulate(shipped, s) {
		if w.reuse() < max(0.97, rendezvousWindows[i].reuse()) {
			t.Errorf("%s: reuse %.3f, by rendezvous alone %.3f", w.name, w.reuse(), rendezvousWindows[i].reuse())
		}
		if w.maxSkew() > s.loadMultiple+0.1 {
			t.Errorf("%s: skew %.3f", w.name, w.maxSkew())
		}
		if r := ratio(w.refusals, w.requests); r > 0.1 || ratio(w.rejected, w.requests) > 0.001 {
			t.Errorf("%s: %.3f refusals a request, %d refused", w.name, r, w.rejected)
		}
	}
}
