package placement

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// None is the index of no upstream.
const None = -1

// Member is an upstream of a pool.
type Member struct {
	VM     load.VM
	Seed   uint64 // hash of the VM's id, from Seed
	Weight int    // relative capacity; zero means one
	Domain string // failure domain: "region/domain", or "domain" if there are no regions
	// Leaving upstreams take no new requests. They still hold prompts that others
	// may get from them.
	Leaving bool
	// Drained ones are Leaving, but stay: operators have ordered that they get nothing.
	Drained bool
	// Joined is when the upstream was first seen in the list.
	Joined time.Time
}

// Locality is where a router or sidecar runs.
type Locality struct {
	Domain string
}

// Pool is an immutable list of upstreams as one node sees it.
type Pool struct {
	members                  []Member
	inRegion                 []bool  // in the node's region
	regional, remote         ranking // of the node's region, and of the others
	byDomain                 domains // of the region of the node, by failure domain
	sameDomain, otherDomains []int   // of the node's failure domain, and of its region's others
	total, drained           int     // upstreams of the whole pool, and those of them that are Idle
}

// NewPool returns the Pool of members for a node at self. The members keep
// their indices. A region without upstreams counts as one with the others.
func NewPool(members []Member, self Locality) *Pool {
	p := &Pool{members: members, inRegion: make([]bool, len(members)), total: len(members)}
	var regional, remote []int
	for i, m := range members {
		if m.Drained {
			p.drained++
		}
		if topo.Region(m.Domain) == topo.Region(self.Domain) {
			regional = append(regional, i)
		} else {
			remote = append(remote, i)
		}
	}
	if len(regional) == 0 {
		regional, remote = remote, nil
	}
	for _, i := range regional {
		p.inRegion[i] = true
		if members[i].Domain == self.Domain {
			p.sameDomain = append(p.sameDomain, i)
		} else {
			p.otherDomains = append(p.otherDomains, i)
		}
	}
	p.regional, p.remote = newRanking(members, regional), newRanking(members, remote)
	p.byDomain = newDomains(members, regional)
	return p
}

// Subset returns the Pool of some members of p, among which a request chooses that may not go
// to the others. Bounds are those of the whole pool.
func (p *Pool) Subset(members []Member, self Locality) *Pool {
	subset := NewPool(members, self)
	subset.total, subset.drained = p.total, p.drained
	return subset
}

// Len returns the number of upstreams of the whole pool.
func (p *Pool) Len() int {
	return p.total
}

// Drained returns how many of them are idle.
func (p *Pool) Drained() int {
	return p.drained
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

// Home returns the upstream that ranks first for a session, or None.
func (p *Pool) Home(session uint64) int {
	return p.Successor(session, None)
}

// Successor returns the upstream to which a session goes when leaving, the
// index of its present upstream, is gone; None if there is no other.
func (p *Pool) Successor(session uint64, leaving int) int {
	var best [2]int
	n := p.regional.top(session, best[:])
	for _, i := range best[:n] {
		if i != leaving {
			return i
		}
	}
	return None
}
