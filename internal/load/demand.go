package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// demandDecay is the time in which a request loses its weight in a Demand. Within
	// it a router of a large fleet sees a hundred requests, so that a session with a
	// tenth of them stands out.
	demandDecay = 4 * time.Second
	// minDemandWeight is the weight below which a session is forgotten.
	minDemandWeight = 0.05
	// defaultDuration is how long a request of a kind takes that has not been seen yet.
	defaultDuration = time.Second
	// durationSmoothing is the weight of a request's time among those of its kind before it.
	durationSmoothing = 0.1
	// shareDeviations is by how many standard deviations a session's count is taken to exceed
	// its share. With a whole one, a surge with a third of the traffic is spread over
	// too few: half as many requests again find an upstream over the bound.
	shareDeviations = 0.5
)

// Demand counts for which sessions requests come to a router, the latest most. A
// router sees a sliver of the traffic, but a session's share of it is the same as
// everywhere. It is not safe for concurrent use.
type Demand struct {
	clock        decay.Clock
	counts       map[uint64]float64
	totalSeconds float64                  // of the requests' times, in seconds
	durations    map[string]time.Duration // by kind of request, on average
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{clock: decay.NewClock(demandDecay), counts: make(map[uint64]float64), durations: make(map[string]time.Duration)}
}

// RecordDuration takes in how long a request of a kind was in flight.
func (d *Demand) RecordDuration(kind string, duration time.Duration) {
	mean, ok := d.durations[kind]
	if !ok {
		mean = duration
	}
	d.durations[kind] = mean + time.Duration(durationSmoothing*float64(duration-mean))
}

// RecordRequest counts a request of a session, and returns which part of all requests in flight
// its session has at least. The estimate is one request and half a standard deviation
// below what was counted: of a session that comes by chance twice in a row it says
// next to nothing.
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

// rescale makes all counts smaller, and forgets the sessions with next to nothing.
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
