package router

import (
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/warmup"
)

var coldSent = telemetry.NewCounter("router_cold_requests_total",
	"Attempts that were sent to upstreams that are cold after their start.")

// warming is what a router goes by where upstreams are cold.
type warming struct {
	gate   *warmup.Limiter
	listed atomic.Int64 // routers of the region, by the register; zero: it was not read yet
	told   atomic.Int64 // the same, as the router tells that this one relies on; zero: it has not
}

// routers returns how many routers may send to an upstream. The register is read at a start
// only by most, and routers come and go, so that whoever knows of more counts: too many
// make shares smaller, too few would break the limit.
func (w *warming) routers(regions int) int {
	return int(max(w.listed.Load(), w.told.Load())) * max(regions, 1)
}

// limit returns what a cold upstream of a pool may get from all routers.
func (t Tuning) limit(p *Pool) warmup.Limit {
	return warmup.Limit{PerSecond: p.warmupRate, Overage: t.WarmupOverage, Slack: t.WarmupSlack}
}

// coldClosed reports whether an upstream of a pool is cold, and has got from this router what it
// bears.
func (r *Router) coldClosed(now time.Time, p *Pool, id string) bool {
	if _, cold := p.coldAt(now, id); !cold {
		return false
	}
	tuning := r.tuning.Load()
	return !r.warming.gate.HasCapacity(now, id, tuning.limit(p), r.warming.routers(tuning.Regions))
}

// takeCold counts a request that is about to be sent to an upstream of a pool, and reports
// whether it may be if that is cold.
func (r *Router) takeCold(now time.Time, p *Pool, id string) bool {
	if _, cold := p.coldAt(now, id); !cold {
		return true
	}
	tuning := r.tuning.Load()
	if !r.warming.gate.TryAcquire(now, id, tuning.limit(p), r.warming.routers(tuning.Regions)) {
		return false
	}
	coldSent.Inc()
	return true
}

// coldAt returns until when an upstream of the pool is cold, if it is.
func (p *Pool) coldAt(now time.Time, id string) (warmAt time.Time, cold bool) {
	if p == nil {
		return time.Time{}, false
	}
	warmAt = p.cold[id]
	return warmAt, now.Before(warmAt)
}
