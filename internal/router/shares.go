package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	shareRefusals = telemetry.NewFamily[shareCause]("router_share_refusals_total", "cause",
		"Requests answered at once because their pool is too small for all: beyond their organisation's share, or after more urgent ones.")
	shortPools = telemetry.NewGauge("router_short_pools",
		"Pools that are too small at the moment for all that is offered to them.")
)

// shareCause is why a request to a short pool is refused, as label of a metric.
type shareCause string

const (
	causeShare shareCause = "share" // the organisation exceeds its share
	causeOrder shareCause = "order" // more urgent work takes precedence
)

// ShareMode sets of which pools organisations get shares while the pools are short.
type ShareMode uint8

const (
	// ShareAuto shares the pools whose engines report that their machine is slowed. It is the
	// zero value.
	ShareAuto ShareMode = iota
	// ShareAlways shares all pools.
	ShareAlways
	// ShareNever shares no pool.
	ShareNever
)

// refuseForShares counts and returns the refusal of a request of a short pool.
func refuseForShares(cause shareCause, pool string) *verdict.Error {
	shareRefusals.Inc(cause)
	if cause == causeOrder {
		return verdict.New(verdict.NotRun, verdict.ReasonPoolShort, "pool %q is short, and more urgent requests take precedence", pool)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonOverShare, "pool %q is short, and the organisation's share of it is used up", pool)
}

// announceShort counts and logs that a pool has become short, or has ceased to be.
func announceShort(pool string, short bool, capacity, used float64) {
	change, level, msg := int64(-1), slog.LevelInfo, "pool is no longer short"
	if short {
		change, level, msg = 1, slog.LevelWarn, "pool is short"
	}
	shortPools.Add(change)
	slog.LogAttrs(context.Background(), level, msg,
		slog.String("pool", pool),
		slog.Float64("capacity", roundTenths(capacity)),
		slog.Float64("used", roundTenths(used)))
}

// Shares returns how this router shares pools among organisations.
func (r *Router) Shares(_ time.Time) []admin.PoolShares {
	return []admin.PoolShares{} // not nil, which is null in JSON
}
