// Package shares decides which requests a pool admits while it is short, so that organisations
// share it fairly across all routers.
//
// It answers a surge in which organisations compete for a pool that is too small: one organisation
// sends many times its usual traffic, through one router or all, and without shares would take the
// places of the others, or its long requests those of urgent ones. All routers compute the same
// admitted fractions from the demand that they report to each other (package demand), so that a
// decision needs neither a message nor a queue.
//
// The package is pure: it has no clock, I/O or goroutines. Package router feeds and asks it.
package shares

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

const (
	// shortAbove is the ratio of Used to Capacity from which a pool is short.
	shortAbove = 0.7
	// notShortBelow is the ratio below which it is no longer short. The distance to shortAbove
	// keeps random load from switching the state back and forth.
	notShortBelow = 0.6
	// fractionValidity is the time after an Update for which its fractions apply.
	fractionValidity = 2 * time.Second
	// maxClasses limits the number of classes whose credits are kept.
	maxClasses = 4096
	// minCapacityFactor and maxCapacityFactor limit the capacity for new work, as a multiple of the
	// pool's capacity. It is above 1 while the pool is not full, and below 1 while it is overfull.
	minCapacityFactor, maxCapacityFactor = 0.5, 2.5
	// fillSlope is by how much the capacity for new work changes, in multiples of the capacity, with
	// the part of the pool that is free or overfull. Work is an estimate, and with a small slope a
	// pool whose work is overestimated stays half empty while requests are refused.
	fillSlope = 3.0
)

// Pool is the state of a pool of upstreams.
type Pool struct {
	Capacity float64 // work that the pool can hold (engines) or accept per second (plain upstreams)
	Used     float64 // in the unit of Capacity
	Routers  int     // routers that share the pool, including this one
}

// Cause tells why a request is refused.
type Cause string

const (
	// CauseShare means that the organisation exceeds its share of the pool.
	CauseShare Cause = "share"
	// CauseOrder means that more urgent work takes precedence: the request's class would be
	// admitted more if organisations had no priorities and kinds of request no ranks.
	CauseOrder Cause = "order"
)

// Decision tells whether a request is admitted.
type Decision struct {
	Admit    bool
	Cause    Cause   // of a refusal
	Fraction float64 // part of the requests of the class that is admitted
}

// Admitted is a class with what is admitted of it.
type Admitted struct {
	Demand
	Fraction float64
	Refused  int64 // requests that this router has refused
}

// admission is the current decision for the requests of a class.
type admission struct {
	fraction float64
	cause    Cause // of refusals
}

// class is a class that this router was asked for, or that the totals name.
type class struct {
	credit    float64 // from 0 to 1; a request is admitted when it reaches 1
	refused   int64   // while the totals named the class
	admission         // valid if update is that of the gate
	update    uint64  // number of the last Update whose totals named the class
}

// combinedClass is a class of all organisations of one priority that the totals do not name.
type combinedClass struct {
	admission // fraction 0: the totals have no such class
	refused   int64
}

// Gate decides which requests a router admits to one pool. It is not safe for concurrent use.
type Gate struct {
	random    *rand.Rand
	short     bool
	updatedAt time.Time
	update    uint64                           // number of the last Update
	classes   *simplelru.LRU[classKey, *class] // least recently used are evicted
	combined  [combinedClasses]combinedClass   // indexed by combinedIndex
	demands   []Demand                         // of the last Update
	fractions []float64                        // of demands
}

// classKey identifies a class: the hash of the organisation, the rank and whether the callers
// return. Priority and weight are left out, since they may differ between routers while a change of
// settings spreads.
type classKey uint64

func keyOf(c demand.Class) classKey {
	k := classKey(c.Org)<<8 | classKey(sanitizeRank(c.Rank))<<1
	if c.Returning {
		k |= 1
	}
	return k
}

// combinedClasses is the number of combinations of priority, rank and Returning.
const combinedClasses = priorityLevels * rankLevels * 2

func combinedIndex(c demand.Class) int {
	i := (sanitizePriority(c.OrgPriority)*rankLevels + sanitizeRank(c.Rank)) * 2
	if c.Returning {
		i++
	}
	return i
}

// NewGate returns the Gate of a pool that is not short. Credits of classes start at random values
// from r, since many routers with one request each would otherwise all admit or all refuse it.
func NewGate(r *rand.Rand) *Gate {
	classes, err := simplelru.NewLRU[classKey, *class](maxClasses, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Gate{random: r, classes: classes}
}

// Short reports whether the pool was short at the last Update.
func (g *Gate) Short() bool {
	return g.short
}

// Update sets the state of the pool and the demand offered to it. It must be called at least every
// 100 ms while there are requests: after 2 s without an Update all requests are admitted.
func (g *Gate) Update(now time.Time, p Pool, t demand.Totals) {
	g.update++
	g.updatedAt = now
	ratio := p.ratio()
	g.short = ratio >= shortAbove || g.short && ratio >= notShortBelow
	g.setDemands(t.Rates)
	if !g.short {
		return
	}
	allocated := allocate(p.capacityForNewWork(t.Complete), g.demands)
	copy(g.fractions, allocated.fractions)
	for i := range g.combined {
		g.combined[i].fraction = 0
	}
	for i := range g.demands {
		g.setAdmission(&g.demands[i], newAdmission(allocated.fractions[i], allocated.unordered[i]))
	}
}

// ratio returns Used / Capacity, or 0 if either is not known.
func (p *Pool) ratio() float64 {
	if !isPositive(p.Capacity) || !isPositive(p.Used) {
		return 0
	}
	return p.Used / p.Capacity
}

func isPositive(x float64) bool {
	return x > 0 && !math.IsInf(x, 1) // false for NaN
}

// capacityForNewWork returns the work to allocate to the demand. A router that does not know the
// demand at all routers uses at most its part of the pool.
func (p *Pool) capacityForNewWork(complete bool) float64 {
	free := 1 - p.ratio() // negative if the pool is overfull
	factor := min(max(1+fillSlope*free, minCapacityFactor), maxCapacityFactor)
	if complete {
		return p.Capacity * factor
	}
	return p.Capacity * min(factor, 1) / float64(max(p.Routers, 1))
}

// setDemands keeps the demands for the allocation and for operators, as admitted in full.
func (g *Gate) setDemands(rates []demand.Rate) {
	g.demands, g.fractions = g.demands[:0], g.fractions[:0]
	for _, r := range rates {
		g.demands = append(g.demands, Demand{Class: r.Class, Orgs: r.Orgs, Work: r.Offered})
		g.fractions = append(g.fractions, 1)
	}
}

// newAdmission returns the decision for a class that is admitted a fraction, and would be admitted
// another one if there were no priorities and ranks.
func newAdmission(fraction, unordered float64) admission {
	if fraction < unordered*(1-roundingTolerance) {
		return admission{fraction, CauseOrder}
	}
	return admission{fraction, CauseShare}
}

func (g *Gate) setAdmission(d *Demand, a admission) {
	if d.combined() {
		g.combined[combinedIndex(d.Class)].admission = a
		return
	}
	c := g.class(d.Class)
	c.admission, c.update = a, g.update
}

// class returns the class from the cache, or adds it.
func (g *Gate) class(of demand.Class) *class {
	key := keyOf(of)
	if c, ok := g.classes.Get(key); ok {
		return c
	}
	c := &class{credit: g.random.Float64()}
	g.classes.Add(key, c)
	return c
}

// Decide decides on a request. The credit of its class grows by the admitted fraction with each
// request, and one is admitted when it reaches 1. So the admitted part is exact after a few
// requests and does not depend on chance.
func (g *Gate) Decide(now time.Time, of demand.Class) Decision {
	if !g.short || now.Sub(g.updatedAt) > fractionValidity {
		return Decision{Admit: true, Fraction: 1}
	}
	c := g.class(of)
	a, refused := c.admission, &c.refused
	if c.update != g.update {
		// The totals do not name the class, so it is part of a combined one, if there is any.
		combined := &g.combined[combinedIndex(of)]
		a, refused = combined.admission, &combined.refused
		if a.fraction == 0 {
			return Decision{Admit: true, Fraction: 1}
		}
	}
	c.credit += a.fraction
	if c.credit >= 1 {
		c.credit--
		return Decision{Admit: true, Fraction: a.fraction}
	}
	*refused++
	return Decision{Cause: a.cause, Fraction: a.fraction}
}

// Classes returns the classes of the last Update with their fractions, for operators. The refusals
// of a combined class are those of all organisations that were part of it.
func (g *Gate) Classes() []Admitted {
	out := make([]Admitted, len(g.demands))
	for i, d := range g.demands {
		out[i] = Admitted{Demand: d, Fraction: g.fractions[i]}
		if d.combined() {
			out[i].Refused = g.combined[combinedIndex(d.Class)].refused
		} else if c, ok := g.classes.Peek(keyOf(d.Class)); ok {
			out[i].Refused = c.refused
		}
	}
	return out
}
