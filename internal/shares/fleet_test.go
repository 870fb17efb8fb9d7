package shares

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

const (
	simStep       = 10 * time.Millisecond
	simUpdate     = 100 * time.Millisecond // interval of Gate.Update
	simExchange   = 750 * time.Millisecond // interval of reports and summaries of a router
	simExpiry     = 2 * time.Second        // of reports and summaries
	simNamed      = 8                      // organisations that totals name
	simRouters    = 24
	simCapacity   = 1600.0 // of the simulated engines
	surgeStart    = 6 * time.Second
	surgeEnd      = 15 * time.Second
	afterSurge    = surgeEnd + 2*time.Second
	simulationEnd = 25 * time.Second
)

// simPool is a simulated pool of upstreams.
type simPool interface {
	// accept reports whether an upstream accepts a request.
	accept(now time.Duration) bool
	// state returns the state of the pool as a router sees it.
	state(now time.Duration, r *simRouter, t demand.Totals) Pool
}

// engines is a pool that reports its load. It accepts a quarter more requests than its capacity,
// each of which takes one second on average.
type engines struct {
	random     *rand.Rand
	held       int
	ends       map[time.Duration]int // number of requests by the step in which they end
	advancedTo time.Duration
	reported   float64 // load at the last report
	reportAt   time.Duration
}

func newEngines(seed uint64) *engines {
	return &engines{random: newRandom(seed), ends: make(map[time.Duration]int)}
}

func (e *engines) advance(now time.Duration) {
	for ; e.advancedTo <= now; e.advancedTo += simStep {
		e.held -= e.ends[e.advancedTo]
		delete(e.ends, e.advancedTo)
	}
}

func (e *engines) accept(now time.Duration) bool {
	e.advance(now)
	if float64(e.held) >= 1.25*simCapacity {
		return false
	}
	e.held++
	end := now + time.Duration(e.random.ExpFloat64()*float64(time.Second))
	e.ends[end.Truncate(simStep)+simStep]++
	return true
}

func (e *engines) state(now time.Duration, _ *simRouter, _ demand.Totals) Pool {
	if now >= e.reportAt {
		e.advance(now)
		e.reported, e.reportAt = float64(e.held), now+simUpdate
	}
	return Pool{Capacity: simCapacity, Used: e.reported}
}

// plain is a pool that reports no load and accepts a number of requests per second.
type plain struct {
	rate     func(now time.Duration) float64
	tokens   float64
	tokensAt time.Duration
}

// plainBurst is the number of requests that a plain pool accepts at once after it was idle.
const plainBurst = 20

func (p *plain) accept(now time.Duration) bool {
	p.tokens = min(plainBurst, p.tokens+p.rate(now)*(now-p.tokensAt).Seconds())
	p.tokensAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *plain) state(now time.Duration, r *simRouter, t demand.Totals) Pool {
	capacity, used := r.capacity.Update(start.Add(now), t)
	return Pool{Capacity: capacity, Used: used}
}

// simRate is a rate that decays with a time constant of one second, as those of package demand.
type simRate struct {
	value float64
	at    time.Duration
}

func (r *simRate) get(now time.Duration) float64 {
	return r.value * math.Exp(-(now - r.at).Seconds())
}

func (r *simRate) count(now time.Duration) {
	r.value, r.at = r.get(now)+1, now
}

// simReport is what one router or several are offered.
type simReport struct {
	at                 time.Duration
	offered            map[demand.Class]float64
	accepted, rejected float64
}

func (r *simReport) add(o simReport) {
	for c, v := range o.offered {
		r.offered[c] += v
	}
	r.accepted += o.accepted
	r.rejected += o.rejected
}

// simRouter is a router with its part of the exchange of demand.
type simRouter struct {
	gate               *Gate
	capacity           RateCapacity
	offered            map[demand.Class]*simRate
	accepted, rejected simRate
	report             simReport // last one that the root has
	summary            simReport // last one that this router has; it covers the other routers
	isCutOff           bool
	estimate           Pool // state of the pool at the last Update
}

func (r *simRouter) own(now time.Duration) simReport {
	out := simReport{at: now, offered: make(map[demand.Class]float64), accepted: r.accepted.get(now), rejected: r.rejected.get(now)}
	for c, rate := range r.offered {
		out.offered[c] = rate.get(now)
	}
	return out
}

// simOrg is an organisation of the simulation.
type simOrg struct {
	class  demand.Class
	rate   func(now time.Duration) float64 // requests per second
	router func(now time.Duration) int     // index, -1: any
	next   time.Duration                   // time of the next request
}

// outcome counts the requests of a period.
type outcome struct{ offered, refused, served float64 }

func (o outcome) fraction() float64 { return o.served / o.offered }

// simFleet simulates routers in front of a pool in virtual time.
type simFleet struct {
	random  *rand.Rand
	routers []*simRouter
	orgs    []*simOrg
	pool    simPool
	// reportUntil is the time until which routers report.
	reportUntil time.Duration
	// observe is called for each request.
	observe func(now time.Duration, org, router int, admitted, served bool)
	// tick is called after each step.
	tick func(now time.Duration)
}

func newSimFleet(seed uint64, routers int, pool simPool) *simFleet {
	f := &simFleet{random: newRandom(seed), pool: pool}
	for range routers {
		f.routers = append(f.routers, &simRouter{gate: NewGate(f.random), offered: make(map[demand.Class]*simRate),
			report: simReport{at: -simExpiry}, summary: simReport{at: -simExpiry}})
	}
	return f
}

// addOrg adds an organisation of which 60% of the requests are of rank 0 and the others of rank 3.
func (f *simFleet) addOrg(rate func(now time.Duration) float64) *simOrg {
	o := &simOrg{class: demand.Class{Org: uint32(len(f.orgs) + 1), Weight: 1}, rate: rate, router: func(time.Duration) int { return -1 }}
	f.orgs = append(f.orgs, o)
	return o
}

func (f *simFleet) run(until time.Duration) {
	for now := time.Duration(0); now < until; now += simStep {
		f.exchange(now)
		for i, r := range f.routers {
			if now%simUpdate == simStep*time.Duration(i%int(simUpdate/simStep)) {
				f.update(now, r)
			}
		}
		for i, o := range f.orgs {
			for ; o.next < now+simStep; o.next += time.Duration(f.random.ExpFloat64() / o.rate(o.next) * float64(time.Second)) {
				f.request(o.next, i)
			}
		}
		if f.tick != nil {
			f.tick(now)
		}
	}
}

func (f *simFleet) request(now time.Duration, org int) {
	o := f.orgs[org]
	i := o.router(now)
	if i < 0 {
		i = f.random.IntN(len(f.routers))
	}
	r, c := f.routers[i], o.class
	if f.random.Float64() >= 0.6 {
		c.Rank = 3
	}
	if r.offered[c] == nil {
		r.offered[c] = &simRate{}
	}
	r.offered[c].count(now)
	admitted := r.gate.Decide(start.Add(now), c).Admit
	served := admitted && f.pool.accept(now)
	if served {
		r.accepted.count(now)
	} else if admitted {
		r.rejected.count(now)
	}
	if f.observe != nil {
		f.observe(now, org, i, admitted, served)
	}
}

// exchange lets routers report while one of them sees the pool as scarce, or has seen it so within
// the lifetime of a report. Each reports and gets a summary every 750 ms at a time of its own; a
// summary has the last reports that the root has.
func (f *simFleet) exchange(now time.Duration) {
	if slices.ContainsFunc(f.routers, func(r *simRouter) bool { return r.isScarce(now) }) {
		f.reportUntil = now + simExpiry
	}
	if now >= f.reportUntil {
		return
	}
	for i, r := range f.routers {
		phase := (now + simExchange*time.Duration(i)/time.Duration(len(f.routers))).Truncate(simStep) % simExchange
		if r.isCutOff {
			continue
		}
		if phase == 0 {
			r.report = r.own(now)
		}
		if phase == simExchange/2/simStep*simStep {
			r.summary = f.summaryFor(now, r)
		}
	}
}

func (r *simRouter) isScarce(now time.Duration) bool {
	accepted, rejected := r.accepted.get(now), r.rejected.get(now)
	return r.gate.Short() || r.estimate.ratio() >= 0.65 || rejected > 0.1 && rejected > minRejectedPart*(accepted+rejected)
}

func (f *simFleet) summaryFor(now time.Duration, r *simRouter) simReport {
	out := simReport{at: now, offered: make(map[demand.Class]float64)}
	for _, o := range f.routers {
		if o != r && now-o.report.at < simExpiry {
			out.add(o.report)
		}
	}
	return out
}

func (f *simFleet) update(now time.Duration, r *simRouter) {
	sum, complete := r.own(now), len(f.routers) == 1
	if now-r.summary.at < simExpiry {
		complete = true
		sum.add(r.summary)
	}
	totals := sum.totals()
	totals.Complete = complete
	r.estimate = f.pool.state(now, r, totals)
	r.estimate.Routers = len(f.routers)
	r.gate.Update(start.Add(now), r.estimate, totals)
}

// totals names the organisations with the most work and combines the others.
func (r *simReport) totals() demand.Totals {
	work := make(map[uint32]float64)
	for c, v := range r.offered {
		work[c.Org] += v
	}
	var orgs []uint32
	for org := range work {
		orgs = append(orgs, org)
	}
	slices.SortFunc(orgs, func(a, b uint32) int { return cmp.Or(cmp.Compare(work[b], work[a]), cmp.Compare(a, b)) })
	named := orgs[:min(simNamed, len(orgs))]
	combined := make(map[demand.Class]demand.Rate)
	out := demand.Totals{Accepted: r.accepted, Rejected: r.rejected}
	for c, v := range r.offered {
		if slices.Contains(named, c.Org) {
			out.Rates = append(out.Rates, demand.Rate{Class: c, Orgs: 1, Offered: v})
			continue
		}
		c.Org = 0
		rate := combined[c]
		combined[c] = demand.Rate{Class: c, Orgs: rate.Orgs + 1, Offered: rate.Offered + v}
	}
	for _, rate := range combined {
		out.Rates = append(out.Rates, rate)
	}
	slices.SortFunc(out.Rates, func(a, b demand.Rate) int {
		return cmp.Or(cmp.Compare(a.Org, b.Org), cmp.Compare(a.Rank, b.Rank))
	})
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func inSurge(now time.Duration) bool { return now >= surgeStart && now < surgeEnd }

// surgeRate returns a rate that is some times higher in the surge.
func surgeRate(rate, times float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if inSurge(now) {
			return rate * times
		}
		return rate
	}
}

// surgeFleet returns a fleet in front of engines, of which 56% are in use. In the surge
// the first organisation sends 12 times its usual 160 requests per second, which would take up
// 1.7 times the capacity together with the others.
func surgeFleet(seed uint64) *simFleet {
	f := newSimFleet(seed, simRouters, newEngines(seed+100))
	f.addOrg(surgeRate(160, 12))
	for range 23 {
		f.addOrg(constantRate(32))
	}
	return f
}

// One organisation sends 12 times its usual traffic for 9 s, through all routers or through one.
// Guards against other organisations that lose their places to it, against requests that are held
// back after the surge, and against a pool that is left unused.
func TestSurgeOfOneOrganisation(t *testing.T) {
	for _, c := range []struct {
		name   string
		router int
	}{{"through all routers", -1}, {"through one router", 5}} {
		for seed := range uint64(5) {
			f := surgeFleet(seed)
			f.orgs[0].router = func(now time.Duration) int {
				if inSurge(now) {
					return c.router
				}
				return -1
			}
			var before, during, after [24]outcome
			f.observe = func(now time.Duration, org, _ int, admitted, served bool) {
				o := &before[org]
				if inSurge(now) {
					o = &during[org]
				} else if now >= afterSurge {
					o = &after[org]
				} else if now >= surgeEnd {
					return
				}
				o.offered++
				if served {
					o.served++
				}
				if !admitted {
					o.refused++
				}
			}
			f.run(simulationEnd)
			worst, servedInSurge := 1.0, 0.0
			for org := range f.orgs {
				servedInSurge += during[org].served
				if org > 0 {
					worst = min(worst, during[org].fraction()/before[org].fraction())
				}
				if after[org].refused > 0 {
					t.Errorf("%s, seed %d: %v requests of organisation %d are refused more than 2 s after the surge", c.name, seed, after[org].refused, org+1)
				}
			}
			use := servedInSurge / (simCapacity * (surgeEnd - surgeStart).Seconds())
			t.Logf("%s, seed %d: the worst of the others keeps %.3f, the first gets %.3f, %.2f of the capacity is used", c.name, seed, worst, during[0].fraction(), use)
			if worst < 0.95 {
				t.Errorf("%s, seed %d: an organisation keeps only %.3f of what was served before", c.name, seed, worst)
			}
			if use < 0.9 {
				t.Errorf("%s, seed %d: only %.2f of the capacity is used in the surge", c.name, seed, use)
			}
		}
	}
}

// A router is cut off from the others before two surges, of which one comes to it alone and the
// other makes the pool short without it. Guards against a router that takes the pool from the
// others while it does not know of them.
func TestSurgeAtRouterThatIsCutOff(t *testing.T) {
	const router, settled = 5, surgeStart + 3*time.Second // rates have a time constant of 1 s
	f := surgeFleet(1)
	f.routers[router].isCutOff = true
	f.orgs[0].router = func(now time.Duration) int {
		if inSurge(now) {
			return router
		}
		return -1
	}
	f.orgs[1].rate = surgeRate(32, 40)
	f.orgs[1].router = func(time.Duration) int { return 0 }
	served, floors := 0.0, 0.0
	f.observe = func(now time.Duration, _, at int, _, isServed bool) {
		if at != router || now < settled || now >= surgeEnd {
			return
		}
		floors += minFraction
		if isServed {
			served++
		}
	}
	f.run(simulationEnd)
	seconds := (surgeEnd - settled).Seconds()
	rate, limit := served/seconds, simCapacity/simRouters+floors/seconds
	t.Logf("%.1f requests per second, its part and the floors are %.1f", rate, limit)
	if rate > limit*1.05 {
		t.Errorf("the router that is cut off uses %.1f per second, its part and the floors are %.1f", rate, limit)
	}
}
