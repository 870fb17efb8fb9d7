package placement

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// None is the index of no upstream.
const None = -1

// Member is an upstream of a pool.
type Member struct {
	VM     load.VM
	Seed   uint64 // hash of the VM's id, from Seed
	Weight int    // relative capacity; zero means one
	Region string
	Domain string // failure domain
}

// Locality is where a router runs.
type Locality struct {
	Region string
	Domain string
}

// Pool is an immutable list of upstreams as one router sees it.
type Pool struct {
	members []Member
	near    ranking // members of the router's region, or all when it has none
	self    Locality
}

// NewPool returns the Pool of members for a router at self. The members keep
// their indices.
func NewPool(members []Member, self Locality) *Pool {
	p := &Pool{members: members, self: self}
	var near []int
	for i, m := range members {
		if m.Region == self.Region {
			near = append(near, i)
		}
	}
	if len(near) == 0 {
		for i := range members {
			near = append(near, i)
		}
	}
	p.near = newRanking(members, near)
	return p
}

// Len returns the number of upstreams.
func (p *Pool) Len() int {
	return len(p.members)
}

// Index returns the index of an upstream or None.
func (p *Pool) Index(vm load.VM) int {
	for i := range p.members {
		if p.members[i].VM == vm {
			return i
		}
	}
	return None
}

// Successor returns the upstream to which a session goes when leaving, the
// index of its present upstream, is gone; None if there is no other.
func (p *Pool) Successor(session uint64, leaving int) int {
	var best [2]int
	n := p.near.top(session, best[:])
	for _, i := range best[:n] {
		if i != leaving {
			return i
		}
	}
	return None
}

// Query is a request that looks for an upstream.
type Query struct {
	Session  uint64  // hash of organisation and session; zero: none
	Ticket   int     // index of the upstream that served the session last, or None
	Multiple float64 // bound on load as a multiple of the mean; zero: none
	Random   uint64  // for requests without a session
}

// Choose writes the upstreams to which the request is offered to out, in order, and
// returns how many there are. It is advice: each upstream's sidecar decides.
func (p *Pool) Choose(now time.Time, t *load.Table, q Query, out *[Candidates]int) int {
	c := chooser{pool: p, table: t, now: now, out: out}
	c.mean, c.known = t.Mean(now)
	c.multiple = q.Multiple
	if q.Session == 0 {
		c.spread(q.Random)
		return c.n
	}
	var ranked [depth]int
	order := ranked[:p.near.top(q.Session, ranked[:])]
	if q.Ticket != None && p.near.has(q.Ticket) {
		c.offer(q.Ticket)
	}
	for _, i := range order {
		c.offer(i)
	}
	c.fill(order)
	return c.n
}
