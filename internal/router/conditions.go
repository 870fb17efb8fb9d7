package router

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/residency"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	wordsHeard = telemetry.NewFamily[string]("router_upstream_words_total", "condition",
		"Answers in which an upstream said that it leaves, or that it wants rest.")
	withheld = telemetry.NewFamily[string]("router_withheld_attempts_total", "condition",
		"Attempts that were not sent to the upstream that was chosen, by what speaks against it by now.")
)

// heard takes in what an answer says of its upstream.
func (a direct) heard(at *attempt, w exchange.Signal) {
	a.loadHeard(at, w)
	now, vm := time.Now(), at.vm.ID
	if w.Leaving {
		wordsHeard.Inc(condition.Leaving.String())
		if a.router.conditions.RecordLeaving(now, vm) {
			a.log(telemetry.LineFailure, "upstream says that it leaves", at.vmAttrs()...)
		}
	}
	if w.RetryAfter > 0 {
		wordsHeard.Inc(condition.Resting.String())
		a.router.conditions.RecordResting(now, vm, w.RetryAfter)
		a.log(telemetry.LineFailure, "upstream wants rest", append(at.vmAttrs(), slog.Int64("rest_ms", w.RetryAfter.Milliseconds()))...)
	}
}

// vmAttrs names the upstream of an attempt in a line.
func (at *attempt) vmAttrs() []slog.Attr {
	return []slog.Attr{
		slog.Int("attempt", at.number),
		slog.String("upstream", at.vm.ID),
		slog.String("addr", at.vm.Addr),
		slog.String("pool", at.vm.Pool),
		slog.Bool("listed_leaving", at.vm.Leaving),
	}
}

// listed returns the conditions of an upstream that the list and operators' orders tell.
func (u upstream) listed() condition.Set {
	var s condition.Set
	if u.vm.Leaving {
		s = s.Union(condition.Of(condition.Leaving))
	}
	if u.drained {
		s = s.Union(condition.Of(condition.Drained))
	}
	return s
}

// of returns the conditions of an upstream that the pool's view tells.
func (p *Pool) of(id string) condition.Set {
	if p == nil {
		return condition.Of(condition.Gone)
	}
	listed, ok := p.listed[id]
	if !ok {
		return condition.Of(condition.Gone)
	}
	return listed
}

// against returns what speaks against an upstream of a pool now, but for its outcomes, which
// count against others' in the choice.
func (r *Router) against(now time.Time, p *Pool, id string) condition.Set {
	s := p.of(id).Union(r.conditions.Conditions(now, id))
	if r.coldClosed(now, p, id) {
		s = s.Union(condition.Of(condition.Cold))
	}
	return s
}

// closedIn returns which upstreams of a pool may get no request of this router now; nil: any
// that the list allows.
func (r *Router) closedIn(now time.Time, p *Pool) (closed func(i int) bool) {
	if len(p.cold) == 0 && r.conditions.Empty() {
		return nil
	}
	return func(i int) bool {
		leave, _ := r.against(now, p, p.VMs[i].ID).Allows(condition.Work)
		return leave == condition.Never
	}
}

// admits counts a request that is about to be sent to an upstream of a pool, and returns why it
// may not be; nil: it may. It goes by what is known now: much may have been heard of the
// upstream since it was chosen.
func (r *Router) admits(now time.Time, pool string, vm topo.VM) *verdict.Error {
	p := r.View().Pools[pool]
	if leave, why := r.against(now, p, vm.ID).Allows(condition.Work); leave == condition.Never {
		return withhold(why)
	}
	if !r.takeCold(now, p, vm.ID) {
		return withhold(condition.Cold)
	}
	return nil
}

func withhold(why condition.Kind) *verdict.Error {
	withheld.Inc(why.String())
	return errWithheld[why]
}

// errWithheld is why an attempt was not sent, by what speaks against its upstream.
var errWithheld = map[condition.Kind]*verdict.Error{
	condition.Gone:    verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "the upstream is gone"),
	condition.Drained: verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream is drained by operators' order"),
	condition.Leaving: verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream leaves"),
	condition.Resting: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream wants rest"),
	condition.Cold:    verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream is cold, and has got what it bears"),
}

// givesPrompts reports whether others may get cached prompts from an upstream.
func (r *Router) givesPrompts(now time.Time, view *View, vm topo.VM, allowed residency.Regions) bool {
	s := r.conditions.Conditions(now, vm.ID)
	if _, listed := view.VMs[vm.ID]; !listed {
		s = s.Union(condition.Of(condition.Gone))
	}
	if !allowed.Has(topo.Region(vm.FailureDomain)) {
		s = s.Union(condition.Of(condition.OutOfRegion))
	}
	leave, _ := s.Allows(condition.Prompt)
	return leave != condition.Never
}

// passedOver says why the upstream that ranks first for a session is not the one that was
// chosen; empty: it is, or there is no session.
func (a *Answer) passedOver(now time.Time) (home, why string) {
	if a.basis.Home == placement.None || a.basis.PassedOver == placement.NotPassedOver {
		return "", ""
	}
	vm := a.pool.VMs[a.basis.Home]
	why = string(a.basis.PassedOver)
	if a.basis.PassedOver == placement.PassedOverUnavailable {
		why = a.router.against(now, a.pool, vm.ID).String()
	}
	return vm.ID, why
}

const (
	// coldEnds is within which time a cold upstream takes requests of this router again.
	coldEnds = time.Second
	// returnSpread is the time over which callers come back that were turned away for one rest:
	// the upstream gets them one after the other.
	returnSpread = time.Second
)

// opens returns when the first upstream of a pool takes requests again; zero: one does now, or
// none of them will.
func (r *Router) opens(now time.Time, p *Pool) time.Duration {
	soonest := condition.Forever
	for i, vm := range p.VMs {
		if p.members[i].Leaving {
			continue
		}
		ends := r.conditions.AvailableIn(now, vm.ID)
		if r.coldClosed(now, p, vm.ID) {
			ends = max(ends, coldEnds)
		}
		soonest = min(soonest, ends)
	}
	if soonest == 0 || soonest == condition.Forever {
		return 0
	}
	return soonest + time.Duration(rand.Int64N(int64(returnSpread)))
}

// advisor is a Budget that sends nobody back to a pool before one of its upstreams takes
// requests.
type advisor struct {
	dispatch.Budget
	router *Router
	pool   *Pool
}

// RetryAfter implements dispatch.Budget.
func (a advisor) RetryAfter(left time.Duration) time.Duration {
	return max(a.Budget.RetryAfter(left), a.router.opens(time.Now(), a.pool))
}

// keepConditions forgets the conditions of upstreams that are gone for long.
func (r *Router) keepConditions(now time.Time) {
	vms := r.View().VMs
	r.conditions.Prune(now, func(id string) bool {
		_, listed := vms[id]
		return listed
	})
}
