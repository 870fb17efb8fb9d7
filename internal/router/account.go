package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// DirectUpstreams returns the load and the conditions of each upstream without a sidecar, as
// known to this router, sorted by pool and id.
func (r *Router) DirectUpstreams(now time.Time) []admin.UpstreamConditions {
	var out []admin.UpstreamConditions
	for _, p := range r.View().Pools {
		for _, vm := range p.VMs {
			if vm.Role == topo.RoleDirect {
				out = append(out, r.directUpstream(now, p, vm))
			}
		}
	}
	slices.SortFunc(out, func(a, b admin.UpstreamConditions) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.VM, b.VM))
	})
	return out
}

func (r *Router) directUpstream(now time.Time, p *Pool, vm topo.VM) admin.UpstreamConditions {
	id := load.Hash(vm.ID)
	set := r.conditionsOf(now, p, vm.ID)
	statements := append(r.listedStatements(now, p, vm.ID), r.conditions.Statements(now, vm.ID)...)
	if p.tracker.IsSuspected(now, id) {
		set = set.Union(condition.Of(condition.Suspected))
		statements = append(statements, condition.Statement{Kind: condition.Suspected, By: condition.ByOutcomes})
	}
	permission, reason := set.Permission(condition.Work)
	out := admin.UpstreamConditions{
		VM: vm.ID, Addr: vm.Addr, Pool: vm.Pool, FailureDomain: vm.FailureDomain, Version: vm.SoftwareVersion,
		Load: roundTenths(p.tracker.Load(now, id)), ReportedSlowdown: roundTenths(p.tracker.ReportedSlowdown(now, id)), Permission: permission.String(),
	}
	if permission != condition.Freely {
		out.Reason = reason.String()
	}
	for _, s := range statements {
		out.Conditions = append(out.Conditions, admin.Condition{Kind: s.Kind.String(), Source: string(s.By), Since: s.Since, Until: s.Until})
	}
	return out
}

// listedStatements returns the conditions of an upstream according to the pool's view. A cold
// upstream is included even while it may get requests.
func (r *Router) listedStatements(now time.Time, p *Pool, id string) []condition.Statement {
	var out []condition.Statement
	listed := p.listedConditions(id)
	if listed.Has(condition.Drained) {
		out = append(out, condition.Statement{Kind: condition.Drained, By: condition.ByOperators})
	}
	if listed.Has(condition.Leaving) {
		out = append(out, condition.Statement{Kind: condition.Leaving, By: condition.ByEntry})
	}
	if warmAt, cold := r.coldUntil(now, p, id); cold {
		out = append(out, condition.Statement{Kind: condition.Cold, By: condition.ByEntry, Until: warmAt})
	}
	return out
}
