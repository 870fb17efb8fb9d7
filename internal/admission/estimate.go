package admission

import "time"

const (
	// smoothing is the weight of a new observation in an average.
	smoothing = 0.1
	// defaultServiceTime is used as the service time until one has been observed.
	defaultServiceTime = time.Second
	// maxAverages limits the number of profiles whose first-byte times are kept. Those
	// of further profiles are not recorded.
	maxAverages = 256
)

// average is an exponentially weighted moving average of durations.
type average struct {
	seconds  float64
	observed bool
}

func (a *average) observe(d time.Duration) {
	if !a.observed {
		*a = average{seconds: d.Seconds(), observed: true}
		return
	}
	a.seconds += smoothing * (d.Seconds() - a.seconds)
}

func (a average) value() time.Duration {
	return time.Duration(a.seconds * float64(time.Second))
}

// expectedServiceTime returns how long a request is expected to run.
func (q *Queue) expectedServiceTime() time.Duration {
	if !q.service.observed {
		return defaultServiceTime
	}
	return max(q.service.value(), time.Duration(minCostSeconds*float64(time.Second)))
}

func (q *Queue) observeFirstByte(profile string, d time.Duration) {
	a, known := q.firstByte[profile]
	if !known && len(q.firstByte) >= maxAverages {
		return
	}
	a.observe(d)
	q.firstByte[profile] = a
}

// Backoff returns the expected time until a running request ends and frees its slot.
func (q *Queue) Backoff() time.Duration {
	return q.expectedServiceTime() / time.Duration(max(1, q.Running()))
}

// lateness returns by how much a request that has to wait would miss its first-byte or
// total deadline, based on the measured service time. It returns zero for a request
// without a deadline, without a limit of slots, and until a service time has been
// measured. check does not call it for a request that can start at once: if those were
// refused too, none would run, and an average that has become too long would never be
// corrected.
func (q *Queue) lateness(now time.Time, r *Request) time.Duration {
	expires := r.Expires()
	if expires.IsZero() || !q.service.observed || q.config.Slots <= 0 {
		return 0
	}
	rounds := float64(q.ahead(r)+1) / float64(q.config.Slots)
	wait := time.Duration(rounds * float64(q.expectedServiceTime()))
	firstByteAt := now.Add(wait + q.firstByte[r.Profile].value())
	return max(0, firstByteAt.Sub(expires))
}
