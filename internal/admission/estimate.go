package admission

import "time"

const (
	// smoothing is the weight of a new observation in an average.
	smoothing = 0.1
	// unknownService stands in for the service time until one was observed.
	unknownService = time.Second
	// maxAverages bounds the profiles whose first-byte times are kept.
	maxAverages = 256
)

// average is an exponentially weighted mean of durations.
type average struct {
	seconds float64
	known   bool
}

func (a *average) observe(d time.Duration) {
	if !a.known {
		*a = average{seconds: d.Seconds(), known: true}
		return
	}
	a.seconds += smoothing * (d.Seconds() - a.seconds)
}

func (a average) value() time.Duration {
	return time.Duration(a.seconds * float64(time.Second))
}

// expected is how long a request is thought to run.
func (q *Queue) expected() time.Duration {
	if !q.service.known {
		return unknownService
	}
	return max(q.service.value(), time.Duration(minCost*float64(time.Second)))
}

func (q *Queue) observeFirst(profile string, d time.Duration) {
	a, known := q.first[profile]
	if !known && len(q.first) >= maxAverages {
		return
	}
	a.observe(d)
	q.first[profile] = a
}

// Backoff is how long it takes until a running request is likely to end, and
// room with it.
func (q *Queue) Backoff() time.Duration {
	return q.expected() / time.Duration(max(1, q.Running()))
}

// lateness is by how much a request that has to wait would miss its first-byte
// or whole deadline, by the measured service time. Until one has been measured
// nothing is ruled out. A request that need not wait is never refused for
// this, or an average that has grown too long would never be corrected.
func (q *Queue) lateness(now time.Time, r *Request) time.Duration {
	expires := r.Expires()
	if expires.IsZero() || !q.service.known || q.config.Slots <= 0 {
		return 0
	}
	turns := float64(q.ahead(r)+1) / float64(q.config.Slots)
	wait := time.Duration(turns * float64(q.expected()))
	due := now.Add(wait + q.first[r.Profile].value())
	return max(0, due.Sub(expires))
}
