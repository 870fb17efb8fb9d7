package router

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	wordsHeard = telemetry.NewFamily[condition.Reason]("router_upstream_words_total", "word",
		"Answers in which an upstream said that it leaves, or that it wants rest.")
	withheld = telemetry.NewFamily[condition.Reason]("router_withheld_attempts_total", "word",
		"Attempts that were not sent to the upstream that was chosen, since it has said meanwhile that it leaves, or wants rest.")
)

// heard takes in what an answer says of its upstream.
func (a direct) heard(at *attempt, w exchange.Word) {
	a.loadHeard(at, w)
	now, vm := time.Now(), load.Hash(at.vm.ID)
	if w.Leaving {
		wordsHeard.Inc(condition.Leaving)
		if a.router.said.Leaves(now, vm) {
			a.log(telemetry.LineFailure, "upstream says that it leaves", at.vmAttrs()...)
		}
	}
	if w.Rest > 0 {
		wordsHeard.Inc(condition.Resting)
		a.router.said.Rests(now, vm, w.Rest)
		a.log(telemetry.LineFailure, "upstream wants rest", append(at.vmAttrs(), slog.Int64("rest_ms", w.Rest.Milliseconds()))...)
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

// closedIn returns which upstreams of a pool may get no request of this router now; nil: any
// may get one.
func (r *Router) closedIn(now time.Time, p *Pool) (closed func(load.VM) bool) {
	cold := r.coldIn(now, p)
	if r.said.Empty() {
		return cold
	}
	return func(vm load.VM) bool {
		return r.said.Of(vm).Against(now) != condition.None || cold != nil && cold(vm)
	}
}

// admits counts a request that is about to be sent to an upstream of a pool, and returns why it
// may not be; nil: it may. What speaks against the upstream may have been heard since it was
// chosen.
func (r *Router) admits(now time.Time, pool string, vm topo.VM) *verdict.Error {
	id := load.Hash(vm.ID)
	if reason := r.said.Of(id).Against(now); reason != condition.None {
		withheld.Inc(reason)
		return errWithheld[reason]
	}
	if !r.admitsCold(now, pool, id) {
		return errCold
	}
	return nil
}

// errWithheld is why an attempt was not sent to an upstream that does not want it.
var errWithheld = map[condition.Reason]*verdict.Error{
	condition.Leaving: verdict.New(verdict.NotRun, verdict.ReasonDraining, "the upstream has said that it leaves"),
	condition.Resting: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the upstream wants rest"),
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
	soonest := condition.Never
	cold := r.coldIn(now, p)
	for i, m := range p.members {
		if p.members[i].Leaving {
			continue
		}
		ends := r.said.Of(m.VM).Ends(now)
		if cold != nil && cold(m.VM) {
			ends = max(ends, coldEnds)
		}
		soonest = min(soonest, ends)
	}
	if soonest == 0 || soonest == condition.Never {
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

// keepSaid forgets what upstreams have said that are gone for long.
func (r *Router) keepSaid(now time.Time) {
	listed := make(map[load.VM]bool)
	for id := range r.View().VMs {
		listed[load.Hash(id)] = true
	}
	r.said.Keep(now, listed)
}
