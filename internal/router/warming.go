package router

import (
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/warmup"
)

var coldSent = telemetry.NewCounter("router_cold_requests_total",
	"Attempts that were sent to upstreams that are cold after their start.")

// coldStart limits how many requests this router sends to upstreams that have just started.
type coldStart struct {
	limiter           *warmup.Limiter
	registeredRouters atomic.Int64 // routers of the region in the register; zero: not read yet
	reportedRouters   atomic.Int64 // the same, as reported by this router's parent; zero: not reported yet
}

// routerCount returns how many routers may send to an upstream. Most routers read the register
// only at their start, and routers come and go, so the larger of the two counts is used: too
// large a count makes each router's share smaller, too small a count would break the limit.
func (c *coldStart) routerCount(regions int) int {
	return int(max(c.registeredRouters.Load(), c.reportedRouters.Load())) * max(regions, 1)
}

// warmupLimit returns the limit on requests from all routers to a cold upstream of a pool.
func (t Tuning) warmupLimit(p *Pool) warmup.Limit {
	return warmup.Limit{PerSecond: p.warmupRate, Overage: t.WarmupOverage, Slack: t.WarmupSlack}
}

// isAtWarmupLimit reports whether an upstream of a pool is cold and this router has used up its
// share of the upstream's warm-up limit.
func (r *Router) isAtWarmupLimit(now time.Time, p *Pool, id string) bool {
	if _, cold := r.coldUntil(now, p, id); !cold {
		return false
	}
	tuning := r.tuning.Load()
	return !r.coldStart.limiter.HasCapacity(now, id, tuning.warmupLimit(p), r.coldStart.routerCount(tuning.Regions))
}

// admitCold reports whether a request may be sent to an upstream of a pool within its warm-up
// limit, and counts the request if the upstream is cold.
func (r *Router) admitCold(now time.Time, p *Pool, id string) bool {
	if _, cold := r.coldUntil(now, p, id); !cold {
		return true
	}
	tuning := r.tuning.Load()
	if !r.coldStart.limiter.TryAcquire(now, id, tuning.warmupLimit(p), r.coldStart.routerCount(tuning.Regions)) {
		return false
	}
	coldSent.Inc()
	return true
}

// coldUntil returns when an upstream of a pool will be warm, and reports whether it is cold now: by the list, or
// because it may have started again in an outage of the store.
func (r *Router) coldUntil(now time.Time, p *Pool, id string) (warmAt time.Time, cold bool) {
	if warmAt, cold = p.coldUntil(now, id); cold || p == nil || p.warmupRate <= 0 || !r.mayListLackRestarts(now) {
		return warmAt, cold
	}
	vm, listed := r.View().VMs[id]
	if !listed || r.doubt(now, vm) != isDoubted {
		return time.Time{}, false
	}
	ended, replaced := r.suspects.MayHaveEndedAt(id)
	warmAt = ended.Add(membership.RestartDelay)
	if !replaced.IsZero() {
		warmAt = replaced
	}
	warmAt = warmAt.Add(p.warmup)
	return warmAt, now.Before(warmAt)
}

// coldUntil is Router.coldUntil by the list alone.
func (p *Pool) coldUntil(now time.Time, id string) (warmAt time.Time, cold bool) {
	if p == nil {
		return time.Time{}, false
	}
	warmAt = p.warmAt[id]
	return warmAt, now.Before(warmAt)
}
