package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// domainRunLength is how many upstreams of a session's failure domain come before those
	// of the next one. Prompts are handed on within a failure domain, at half the cost
	// of a transfer between two; a request that all of them fail still reaches others.
	domainRunLength = 3
	// maxEvenRatio is how many times larger than the smallest the largest failure domain
	// of a region may be for all to get the same share of the sessions. While they do,
	// an upstream that joins or leaves moves sessions within its failure domain only.
	// Beyond it, each upstream of the smallest would have that many times as many.
	maxEvenRatio = 1.3
)

// domains orders the upstreams of a region for each session: failure domains by
// weighted rendezvous hashing, and in each its upstreams.
type domains []domainRanking

type domainRanking struct {
	seed   uint64
	weight float64 // its share of the sessions, before those of others
	ranking
}

func newDomains(members []Member, index []int) domains {
	var names []string
	byName := make(map[string][]int)
	for _, i := range index {
		name := members[i].Domain
		if byName[name] == nil {
			names = append(names, name)
		}
		byName[name] = append(byName[name], i)
	}
	slices.Sort(names)
	smallest, largest := math.MaxInt, 0
	for _, name := range names {
		smallest, largest = min(smallest, len(byName[name])), max(largest, len(byName[name]))
	}
	out := make(domains, 0, len(names))
	for _, name := range names {
		d := domainRanking{seed: Seed(name), weight: 1, ranking: newRanking(members, byName[name])}
		if float64(largest) > maxEvenRatio*float64(smallest) {
			d.weight = float64(len(byName[name]))
		}
		out = append(out, d)
	}
	return out
}

// top writes the indices of the upstreams that rank highest for session to best, the
// highest first, and returns how many there are.
func (d domains) top(session uint64, best []int) int {
	order := d.order(session)
	n := 0
	for _, i := range order {
		if n == len(best) {
			return n
		}
		n += d[i].top(session, best[n:min(n+domainRunLength, len(best))])
	}
	for _, i := range order {
		if n == len(best) {
			return n
		}
		n += d[i].remaining(session, best[n:])
	}
	return n
}

// remaining writes the upstreams that rank behind the first perDomain of a failure domain,
// as far as there is room.
func (d domainRanking) remaining(session uint64, dst []int) int {
	var ranked [maxRanked]int
	n := d.top(session, ranked[:min(maxRanked, domainRunLength+len(dst))])
	return copy(dst, ranked[min(domainRunLength, n):n])
}

// order returns the failure domains in the order in which a session prefers them.
func (d domains) order(session uint64) []int {
	costs := make([]float64, len(d))
	order := make([]int, len(d))
	for i, domain := range d {
		costs[i] = -math.Log(unitInterval(mix(session^domain.seed))) / domain.weight
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	return order
}
