package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// demandFor is the time in which a request loses its weight in a Demand. Within
	// it a router of a large fleet sees a hundred requests, so that a session with a
	// tenth of them stands out.
	demandFor = 4 * time.Second
	// demandLeast is the weight below which a session is forgotten.
	demandLeast = 0.05
	// tookUsually is how long a request of a kind takes that has not been seen yet.
	tookUsually = time.Second
	// tookShare is the weight of a request's time among those of its kind before it.
	tookShare = 0.1
	// chance is by how many standard deviations a session's count is taken to exceed
	// its share. With a whole one, a surge with a third of the traffic is spread over
	// too few: half as many requests again find an upstream over the bound.
	chance = 0.5
)

// Demand counts for which sessions requests come to a router, the latest most. A
// router sees a sliver of the traffic, but a session's share of it is the same as
// everywhere. It is not safe for concurrent use.
type Demand struct {
	clock  decay.Clock
	counts map[uint64]float64
	total  float64                  // of the requests' times, in seconds
	took   map[string]time.Duration // by kind of request, on average
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{clock: decay.NewClock(demandFor), counts: make(map[uint64]float64), took: make(map[string]time.Duration)}
}

// RecordDuration takes in how long a request of a kind was in flight.
func (d *Demand) RecordDuration(kind string, took time.Duration) {
	former, ok := d.took[kind]
	if !ok {
		former = took
	}
	d.took[kind] = former + time.Duration(tookShare*float64(took-former))
}

// RecordRequest counts a request of a session, and returns which part of all requests in flight
// its session has at least. The estimate is one request and half a standard deviation
// below what was counted: of a session that comes by chance twice in a row it says
// next to nothing.
func (d *Demand) RecordRequest(now time.Time, session uint64, kind string) float64 {
	takes, ok := d.took[kind]
	if !ok {
		takes = tookUsually
	}
	if weight, due := d.clock.Rebase(now); due {
		d.divide(weight)
	}
	weight := d.clock.Weight(now)
	d.counts[session] += weight
	d.total += weight * takes.Seconds()
	count := d.counts[session] / weight
	inFlight := max(0, count-1-chance*math.Sqrt(count)) * takes.Seconds()
	return inFlight * weight / max(d.total, math.SmallestNonzeroFloat64)
}

// divide makes all counts smaller, and forgets the sessions with next to nothing.
func (d *Demand) divide(weight float64) {
	d.total /= weight
	for session, count := range d.counts {
		if count /= weight; count < demandLeast {
			delete(d.counts, session)
		} else {
			d.counts[session] = count
		}
	}
}
