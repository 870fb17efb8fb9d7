package balance

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// loadsAt is a Tracker at one moment, for the choice for one request. It implements
// placement.Loads. Its methods read the Tracker without locking it: Choose holds the lock.
type loadsAt struct {
	*Tracker
	mechanisms policy.Policy
	now        time.Time
	upstreams  int
	drained    int // number of upstreams that are drained
	request    Request
	deferred   bool // Choose has deferred the request
}

// Load implements placement.Loads.
func (l loadsAt) Load(vm load.VM) float64 { return l.loads.Load(l.now, vm) }

// Cost implements placement.Loads. The response time grows with the requests already at the
// upstream.
func (l loadsAt) Cost(vm load.VM) float64 {
	cost := l.loads.Load(l.now, vm) + 1
	if l.mechanisms.Pace {
		cost *= l.relativeLatency.Factor(l.now, vm)
	}
	return cost
}

// Estimate implements placement.Loads.
func (l loadsAt) Estimate(vm load.VM) placement.Estimate {
	recent := l.loads.RecentLoad(l.now, vm)
	ahead := l.Tracker.requestsAhead(recent, l.request.Urgency)
	withoutQueue := l.speed.EstimateFirstByte(l.now, vm, l.request.Profile, 0, l.slots)
	start := withoutQueue
	if ahead > 0 {
		start = l.speed.EstimateFirstByte(l.now, vm, l.request.Profile, ahead, l.slots)
	}
	if l.deferred && recent >= deferredLoadPerSlot*float64(l.slots) {
		start = math.Inf(1)
	}
	return placement.Estimate{
		Start:     start,
		QueueWait: start - withoutQueue,
		Queued:    ahead > 0,
		Slowdown:  l.speed.Slowdown(l.now, vm),
	}
}

// UpperLoad implements placement.Loads.
func (l loadsAt) UpperLoad(vm load.VM) float64 { return l.loads.UpperBound(l.now, vm) }

// Drift implements placement.Loads.
func (l loadsAt) Drift(vm load.VM) float64 { return l.loads.Drift(l.now, vm) }

// Mean implements placement.Loads. The mean is that of all upstreams even while some are
// suspected: relative to the mean of those that take over their requests, the bound would be far
// above the configured load bound, which counts all upstreams.
func (l loadsAt) Mean() float64 { return l.loads.Mean(l.upstreams, l.drained) }

// Unavailable implements placement.Loads.
func (l loadsAt) Unavailable(i int) bool {
	return l.request.Unavailable != nil && l.request.Unavailable(i)
}

// IsSuspected implements placement.Loads. Unlike Tracker.IsSuspected, it returns false if outlier
// detection is switched off.
func (l loadsAt) IsSuspected(vm load.VM) bool {
	return l.mechanisms.Outliers && l.outliers.IsSuspected(l.now, vm)
}
