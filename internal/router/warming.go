package router

import (
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/warmup"
)

var (
	coldSent = telemetry.NewCounter("router_cold_requests_total",
		"Attempts that were sent to upstreams that are cold after their start.")
	coldClosed = telemetry.NewCounter("router_cold_closed_total",
		"Attempts that were not sent to their upstream since it is cold and has got from this router what it bears.")
)

// warming is what a router goes by where upstreams are cold.
type warming struct {
	gate   *warmup.Gate
	listed atomic.Int64 // routers of the region, by the register; zero: it was not read yet
	told   atomic.Int64 // the same, as the router tells that this one relies on; zero: it has not
}

// routers returns how many routers may send to an upstream. The register is read at a start
// only by most, and routers come and go, so that whoever knows of more counts: too many
// make shares smaller, too few would break the limit.
func (w *warming) routers(regions int) int {
	return int(max(w.listed.Load(), w.told.Load())) * max(regions, 1)
}

// coldUpstream is an upstream that was cold when its pool's view was built.
type coldUpstream struct {
	id     string
	warmAt time.Time
}

// limit returns what a cold upstream of a pool may get from all routers.
func (t Tuning) limit(p *Pool) warmup.Limit {
	return warmup.Limit{PerSecond: p.warmupRate, Overage: t.WarmupOverage, Slack: t.WarmupSlack}
}

// coldIn returns which upstreams of a pool may get no request of this router now; nil: any
// may get one.
func (r *Router) coldIn(now time.Time, p *Pool) (closed func(load.VM) bool) {
	if len(p.cold) == 0 {
		return nil
	}
	tuning := r.tuning.Load()
	limit, routers := tuning.limit(p), r.warming.routers(tuning.Regions)
	return func(vm load.VM) bool {
		u, ok := p.cold[vm]
		return ok && now.Before(u.warmAt) && !r.warming.gate.Open(now, u.id, limit, routers)
	}
}

// admitsCold counts a request that is about to be sent, and reports whether it may be. It goes
// by the present view: the upstream may have become cold since it was chosen.
func (r *Router) admitsCold(now time.Time, pool string, vm load.VM) bool {
	p := r.View().Pools[pool]
	if p == nil {
		return true
	}
	u, ok := p.cold[vm]
	if !ok || !now.Before(u.warmAt) {
		return true
	}
	tuning := r.tuning.Load()
	if !r.warming.gate.Take(now, u.id, tuning.limit(p), r.warming.routers(tuning.Regions)) {
		coldClosed.Inc()
		return false
	}
	coldSent.Inc()
	return true
}

// errCold is why an attempt was not sent to an upstream that is cold.
var errCold = verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream is cold, and has got what it bears")
