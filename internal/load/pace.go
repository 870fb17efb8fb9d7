package load

import (
	"maps"
	"math"
	"time"
)

const (
	// latencySmoothing is the weight of a new answer in the moving average of an upstream: four
	// answers are enough to detect that it has become slow.
	latencySmoothing = 0.25
	// latencyDecaySeconds is the time in which the weight of an upstream's average falls to 1/e.
	// A slow upstream is tried again after about this time.
	latencyDecaySeconds = 3.0
	// maxLatencyFactor limits the factor of a single answer. One request in a hundred takes many
	// times as long as the others on any upstream.
	maxLatencyFactor = 8.0
	// failureFactor is the minimum factor recorded for a failed attempt, which costs its own time
	// and that of the next attempt.
	failureFactor = 2.0
	// minLatency is the shortest latency that is distinguished: the variation of the network
	// round trip.
	minLatency = time.Millisecond
	// typicalLatencySmoothing is the weight of a new answer in the typical latency of its kind.
	typicalLatencySmoothing = 0.02
)

// RelativeLatency tracks the time to the first byte of each upstream relative to the typical time
// of the pool, as one router observes it. For upstreams that do not report their load, it is the
// only sign that requests of other routers wait there or that the upstream has become slow. It is
// not safe for concurrent use.
type RelativeLatency struct {
	typical map[string]float64 // seconds, by kind of request
	factors map[VM]latencyFactor
}

type latencyFactor struct {
	factor float64 // latency relative to the typical latency of its kind
	at     time.Time
}

// NewRelativeLatency returns a RelativeLatency without observations.
func NewRelativeLatency() *RelativeLatency {
	return &RelativeLatency{typical: make(map[string]float64), factors: make(map[VM]latencyFactor)}
}

// RecordAnswer records how long an upstream took to begin its answer to a request of a kind.
func (r *RelativeLatency) RecordAnswer(now time.Time, vm VM, kind string, d time.Duration) {
	typical := r.typical[kind]
	if typical <= 0 {
		typical = max(d, minLatency).Seconds()
	}
	ratio := min(max(d, minLatency).Seconds()/typical, maxLatencyFactor)
	r.typical[kind] = typical * (1 + typicalLatencySmoothing*(ratio-1))
	factor := r.Factor(now, vm)
	r.factors[vm] = latencyFactor{factor: factor + latencySmoothing*(ratio-factor), at: now}
}

// RecordFailure records that an attempt ended after d without a successful answer. It is counted
// like an answer of at least d and at least failureFactor times the typical latency, if that is
// higher than the upstream's factor: an answer would have taken at least d, and the request has to
// be sent again. Nothing is recorded for a kind without answers so far.
//
// An upstream that fails requests immediately must not count as fast: in a simulated pool of three
// (see package placement), it would receive .83 of the requests until it is suspected, instead of
// .30.
func (r *RelativeLatency) RecordFailure(now time.Time, vm VM, kind string, d time.Duration) {
	typical := r.typical[kind]
	if typical <= 0 {
		return
	}
	factor := r.Factor(now, vm)
	if ratio := min(max(d.Seconds()/typical, failureFactor), maxLatencyFactor); ratio > factor {
		r.factors[vm] = latencyFactor{factor: factor + latencySmoothing*(ratio-factor), at: now}
	}
}

// Factor returns the estimated latency of an upstream as a multiple of the typical latency.
func (r *RelativeLatency) Factor(now time.Time, vm VM) float64 {
	f, known := r.factors[vm]
	if !known {
		return 1
	}
	weight := math.Exp(-now.Sub(f.at).Seconds() / latencyDecaySeconds)
	return weight*f.factor + 1 - weight
}

// Keep drops all upstreams that are not in members.
func (r *RelativeLatency) Keep(members []VM) {
	kept := SetOf(members)
	maps.DeleteFunc(r.factors, func(vm VM, _ latencyFactor) bool { return !kept[vm] })
}
