package router

import (
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/warmup"
)

var coldSent = telemetry.NewCounter("router_cold_requests_total",
	"Attempts that were sent to upstreams that are cold after their start.")

// coldStart is what a router goes by where upstreams are cold.
type coldStart struct {
	limiter           *warmup.Limiter
	registeredRouters atomic.Int64 // routers of the region, by the register; zero: it was not read yet
	reportedRouters   atomic.Int64 // the same, as the router tells that this one relies on; zero: it has not
}

// routerCount returns how many routerCount may send to an upstream. The register is read at a start
// only by most, and routerCount come and go, so that whoever knows of more counts: too many
// make shares smaller, too few would break the limit.
func (w *coldStart) routerCount(regions int) int {
	return int(max(w.registeredRouters.Load(), w.reportedRouters.Load())) * max(regions, 1)
}

// warmupLimit returns what a cold upstream of a pool may get from all routers.
func (t Tuning) warmupLimit(p *Pool) warmup.Limit {
	return warmup.Limit{PerSecond: p.warmupRate, Overage: t.WarmupOverage, Slack: t.WarmupSlack}
}

// isAtWarmupLimit reports whether an upstream of a pool is cold, and has got from this router what it
// bears.
func (r *Router) isAtWarmupLimit(now time.Time, p *Pool, id string) bool {
	if _, cold := p.coldUntil(now, id); !cold {
		return false
	}
	tuning := r.tuning.Load()
	return !r.coldStart.limiter.HasCapacity(now, id, tuning.warmupLimit(p), r.coldStart.routerCount(tuning.Regions))
}

// admitCold counts a request that is about to be sent to an upstream of a pool, and reports
// whether it may be if that is cold.
func (r *Router) admitCold(now time.Time, p *Pool, id string) bool {
	if _, cold := p.coldUntil(now, id); !cold {
		return true
	}
	tuning := r.tuning.Load()
	if !r.coldStart.limiter.TryAcquire(now, id, tuning.warmupLimit(p), r.coldStart.routerCount(tuning.Regions)) {
		return false
	}
	coldSent.Inc()
	return true
}

// coldUntil returns until when an upstream of the pool is cold, if it is.
func (p *Pool) coldUntil(now time.Time, id string) (warmAt time.Time, cold bool) {
	if p == nil {
		return time.Time{}, false
	}
	warmAt = p.warmAt[id]
	return warmAt, now.Before(warmAt)
}
