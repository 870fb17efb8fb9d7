package shares

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

const (
	// minRejectedPart is the part of the attempts that upstreams must reject for their accepted
	// rate to be a measure of the capacity.
	minRejectedPart = 0.01
	// probeFactor is the ratio of the estimate to the accepted rate, so that a few attempts always
	// probe for more capacity. It must exceed 1 + minRejectedPart.
	probeFactor = 1.02
	// growthPerSecond is the factor by which an estimate grows while upstreams reject nothing.
	growthPerSecond = 1.05
	// fastGrowthPerSecond applies instead after estimateRetention without rejections, if requests
	// are still held back: the estimate is then far too low.
	fastGrowthPerSecond = 1.5
	// estimateRetention is the time without rejections after which an estimate is forgotten,
	// unless requests are held back according to it.
	estimateRetention = 5 * time.Second
	// incompleteRetention is the same while the totals are not complete. Then the router uses its
	// part of the pool and may see no rejections although the pool is short, and it does not know
	// whether it is. It is longer than the outage of the root of the tree of routers.
	incompleteRetention = 30 * time.Second
	// ratesTimeConstant is the time constant with which the rates of package demand decay.
	ratesTimeConstant = time.Second
	// intervalLength is the minimum length of the intervals in which rates are measured. In
	// shorter ones the difference of two decaying rates is mostly noise.
	intervalLength = 250 * time.Millisecond
	// windowLength is the time for which the last intervals are kept, at least. Before
	// totals are complete for so long, the estimate is that of the decayed rates: the first totals
	// lack the reports of routers that have just begun to report.
	windowLength = time.Second
	// minSaturatedPart is the part of the window in which upstreams must have rejected attempts, so that
	// there is an estimate.
	minSaturatedPart = 0.5
)

// RateCapacity estimates the capacity of a pool whose upstreams report no load, from what they
// reject. The zero value is ready to use. It is not safe for concurrent use.
//
// But for the first estimate the decayed rates of the totals are not used directly, since they include the time before
// upstreams began to reject. After a surge the rejections in them decay as slowly as the accepted
// rate, so that the estimate would follow the traffic down and requests would be held back for
// seconds. Therefore the rates within short intervals are computed from them, and the accepted rate
// is that of the intervals in which upstreams rejected attempts. An interval ends with new totals:
// between two summaries the same ones would look like rejections that go on.
type RateCapacity struct {
	// MinAttempts is the rate of attempts per second below which the totals give no first estimate. Of
	// a few attempts, one that is rejected looks like saturation.
	MinAttempts float64

	capacity   float64   // estimate in requests per second; 0: none
	used       float64   // at the last Update with complete totals
	updatedAt  time.Time // time of the last Update
	rejectedAt time.Time // last time when upstreams rejected attempts
	neededAt   time.Time // last time when they did, or requests were held back
	// The rest is about complete totals since the last incomplete ones.
	last      sample
	intervals []interval // the latest ones, windowLength together as soon as there are enough
}

// sample is the decayed rates at a time.
type sample struct {
	at                 time.Time
	accepted, rejected float64
}

// interval is what upstreams did in an interval.
type interval struct {
	length             time.Duration
	accepted, rejected float64 // attempts per second
}

func (i interval) isSaturated() bool { return isSaturated(i.accepted, i.rejected) }

// mean returns the length of intervals together, and the mean of their rates.
func mean(intervals iter.Seq[interval]) interval {
	var sum interval
	for i := range intervals {
		seconds := i.length.Seconds()
		sum.length += i.length
		sum.accepted += i.accepted * seconds
		sum.rejected += i.rejected * seconds
	}
	if seconds := sum.length.Seconds(); seconds > 0 {
		sum.accepted /= seconds
		sum.rejected /= seconds
	}
	return sum
}

// Update returns the estimated capacity and its use, in requests per second; both are 0 if there is
// no estimate. While the totals are not complete, they cover too few routers to tell the capacity:
// the last results are kept for up to 30 s.
func (c *RateCapacity) Update(now time.Time, t demand.Totals) (capacity, used float64) {
	elapsed := max(0, now.Sub(c.updatedAt))
	c.updatedAt = now
	s := sample{now, sanitizeWork(t.Accepted), sanitizeWork(t.Rejected)}
	if !t.ReceivedAt.IsZero() {
		s.at = t.ReceivedAt
	}
	if t.Complete {
		c.updateComplete(now, s, elapsed, offeredRate(t))
	} else {
		c.updateIncomplete(now, s)
	}
	return c.capacity, c.used
}

// updateIncomplete keeps the estimate.
func (c *RateCapacity) updateIncomplete(now time.Time, s sample) {
	c.last, c.intervals = sample{}, c.intervals[:0]
	if isSaturated(s.accepted, s.rejected) {
		c.rejectedAt, c.neededAt = now, now
	}
	c.forget(now, incompleteRetention)
}

func (c *RateCapacity) updateComplete(now time.Time, s sample, elapsed time.Duration, offered float64) {
	isNew := c.addSample(s)
	window, saturated := c.window(), c.saturated()
	isEnough := s.accepted+s.rejected >= c.MinAttempts // for a first estimate
	isSaturatedNow := window.length >= windowLength && saturated.length.Seconds() >= minSaturatedPart*window.length.Seconds()
	if (isEnough || c.capacity > 0) && isSaturatedNow {
		c.rejectedAt = now
		if isNew {
			c.capacity = c.measured(saturated)
		}
	} else if c.capacity > 0 {
		c.grow(now, elapsed)
	} else if isEnough && isSaturated(s.accepted, s.rejected) {
		// The decayed rate is partly that of the time before the surge. Too low an estimate costs those
		// who ask for most. It is measured anew while upstreams reject, and grows when they do not.
		c.capacity, c.rejectedAt = min(probeFactor*s.accepted, maxWork), now
	}
	if offered > c.capacity || c.rejectedAt.Equal(now) {
		c.neededAt = now
	}
	c.forget(now, estimateRetention)
	c.used = min(offered, c.capacity)
}

// grow increases the estimate while upstreams reject nothing. It is not forgotten while requests
// are held back, since the lack of rejections does not show then that the capacity suffices, and
// the pool would alternate between short and not short.
func (c *RateCapacity) grow(now time.Time, elapsed time.Duration) {
	perSecond := growthPerSecond
	if now.Sub(c.rejectedAt) >= estimateRetention {
		perSecond = fastGrowthPerSecond
	}
	c.capacity = min(c.capacity*math.Pow(perSecond, elapsed.Seconds()), maxWork)
	// The capacity is at least what upstreams accept. An estimate may be less if it is from the first
	// complete totals, which lack some routers.
	if window := c.window(); window.length >= windowLength {
		c.capacity = max(c.capacity, window.accepted)
	}
}

// window returns the mean of the intervals that are kept.
func (c *RateCapacity) window() interval { return mean(slices.Values(c.intervals)) }

// saturated returns the mean of those in which upstreams rejected attempts.
func (c *RateCapacity) saturated() interval {
	return mean(func(yield func(interval) bool) {
		for _, i := range c.intervals {
			if i.isSaturated() && !yield(i) {
				return
			}
		}
	})
}

// forget removes the estimate if it was not needed for a time.
func (c *RateCapacity) forget(now time.Time, after time.Duration) {
	if now.Sub(c.neededAt) >= after {
		c.capacity, c.used = 0, 0
	}
}

// offeredRate returns the work per second in all classes.
func offeredRate(t demand.Totals) float64 {
	offered := 0.0
	for i := range t.Rates {
		offered += sanitizeWork(t.Rates[i].Offered)
	}
	return offered
}

// addSample adds the interval since the last sample if it is long enough, and reports whether it is.
func (c *RateCapacity) addSample(s sample) bool {
	length := s.at.Sub(c.last.at)
	if c.last.at.IsZero() || length < 0 {
		c.last = s
		return false
	}
	if length < intervalLength {
		return false
	}
	remaining := math.Exp(-length.Seconds() / ratesTimeConstant.Seconds())
	accepted := max(0, s.accepted-c.last.accepted*remaining) / (1 - remaining)
	rejected := max(0, s.rejected-c.last.rejected*remaining) / (1 - remaining)
	c.intervals = append(c.intervals, interval{length, accepted, rejected})
	for c.window().length-c.intervals[0].length >= windowLength {
		c.intervals = append(c.intervals[:0], c.intervals[1:]...)
	}
	c.last = s
	return true
}

func isSaturated(accepted, rejected float64) bool {
	return rejected > 0 && rejected >= minRejectedPart*(accepted+rejected)
}

// measured returns the estimate for the mean of saturated intervals. It is not reduced by more
// than the rejected part of the attempts explains: when a surge ends, reports of some routers are
// still from the surge, so that the accepted rate falls while upstreams seem to reject attempts.
// The mean with the previous estimate halves the error that is due to random rejections.
func (c *RateCapacity) measured(s interval) float64 {
	if c.capacity == 0 {
		return min(probeFactor*s.accepted, maxWork)
	}
	least := c.capacity * s.accepted / (s.accepted + s.rejected)
	return min((probeFactor*max(s.accepted, least)+c.capacity)/2, maxWork)
}
