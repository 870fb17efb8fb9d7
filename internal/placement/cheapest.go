package placement

import (
	"cmp"
	"slices"
)

// leaveDomainRatio is the ratio of the cost in the router's own failure domain to the cost
// elsewhere in the region above which a request without a session is sent outside the domain.
const leaveDomainRatio = 1.5

// significantRatio is the ratio of the costs at two upstreams above which the cheaper one is
// preferred; a smaller difference can be chance. Without it, the upstream that was fastest lately
// gets all requests when traffic is low.
const significantRatio = 1.25

// chooseCheapest chooses for a request without a session: of two random upstreams of the
// router's own failure domain, the one with the lower cost, unless one of the region's others is
// far better. A domain may have only one upstream, and if that is slow, the routers of the
// domain would send it all their requests. In a surge of three times the traffic, .02 of the
// requests are late or rejected, but .24 to .50 if they stay in the domain
// (TestRequestsGoAroundASlowUpstream).
//
// If that leads to an upstream over the load bound, the choice is among those below it first.
func (p *Pool) chooseCheapest(l Loads, bound float64, random uint64, out *[MaxCandidates]Choice) int {
	n := p.drawCheapest(l, p.sameDomain, p.regional.index, random, out, 0)
	if p.areBelow(l, bound, out[:n]) {
		return p.addAll(l, out, n, p.remote.index)
	}
	below := p.belowBound(l, bound)
	local := slices.DeleteFunc(slices.Clone(below), func(i int) bool { return !slices.Contains(p.sameDomain, i) })
	n = p.drawCheapest(l, local, below, random, out, 0)
	n = p.drawCheapest(l, p.sameDomain, p.regional.index, mix(random), out, n)
	return p.addAll(l, out, n, p.remote.index)
}

// areBelow reports whether all choices are below the load bound.
func (p *Pool) areBelow(l Loads, bound float64, choices []Choice) bool {
	return !slices.ContainsFunc(choices, func(c Choice) bool { return l.UpperLoad(p.members[c.Index].VM) >= bound })
}

// drawCheapest appends upstreams to the n choices in out: at each place the cheaper of two
// random ones of local, or of two of all if that is far better, then the others.
func (p *Pool) drawCheapest(l Loads, local, all []int, random uint64, out *[MaxCandidates]Choice, n int) int {
	for range all {
		if n == MaxCandidates {
			return n
		}
		i := p.cheaperOfTwo(l, local, &random)
		if j := p.cheaperOfTwo(l, all, &random); i == None || p.cheaper(l, j, i, leaveDomainRatio) {
			i = j
		}
		n = p.add(l, out, n, i)
	}
	// The random draws may have picked the same few upstreams repeatedly.
	return p.addAll(l, out, p.addAll(l, out, n, local), all)
}

// addAll is add for each upstream of a group.
func (p *Pool) addAll(l Loads, out *[MaxCandidates]Choice, n int, group []int) int {
	for _, i := range group {
		n = p.add(l, out, n, i)
	}
	return n
}

// cheaperOfTwo returns the better of two random upstreams of a group, or None if the group is
// empty.
func (p *Pool) cheaperOfTwo(l Loads, group []int, random *uint64) int {
	if len(group) == 0 {
		return None
	}
	*random = mix(*random)
	at := int(*random % uint64(len(group)))
	i := group[at]
	if len(group) == 1 {
		return i
	}
	*random = mix(*random)
	j := group[(at+1+int(*random%uint64(len(group)-1)))%len(group)]
	if p.cheaper(l, j, i, significantRatio) {
		return j
	}
	return i
}

// cheaper reports whether a request without a session should go to upstream i rather than to j.
// Of two equally available ones, the cost at j must exceed ratio times that at i.
func (p *Pool) cheaper(l Loads, i, j int, ratio float64) bool {
	a, b := p.members[i], p.members[j]
	return cmp.Or(
		compareBools(!p.accepts(l, i), !p.accepts(l, j)),
		compareBools(l.IsSuspected(a.VM), l.IsSuspected(b.VM)),
		cmp.Compare(ratio*l.Cost(a.VM), l.Cost(b.VM)),
	) < 0
}
