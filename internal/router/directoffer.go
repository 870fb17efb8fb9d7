package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// isDirect reports whether the upstreams of a request have no sidecar. It also does so if
// the request's pool has no upstream and this router can call upstreams without a sidecar.
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
	resp := &Response{
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
	resp.transport = directTransport{resp}
	resp.ctx, resp.stop = context.WithCancel(ctx)
	if err := resp.holdToOrigin(); err != nil {
		resp.Close()
		return nil, err
	}
	resp.orderUrgency()
	if resp.pool != nil {
		resp.pool.tracker.RecordObjective(resp.req.Urgency, req.Profile.Objective.Std())
	}
	resp.isLikelyRetry = req.mayBeRetry() && r.retries.HasPendingReturns(now, pool)
	if err := resp.shed(now); err != nil {
		resp.Close()
		return nil, err
	}
	// Requests that are shed reach no upstream: they must not make their session count as one of those
	// with the most requests, which are spread over several upstreams.
	if resp.pool != nil && resp.session != 0 {
		resp.shareCounted = true
		resp.sessionShare = resp.pool.tracker.RecordRequest(now, resp.session, req.Profile.Name)
	}
	if err := resp.applyObservedCrashes(); err != nil {
		resp.Close()
		return nil, err
	}
	resp.targets = resp.chooseTargets(now)
	if len(resp.targets) == 0 {
		resp.Close()
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream that takes requests in %v", pool, req.regions())
		return nil, e.WithRetryAfter(resp.retryAfterNoUpstream(now))
	}
	resp.plan = req.directPlan(r.policy(), len(resp.targets))
	if resp.suspect {
		resp.plan.MaxSends, resp.plan.HedgeAfter, resp.plan.SwitchAfter = 1, 0, 0
	}
	budget := directBudget{PoolBudget: r.retries.Request(now, resp.poolName), resp: resp}
	if resp.basis.ShouldReject {
		resp.Close()
		return nil, resp.rejectLate(budget.RetryAfter(time.Until(resp.plan.Deadline)))
	}
	resp.state = dispatch.New(resp.plan, budget)
	if err := resp.run(); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// noUpstreamRetryAfter is the retry delay for callers of a pool without an upstream that takes
// requests, where it is not known when one will.
const noUpstreamRetryAfter = time.Second

// retryAfterNoUpstream returns the retry delay for a request for which there is no upstream.
func (resp *Response) retryAfterNoUpstream(now time.Time) time.Duration {
	if resp.pool == nil {
		return noUpstreamRetryAfter
	}
	return max(resp.router.availableAfter(now, resp.pool), noUpstreamRetryAfter)
}

var rejectedLate = telemetry.NewCounter("router_expected_late_total",
	"Requests turned away at once because no upstream was expected to begin their answer in time, or had a free place.")

// rejectLate rejects a request that no upstream is expected to start answering in time.
//
// In a surge beyond the capacity of a pool, requests would wait at the engines until their
// callers give up: 12195 of 45731 were dropped there without being run, after 2.1 s each.
// Callers that are rejected at once retry when there is capacity again.
func (resp *Response) rejectLate(retryAfter time.Duration) error {
	rejectedLate.Inc()
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the answer is expected to begin after %v only", resp.estimatedStart()).WithRetryAfter(retryAfter)
}

// estimatedStart returns the estimated time until the first byte of the response, at most an hour.
func (resp *Response) estimatedStart() time.Duration {
	seconds := min(resp.basis.EstimatedStart, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
}

// target implements transport. It chooses anew for each attempt: a stream may break
// off seconds after its request arrived, and an upstream that was a candidate then
// may be leaving now.
func (d directTransport) target(e dispatch.Offer) (target, bool) {
	if e.Attempt > 0 {
		d.view = d.router.View()
		pool := d.eligiblePool()
		if pool == nil {
			if d.origin.isUncertain(d.view) {
				d.tellOrigin(origins.Ambiguous)
			}
			return target{}, false
		}
		d.pool = pool
		d.targets = d.chooseTargets(time.Now())
	}
	now := time.Now()
	left := slices.DeleteFunc(slices.Clone(d.targets), func(t target) bool {
		return d.wasTried(t.vm)
	})
	if d.origin.known {
		left = d.withoutDoubtful(now, left)
	}
	return d.separate(left)
}

// eligiblePool returns the upstreams of the request's pool at which it may run; nil: there are none.
func (resp *Response) eligiblePool() *Pool {
	pool := resp.view.Pools[resp.poolName].inRegions(resp.req.regions())
	switch {
	case !resp.origin.known:
		return pool
	case resp.origin.isUncertain(resp.view):
		return nil
	}
	return pool.atVersion(resp.origin.version)
}

// wasTried reports whether the request has had an attempt at an upstream.
func (resp *Response) wasTried(vm topo.VM) bool {
	for _, at := range resp.attempts {
		if at.vm.ID == vm.ID {
			return true
		}
	}
	return false
}

// chooseTargets returns the upstreams to which a request may be offered now, best first.
func (resp *Response) chooseTargets(now time.Time) []target {
	if resp.pool == nil {
		return nil
	}
	var chosen [placement.MaxCandidates]placement.Choice
	tuning := resp.router.tuning.Load()
	q := placement.Query{Session: resp.session, LoadMultiple: tuning.LoadMultiple, Random: rand.Uint64(), SessionShare: resp.sessionShare, Now: now}
	r := balance.Request{
		Query: q, Profile: resp.req.Profile.Name, Urgency: resp.req.Urgency,
		Objective: resp.req.objective(resp.timeToFirstByte > 0), TimeLeft: resp.req.callerTimeLeft(now), ObjectiveMissed: resp.isLikelyRetry,
	}
	r.HearsAll = resp.router.hearsAllLoads()
	r.Unavailable = resp.router.unavailableIn(now, resp.pool)
	n, basis := resp.pool.tracker.Choose(now, resp.pool.placed, tuning.Policy, r, &chosen)
	resp.basis = basis
	resp.pool.logSuspicions(resp.poolName)
	out, shedder := make([]target, 0, n), resp.shedder()
	for _, unreachable := range [...]bool{false, true} {
		for _, c := range chosen[:n] {
			t := target{vm: resp.pool.VMs[c.Index], load: c.Load, despite: string(c.Despite), tracker: resp.pool.tracker, shedder: shedder}
			if resp.router.isUnreachable(t.vm.ID, now) != unreachable {
				continue
			}
			t.donor = resp.donor(now, c)
			out = append(out, t)
		}
	}
	return out
}

// donor returns the upstream from which a chosen one may fetch the session's cached prompt:
// the one that served the session last, if it can still donate, else the one that the choice
// names. It returns the zero VM if there is none.
func (resp *Response) donor(now time.Time, c placement.Choice) topo.VM {
	enabled := resp.router.policy()
	if !enabled.Donors {
		return topo.VM{}
	}
	if last, ok := resp.router.lastServed.Get(resp.session); ok && enabled.LastServed && last.ID != resp.pool.VMs[c.Index].ID {
		if resp.router.canDonate(now, resp.view, last, resp.req.regions()) {
			return last
		}
	}
	if c.Donor == placement.None || !resp.router.canDonate(now, resp.view, resp.pool.VMs[c.Donor], resp.req.regions()) {
		return topo.VM{}
	}
	return resp.pool.VMs[c.Donor]
}

// recordReportedLoad records the load that an upstream reports in the head of a response, plus
// one: the request of that response has only just started and is not included. Of 5.9 requests
// at an upstream, the heads of responses reported 4.7.
func (d directTransport) recordReportedLoad(at *attempt, signal exchange.Signal) {
	if signal.Load == nil {
		return
	}
	at.reported = signal.Load
	now, vm := time.Now(), load.Hash(at.vm.ID)
	at.tracker.SetSlots(signal.Load.Slots)
	at.tracker.RecordLoad(now, vm, signal.Load.Running+signal.Load.Waiting+1)
	if signal.Load.Slowdown > 0 {
		at.tracker.RecordReportedSlowdown(now, vm, signal.Load.Slowdown)
	}
}

// upstreamOrgName returns the name of an organisation at upstreams.
func upstreamOrgName(o *profile.Organisation) string {
	if o.UpstreamName != "" {
		return o.UpstreamName
	}
	return o.Name
}
