package placement

import "math"

// sessionHeadroomShare is the share of the capacity between the mean and the load bound that one
// session may use at an upstream; the rest absorbs random variation. With one half, twice as
// many requests of a surge reach an upstream over the bound.
const sessionHeadroomShare = 0.35

// spreadHotSession reorders the ranking of a session that has more requests than its home may
// hold: the less loaded of two random upstreams at the top of the ranking comes first. Each
// router estimates the session's requests from its own traffic. If routers waited until the home
// is reported full, all would fill it at the same time and leave it at the same time.
// TestSharedLoadsAndSpreadSessionsKeepTheBound logs how many requests exceed the bound with and
// without this.
func (p *Pool) spreadHotSession(l Loads, q Query, basis Basis, order []int) {
	replicas := p.replicas(q, basis, len(order))
	if replicas < 2 {
		return
	}
	random := mix(q.Random)
	i := int(random % uint64(replicas))
	j := int(mix(random) % uint64(replicas))
	if !p.accepts(l, order[i]) || p.lessLoaded(l, order[j], order[i]) {
		i = j
	}
	first := order[i]
	copy(order[1:i+1], order[:i])
	order[0] = first
}

// replicas returns the number of upstreams that a session is spread over, at most maxReplicas.
func (p *Pool) replicas(q Query, basis Basis, maxReplicas int) int {
	if q.SessionShare == 0 || q.LoadMultiple == 0 {
		return 1
	}
	requests := q.SessionShare * basis.Mean * float64(p.Len())
	headroom := max(sessionHeadroomShare*(basis.Bound-basis.Mean), 1)
	return min(int(math.Ceil(requests/headroom)), maxReplicas)
}
