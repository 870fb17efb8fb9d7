package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

// othersDecay is the time in which what an upstream said of its load loses its
// weight to the mean. Requests last about as long, so by then others have taken their
// place.
const othersDecay = 2 * time.Second

// meanDecay is the time in which it loses its weight in the mean of the pool. Shorter than
// othersFor: of one upstream nothing newer may be known, but of a pool there always is.
const meanDecay = 500 * time.Millisecond

// PoolLoad is what one router knows of the loads of upstreams that it calls itself,
// with no sidecar to decide for them: its own requests, which it counts, and
// those of other routers, as far as upstreams tell their load with answers. It is
// not safe for concurrent use.
type PoolLoad struct {
	entries        map[VM]*upstreamLoad
	ownTotal       int // sum of the router's requests
	clock          decay.Clock
	weightedOthers float64 // sum of others' requests, as they were told, by the clock's weights
	weightTotal    float64 // sum of those weights
}

// upstreamLoad is what is known of one upstream.
type upstreamLoad struct {
	own        int
	others     int       // requests of other routers when the upstream told its load
	reportedAt time.Time // when that was; zero: never
	fromParent bool      // by the router that this one relies on, not by the upstream
	sentAt     time.Time // when it was told to other routers last; zero: never
}

// NewPoolLoad returns an empty Tally.
func NewPoolLoad() *PoolLoad {
	return &PoolLoad{clock: decay.NewClock(meanDecay), entries: make(map[VM]*upstreamLoad)}
}

func (t *PoolLoad) entry(vm VM) *upstreamLoad {
	e := t.entries[vm]
	if e == nil {
		e = &upstreamLoad{}
		t.entries[vm] = e
	}
	return e
}

// Begin counts a request that goes to an upstream.
func (t *PoolLoad) Begin(vm VM) {
	t.entry(vm).own++
	t.ownTotal++
}

// End counts the end of a request that Begin has counted.
func (t *PoolLoad) End(vm VM) {
	if e := t.entries[vm]; e != nil && e.own > 0 {
		e.own--
		t.ownTotal--
	}
}

// Observe takes in that an upstream works on load requests, or has them wait. The
// router's own are among them.
func (t *PoolLoad) Observe(now time.Time, vm VM, load int) {
	e := t.entry(vm)
	t.subtractFromTotals(e)
	e.others, e.reportedAt, e.fromParent = max(load-e.own, 0), now, false
	if _, due := t.clock.Rebase(now); due {
		t.recomputeTotals()
		return
	}
	t.addToTotals(e)
}

// recomputeTotals works the sums out anew, which also takes out what rounding has left.
func (t *PoolLoad) recomputeTotals() {
	t.weightedOthers, t.weightTotal = 0, 0
	for _, e := range t.entries {
		t.addToTotals(e)
	}
}

func (t *PoolLoad) addToTotals(e *upstreamLoad) {
	if e.reportedAt.IsZero() {
		return
	}
	weight := t.clock.Weight(e.reportedAt)
	t.weightedOthers += weight * float64(e.others)
	t.weightTotal += weight
}

// subtractFromTotals takes what an upstream has told out of the sums.
func (t *PoolLoad) subtractFromTotals(e *upstreamLoad) {
	if e.reportedAt.IsZero() {
		return
	}
	weight := t.clock.Weight(e.reportedAt)
	t.weightedOthers -= weight * float64(e.others)
	t.weightTotal -= weight
}

// Keep forgets every upstream that is not among members.
func (t *PoolLoad) Keep(members []VM) {
	kept := SetOf(members)
	for vm, e := range t.entries {
		if !kept[vm] {
			t.ownTotal -= e.own
			delete(t.entries, vm)
		}
	}
	t.recomputeTotals()
}

// fullConfidenceFor is for how long what an upstream has told counts in full. It comes through
// other routers, and a mean in its place would hide who has most.
const fullConfidenceFor = 500 * time.Millisecond

// confidence returns how much what the upstream has told last counts against the mean: from 1,
// as it tells, to 0.
func (e *upstreamLoad) confidence(now time.Time) float64 {
	if e == nil || e.reportedAt.IsZero() {
		return 0
	}
	excessAge := max(now.Sub(e.reportedAt)-fullConfidenceFor, 0)
	return math.Exp(-excessAge.Seconds() / othersDecay.Seconds())
}

// Load returns the believed load of an upstream.
func (t *PoolLoad) Load(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	return t.estimate(e, e.confidence(now))
}

func (t *PoolLoad) estimate(e *upstreamLoad, confidence float64) float64 {
	if e == nil {
		return t.meanOthers()
	}
	return float64(e.own) + confidence*float64(e.others) + (1-confidence)*t.meanOthers()
}

// recentLoadDecay is for how long what an upstream has told of its queue is believed in full, and
// in which time it fades to an e-th part then. Requests are turned away for a queue, and
// those that are not sent bring no news of it: without this, nothing would be sent for good.
const recentLoadDecay = time.Second

// RecentLoad returns the load of an upstream as it has told it lately, from which the wait
// there is worked out.
func (t *PoolLoad) RecentLoad(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	if e == nil {
		return 0
	}
	excessAge := max(now.Sub(e.reportedAt)-recentLoadDecay, 0)
	return float64(e.own) + float64(e.others)*math.Exp(-excessAge.Seconds()/recentLoadDecay.Seconds())
}

// upperDeviations is how many standard deviations of what is not known of an upstream's load
// Upper adds.
const upperDeviations = 1.0

// UpperBound returns a load that an upstream seldom exceeds: what is believed of it, and
// some deviations of the part that was not heard of lately. Requests of others come
// by chance, so that their number varies by its root.
func (t *PoolLoad) UpperBound(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	confidence := e.confidence(now)
	return t.estimate(e, confidence) + upperDeviations*(1-confidence)*math.Sqrt(t.meanOthers())
}

// Mean returns the believed mean load of n upstreams, of which some are idle: they are
// there, and get nothing. They tell nothing either, so that what the others tell would
// pass for the mean of all, and a bound that counts all would be broken: with a third of
// a pool drained, the others would be filled half as much again.
func (t *PoolLoad) Mean(n, idle int) float64 {
	all := float64(max(n, 1))
	working := float64(n-idle) / all
	return float64(t.ownTotal)/all + working*t.meanOthers()
}

// OwnShare returns which part of the load of n upstreams, of which some are idle, is the
// router's own, which it counts and need not be told.
func (t *PoolLoad) OwnShare(n, idle int) float64 {
	mean := t.Mean(n, idle)
	if mean <= 0 {
		return 1
	}
	return float64(t.ownTotal) / float64(max(n, 1)) / mean
}

// meanOthers returns the mean of others' requests at an upstream. The later an upstream
// has told its load, the more it counts: one that gets nothing any more, since it is
// suspected, tells nothing either. With the same weight for all, the loads that upstreams
// had in a surge stay in the mean for seconds after it, and no bound holds: of 653
// requests in five calm seconds, 63 found their upstream over the operators' bound, and
// 31 with this (four runs of a day).
func (t *PoolLoad) meanOthers() float64 {
	if t.weightTotal <= 0 {
		return 0
	}
	return max(0, t.weightedOthers/t.weightTotal)
}
