package admission

import "time"

const (
	// activeFor is how long an organisation counts as active after a request.
	activeFor = time.Minute
	// sweepEvery is how often inactive organisations are looked for.
	sweepEvery = time.Second
)

// organisation is what admission knows of an organisation over all classes.
type organisation struct {
	weight  int
	running int
	waiting int
	seen    time.Time
}

// seen notes that an organisation is active.
func (q *Queue) seen(now time.Time, r *Request) {
	o := q.orgs[r.Org]
	if o == nil {
		o = &organisation{}
		q.orgs[r.Org] = o
	}
	o.weight, o.seen = r.Weight, now
}

// forget drops the organisations that are no longer active.
func (q *Queue) forget(now time.Time) {
	if now.Sub(q.swept) < sweepEvery {
		return
	}
	q.swept = now
	for name, o := range q.orgs {
		if o.running+o.waiting == 0 && now.Sub(o.seen) > activeFor {
			delete(q.orgs, name)
		}
	}
}

// room is what is free for the requests of one priority.
type room struct {
	queue *Queue
	free  int // slots, those of lower priority that may be outrun included
	total int // weight of the active organisations
}

func (q *Queue) room(priority int) room {
	outranked := 0
	for _, s := range q.running {
		if s.Priority < priority {
			outranked++
		}
	}
	out := room{queue: q, free: q.config.Slots - q.Running() + min(outranked, q.config.Headroom)}
	for _, o := range q.orgs {
		out.total += o.weight
	}
	return out
}

// fits reports whether a request of org may start. The last slots, the
// reserve, are for organisations that use less than their share: a surge that
// fills all slots makes others wait until one of its requests ends. The sole
// active organisation has all slots as its share, so nothing idles then.
func (r room) fits(org string) bool {
	c := &r.queue.config
	if c.Slots <= 0 || r.free > c.Reserve {
		return true
	}
	o := r.queue.orgs[org]
	share := float64(c.Slots) * float64(o.weight) / float64(r.total)
	return r.free > 0 && float64(o.running) < share
}
