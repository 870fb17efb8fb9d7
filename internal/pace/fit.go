package pace

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// fitDecay is the time in which the weight of an observed event falls to 1/e.
	fitDecay = 10 * time.Second
	// minEvents is the weighted number of events that a fit needs.
	minEvents = 200.0
	// minDeviation and minRelativeDeviation are the smallest standard deviation of the held requests
	// that a fit needs, as a number and relative to their mean. Reported loads are a few hundred
	// milliseconds old and differ from the current load by one or two requests; a slope that is
	// fitted to a smaller spread is mostly that error.
	minDeviation         = 1.0
	minRelativeDeviation = 0.05
	// maxIntervalFactor limits a single interval, relative to the mean. An engine that was stopped for
	// seconds then does not determine the fit; one that is slower for long still does.
	maxIntervalFactor = 16.0
	// minMeanInterval is the shortest mean interval, in seconds, that maxIntervalFactor is applied to.
	minMeanInterval = 0.001
	// maxHeld is the highest load that is accepted, far above that of any engine. It keeps squares of
	// loads finite.
	maxHeld = 1e6
)

// line is the interval between events in seconds as a linear function of the held requests. It is
// given by the mean of the observations and the slope, which is not negative.
type line struct{ meanHeld, meanInterval, slope float64 }

// at returns the interval in seconds at an engine that holds the given number of requests.
func (l line) at(held float64) float64 {
	return max(0, l.meanInterval+l.slope*(held-l.meanHeld))
}

// heldAt returns the number of held requests at which the interval is as given. If the interval does
// not depend on the load, the result is infinite: positive if the interval is long enough.
func (l line) heldAt(interval float64) float64 {
	if l.slope == 0 {
		if interval >= l.meanInterval {
			return math.Inf(1)
		}
		return math.Inf(-1)
	}
	return l.meanHeld + (interval-l.meanInterval)/l.slope
}

// fit is a weighted least-squares fit of the interval between events to the held requests. Weights
// decay exponentially. It keeps means and sums of products of the deviations from them, which lose no
// precision if the mean is large compared with the deviations.
type fit struct {
	clock          decay.Clock
	weight         float64 // sum of the weights of events
	held, interval float64 // weighted means
	heldSquares    float64 // weighted sum of the squared deviations of held
	products       float64 // weighted sum of the products of both deviations
	slope          float64 // the last positive one from observations that varied enough; zero if none was positive
	hasSlope       bool
}

func newFit() fit {
	return fit{clock: decay.NewClock(fitDecay)}
}

// add records n events at the given mean interval in seconds.
func (f *fit) add(now time.Time, held, n, interval float64) {
	if scale, due := f.clock.Rebase(now); due {
		f.weight, f.heldSquares, f.products = f.weight/scale, f.heldSquares/scale, f.products/scale
	}
	unit := f.clock.Weight(now)
	if !(unit > 0) { // now is so long before the last Rebase that the weight underflows
		return
	}
	if f.weight >= minEvents*unit {
		interval = min(interval, maxIntervalFactor*max(f.interval, minMeanInterval))
	}
	weight := n * unit
	f.weight += weight
	heldDeviation, intervalDeviation := held-f.held, interval-f.interval
	f.held += heldDeviation * weight / f.weight
	f.interval += intervalDeviation * weight / f.weight
	f.heldSquares += weight * heldDeviation * (held - f.held)
	f.products += weight * heldDeviation * (interval - f.interval)
}

// line returns the fitted line. It returns false if there are too few events, or if the held requests
// vary too little and have done so since there were enough events.
//
// A pool that is kept at its limit has engines with nearly equal load. If the limit became unknown
// then, the pool would be overloaded until the load varies again. Therefore the last slope remains in
// use, through the mean of the current observations, for as long as there are enough events. It also
// remains in use if the fitted slope is negative, as when engines have become slower while the load
// fell: a slope of zero would turn the limit into the least or all of the places.
func (f *fit) line(now time.Time) (line, bool) {
	if !(f.weight >= minEvents*f.clock.Weight(now)) {
		f.hasSlope = false
		return line{}, false
	}
	deviation := math.Sqrt(f.heldSquares / f.weight)
	if deviation >= max(minDeviation, minRelativeDeviation*f.held) && (f.products > 0 || !f.hasSlope) {
		f.slope, f.hasSlope = max(0, f.products/f.heldSquares), true
	}
	return line{meanHeld: f.held, meanInterval: f.interval, slope: f.slope}, f.hasSlope
}
