package placement

import "math"

// sessionHeadroomShare is the part of the room between the mean and the bound that one
// session may fill at an upstream; the rest is for what comes by chance. With half of
// the room, twice as many requests of a surge find an upstream over the bound.
const sessionHeadroomShare = 0.35

// spreadHotSession reorders the ranking of a session that has more requests than its home
// may hold: the less loaded of two random ones of its first few comes first. Each
// router works out from its own traffic how many they are. If they waited instead
// until the home is known to be full, all would fill it at the same time, and turn
// away from it at the same time. TestLoadsThatAreSharedKeepTheBound has the figures.
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

// replicas returns over how many upstreams a session is spread.
func (p *Pool) replicas(q Query, basis Basis, maxReplicas int) int {
	if q.SessionShare == 0 || q.LoadMultiple == 0 {
		return 1
	}
	requests := q.SessionShare * basis.Mean * float64(p.Len())
	headroom := max(sessionHeadroomShare*(basis.Bound-basis.Mean), 1)
	return min(int(math.Ceil(requests/headroom)), maxReplicas)
}
