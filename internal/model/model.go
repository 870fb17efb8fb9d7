// Package model simulates a pool of upstreams, its routers and its callers in virtual time,
// so that a change of policy can be tried in seconds on pools of any size.
//
// The routers' decisions come from the production code: packages balance (and through it
// placement, load and outlier), policy and retry. Everything around them is modelled: engines
// with batches, prefill and a bounded prompt cache, plain services with slots and a queue, and
// callers with sessions, retries and deadlines. Package experiment reads a Config from a file
// and compares policies; docs/operators/experiments.md describes how closely the model agrees
// with test runs of the real processes.
//
// A run depends on its Config and seed only. It reads no clock and starts no goroutine.
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
	"github.com/parsleyfront/parsleyfront/internal/virtualtime"
)

const (
	// hopLatency is the one-way latency between a caller, a router and an upstream.
	hopLatency = 500 * time.Microsecond
	// reportInterval is the period at which routers exchange their reports.
	reportInterval = 250 * time.Millisecond
	// sampleInterval is the period at which the loads of upstreams are sampled, and at which
	// attempts check their upstream for a crash.
	sampleInterval = 100 * time.Millisecond
)

// startTime is the beginning of virtual time. Its value is arbitrary.
var startTime = time.Unix(1_000_000, 0)

// fleet is the state of one simulation run.
type fleet struct {
	config    Config
	policy    policy.Policy
	random    *rand.Rand
	clock     *virtualtime.Clock
	upstreams []*upstream
	routers   []*router
	ids       []load.VM
	sessions  []*session
	result    *Result
}

// router is the state of one router.
type router struct {
	tracker         *balance.Tracker
	pool            *placement.Pool
	retryBudget     retry.WindowBudget
	returnScheduler retry.ReturnScheduler
	observations    *condition.Observations
	lastServed      map[uint64]int // index of the last upstream that served a session, by session
}

// Simulate runs the configuration with a policy and returns the outcome. The same arguments give
// the same Result.
func Simulate(c Config, p policy.Policy, seed uint64) *Result {
	f := &fleet{
		config: c,
		policy: p,
		random: rand.New(rand.NewPCG(seed, 0)),
		clock:  virtualtime.NewClock(startTime),
		result: newResult(c),
	}
	f.build()
	f.clock.Every(reportInterval, f.exchangeReports)
	f.clock.Every(sampleInterval, f.sampleLoads)
	f.scheduleFaults()
	f.scheduleArrivals()
	f.clock.Run(startTime.Add(c.Length + c.Callers.Patience))
	f.result.computeAverages()
	return f.result
}

// build creates the upstreams, routers and sessions.
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

// exchangeReports merges the reports of all routers into the first router, the parent, and the
// parent's summary into all others. Merging cannot fail, because the reports come from the
// same code.
func (f *fleet) exchangeReports() {
	now, parent := f.clock.Now(), f.routers[0].tracker
	for _, r := range f.routers[1:] {
		_ = parent.MergeReport(now, f.ids, r.tracker.Report(now, now.Add(-reportInterval), f.ids).Allowed(f.policy))
	}
	summary := parent.Summary(now, f.ids).Allowed(f.policy)
	for _, r := range f.routers[1:] {
		_ = r.tracker.MergeSummary(now, f.ids, summary)
	}
}

// sampleLoads records the highest and the mean load of the upstreams and how many requests wait.
func (f *fleet) sampleLoads() {
	maxLoad, sum, waiting := 0, 0, 0
	for _, u := range f.upstreams {
		maxLoad, sum = max(maxLoad, u.load()), sum+u.load()
		waiting += u.waiting()
	}
	mean := float64(sum) / float64(len(f.upstreams))
	f.result.recordSample(f.clock.Now(), float64(maxLoad), mean, waiting)
}

func domainName(i int) string {
	return "region/" + string(rune('a'+i))
}
