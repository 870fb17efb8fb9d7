package placement

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// None is the index that stands for no upstream.
const None = -1

// Member is an upstream of a pool.
type Member struct {
	VM     load.VM
	Seed   uint64 // hash of the VM's id, from Seed
	Weight int    // relative capacity; zero means one
	Domain string // failure domain: "region/domain", or "domain" if there are no regions
	// Leaving reports whether the upstream takes no new requests. It still holds prompts that
	// others may fetch from it.
	Leaving bool
	// Drained reports whether the upstream is leaving because operators have ordered that it
	// gets no requests. It remains part of the pool.
	Drained bool
	// Joined is when the upstream was first seen in the list.
	Joined time.Time
}

// Locality is where a router or sidecar runs.
type Locality struct {
	Domain string // failure domain, as in Member
}

// Pool is an immutable list of upstreams as seen from one router or sidecar.
type Pool struct {
	members                  []Member
	inRegion                 []bool  // whether each member is in the region of the router or sidecar
	regional, remote         ranking // of the same region, and of all others
	byDomain                 domains // of the same region, ordered by failure domain
	sameDomain, otherDomains []int   // of the same failure domain, and of the region's other ones
	total, drained           int     // upstreams of the whole pool, and how many of them are drained
}

// NewPool returns the Pool of members for a router or sidecar at self. The members keep their
// indices. If the region of self has no upstreams, those of all other regions count as its own.
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

// Subset returns the Pool of some members of p, for requests that may not go to the others. Load
// bounds are those of the whole pool.
func (p *Pool) Subset(members []Member, self Locality) *Pool {
	subset := NewPool(members, self)
	subset.total, subset.drained = p.total, p.drained
	return subset
}

// Len returns the number of upstreams of the whole pool, also for a Subset of it.
func (p *Pool) Len() int {
	return p.total
}

// Drained returns how many upstreams of the whole pool are drained.
func (p *Pool) Drained() int {
	return p.drained
}

// Index returns the index of an upstream among the members of p, or None.
func (p *Pool) Index(vm load.VM) int {
	for i := range p.members {
		if p.members[i].VM == vm {
			return i
		}
	}
	return None
}

// Home returns the index of the home upstream of a session, which ranks first for it in the
// region regardless of failure domains, as in Choose. It returns None if p is empty.
func (p *Pool) Home(session uint64) int {
	return p.Successor(session, None)
}

// Successor returns the index of the upstream that a session moves to when its present upstream,
// at index leaving, is gone. It returns None if there is no other upstream.
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
