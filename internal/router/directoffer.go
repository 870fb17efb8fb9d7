package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/outlier"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// direct reports whether the upstreams of a request have no sidecar.
func (r *Router) direct(view *View, req *Request) bool {
	if r.config.Direct == nil {
		return false
	}
	pool := view.Pools[req.poolName()]
	return pool == nil || pool.VMs[0].Role == topo.RoleDirect
}

// poolName returns the pool that serves the request: one of those between which
// its profile splits its traffic, always the same for a session.
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
func (r *Router) dispatchDirect(ctx context.Context, view *View, req Request) (*Answer, error) {
	now := time.Now()
	pool := req.poolName()
	a := &Answer{
		router:   r,
		req:      req,
		view:     view,
		pool:     view.Pools[pool],
		poolName: pool,
		session:  sessionHash("", req.Session),
		started:  req.Arrived,
		caller:   ctx,
		outcomes: make(chan outcome),
		release:  func() {},
	}
	a.carrier = direct{a}
	a.ctx, a.stop = context.WithCancel(ctx)
	if a.pool != nil && a.session != 0 {
		a.counted = true
		a.share = a.pool.tally.ask(now, a.session, req.Profile.Name)
	}
	a.targets = a.choices(now)
	if len(a.targets) == 0 {
		a.Close()
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream", pool)
		return nil, e.Later(time.Second)
	}
	a.plan = req.directPlan(r.policy(), len(a.targets))
	a.state = dispatch.New(a.plan, r.limits.pool(a.poolName))
	if err := a.run(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// target implements carrier. It chooses anew for each attempt: a stream may break
// off seconds after its request came, and an upstream that was a candidate then
// may be leaving now.
func (a direct) target(e dispatch.Offer) (target, bool) {
	if e.Attempt > 0 {
		a.view = a.router.View()
		a.pool = a.view.Pools[a.poolName]
		a.targets = a.choices(time.Now())
	}
	for _, t := range a.targets {
		if !a.tried(t.vm) {
			return t, true
		}
	}
	return target{}, false
}

// tried reports whether an attempt has gone to an upstream.
func (a *Answer) tried(vm topo.VM) bool {
	for _, at := range a.attempts {
		if at.vm.ID == vm.ID {
			return true
		}
	}
	return false
}

// choices returns the upstreams to which a request may be offered now, in order.
func (a *Answer) choices(now time.Time) []target {
	if a.pool == nil {
		return nil
	}
	var chosen [placement.Candidates]placement.Choice
	on := a.router.policy()
	q := placement.Query{Session: a.session, Multiple: a.router.tuning.Load().LoadMultiple, Random: rand.Uint64(), Now: now, Flat: !on.DomainSpill}
	if on.HotSpread {
		q.Share = a.share
	}
	n, basis := a.pool.tally.choose(now, a.pool.placed, on, q, &chosen)
	a.basis = basis
	a.pool.logSuspicions(a.poolName)
	out := make([]target, 0, n)
	for _, avoided := range [...]bool{false, true} {
		for _, c := range chosen[:n] {
			t := target{vm: a.pool.VMs[c.Index], load: c.Load, tally: a.pool.tally}
			if a.router.avoids(t.vm.ID, now) != avoided {
				continue
			}
			t.donor = a.donor(now, c)
			out = append(out, t)
		}
	}
	return out
}

// donor returns the upstream from which a chosen one may get the session's prompt:
// the one that has served the session last, if it is still there, else the likeliest
// by the ranking.
func (a *Answer) donor(now time.Time, c placement.Choice) topo.VM {
	on := a.router.policy()
	if !on.Donors {
		return topo.VM{}
	}
	if last, ok := a.router.holders.last(a.session); ok && on.LastServed && last.ID != a.pool.VMs[c.Index].ID {
		if _, listed := a.view.VMs[last.ID]; listed && !a.router.avoids(last.ID, now) {
			return last
		}
	}
	if c.Donor == placement.None {
		return topo.VM{}
	}
	return a.pool.VMs[c.Donor]
}

// loadHeard takes in what an upstream says of its load. The request that it answers
// has only begun and is not in it: of 5.9 requests at an upstream, the heads of
// answers tell 4.7.
func (a direct) loadHeard(at *attempt, w exchange.Word) {
	if w.Load != nil {
		at.tally.hear(time.Now(), load.Hash(at.vm.ID), w.Load.Running+w.Load.Waiting+1)
	}
}

// tally is the loads of one pool's upstreams as this router counts and hears
// them. It outlives the views that refer to it.
type tally struct {
	mu     sync.Mutex
	load   *load.Tally
	demand *load.Demand
	pace   *load.Pace
	faults *outlier.Detector
}

func newTally() *tally {
	return &tally{load: load.NewTally(), demand: load.NewDemand(), pace: load.NewPace(), faults: outlier.New()}
}

func (t *tally) choose(now time.Time, p *placement.Pool, on policy.Policy, q placement.Query, out *[placement.Candidates]placement.Choice) (int, placement.Basis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.Multiple *= boundShare(t.load.Seen(p.Len()))
	return p.Bounded(loadsAt{t, on, now, p.Len()}, q, out)
}

const (
	// toldShare is the part of the platform's bound on the load of an upstream up to
	// which routers fill it where they go by what they are told, which is a little
	// old, and mostShare where they count nearly everything themselves. In between,
	// countedShare times the part that a router counts is added. With 4 routers that
	// makes 0.9: a fifth fewer tokens are moved than with 0.8.
	toldShare, countedShare, mostShare = 0.8, 0.4, 0.95
)

// boundShare returns the part of the platform's bound up to which a router fills an
// upstream if it counts a part of all requests itself.
func boundShare(seen float64) float64 {
	return min(toldShare+countedShare*seen, mostShare)
}

// ask counts a request of a session and returns its share of the pool's.
func (t *tally) ask(now time.Time, session uint64, profile string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demand.Ask(now, session, profile)
}

func (t *tally) took(profile string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand.Took(profile, d)
}

func (t *tally) hear(now time.Time, vm load.VM, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Hear(now, vm, requests)
}

func (t *tally) begin(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Begin(vm)
}

func (t *tally) end(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.End(vm)
}

func (t *tally) keep(members []load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Keep(members)
	t.pace.Keep(members)
	t.faults.Keep(members)
}

// went takes in how an attempt went at an upstream, and how long that took to show.
func (t *tally) went(now time.Time, vm load.VM, profile string, d time.Duration, well bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if well {
		t.pace.Took(now, vm, profile, d)
		t.faults.Succeeded(now, vm)
	} else {
		t.pace.Waited(now, vm, profile, d)
		t.faults.Failed(now, vm)
	}
}

// failed takes in that an attempt failed at an upstream, beside what went has said of it.
func (t *tally) failed(now time.Time, vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.Failed(now, vm)
}

// loadsAt is a tally at one moment, for n upstreams. It implements placement.Loads.
type loadsAt struct {
	*tally
	on  policy.Policy
	now time.Time
	n   int
}

// Load implements placement.Loads.
func (l loadsAt) Load(vm load.VM) float64 { return l.load.Load(l.now, vm) }

// Wait implements placement.Loads: the time of an answer grows with what waits before
// it, of which this router knows its own requests.
func (l loadsAt) Wait(vm load.VM) float64 {
	wait := l.load.Load(l.now, vm) + 1
	if l.on.Pace {
		wait *= l.pace.Slowness(l.now, vm)
	}
	return wait
}

// Upper implements placement.Loads.
func (l loadsAt) Upper(vm load.VM) float64 { return l.load.Upper(l.now, vm) }

// Mean implements placement.Loads. It is that of all upstreams, also while some are
// suspected: measured against those that take their requests on, the bound would be far
// above the operators', who count all.
func (l loadsAt) Mean() float64 { return l.load.Mean(l.n) }

// Suspects implements placement.Loads.
func (l loadsAt) Suspects(vm load.VM) bool {
	return l.on.Outliers && l.faults.Suspects(l.now, vm)
}

// upstreamName is what upstreams call an organisation.
func upstreamName(o *profile.Organisation) string {
	if o.UpstreamName != "" {
		return o.UpstreamName
	}
	return o.Name
}
