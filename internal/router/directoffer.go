package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// isDirect reports whether the upstreams of a request have no sidecar.
func (r *Router) isDirect(view *View, req *Request) bool {
	if r.config.Direct == nil {
		return false
	}
	pool := view.Pools[req.poolName()]
	return pool == nil || pool.VMs[0].Role == topo.RoleDirect
}

// poolName returns the pool that serves the request. If the profile splits its
// traffic between pools, it draws one by weight, always the same for a session.
func (r *Request) poolName() string {
	shares := r.Profile.Split
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Profile.Pool
	}
	at := rand.IntN(total)
	if hash := sessionHash("", r.Session); hash != 0 {
		at = int(hash % uint64(total))
	}
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return r.Profile.Pool
}

// dispatchDirect is Dispatch for upstreams without a sidecar.
func (r *Router) dispatchDirect(ctx context.Context, view *View, req Request) (*Response, error) {
	now := time.Now()
	pool := req.poolName()
	a := &Response{
		router:   r,
		req:      req,
		view:     view,
		pool:     view.Pools[pool].inRegions(req.regions()),
		poolName: pool,
		session:  sessionHash("", req.Session),
		started:  req.Arrived,
		caller:   ctx,
		outcomes: make(chan outcome),
		release:  func() {},
	}
	a.transport = directTransport{a}
	a.ctx, a.stop = context.WithCancel(ctx)
	if a.pool != nil {
		a.pool.tracker.RecordObjective(req.Urgency, req.Profile.Objective.Std())
	}
	if a.pool != nil && a.session != 0 {
		a.shareCounted = true
		a.sessionShare = a.pool.tracker.RecordRequest(now, a.session, req.Profile.Name)
	}
	a.returning = req.mayBeReturning() && r.retries.HasPendingReturns(now, pool)
	a.targets = a.chooseTargets(now)
	if len(a.targets) == 0 {
		a.Close()
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream that takes requests in %v", pool, req.regions())
		return nil, e.WithRetryAfter(a.retryAfterNoUpstream(now))
	}
	a.plan = req.directPlan(r.policy(), len(a.targets))
	budget := availabilityBudget{Budget: r.retries.Request(now, a.poolName), router: r, pool: a.pool}
	if a.basis.ShouldReject {
		a.Close()
		return nil, a.rejectLate(budget.RetryAfter(time.Until(a.plan.Deadline)))
	}
	a.state = dispatch.New(a.plan, budget)
	if err := a.run(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// noUpstreamRetryAfter is the retry delay for callers of a pool without an upstream that takes
// requests, where it is not known when one will.
const noUpstreamRetryAfter = time.Second

// retryAfterNoUpstream returns the retry delay for a request for which there is no upstream.
func (a *Response) retryAfterNoUpstream(now time.Time) time.Duration {
	if a.pool == nil {
		return noUpstreamRetryAfter
	}
	return max(a.router.availableAfter(now, a.pool), noUpstreamRetryAfter)
}

var rejectedLate = telemetry.NewCounter("router_expected_late_total",
	"Requests turned away at once because no upstream was expected to begin their answer in time, or had a free place.")

// rejectLate rejects a request that no upstream is expected to start answering in time.
//
// In a surge beyond the capacity of a pool, requests would wait at the engines until their
// callers give up: 12195 of 45731 were dropped there without being run, after 2.1 s each.
// Callers that are rejected at once retry when there is capacity again.
func (a *Response) rejectLate(retryAfter time.Duration) error {
	rejectedLate.Inc()
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the answer is expected to begin after %v only", a.estimatedStart()).WithRetryAfter(retryAfter)
}

// estimatedStart returns the estimated time until the first byte of the answer, at most an hour.
func (a *Response) estimatedStart() time.Duration {
	seconds := min(a.basis.EstimatedStart, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
}

// target implements transport. It chooses anew for each attempt: a stream may break
// off seconds after its request arrived, and an upstream that was a candidate then
// may be leaving now.
func (a directTransport) target(e dispatch.Offer) (target, bool) {
	if e.Attempt > 0 {
		a.view = a.router.View()
		a.pool = a.view.Pools[a.poolName].inRegions(a.req.regions())
		a.targets = a.chooseTargets(time.Now())
	}
	for _, t := range a.targets {
		if !a.wasTried(t.vm) {
			return t, true
		}
	}
	return target{}, false
}

// wasTried reports whether the request has had an attempt at an upstream.
func (a *Response) wasTried(vm topo.VM) bool {
	for _, at := range a.attempts {
		if at.vm.ID == vm.ID {
			return true
		}
	}
	return false
}

// chooseTargets returns the upstreams to which a request may be offered now, best first.
func (a *Response) chooseTargets(now time.Time) []target {
	if a.pool == nil {
		return nil
	}
	var chosen [placement.MaxCandidates]placement.Choice
	tuning := a.router.tuning.Load()
	q := placement.Query{Session: a.session, LoadMultiple: tuning.LoadMultiple, Random: rand.Uint64(), SessionShare: a.sessionShare, Now: now}
	r := balance.Request{
		Query: q, Profile: a.req.Profile.Name, Urgency: a.req.Urgency,
		Objective: a.req.objective(a.timeToFirstByte > 0), TimeLeft: a.req.callerTimeLeft(now), ObjectiveMissed: a.returning,
	}
	r.Unavailable = a.router.unavailableIn(now, a.pool)
	n, basis := a.pool.tracker.Choose(now, a.pool.placed, tuning.Policy, r, &chosen)
	a.basis = basis
	a.pool.logSuspicions(a.poolName)
	out := make([]target, 0, n)
	for _, unreachable := range [...]bool{false, true} {
		for _, c := range chosen[:n] {
			t := target{vm: a.pool.VMs[c.Index], load: c.Load, tracker: a.pool.tracker}
			if a.router.isUnreachable(t.vm.ID, now) != unreachable {
				continue
			}
			t.donor = a.donor(now, c)
			out = append(out, t)
		}
	}
	return out
}

// donor returns the upstream from which a chosen one may fetch the session's cached prompt:
// the one that served the session last, if it can still donate, else the one that the choice
// names. It returns the zero VM if there is none.
func (a *Response) donor(now time.Time, c placement.Choice) topo.VM {
	enabled := a.router.policy()
	if !enabled.Donors {
		return topo.VM{}
	}
	if last, ok := a.router.lastServed.Get(a.session); ok && enabled.LastServed && last.ID != a.pool.VMs[c.Index].ID {
		if a.router.canDonate(now, a.view, last, a.req.regions()) {
			return last
		}
	}
	if c.Donor == placement.None || !a.router.canDonate(now, a.view, a.pool.VMs[c.Donor], a.req.regions()) {
		return topo.VM{}
	}
	return a.pool.VMs[c.Donor]
}

// recordReportedLoad records the load that an upstream reports, plus one: the request that it
// answers has only just started and is not included. Of 5.9 requests at an upstream, the heads
// of answers reported 4.7.
func (a directTransport) recordReportedLoad(at *attempt, w exchange.Signal) {
	if w.Load != nil {
		at.tracker.SetSlots(w.Load.Slots)
		at.tracker.RecordLoad(time.Now(), load.Hash(at.vm.ID), w.Load.Running+w.Load.Waiting+1)
	}
}

// upstreamOrgName returns the name of an organisation at upstreams.
func upstreamOrgName(o *profile.Organisation) string {
	if o.UpstreamName != "" {
		return o.UpstreamName
	}
	return o.Name
}
