package load

import "math"

const (
	// trendWindow is the time, in seconds, over which the trend forgets.
	trendWindow = 10
	// trendSpan is the longest time between two samples of an upstream, in
	// seconds, from which the trend learns, and for which it is trusted ahead.
	trendSpan = 20
	// minEvidence is how many seconds of samples a trend needs.
	minEvidence = 10
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

// learn takes in that upstream's sample old was followed by new.
func (t *trend) learn(old, new *entry) {
	span := float64(new.at-old.at) / 1000
	if old.state != Serving || new.state != Serving || span <= 0 || span > trendSpan {
		return
	}
	if new.at > t.at {
		keep := math.Exp(-float64(new.at-t.at) / 1000 / trendWindow)
		t.rise *= keep
		t.seconds *= keep
		t.at = new.at
	}
	t.rise += float64(new.load) - float64(old.load)
	t.seconds += span * float64(new.weight)
}

// ahead brings a load that was true age seconds ago up to now. Whatever samples
// claim, the trend does not outweigh them.
func (t *trend) ahead(load, weight, age float64) float64 {
	if t.seconds < minEvidence {
		return load
	}
	change := t.rise / t.seconds * weight * min(max(age, 0), trendSpan)
	return load + min(max(change, -load/2), load/2)
}
