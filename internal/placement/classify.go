package placement

import "cmp"

// classify returns upstream i with its class, regardless of the other upstreams.
func (p *Pool) classify(l Loads, q Query, basis Basis, i int) candidate {
	vm := p.members[i].VM
	c := candidate{index: i, upperLoad: l.UpperLoad(vm), drift: l.Drift(vm), estimate: l.Estimate(vm)}
	late := q.LatencyLimit > 0 && c.estimate.Start > q.LatencyLimit
	switch {
	case c.upperLoad >= basis.Bound:
		c.class = overBound
	case late && c.estimate.Queued:
		c.class = queued
	case l.IsSuspected(vm):
		c.class = suspected
	case late:
		c.class = tooSlow
	}
	return c
}

// class is the order in which upstreams are chosen, best first.
type class uint8

const (
	eligible class = iota
	// suspected upstreams fail more of their requests than others do.
	suspected
	// loaded upstreams would be eligible, but a suspected one ranks before them and they have
	// little spare capacity for requests other than their own.
	loaded
	// tooSlow upstreams have a free slot, but work too slowly for the answer to begin in time.
	tooSlow
	// queued upstreams have a queue that keeps the answer from beginning in time.
	queued
	// lowerRanked upstreams would be eligible, but of those that rank before them one cannot
	// begin the answer in time and one works at normal speed. They come after queued upstreams,
	// so that the session waits near the top of its ranking, where its prompt is cached: reading
	// a long prompt takes an engine as long as a hundred tokens of an answer, and in a surge all
	// callers wait for that. When three upstreams of normal speed were considered instead of
	// one, 1134 GB of prompts were transferred between upstreams instead of 960, and the worth
	// that the benchmark reports for the day was .583 instead of .606 (one day, one seed).
	lowerRanked
	// overBound upstreams may exceed the load bound.
	overBound
)

// slowdownLimit is the slowdown from which on an upstream does not count as working at normal
// speed, so that no session waits for it.
const slowdownLimit = 2.0

// candidate is an upstream with its class and the figures behind it.
type candidate struct {
	index     int
	class     class
	upperLoad float64 // load that it seldom exceeds
	drift     float64 // by how much its load may have changed since it was reported
	estimate  Estimate
}

// compare orders candidates by class, and those over the bound by load. The sort is stable, so
// that others of the same class keep the order of the ranking. Sessions keep to their ranking
// even if all upstreams have a queue: reading a prompt again takes an engine as long as a
// hundred tokens of an answer, and in a surge all callers wait for that.
func (c candidate) compare(other candidate) int {
	if by := cmp.Compare(c.class, other.class); by != 0 || c.class != overBound {
		return by
	}
	return cmp.Compare(c.upperLoad, other.upperLoad)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
