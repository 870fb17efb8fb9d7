package load

import "math"

const (
	// trendDecaySeconds is the time in which the weight of past samples falls to 1/e.
	trendDecaySeconds = 10
	// maxTrendSpanSeconds is the longest time between two samples of an upstream from which the
	// trend is computed, and the longest time over which it is extrapolated.
	maxTrendSpanSeconds = 20
	// minTrendSeconds is the weighted time between samples below which no trend is applied.
	minTrendSeconds = 10
)

// trend estimates how fast the loads of a pool rise or fall. Samples are seconds old when they
// arrive. When the pool's load grows by a few percent per second, at the start of a surge, a mean
// of old samples is too low, and upstreams refuse requests that they should accept. When the load
// falls, the mean is too high.
//
// The trend is computed from successive samples of the same upstream. Comparing samples of
// different age is not enough: busy upstreams are sampled more often, so their samples are the
// newest, and the load would always seem to rise.
type trend struct {
	rise    float64 // weighted sum of the load changes between successive samples
	seconds float64 // weighted sum of the time between them, multiplied by the upstreams' weights
	at      int64   // time of the newest sample, in Unix milliseconds
}

// observe adds the change between two successive samples of an upstream.
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

// extrapolate returns the estimated present load of an upstream with the given weight that had the
// given load age seconds ago. It changes the load by half at most, regardless of the trend.
func (t *trend) extrapolate(load, weight, age float64) float64 {
	if t.seconds < minTrendSeconds {
		return load
	}
	change := t.rise / t.seconds * weight * min(max(age, 0), maxTrendSpanSeconds)
	return load + min(max(change, -load/2), load/2)
}
