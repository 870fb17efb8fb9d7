package router

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/shares"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	shareRefusals = telemetry.NewFamily[shares.Cause]("router_share_refusals_total", "cause",
		"Requests answered at once because their pool is too small for all: beyond their organisation's share, or after more urgent ones.")
	shortPools = telemetry.NewGauge("router_short_pools",
		"Pools that are too small at the moment for all that is offered to them.")
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
func refuseForShares(cause shares.Cause, pool string) *verdict.Error {
	shareRefusals.Inc(cause)
	if cause == shares.CauseOrder {
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

// Shares returns how this router shares pools among organisations, in the order of their names.
func (r *Router) Shares() []admin.PoolShares {
	out := []admin.PoolShares{} // not nil, which is null in JSON
	pools, now := r.View().Pools, time.Now()
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if r.sheds(pools[name]) {
			out = append(out, poolShares(name, pools[name].shedder.Status(now)))
		}
	}
	return out
}

func poolShares(name string, s shedding.Status) admin.PoolShares {
	out := admin.PoolShares{
		Pool: name, Short: s.Short, Capacity: roundTenths(s.Capacity), Used: roundTenths(s.Used), Complete: s.Complete, Classes: []admin.ClassShares{},
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, admin.ClassShares{
			Organisation: organisationLabel(c), Priority: int(c.OrgPriority), Rank: int(c.Rank), Returning: c.Returning,
			Offered: c.Work, Fraction: c.Fraction, Refused: c.Refused,
		})
	}
	return out
}

// organisationLabel returns the name of the organisation of a class, or what stands for it if this
// router does not know the name; empty: there are several.
func organisationLabel(c shedding.ClassStatus) string {
	if c.Organisation == "" && !c.Combined() {
		return admin.OrganisationLabel(c.Org)
	}
	return c.Organisation
}
