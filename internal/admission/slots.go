package admission

import "time"

const (
	// activeTime is how long an organisation counts as active after a request.
	activeTime = time.Minute
	// sweepInterval is how often inactive organisations are removed.
	sweepInterval = time.Second
)

// organisation is the state of one organisation across all priorities.
type organisation struct {
	weight   int
	running  int
	waiting  int
	lastSeen time.Time // time of its last request
}

// markActive records a request of an organisation.
func (q *Queue) markActive(now time.Time, r *Request) {
	o := q.organisations[r.Org]
	if o == nil {
		o = &organisation{}
		q.organisations[r.Org] = o
	}
	o.weight, o.lastSeen = r.Weight, now
}

// dropInactive removes organisations that are no longer active.
func (q *Queue) dropInactive(now time.Time) {
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = now
	for name, o := range q.organisations {
		if o.running+o.waiting == 0 && now.Sub(o.lastSeen) > activeTime {
			delete(q.organisations, name)
		}
	}
}

// capacity is the spare capacity for requests of one priority.
type capacity struct {
	queue       *Queue
	freeSlots   int // free slots, including those that Headroom adds for this priority
	totalWeight int // weight of the active organisations
}

func (q *Queue) capacity(priority int) capacity {
	lowerPriority := 0
	for _, run := range q.running {
		if run.Priority < priority {
			lowerPriority++
		}
	}
	c := capacity{queue: q, freeSlots: q.config.Slots - q.Running() + min(lowerPriority, q.config.Headroom)}
	for _, o := range q.organisations {
		c.totalWeight += o.weight
	}
	return c
}

// fits reports whether a request of org may start. The last free slots, as many as
// Config.Reserve, are kept for organisations that run fewer requests than their share of
// the slots by weight. Without them, a surge that fills all slots would make other
// organisations wait until one of its requests ends. The share of a sole active
// organisation is all slots, so none stays idle then. Without a limit of slots, every
// request fits.
func (c capacity) fits(org string) bool {
	config := &c.queue.config
	if config.Slots <= 0 || c.freeSlots > config.Reserve {
		return true
	}
	o := c.queue.organisations[org]
	share := float64(config.Slots) * float64(o.weight) / float64(c.totalWeight)
	return c.freeSlots > 0 && float64(o.running) < share
}
