package load

import (
	"maps"
	"math"
	"time"
)

const (
	// paceShare is the weight of one answer's time among those before it: four answers
	// tell that an upstream has become slow.
	paceShare = 0.25
	// paceFor is the time, in seconds, in which what was seen of an upstream loses its
	// weight. One that was slow is tried again after about as long.
	paceFor = 3.0
	// paceMost bounds how much slower than usual a single answer counts: one request in
	// a hundred takes many times as long as the others, wherever it runs.
	paceMost = 8.0
	// failedCounts is how many usual answers an attempt without one costs at least: its
	// own time, and that of the next.
	failedCounts = 2.0
	// paceLeast is the shortest time that tells one answer from another: what the way
	// there and back varies by.
	paceLeast = time.Millisecond
	// usualShare is the weight of one answer's time in what is usual of its kind.
	usualShare = 0.02
)

// RelativeLatency is how fast upstreams answer next to each other, as one router sees it. Of
// upstreams that do not tell their load, it is the only sign that requests of other
// routers wait there, or that one has become slow. It is not safe for concurrent use.
type RelativeLatency struct {
	usual map[string]float64 // seconds, by kind of request
	seen  map[VM]pace
}

type pace struct {
	slowness float64 // time of an answer, times that which is usual of its kind
	at       time.Time
}

// NewRelativeLatency returns a Pace that has seen nothing.
func NewRelativeLatency() *RelativeLatency {
	return &RelativeLatency{usual: make(map[string]float64), seen: make(map[VM]pace)}
}

// RecordAnswer takes in how long an upstream took to begin the answer to a request of a kind.
func (p *RelativeLatency) RecordAnswer(now time.Time, vm VM, kind string, d time.Duration) {
	usual := p.usual[kind]
	if usual <= 0 {
		usual = max(d, paceLeast).Seconds()
	}
	x := min(max(d, paceLeast).Seconds()/usual, paceMost)
	p.usual[kind] = usual * (1 + usualShare*(x-1))
	slowness := p.Factor(now, vm)
	p.seen[vm] = pace{slowness: slowness + paceShare*(x-slowness), at: now}
}

// RecordFailure takes in that an attempt ended without a proper answer after a time. Its request
// has to be made again, and an answer would have taken at least as long. An upstream that
// fails its requests at once is not fast: taken for that, it is sent .83 of the requests
// of a pool of three, until it is suspected, in place of .30
// (TestAnUpstreamThatFailsAtOnceIsNotFast).
func (p *RelativeLatency) RecordFailure(now time.Time, vm VM, kind string, d time.Duration) {
	usual := p.usual[kind]
	if usual <= 0 {
		return
	}
	slowness := p.Factor(now, vm)
	if x := min(max(d.Seconds()/usual, failedCounts), paceMost); x > slowness {
		p.seen[vm] = pace{slowness: slowness + paceShare*(x-slowness), at: now}
	}
}

// Factor returns how many times longer than usual an upstream is believed to take.
func (p *RelativeLatency) Factor(now time.Time, vm VM) float64 {
	s, known := p.seen[vm]
	if !known {
		return 1
	}
	trust := math.Exp(-now.Sub(s.at).Seconds() / paceFor)
	return trust*s.slowness + 1 - trust
}

// Keep forgets every upstream that is not among members.
func (p *RelativeLatency) Keep(members []VM) {
	wanted := SetOf(members)
	maps.DeleteFunc(p.seen, func(vm VM, _ pace) bool { return !wanted[vm] })
}
