package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// domainRunLength is the number of upstreams of a session's failure domain that come before
	// those of the next one. Transfers of prompts within a failure domain cost half as much as
	// between two. A request that fails at all of them still reaches another domain.
	domainRunLength = 3
	// maxEvenRatio is the largest ratio between the sizes of the largest and the smallest
	// failure domain of a region at which all domains get the same share of the sessions. With
	// equal shares, an upstream that joins or leaves moves sessions only within its failure
	// domain. At a higher ratio, each upstream of the smallest domain would have that many times
	// as many sessions.
	maxEvenRatio = 1.3
)

// domains orders the upstreams of a region for each session: the failure domains by weighted
// rendezvous hashing, and within each its upstreams.
type domains []domainRanking

// domainRanking is the ranking of the upstreams of one failure domain.
type domainRanking struct {
	seed   uint64
	weight float64 // relative share of the sessions
	ranking
}

// newDomains returns the domains of the members with the given indices.
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

// top writes the indices of the upstreams that rank highest for session to best, highest first,
// and returns their number.
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

// remaining writes the upstreams of a failure domain that rank after its first domainRunLength
// to dst, as many as fit, and returns their number.
func (d domainRanking) remaining(session uint64, dst []int) int {
	var ranked [maxRanked]int
	n := d.top(session, ranked[:min(maxRanked, domainRunLength+len(dst))])
	return copy(dst, ranked[min(domainRunLength, n):n])
}

// order returns the indices of the failure domains in the order of the session's ranking.
func (d domains) order(session uint64) []int {
	costs := make([]float64, len(d))
	order := make([]int, len(d))
	for i, domain := range d {
		costs[i] = -math.Log(toUnitInterval(mix(session^domain.seed))) / domain.weight
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	return order
}
