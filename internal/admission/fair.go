package admission

import (
	"cmp"
	"slices"
)

// minCostSeconds is the smallest charge for a request. Without it requests that fail at
// once would cost nothing and could keep others waiting.
const minCostSeconds = 0.001

// class holds the waiting requests of one priority and orders them by start-time fair
// queueing: the flow with the lowest start tag starts its first request next. The start
// tag of an organisation's flow grows by the running time of its requests divided by its
// weight.
type class struct {
	priority    int
	waiting     int
	virtualTime float64 // highest start tag from which a request has started
	flows       map[string]*flow
}

// flow holds the waiting requests of one organisation in one class.
type flow struct {
	startTag float64 // virtual time, in seconds divided by weight
	weight   float64
	requests []*waitingRequest // in order of arrival
}

// class returns the class of a priority and creates it if it doesn't exist.
func (q *Queue) class(priority int) *class {
	at, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int {
		return cmp.Compare(p, c.priority)
	})
	if !found {
		c := &class{priority: priority, flows: make(map[string]*flow)}
		q.classes = slices.Insert(q.classes, at, c)
	}
	return q.classes[at]
}

func (c *class) push(w *waitingRequest) {
	f := c.flows[w.Org]
	if f == nil {
		f = &flow{}
		c.flows[w.Org] = f
	}
	if len(f.requests) == 0 {
		f.startTag = max(f.startTag, c.virtualTime) // idle time earns no credit
	}
	f.weight = float64(w.Weight)
	f.requests = append(f.requests, w)
	c.waiting++
}

// next returns the flow whose first request is to start next, or nil if none fits into
// the spare capacity. Equal tags are ordered by arrival, so the result does not depend
// on map order.
func (c *class) next(spare capacity) *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.requests) == 0 || (best != nil && !f.startsBefore(best)) {
			continue
		}
		if spare.fits(f.requests[0].Org) {
			best = f
		}
	}
	return best
}

func (f *flow) startsBefore(g *flow) bool {
	if f.startTag != g.startTag {
		return f.startTag < g.startTag
	}
	return f.requests[0].seq < g.requests[0].seq
}

// charge records that a request of f has started, at an estimated cost in seconds.
func (c *class) charge(f *flow, seconds float64) {
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += seconds / f.weight
}

// correctCharge adds seconds, which may be negative, to the charge of a request that has
// ended. They are the difference between its running time and the estimate.
func (c *class) correctCharge(r *Request, seconds float64) {
	if f := c.flows[r.Org]; f != nil {
		f.startTag += seconds / f.weight
	}
	c.prune()
}

// prune removes the flows without waiting requests whose start tags are not ahead of
// virtual time: push would create them again with the same tag. If no request of the
// class waits, it removes all flows, because tags only order flows among each other.
func (c *class) prune() {
	for org, f := range c.flows {
		if len(f.requests) == 0 && (c.waiting == 0 || f.startTag <= c.virtualTime) {
			delete(c.flows, org)
		}
	}
	if len(c.flows) == 0 {
		c.virtualTime = 0
	}
}

func (c *class) remove(w *waitingRequest) {
	f := c.flows[w.Org]
	at := slices.Index(f.requests, w)
	f.requests = slices.Delete(f.requests, at, at+1)
	c.waiting--
}

// ahead estimates how many waiting requests start before a new one: all of higher
// priority, and those of the same priority that countAhead returns.
func (q *Queue) ahead(r *Request) int {
	n := 0
	for _, c := range q.classes {
		if c.priority > r.Priority {
			n += c.waiting
		}
		if c.priority == r.Priority {
			n += c.countAhead(r)
		}
	}
	return n
}

// countAhead estimates how many requests of the class start before a new one: all that
// its organisation already has waiting, and from each other organisation as many as
// start, in proportion to the weights, until its turn.
func (c *class) countAhead(r *Request) int {
	own := 0
	if f := c.flows[r.Org]; f != nil {
		own = len(f.requests)
	}
	n := own
	for org, f := range c.flows {
		if org != r.Org {
			entitled := float64(own+1) * f.weight / float64(r.Weight)
			n += min(len(f.requests), int(entitled))
		}
	}
	return n
}
