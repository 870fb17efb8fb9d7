package router

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/residency"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	signalsReceived = telemetry.NewFamily[string]("router_upstream_words_total", "condition",
		"Answers in which an upstream said that it leaves, or that it wants rest.")
	lateSignals = telemetry.NewCounter("router_late_answers_total",
		"Answers of upstreams that no request waited for, and that were read for what they say of their upstream.")
	withheld = telemetry.NewFamily[string]("router_withheld_attempts_total", "condition",
		"Attempts that were not sent to the upstream that was chosen, by what speaks against it by now.")
)

// handleSignal applies the signals about an upstream that came in the headers of its response.
func (d directTransport) handleSignal(at *attempt, signal exchange.Signal) {
	d.recordReportedLoad(at, signal)
	d.router.recordConditions(at.vm, signal, slog.Int("attempt", at.number))
}

// handleLateSignal applies the signals of a response that no attempt waits for: its attempt has
// ended, or the response is a second one.
func (r *Router) handleLateSignal(vm topo.VM, signal exchange.Signal) {
	lateSignals.Inc()
	if signal.Misdirected {
		r.recordReplaced(vm)
		return
	}
	if signal.Proven {
		r.recordSign(vm, signLateAnswer)
	}
	if pool := r.View().Pools[vm.Pool]; pool != nil && signal.Load != nil {
		pool.tracker.RecordLoad(time.Now(), load.Hash(vm.ID), signal.Load.Running+signal.Load.Waiting)
	}
	r.recordConditions(vm, signal, slog.Bool("late", true))
}

// recordConditions records and logs the conditions of an upstream that its response states.
func (r *Router) recordConditions(vm topo.VM, signal exchange.Signal, attr slog.Attr) {
	now := time.Now()
	attrs := append(upstreamAttrs(vm), attr)
	if signal.Leaving {
		signalsReceived.Inc(condition.Leaving.String())
		if r.conditions.RecordLeaving(now, vm.ID) {
			r.config.RequestLog.Log(telemetry.LineFailure, "upstream announced that it is leaving", signal.ID, attrs...)
		}
	}
	if signal.RetryAfter > 0 {
		signalsReceived.Inc(condition.Resting.String())
		r.conditions.RecordResting(now, vm.ID, signal.RetryAfter)
		attrs = append(attrs, slog.Int64("rest_ms", signal.RetryAfter.Milliseconds()))
		r.config.RequestLog.Log(telemetry.LineFailure, "upstream asked for a pause", signal.ID, attrs...)
	}
}

// upstreamAttrs returns the log attributes that identify an upstream.
func upstreamAttrs(vm topo.VM) []slog.Attr {
	return []slog.Attr{
		slog.String("upstream", vm.ID),
		slog.String("addr", vm.Addr),
		slog.String("pool", vm.Pool),
		slog.Bool("listed_leaving", vm.Leaving),
	}
}

// listedConditions returns the conditions that follow from an upstream's entry in the list and
// from operators' orders.
func (u upstream) listedConditions() condition.Set {
	var s condition.Set
	if u.vm.Leaving {
		s = s.Union(condition.Of(condition.Leaving))
	}
	if u.drained {
		s = s.Union(condition.Of(condition.Drained))
	}
	return s
}

// listedConditions returns the conditions of an upstream according to the pool's view: Gone if
// the view does not list it.
func (p *Pool) listedConditions(id string) condition.Set {
	if p == nil {
		return condition.Of(condition.Gone)
	}
	listed, ok := p.listed[id]
	if !ok {
		return condition.Of(condition.Gone)
	}
	return listed
}

// conditionsOf returns the present conditions of an upstream of a pool. It leaves out Suspected,
// which the pool's tracker derives from the outcomes of all its upstreams and applies itself
// when it chooses one.
func (r *Router) conditionsOf(now time.Time, p *Pool, id string) condition.Set {
	s := p.listedConditions(id).Union(r.conditions.Conditions(now, id))
	if r.isAtWarmupLimit(now, p, id) {
		s = s.Union(condition.Of(condition.Cold))
	}
	return s
}

// unavailableIn returns a function that reports whether this router may not send requests to
// upstream i of a pool now; nil if only the list restricts the choice.
func (r *Router) unavailableIn(now time.Time, p *Pool) (unavailable func(i int) bool) {
	mayBeCold := len(p.warmAt) > 0 || p.warmupRate > 0 && r.mayListLackRestarts(now)
	if !mayBeCold && r.conditions.Empty() {
		return nil
	}
	return func(i int) bool {
		permission, _ := r.conditionsOf(now, p, p.VMs[i].ID).Permission(condition.Work)
		return permission == condition.Never
	}
}

// admitSend admits a request that is about to be sent to an upstream of a pool and counts it
// towards the upstream's warm-up limit. It returns the reason if the request may not be sent,
// else nil. It checks the present conditions, which may have changed since the upstream was
// chosen.
func (r *Router) admitSend(now time.Time, pool string, vm topo.VM) *verdict.Error {
	p := r.View().Pools[pool]
	if permission, reason := r.conditionsOf(now, p, vm.ID).Permission(condition.Work); permission == condition.Never {
		return withhold(reason)
	}
	if !r.admitCold(now, p, vm.ID) {
		return withhold(condition.Cold)
	}
	return nil
}

// withhold counts an attempt that is not sent and returns its error.
func withhold(reason condition.Kind) *verdict.Error {
	withheld.Inc(reason.String())
	return errWithheld[reason]
}

// errWithheld maps the condition of an upstream to the error of an attempt that was not sent
// because of it.
var errWithheld = map[condition.Kind]*verdict.Error{
	condition.Gone:    verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "the upstream is gone"),
	condition.Drained: verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream is drained by operators' order"),
	condition.Leaving: verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream leaves"),
	condition.Resting: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream wants rest"),
	condition.Cold:    verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream is cold, and has got what it bears"),
}

// canDonate reports whether other upstreams may fetch cached prompts from an upstream.
func (r *Router) canDonate(now time.Time, view *View, vm topo.VM, allowed residency.Regions) bool {
	s := r.conditions.Conditions(now, vm.ID)
	if _, listed := view.VMs[vm.ID]; !listed {
		s = s.Union(condition.Of(condition.Gone))
	}
	if !allowed.Has(topo.Region(vm.FailureDomain)) {
		s = s.Union(condition.Of(condition.OutOfRegion))
	}
	permission, _ := s.Permission(condition.PromptTransfer)
	return permission != condition.Never
}

// passedOver returns the home upstream of the session and why it was not chosen. Both are empty
// if it was chosen or the request has no session.
func (resp *Response) passedOver(now time.Time) (home, reason string) {
	if resp.basis.Home == placement.None || resp.basis.PassedOver == placement.NotPassedOver {
		return "", ""
	}
	vm := resp.pool.VMs[resp.basis.Home]
	reason = string(resp.basis.PassedOver)
	if resp.basis.PassedOver == placement.PassedOverUnavailable {
		reason = resp.router.conditionsOf(now, resp.pool, vm.ID).String()
	}
	return vm.ID, reason
}

const (
	// coldRetryAfter is how long callers wait for a cold upstream at its warm-up limit, which
	// takes requests of this router again within this time.
	coldRetryAfter = time.Second
	// retryAfterJitter is the time over which the retries of rejected callers are spread, so that
	// they don't all reach an upstream at the moment its pause ends.
	retryAfterJitter = time.Second
)

// availableAfter returns the time until the first upstream of a pool takes requests again, with
// jitter. It returns zero if one takes requests now or none ever will.
func (r *Router) availableAfter(now time.Time, p *Pool) time.Duration {
	soonest := condition.Forever
	for i, vm := range p.VMs {
		if p.members[i].Leaving {
			continue
		}
		wait := r.conditions.AvailableIn(now, vm.ID)
		if r.isAtWarmupLimit(now, p, vm.ID) {
			wait = max(wait, coldRetryAfter)
		}
		soonest = min(soonest, wait)
	}
	if soonest == 0 || soonest == condition.Forever {
		return 0
	}
	return soonest + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// directBudget is the Budget of a request to upstreams without a sidecar. It logs what the budget
// of the pool allows and refuses. Its RetryAfter is not shorter than the time until an upstream of
// the pool takes requests again.
type directBudget struct {
	retry.PoolBudget
	resp *Response
}

// Withdraw implements dispatch.Budget.
func (b directBudget) Withdraw(cause retry.Cause) bool {
	allowed := b.resp.mayRunAgain() && b.PoolBudget.Withdraw(cause)
	counts := b.Counts()
	b.resp.log(telemetry.LineFailure, "another attempt was wanted",
		slog.String("cause", string(cause)), slog.Bool("allowed", allowed), slog.String("pool", b.resp.poolName),
		slog.Int("window_requests", counts.Requests), slog.Int("window_repeats", counts.Retries))
	return allowed
}

// RetryAfter implements dispatch.Budget.
func (b directBudget) RetryAfter(left time.Duration) time.Duration {
	return max(b.PoolBudget.RetryAfter(left), b.resp.router.availableAfter(time.Now(), b.resp.pool))
}

// pruneConditions drops the conditions of upstreams that left the list a while ago.
func (r *Router) pruneConditions(now time.Time) {
	vms := r.View().VMs
	r.conditions.Prune(now, func(id string) bool {
		_, listed := vms[id]
		return listed
	})
}
