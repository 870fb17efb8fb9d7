// Package model plays a pool of upstreams, its routers and its callers in virtual time,
// so that a change of policy is tried in seconds on pools of any size.
//
// The decisions are the shipped ones: packages balance (and through it placement, load
// and outlier), policy and retry. What they meet is modelled: engines with batches,
// prefill and a bounded memory of prompts, plain services with slots and a queue, and
// callers with sessions, returns and deadlines. Package experiment reads a Config from a
// file and compares policies; docs/operators/experiments.md says how far the model agrees
// with played days.
//
// A run is decided by its Config and seed. It knows no clock and starts no goroutine.
package model

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/retry"
)

const (
	// hopLatency is the time of one way between a caller, a router and an upstream.
	hopLatency = 500 * time.Microsecond
	// reportInterval is how often routers tell each other what they know.
	reportInterval = 250 * time.Millisecond
	// sampleInterval is how often the loads of upstreams are looked at.
	sampleInterval = 100 * time.Millisecond
)

// startTime is the beginning of virtual time. Any would do.
var startTime = time.Unix(1_000_000, 0)

// fleet is a run under way.
type fleet struct {
	config    Config
	policy    policy.Policy
	random    *rand.Rand
	clock     clock
	upstreams []*upstream
	routers   []*router
	ids       []load.VM
	sessions  []*session
	result    *Result
}

// router is what one router knows.
type router struct {
	tracker         *balance.Tracker
	pool            *placement.Pool
	retryBudget     retry.WindowBudget
	returnScheduler retry.ReturnScheduler
	observations    *condition.Observations
	lastServed      map[uint64]int // upstream that has served a session last
}

// Simulate runs the configuration with a policy. The same arguments give the same Result.
func Simulate(c Config, p policy.Policy, seed uint64) *Result {
	f := &fleet{
		config: c,
		policy: p,
		random: rand.New(rand.NewPCG(seed, 0)),
		clock:  clock{now: startTime},
		result: newResult(c),
	}
	f.build()
	f.clock.every(reportInterval, f.exchangeReports)
	f.clock.every(sampleInterval, f.sampleLoads)
	f.scheduleFaults()
	f.scheduleArrivals()
	f.clock.run(startTime.Add(c.Length + c.Callers.Patience))
	f.result.computeAverages()
	return f.result
}

// build makes upstreams, routers and sessions.
func (f *fleet) build() {
	domains := f.config.Pool.FailureDomains
	members := make([]placement.Member, f.config.Pool.Upstreams)
	for i := range members {
		u := newUpstream(f, i)
		f.upstreams = append(f.upstreams, u)
		f.ids = append(f.ids, u.id)
		members[i] = placement.Member{VM: u.id, Seed: placement.Seed(u.name), Domain: domainName(i % domains)}
	}
	for i := range f.config.Routers {
		f.routers = append(f.routers, &router{
			tracker:      balance.NewTracker(),
			pool:         placement.NewPool(members, placement.Locality{Domain: domainName(i % domains)}),
			observations: condition.NewObservations(),
			lastServed:   make(map[uint64]int),
		})
	}
	for i := range f.config.Callers.Sessions {
		s := &session{id: uint64(i) + 1, promptTokens: f.initialPromptTokens()}
		f.sessions = append(f.sessions, s)
	}
}

// exchangeReports has routers tell each other what they know, through the first of them. What one
// packs another can read, so that merging it does not fail.
func (f *fleet) exchangeReports() {
	now, parent := f.clock.now, f.routers[0].tracker
	for _, r := range f.routers[1:] {
		_ = parent.MergeReport(now, f.ids, r.tracker.Report(now, now.Add(-reportInterval), f.ids).Allowed(f.policy))
	}
	summary := parent.Summary(now, f.ids).Allowed(f.policy)
	for _, r := range f.routers[1:] {
		_ = r.tracker.MergeSummary(now, f.ids, summary)
	}
}

// sampleLoads takes in how unevenly the upstreams are loaded.
func (f *fleet) sampleLoads() {
	maxLoad, sum, waiting := 0, 0, 0
	for _, u := range f.upstreams {
		maxLoad, sum = max(maxLoad, u.load()), sum+u.load()
		waiting += u.waiting()
	}
	mean := float64(sum) / float64(len(f.upstreams))
	f.result.recordSample(f.clock.now, float64(maxLoad), mean, waiting)
}

func domainName(i int) string {
	return "region/" + string(rune('a'+i))
}
