package admission

import (
	"cmp"
	"slices"
)

// minCostSeconds is the least that a request is charged, in seconds. Without it
// requests that fail at once would be free and could keep others waiting.
const minCostSeconds = 0.001

// class is the waiting requests of one priority, shared out by start-time fair
// queueing: each organisation's flow has a tag that grows by the time its
// requests take at the upstream over its weight, and the lowest tag starts.
type class struct {
	priority    int
	waiting     int
	virtualTime float64 // the tag of the flow that started last
	flows       map[string]*flow
}

// flow is what one organisation has waiting in one class.
type flow struct {
	tag    float64 // in seconds over weight
	weight float64
	items  []*waitingRequest // in order of arrival
}

// class returns the class of a priority, making it if need be.
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

func (c *class) push(it *waitingRequest) {
	f := c.flows[it.Org]
	if f == nil {
		f = &flow{}
		c.flows[it.Org] = f
	}
	if len(f.items) == 0 {
		f.tag = max(f.tag, c.virtualTime) // time spent idle earns no credit
	}
	f.weight = float64(it.Weight)
	f.items = append(f.items, it)
	c.waiting++
}

// next returns the flow whose first request is to start, among those for which
// there is room. Equal tags go by arrival, so the order does not hang on the map's.
func (c *class) next(spare capacity) *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.items) == 0 || (best != nil && !f.startsBefore(best)) {
			continue
		}
		if spare.fits(f.items[0].Org) {
			best = f
		}
	}
	return best
}

func (f *flow) startsBefore(g *flow) bool {
	if f.tag != g.tag {
		return f.tag < g.tag
	}
	return f.items[0].seq < g.items[0].seq
}

// charge records that a request of f has started.
func (c *class) charge(f *flow, seconds float64) {
	c.virtualTime = max(c.virtualTime, f.tag)
	f.tag += seconds / f.weight
}

// correctCharge corrects the charge of a request that has ended.
func (c *class) correctCharge(r *Request, seconds float64) {
	if f := c.flows[r.Org]; f != nil {
		f.tag += seconds / f.weight
	}
	c.prune()
}

// prune forgets the flows that are idle and owe nothing, or all once none
// waits and the tags mean nothing any more.
func (c *class) prune() {
	for org, f := range c.flows {
		if len(f.items) == 0 && (c.waiting == 0 || f.tag <= c.virtualTime) {
			delete(c.flows, org)
		}
	}
	if len(c.flows) == 0 {
		c.virtualTime = 0
	}
}

func (c *class) remove(it *waitingRequest) {
	f := c.flows[it.Org]
	at := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, at, at+1)
	c.waiting--
}

// ahead estimates how many waiting requests start before a new one: all of
// higher priority, and of each other flow as many as its weight earns while
// this organisation's turn comes.
func (q *Queue) ahead(r *Request) int {
	n := 0
	for _, c := range q.classes {
		if c.priority > r.Priority {
			n += c.waiting
		}
		if c.priority == r.Priority {
			n += c.ahead(r)
		}
	}
	return n
}

func (c *class) ahead(r *Request) int {
	own := 0
	if f := c.flows[r.Org]; f != nil {
		own = len(f.items)
	}
	n := own
	for org, f := range c.flows {
		if org != r.Org {
			earned := float64(own+1) * f.weight / float64(r.Weight)
			n += min(len(f.items), int(earned))
		}
	}
	return n
}
