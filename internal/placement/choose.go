package placement

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

const (
	// maxRanked is how far down a session's ranking an upstream with room is sought.
	maxRanked = 16
	// concurrentTicketAge is the age of a ticket up to which a session counts as
	// one whose turns run at the same time. People take longer to read an answer.
	concurrentTicketAge = 5 * time.Second
)

// Query is a request that looks for an upstream.
type Query struct {
	Session      uint64        // hash of organisation and session; zero: none
	Ticket       int           // index of the upstream that served the session last, or None
	TicketAge    time.Duration // since the ticket was given
	LoadMultiple float64       // bound on load as a multiple of the mean; zero: none
	Random       uint64        // for choices that chance decides
	// BoundJitter is how far chance draws the bound of the request, from 0, not at all, to 1.
	BoundJitter   float64
	SessionShare  float64 // part of the pool's requests that the session has at least
	Now           time.Time
	IgnoreDomains bool // failure domains do not count in the ranking
	// LatencyLimit is in how many seconds the first byte of the answer is wanted; zero: no matter.
	LatencyLimit float64
	// ShortestObjective is the shortest objective of the pool's requests, in seconds.
	ShortestObjective float64
	// Deferred tells that the request is in the way of no other.
	Deferred bool
}

// Choose writes the upstreams to which a request is offered to out, in order,
// and returns how many there are. It is advice: each upstream's sidecar decides.
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
	known    int
	out      *[MaxCandidates]int
	n        int
}

// chooseForSession chooses for a session. Its home comes first, since that is where
// prefixes are handed when upstreams come and go, then the upstream of its
// ticket, where it was served last if its home had no room.
//
// A session that runs many turns at the same time would fill its home to the
// bound and refuse its way down the ranking, and with it displace the sessions
// of others. It is spread over upstreams below the mean instead, always in the
// order of its ranking, so that it warms few caches.
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

// chooseWithoutSession chooses for a request without a session: the less loaded of two
// random upstreams, those of the router's own failure domain before others.
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

func pick(group []int, random *uint64) int {
	*random = mix(*random)
	return group[*random%uint64(len(group))]
}

// addWithCapacity adds those of order that are not believed to refuse.
func (c *chooser) addWithCapacity(order ...int) {
	for _, i := range order {
		if c.n < MaxCandidates && !c.contains(i) && c.hasCapacity(i) {
			c.add(i)
		}
	}
}

// addBelowMean adds those of order whose load is not above the mean. That
// leaves the room up to the bound to the sessions that have their home there.
func (c *chooser) addBelowMean(order []int) {
	for _, i := range order {
		r, ok := c.table.Get(c.now, c.pool.members[i].VM)
		// Rounded up, so that in a pool with little to do a single request does
		// not send the next turn of its chat away.
		if !ok || r.Load <= int(math.Ceil(c.mean*float64(r.Weight))) {
			c.addWithCapacity(i)
		}
	}
}

// addServing adds upstreams that are believed to be full where too few others are
// left: beliefs can be wrong, and the sidecar knows.
func (c *chooser) addServing(order []int) {
	for _, i := range order {
		if c.n < MaxCandidates && !c.contains(i) && c.serves(i) {
			c.add(i)
		}
	}
}

// addOtherRegions adds upstreams of other regions if none of this one is believed
// to serve, and those of this one all the same if no other does.
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

func (c *chooser) serves(i int) bool {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	return !ok || r.State == load.Serving
}

// hasCapacity reports whether upstream i is believed to take one more request.
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

// relativeLoad returns the believed relativeLoad of upstream i for each unit of its weight.
func (c *chooser) relativeLoad(i int) float64 {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	if !ok {
		return c.mean
	}
	return float64(r.Load) / float64(r.Weight)
}
