package load

import (
	"maps"
	"math"
	"time"
)

const (
	// latencySmoothing is the weight of one answer's time among those before it: four answers
	// tell that an upstream has become slow.
	latencySmoothing = 0.25
	// latencyDecaySeconds is the time, in seconds, in which what was seen of an upstream loses its
	// weight. One that was slow is tried again after about as long.
	latencyDecaySeconds = 3.0
	// maxLatencyFactor bounds how much slower than usual a single answer counts: one request in
	// a hundred takes many times as long as the others, wherever it runs.
	maxLatencyFactor = 8.0
	// failureFactor is how many usual answers an attempt without one costs at least: its
	// own time, and that of the next.
	failureFactor = 2.0
	// minLatency is the shortest time that tells one answer from another: what the way
	// there and back varies by.
	minLatency = time.Millisecond
	// typicalLatencySmoothing is the weight of one answer's time in what is usual of its kind.
	typicalLatencySmoothing = 0.02
)

// RelativeLatency is how fast upstreams answer next to each other, as one router sees it. Of
// upstreams that do not tell their load, it is the only sign that requests of other
// routers wait there, or that one has become slow. It is not safe for concurrent use.
type RelativeLatency struct {
	typical map[string]float64 // seconds, by kind of request
	factors map[VM]latencyFactor
}

type latencyFactor struct {
	factor float64 // time of an answer, times that which is usual of its kind
	at     time.Time
}

// NewRelativeLatency returns a Pace that has seen nothing.
func NewRelativeLatency() *RelativeLatency {
	return &RelativeLatency{typical: make(map[string]float64), factors: make(map[VM]latencyFactor)}
}

// RecordAnswer takes in how long an upstream took to begin the answer to a request of a kind.
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

// RecordFailure takes in that an attempt ended without a proper answer after a time. Its request
// has to be made again, and an answer would have taken at least as long. An upstream that
// fails its requests at once is not fast: taken for that, it is sent .83 of the requests
// of a pool of three, until it is suspected, in place of .30
// (TestAnUpstreamThatFailsAtOnceIsNotFast).
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

// Factor returns how many times longer than usual an upstream is believed to take.
func (r *RelativeLatency) Factor(now time.Time, vm VM) float64 {
	f, known := r.factors[vm]
	if !known {
		return 1
	}
	weight := math.Exp(-now.Sub(f.at).Seconds() / latencyDecaySeconds)
	return weight*f.factor + 1 - weight
}

// Keep forgets every upstream that is not among members.
func (r *RelativeLatency) Keep(members []VM) {
	kept := SetOf(members)
	maps.DeleteFunc(r.factors, func(vm VM, _ latencyFactor) bool { return !kept[vm] })
}
