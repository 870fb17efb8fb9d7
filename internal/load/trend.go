package load

import "math"

const (
	// trendDecaySeconds is the time, in seconds, over which the trend forgets.
	trendDecaySeconds = 10
	// maxTrendSpanSeconds is the longest time between two samples of an upstream, in
	// seconds, from which the trend learns, and for which it is trusted ahead.
	maxTrendSpanSeconds = 20
	// minTrendSeconds is how many seconds of samples a trend needs.
	minTrendSeconds = 10
)

// trend is how fast the loads of a pool rise or fall. Samples are seconds old
// when they arrive. When the pool's load grows by a few percent a second, at
// the start of a surge, a mean of old samples is too low, and upstreams refuse
// what they should take; when it falls, the mean is too high.
//
// The trend is taken from successive samples of the same upstream. The age of
// samples alone would not do: busy upstreams are heard of more often, so their
// samples are the youngest, and the load would seem to rise all the time.
type trend struct {
	rise    float64 // of load, over the pairs of samples in the window
	seconds float64 // between them, times weight
	at      int64   // in milliseconds
}

// observe takes in that upstream's sample old was followed by new.
func (t *trend) observe(old, new *entry) {
	spanSeconds := float64(new.at-old.at) / 1000
	if old.state != Serving || new.state != Serving || spanSeconds <= 0 || spanSeconds > maxTrendSpanSeconds {
		return
	}
	if new.at > t.at {
		decayFactor := math.Exp(-float64(new.at-t.at) / 1000 / trendDecaySeconds)
		t.rise *= decayFactor
		t.seconds *= decayFactor
		t.at = new.at
	}
	t.rise += float64(new.load) - float64(old.load)
	t.seconds += spanSeconds * float64(new.weight)
}

// extrapolate brings a load that was true age seconds ago up to now. Whatever samples
// claim, the trend does not outweigh them.
func (t *trend) extrapolate(load, weight, age float64) float64 {
	if t.seconds < minTrendSeconds {
		return load
	}
	change := t.rise / t.seconds * weight * min(max(age, 0), maxTrendSpanSeconds)
	return load + min(max(change, -load/2), load/2)
}
