package shares

import (
	"math"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

// plainTrace is the course of a simulation with a plain pool, at the first router.
type plainTrace struct {
	estimates   map[time.Duration]float64 // by time
	transitions []time.Duration           // changes between short and not short
	refused     [60]int                   // requests that the gates refused, by second
	rejected    [60]int                   // attempts that upstreams rejected, by second
	served      [60]int
}

// runPlain simulates organisations that offer 400 requests per second together, and 1,000 in the
// surge, to a plain pool.
func runPlain(seed uint64, routers int, surge func(now time.Duration) bool, capacity func(now time.Duration) float64, until time.Duration) plainTrace {
	f := newSimFleet(seed, routers, &plain{rate: capacity, tokens: plainBurst})
	for range 10 {
		f.addOrg(func(now time.Duration) float64 {
			if surge(now) {
				return 100
			}
			return 40
		})
	}
	trace := plainTrace{estimates: make(map[time.Duration]float64)}
	f.observe = func(now time.Duration, _, _ int, admitted, served bool) {
		second := int(now / time.Second)
		switch {
		case served:
			trace.served[second]++
		case admitted:
			trace.rejected[second]++
		default:
			trace.refused[second]++
		}
	}
	short := false
	f.tick = func(now time.Duration) {
		trace.estimates[now] = f.routers[0].estimate.Capacity
		if s := f.routers[0].gate.Short(); s != short {
			short = s
			trace.transitions = append(trace.transitions, now)
		}
	}
	f.run(until)
	return trace
}

// worstError returns the largest relative difference of the estimate from a capacity in a period.
func (p *plainTrace) worstError(from, to time.Duration, capacity float64) float64 {
	worst := 0.0
	for now := from; now < to; now += simStep {
		worst = max(worst, math.Abs(p.estimates[now]/capacity-1))
	}
	return worst
}

func (p *plainTrace) expectNoRefusalsAfter(t *testing.T, after time.Duration) {
	t.Helper()
	for second, n := range p.refused {
		if n > 0 && time.Duration(second)*time.Second >= after {
			t.Errorf("%d requests are refused in second %d, after the surge", n, second)
		}
	}
}

// A plain pool that accepts 770 requests per second is offered 1,000 for 9 s. Guards against an
// estimate that is that of the time before the surge, against one that oscillates because the gate
// itself ends the rejections, and against a pool that stays short after the surge.
func TestRateCapacityInSurge(t *testing.T) {
	for seed := range uint64(5) {
		p := runPlain(seed, 1, inSurge, func(time.Duration) float64 { return 770 }, simulationEnd)
		worst := p.worstError(surgeStart+2*time.Second, surgeEnd, 770)
		t.Logf("seed %d: the estimate is off by %.3f at most; changes at %v; refused %v, rejected %v, served %v", seed, worst, p.transitions, p.refused[6:20], p.rejected[6:17], p.served[6:17])
		if worst > 0.1 {
			t.Errorf("seed %d: the estimate is off by %.3f", seed, worst)
		}
		// The offered rate falls from 1,000 to 400 with a time constant of 1 s, so that it takes
		// 2.1 s to fall below 0.6 of 790.
		if n := len(p.transitions); n != 2 || p.transitions[1] < surgeEnd || p.transitions[1] > surgeEnd+4*time.Second {
			t.Errorf("seed %d: the pool changes between short and not short at %v", seed, p.transitions)
		}
		p.expectNoRefusalsAfter(t, afterSurge)
		if got := p.estimates[surgeEnd+8*time.Second]; got != 0 {
			t.Errorf("seed %d: the estimate is still %v 8 s after the surge", seed, got)
		}
	}
}

// As above with 24 routers that exchange their rates. Only after the first exchange does a router
// know the accepted rate.
func TestRateCapacityOfManyRouters(t *testing.T) {
	for seed := range uint64(3) {
		p := runPlain(seed, simRouters, inSurge, func(time.Duration) float64 { return 770 }, simulationEnd)
		worst := p.worstError(surgeStart+4*time.Second, surgeEnd, 770)
		t.Logf("seed %d: the estimate is off by %.3f at most; changes at %v; refused %v, rejected %v, served %v", seed, worst, p.transitions, p.refused[6:20], p.rejected[6:17], p.served[6:17])
		if worst > 0.1 {
			t.Errorf("seed %d: the estimate is off by %.3f", seed, worst)
		}
		p.expectNoRefusalsAfter(t, afterSurge+time.Second)
		if n := len(p.transitions); n != 2 {
			t.Errorf("seed %d: the pool changes between short and not short at %v", seed, p.transitions)
		}
	}
}

// In a long surge a third of the upstreams fails and returns later. Guards against an estimate
// that stays too high, so that upstreams reject at random, or too low, so that a third of the pool
// is unused.
func TestRateCapacityFollowsUpstreams(t *testing.T) {
	const lost, back, end = 15 * time.Second, 25 * time.Second, 45 * time.Second
	capacity := func(now time.Duration) float64 {
		if now >= lost && now < back {
			return 770 * 2 / 3
		}
		return 770
	}
	surge := func(now time.Duration) bool { return now >= surgeStart && now < end }
	for seed := range uint64(3) {
		p := runPlain(seed, 1, surge, capacity, 55*time.Second)
		for _, c := range []struct {
			name     string
			from, to time.Duration
		}{
			{"before the loss", surgeStart + 2*time.Second, lost},
			{"after the loss", lost + 2*time.Second, back},
			// An estimate without rejections grows by 5% per second: by a half in 8.3 s.
			{"after the return", back + 9*time.Second, end},
		} {
			worst := p.worstError(c.from, c.to, capacity(c.from))
			t.Logf("seed %d, %s: the estimate is off by %.3f at most", seed, c.name, worst)
			if worst > 0.1 {
				t.Errorf("seed %d, %s: the estimate is off by %.3f", seed, c.name, worst)
			}
		}
		if n := len(p.transitions); n != 2 || p.transitions[1] < end {
			t.Errorf("seed %d: the pool changes between short and not short at %v", seed, p.transitions)
		}
	}
}

// A router is cut off from the others in a surge. It sees only its own attempts, which upstreams
// do not reject once it keeps to its part. Guards against an estimate that is that of its own
// attempts or is forgotten, and against one that lasts for ever.
func TestRateCapacityWithIncompleteTotals(t *testing.T) {
	var c RateCapacity
	now := start
	totals := demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 1000)}, Accepted: 770, Rejected: 230, Complete: true}
	var capacity, used float64
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		capacity, used = c.Update(now, totals)
	}
	if math.Abs(capacity/(probeFactor*770)-1) > 0.01 || used != capacity {
		t.Fatalf("the capacity is %v, %v used", capacity, used)
	}
	own := demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 40)}, Accepted: 32}
	for since := time.Duration(0); since < incompleteRetention+time.Second; since += 100 * time.Millisecond {
		gotCapacity, gotUsed := c.Update(now.Add(since), own)
		if isKept := gotCapacity == capacity && gotUsed == used; since < incompleteRetention && !isKept {
			t.Fatalf("after %v the capacity is %v, %v used", since, gotCapacity, gotUsed)
		} else if since > incompleteRetention && (gotCapacity != 0 || gotUsed != 0) {
			t.Fatalf("after %v the capacity is still %v, %v used", since, gotCapacity, gotUsed)
		}
	}
}

// Without complete totals the capacity was never known. Guards against that of one router being
// taken for that of the pool.
func TestRateCapacityIsUnknownWithoutCompleteTotals(t *testing.T) {
	var c RateCapacity
	for i := range 30 {
		capacity, used := c.Update(start.Add(time.Duration(i)*100*time.Millisecond), demand.Totals{Accepted: 32, Rejected: 10})
		if capacity != 0 || used != 0 {
			t.Fatalf("the capacity is %v, %v used", capacity, used)
		}
	}
}

// feedRates updates c for a time in which upstreams accept and reject constant rates. The totals
// carry the decayed rates, as those of package demand.
func feedRates(c *RateCapacity, now *time.Time, totals *demand.Totals, length time.Duration, offered float64, rates func() (accepted, rejected float64)) {
	const step = 50 * time.Millisecond
	weight := 1 - math.Exp(-step.Seconds())
	for range length / step {
		accepted, rejected := rates()
		totals.Accepted += weight * (accepted - totals.Accepted)
		totals.Rejected += weight * (rejected - totals.Rejected)
		totals.Rates = []demand.Rate{rateOf(1, 0, offered)}
		*now = now.Add(step)
		c.Update(*now, *totals)
	}
}

func constantRates(accepted, rejected float64) func() (float64, float64) {
	return func() (float64, float64) { return accepted, rejected }
}

// lowEstimate returns an estimate of probeFactor x 46 from totals that are complete for 2 s.
func lowEstimate(t *testing.T) (c RateCapacity, now time.Time, totals demand.Totals) {
	now, totals = start, demand.Totals{Accepted: 46, Rejected: 4, Complete: true}
	feedRates(&c, &now, &totals, time.Second, 50, constantRates(46, 4))
	if first := probeFactor * 46; c.capacity < first || c.capacity > first*growthPerSecond {
		t.Fatalf("the capacity is %v before totals are complete for a second, want from %v to %v", c.capacity, first, first*growthPerSecond)
	}
	feedRates(&c, &now, &totals, time.Second, 50, constantRates(46, 4))
	if math.Abs(c.capacity/46-probeFactor) > 0.01 {
		t.Fatalf("the capacity is %v", c.capacity)
	}
	return c, now, totals
}

// The first totals that are complete lack the routers that begin to report. An estimate from them
// is far below the capacity, and the gate holds most requests back according to it. Guards against
// a pool that stays so for a minute, since an estimate grows by only 5% per second at first, and
// against one that forgets it, since all requests would then be admitted at once.
func TestLowRateCapacityDoesNotLast(t *testing.T) {
	c, now, totals := lowEstimate(t)
	const offered = 400
	feedRates(&c, &now, &totals, 12*time.Second, offered, func() (float64, float64) {
		if c.capacity == 0 {
			t.Fatal("the estimate is forgotten while requests are held back")
		}
		return min(offered, c.capacity), 0
	})
	if c.capacity < offered {
		t.Errorf("after 12 s without rejections the capacity is %v, and %v requests per second are offered", c.capacity, offered)
	}
}

// As above, and upstreams accept far more than the estimate, as they do when the totals become
// complete. Guards against requests that are held back for seconds.
func TestRateCapacityIsAtLeastTheAcceptedRate(t *testing.T) {
	c, now, totals := lowEstimate(t)
	feedRates(&c, &now, &totals, 2*time.Second, 400, constantRates(300, 0))
	if c.capacity < 0.99*300 {
		t.Errorf("upstreams accept 300 requests per second and reject none, the capacity is %v", c.capacity)
	}
}

// When a surge ends, reports of some routers are still from the surge: the accepted rate falls
// while upstreams seem to reject a few attempts. Guards against an estimate that follows it down,
// so that requests are held back after the surge.
func TestRateCapacityDoesNotFollowTheEndOfSurge(t *testing.T) {
	var c RateCapacity
	now, totals := start, demand.Totals{Accepted: 770, Rejected: 38, Complete: true}
	feedRates(&c, &now, &totals, 3*time.Second, 1000, constantRates(770, 38))
	before := c.capacity
	feedRates(&c, &now, &totals, 750*time.Millisecond, 700, constantRates(400, 15))
	if c.capacity < 0.95*before {
		t.Errorf("the estimate falls from %v to %v", before, c.capacity)
	}
}

// Upstreams cease to reject in a surge, since requests are held back. A router below the root learns of it with the next
// summaries, in which the rejections decay. Guards against an estimate that follows down what is admitted according to it,
// since the same summary looks like rejections that go on until the next one.
func TestRateCapacityDoesNotFollowItself(t *testing.T) {
	const offered, capacity, summaryInterval = 1250, 770, 750 * time.Millisecond
	var c RateCapacity
	present, received := demand.Totals{Accepted: 600, Rejected: 300, Complete: true}, demand.Totals{}
	rates := func() (float64, float64) {
		if admitted := 0.95 * c.capacity; c.capacity > 0 && admitted < capacity {
			return admitted, 0
		}
		return capacity, 150
	}
	lowest := math.Inf(1)
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(50 * time.Millisecond) {
		accepted, rejected := rates()
		weight := 1 - math.Exp(-0.05)
		present.Accepted += weight * (accepted - present.Accepted)
		present.Rejected += weight * (rejected - present.Rejected)
		if now.Sub(received.ReceivedAt) >= summaryInterval {
			received = present
			received.ReceivedAt, received.Rates = now, []demand.Rate{rateOf(1, 0, offered)}
		}
		c.Update(now, received)
		if now.Sub(start) >= 4*time.Second {
			lowest = min(lowest, c.capacity)
		}
	}
	if lowest < 0.95*capacity {
		t.Errorf("upstreams can accept %v requests per second, the estimate falls to %.0f", capacity, lowest)
	}
}
