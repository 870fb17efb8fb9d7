package placement

import "slices"

// preferBelowBound replaces the candidates that may exceed the bound by upstreams of the region
// that are below it and rank too low for the session to be among its candidates.
func (p *Pool) preferBelowBound(l Loads, q Query, basis Basis, best []candidate) []candidate {
	kept := slices.IndexFunc(best, func(c candidate) bool { return c.class == overBound })
	others := slices.DeleteFunc(p.belowBound(l, basis.Bound), func(i int) bool {
		return slices.ContainsFunc(best, func(c candidate) bool { return c.index == i })
	})
	out := slices.Clone(best[:kept])
	random := mix(q.Random)
	for len(out) < MaxCandidates && len(others) > 0 {
		at := p.betterOfTwo(l, others, &random)
		out = append(out, p.classify(l, q, basis, others[at]))
		others = slices.Delete(others, at, at+1)
	}
	return append(out, best[kept:min(len(best), MaxCandidates-len(out)+kept)]...)
}

// belowBound returns the upstreams of the region that may get requests and are below the load
// bound.
func (p *Pool) belowBound(l Loads, bound float64) []int {
	var out []int
	for _, i := range p.regional.index {
		if p.accepts(l, i) && l.UpperLoad(p.members[i].VM) < bound {
			out = append(out, i)
		}
	}
	return out
}

// betterOfTwo returns the position of the better of two random upstreams: one that is not
// suspected, then the one with the lower load.
func (p *Pool) betterOfTwo(l Loads, of []int, random *uint64) int {
	*random = mix(*random)
	at := int(*random % uint64(len(of)))
	*random = mix(*random)
	other := int(*random % uint64(len(of)))
	if p.lessLoaded(l, of[other], of[at]) {
		return other
	}
	return at
}
