package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// demandDecay is the time in which the weight of a request falls to 1/e. Within it a router
	// of a large fleet receives about a hundred requests, so a session with a tenth of them
	// stands out.
	demandDecay = 4 * time.Second
	// minDemandWeight is the weight below which a session is dropped.
	minDemandWeight = 0.05
	// defaultDuration is the assumed duration of requests of a kind not seen before.
	defaultDuration = time.Second
	// durationSmoothing is the weight of a new duration in the moving average of its kind.
	durationSmoothing = 0.1
	// shareDeviations is the number of standard deviations of a session's count that are
	// subtracted from it to get a lower bound. With 1.0, the share of a session with a third of
	// the traffic is estimated too low: the session is spread over too few upstreams, and the
	// number of requests that find an upstream over the load bound is higher by half.
	shareDeviations = 0.5
)

// Demand estimates the share of each session in a router's requests, with recent requests
// weighted most. A router has only a partial view of the traffic, but a session's share is the
// same at every router. A Demand is not safe for concurrent use.
type Demand struct {
	clock        decay.Clock
	counts       map[uint64]float64
	totalSeconds float64                  // weighted sum of the requests' durations
	durations    map[string]time.Duration // moving average by kind of request
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{clock: decay.NewClock(demandDecay), counts: make(map[uint64]float64), durations: make(map[string]time.Duration)}
}

// RecordDuration records how long a request of the given kind was in flight.
func (d *Demand) RecordDuration(kind string, duration time.Duration) {
	mean, ok := d.durations[kind]
	if !ok {
		mean = duration
	}
	d.durations[kind] = mean + time.Duration(durationSmoothing*float64(duration-mean))
}

// RecordRequest counts a request of a session and returns a lower bound of the session's share of
// all requests in flight, from 0 to 1. The bound is computed from the session's count less one
// request and shareDeviations standard deviations, so a session that happens to send two requests in
// a row gets a share near zero. Requests are weighted by the mean duration of their kind.
func (d *Demand) RecordRequest(now time.Time, session uint64, kind string) float64 {
	duration, ok := d.durations[kind]
	if !ok {
		duration = defaultDuration
	}
	if weight, due := d.clock.Rebase(now); due {
		d.rescale(weight)
	}
	weight := d.clock.Weight(now)
	d.counts[session] += weight
	d.totalSeconds += weight * duration.Seconds()
	count := d.counts[session] / weight
	inFlight := max(0, count-1-shareDeviations*math.Sqrt(count)) * duration.Seconds()
	return inFlight * weight / max(d.totalSeconds, math.SmallestNonzeroFloat64)
}

// rescale divides all weights by weight and drops sessions below minDemandWeight.
func (d *Demand) rescale(weight float64) {
	d.totalSeconds /= weight
	for session, count := range d.counts {
		if count /= weight; count < minDemandWeight {
			delete(d.counts, session)
		} else {
			d.counts[session] = count
		}
	}
}
