package placement

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

const (
	// maxRanked is the number of upstreams at the top of a session's ranking that are
	// considered.
	maxRanked = 16
	// concurrentTicketAge is the age of a ticket below which the session is taken to run several
	// turns at the same time. People take longer to read an answer.
	concurrentTicketAge = 5 * time.Second
)

// Query holds what the choice of an upstream for a request depends on. Choose uses Session,
// Ticket, TicketAge, LoadMultiple and Random. ChooseBounded uses all but Ticket and TicketAge.
type Query struct {
	Session      uint64        // hash of organisation and session; zero: no session
	Ticket       int           // index of the upstream that served the session last, or None
	TicketAge    time.Duration // since the ticket was issued
	LoadMultiple float64       // load bound as a multiple of the mean load; zero: no bound
	Random       uint64        // source of randomness for the choice
	// BoundJitter is how far the load bound of the request is randomised, from 0 (not at all) to
	// 1.
	BoundJitter   float64
	SessionShare  float64 // lower estimate of the session's share of the pool's requests
	Now           time.Time
	IgnoreDomains bool // rank upstreams regardless of their failure domains
	// LatencyLimit is the time in seconds within which the first byte of the answer must arrive;
	// zero: no limit.
	LatencyLimit float64
	// ShortestObjective is the shortest latency objective of the pool's requests, in seconds.
	ShortestObjective float64
	// Deferred reports whether the request waits behind all those that can still be answered in
	// time, and so delays none of them.
	Deferred bool
}

// Choose writes the upstreams that a request is offered to into out, in order of preference, and
// returns their number. It is for pools whose upstreams have sidecars that limit the load: the
// order is advisory, and each upstream's sidecar decides whether to accept the request.
func (p *Pool) Choose(now time.Time, t *load.Table, q Query, out *[MaxCandidates]int) int {
	c := chooser{pool: p, table: t, now: now, multiple: q.LoadMultiple, out: out}
	c.mean, c.known = t.Mean(now)
	if q.Session == 0 {
		c.chooseWithoutSession(q.Random)
	} else {
		c.chooseForSession(q)
	}
	return c.n
}

// chooser collects the candidates of one request.
type chooser struct {
	pool     *Pool
	table    *load.Table
	now      time.Time
	multiple float64
	mean     float64
	known    int // number of upstreams with a known load
	out      *[MaxCandidates]int
	n        int
}

// chooseForSession chooses for a request with a session. The home upstream comes first, since
// cached prefixes are handed over to it when upstreams join and leave. The upstream of the
// session's ticket comes next: it served the session last if the home had no spare capacity.
//
// A session that runs many turns at the same time would fill its home up to the load bound, be
// refused by one upstream after the other down its ranking, and displace other sessions there.
// It is spread over upstreams below the mean load instead, always in the order of its ranking,
// so that it fills few caches.
func (c *chooser) chooseForSession(q Query) {
	var ranked [maxRanked]int
	order := ranked[:c.pool.regional.top(q.Session, ranked[:])]
	ticket := q.Ticket
	if ticket < 0 || ticket >= len(c.pool.inRegion) || !c.pool.inRegion[ticket] {
		ticket = None
	}
	if ticket != None && q.TicketAge < concurrentTicketAge {
		c.addBelowMean([]int{ticket})
		c.addBelowMean(order)
	}
	c.addServing(order[:min(len(order), 1)])
	if ticket != None {
		c.addWithCapacity(ticket)
	}
	c.addBelowMean(order)
	c.addWithCapacity(order...)
	c.addServing(order)
	c.addOtherRegions(q.Session)
}

// chooseWithoutSession chooses for a request without a session: the less loaded of two random
// upstreams, first among those of the router's own failure domain, then among the region's
// others.
func (c *chooser) chooseWithoutSession(random uint64) {
	for _, group := range [...][]int{c.pool.sameDomain, c.pool.otherDomains} {
		for range group {
			if c.n == MaxCandidates {
				return
			}
			i, j := pick(group, &random), pick(group, &random)
			if c.relativeLoad(j) < c.relativeLoad(i) {
				i, j = j, i
			}
			c.addWithCapacity(i, j)
		}
	}
	c.addServing(c.pool.sameDomain)
	c.addServing(c.pool.otherDomains)
	c.addOtherRegions(random)
}

// pick returns a random element of group and advances random.
func pick(group []int, random *uint64) int {
	*random = mix(*random)
	return group[*random%uint64(len(group))]
}

// addWithCapacity adds those upstreams of order that are expected to accept the request.
func (c *chooser) addWithCapacity(order ...int) {
	for _, i := range order {
		if c.n < MaxCandidates && !c.contains(i) && c.hasCapacity(i) {
			c.add(i)
		}
	}
}

// addBelowMean adds those upstreams of order whose load does not exceed the mean. The capacity
// between the mean and the bound is left to the sessions that have their home there.
func (c *chooser) addBelowMean(order []int) {
	for _, i := range order {
		r, ok := c.table.Get(c.now, c.pool.members[i].VM)
		// The mean is rounded up: otherwise, in a pool with few requests, a single request would
		// send the session's next turn to another upstream.
		if !ok || r.Load <= int(math.Ceil(c.mean*float64(r.Weight))) {
			c.addWithCapacity(i)
		}
	}
}

// addServing adds upstreams that appear full where there are too few others: the load known here
// can be out of date, and the sidecar decides by the actual load.
func (c *chooser) addServing(order []int) {
	for _, i := range order {
		if c.n < MaxCandidates && !c.contains(i) && c.serves(i) {
			c.add(i)
		}
	}
}

// addOtherRegions adds upstreams of other regions if none of this region is known to serve. If
// no other region has a serving upstream either, it adds those of this region anyway.
func (c *chooser) addOtherRegions(session uint64) {
	if c.n > 0 {
		return
	}
	var ranked [MaxCandidates]int
	c.addServing(ranked[:c.pool.remote.top(session, ranked[:])])
	if c.n > 0 {
		return
	}
	for _, i := range ranked[:c.pool.regional.top(session, ranked[:])] {
		c.add(i)
	}
}

func (c *chooser) add(i int) {
	c.out[c.n] = i
	c.n++
}

func (c *chooser) contains(i int) bool {
	for _, j := range c.out[:c.n] {
		if i == j {
			return true
		}
	}
	return false
}

// serves reports whether upstream i is serving, as far as is known.
func (c *chooser) serves(i int) bool {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	return !ok || r.State == load.Serving
}

// hasCapacity reports whether upstream i is expected to accept one more request.
func (c *chooser) hasCapacity(i int) bool {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	if !ok {
		return true
	}
	if r.State != load.Serving {
		return false
	}
	return r.Load < load.Bound(c.mean, c.known, c.multiple, r.Weight)
}

// relativeLoad returns the estimated load of upstream i per unit of its weight.
func (c *chooser) relativeLoad(i int) float64 {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	if !ok {
		return c.mean
	}
	return float64(r.Load) / float64(r.Weight)
}
