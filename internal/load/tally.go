package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

// othersDecay is the time in which the weight of a load reported by an upstream falls to 1/e, in
// favour of the mean. Requests last about as long, so by then other requests have taken their
// place.
const othersDecay = 2 * time.Second

const (
	// meanDecay is the time in which the weight of an upstream in the mean of the pool falls to
	// 1/e while nothing is heard of it. It is shorter than othersDecay because a pool always has
	// newer reports, while a single upstream may have none.
	meanDecay = 500 * time.Millisecond
	// silenceDelay is how long a report of a load may take to arrive. Only after that does
	// silence mean that there was no report.
	silenceDelay = 400 * time.Millisecond
)

// PoolLoad estimates the loads of upstreams that a router calls directly, without a sidecar that
// admits requests. It combines the router's own requests, which it counts, with the requests of
// other routers, as far as upstreams report their load with answers. It is not safe for
// concurrent use.
type PoolLoad struct {
	entries        map[VM]*upstreamLoad
	ownTotal       int // requests of this router at all upstreams
	stays          stays
	clock          decay.Clock
	weightedOthers float64   // sum of the remaining requests of other routers, weighted by the clock
	weightTotal    float64   // sum of those weights
	heardAllAt     time.Time // time of the last HearAll
	heard          int       // upstreams with a report at that time
}

// upstreamLoad holds the known load of one upstream.
type upstreamLoad struct {
	own        int
	others     int       // requests of other routers at the last report
	reportedAt time.Time // time of the last report; zero: never
	// silentUntil is until when it is known that no newer load has been reported, and remaining
	// is how many of the others are expected to be left by then.
	silentUntil time.Time
	remaining   float64
	fromParent  bool      // received from the parent, not from the upstream
	sentAt      time.Time // when it was last sent to other routers; zero: never
}

// NewPoolLoad returns an empty PoolLoad.
func NewPoolLoad() *PoolLoad {
	return &PoolLoad{clock: decay.NewClock(meanDecay), entries: make(map[VM]*upstreamLoad)}
}

func (p *PoolLoad) entry(vm VM) *upstreamLoad {
	e := p.entries[vm]
	if e == nil {
		e = &upstreamLoad{}
		p.entries[vm] = e
	}
	return e
}

// Begin counts a request that is sent to an upstream.
func (p *PoolLoad) Begin(vm VM) {
	p.entry(vm).own++
	p.ownTotal++
}

// End counts the end of a request counted by Begin.
func (p *PoolLoad) End(vm VM) {
	if e := p.entries[vm]; e != nil && e.own > 0 {
		e.own--
		p.ownTotal--
		p.stays.ended++
	}
}

// Observe records that an upstream has load requests running or waiting, including those of this
// router.
func (p *PoolLoad) Observe(now time.Time, vm VM, load int) {
	e := p.entry(vm)
	if now.Sub(p.heardAllAt) > heardTTL {
		p.heard = 0
	}
	p.subtractFromTotals(e)
	e.others, e.reportedAt, e.fromParent = max(load-e.own, 0), now, false
	e.silentUntil, e.remaining = now, float64(e.others)
	if _, due := p.clock.Rebase(now); due {
		p.recomputeTotals()
		return
	}
	p.addToTotals(e)
}

// recomputeTotals computes the totals from all entries, which also removes accumulated rounding
// errors.
func (p *PoolLoad) recomputeTotals() {
	p.weightedOthers, p.weightTotal = 0, 0
	for _, e := range p.entries {
		p.addToTotals(e)
	}
}

func (p *PoolLoad) addToTotals(e *upstreamLoad) {
	if e.reportedAt.IsZero() {
		return
	}
	weight := p.clock.Weight(e.silentUntil)
	p.weightedOthers += weight * e.remaining
	p.weightTotal += weight
}

// subtractFromTotals removes the reported load of an upstream from the totals.
func (p *PoolLoad) subtractFromTotals(e *upstreamLoad) {
	if e.reportedAt.IsZero() {
		return
	}
	weight := p.clock.Weight(e.silentUntil)
	p.weightedOthers -= weight * e.remaining
	p.weightTotal -= weight
}

// HearAll records that by now this router has heard of all loads that upstreams have reported
// to any router, but for those of the last silenceDelay. An upstream reports its load with each
// answer that begins. One without a newer report has begun none since, and what it had is
// ending. Without this, the mean would be that of the upstreams that get requests: while two
// thirds of a pool get few, for example because they are suspected, it would be far too high,
// and so would the load bound of the others.
func (p *PoolLoad) HearAll(now time.Time) {
	p.heardAllAt = now
	p.stays.advance(now, p.ownTotal)
	p.heard = 0
	for _, e := range p.entries {
		if !e.reportedAt.IsZero() {
			p.heard++
			p.hearSilence(now, e)
		}
	}
	p.clock.Rebase(now)
	p.recomputeTotals()
}

// hearSilence records that by now an upstream has reported no newer load. The totals must be
// recomputed.
func (p *PoolLoad) hearSilence(now time.Time, e *upstreamLoad) {
	if now.Before(e.silentUntil) {
		return
	}
	silence := max(now.Sub(e.reportedAt)-silenceDelay, 0)
	e.silentUntil = now
	e.remaining = float64(e.others) * math.Exp(-silence.Seconds()/p.stays.mean().Seconds())
}

// heardTTL is how long after HearAll the silence of upstreams counts as heard.
const heardTTL = 2 * time.Second

// hearAllInterval is the minimum time between two calls of HearAll by HearAllIfDue.
const hearAllInterval = 100 * time.Millisecond

// HearAllIfDue is HearAll at a router that all others report to.
func (p *PoolLoad) HearAllIfDue(now time.Time) {
	if now.Sub(p.heardAllAt) >= hearAllInterval {
		p.HearAll(now)
	}
}

// Keep drops all upstreams that are not in members.
func (p *PoolLoad) Keep(members []VM) {
	kept := SetOf(members)
	for vm, e := range p.entries {
		if !kept[vm] {
			p.ownTotal -= e.own
			delete(p.entries, vm)
		}
	}
	p.recomputeTotals()
}

// Age returns the time since an upstream's load was last reported, or a negative value if it
// never was.
func (p *PoolLoad) Age(now time.Time, vm VM) time.Duration {
	e := p.entries[vm]
	if e == nil || e.reportedAt.IsZero() {
		return -1
	}
	return max(now.Sub(e.reportedAt), 0)
}

// fullConfidenceFor is how long a reported load is used without decay. Reports arrive through
// other routers, and using the mean instead would hide the upstream with the highest load.
const fullConfidenceFor = 500 * time.Millisecond

// confidence returns the weight of the last reported load against the mean, from 0, the mean
// only, to 1, the reported load only.
func (e *upstreamLoad) confidence(now time.Time) float64 {
	if e == nil || e.reportedAt.IsZero() {
		return 0
	}
	excessAge := max(now.Sub(e.reportedAt)-fullConfidenceFor, 0)
	return math.Exp(-excessAge.Seconds() / othersDecay.Seconds())
}

// Load returns the estimated load of an upstream.
func (p *PoolLoad) Load(now time.Time, vm VM) float64 {
	e := p.entries[vm]
	return p.estimate(e, e.confidence(now))
}

func (p *PoolLoad) estimate(e *upstreamLoad, confidence float64) float64 {
	if e == nil {
		return p.meanOthers()
	}
	return float64(e.own) + confidence*float64(e.others) + (1-confidence)*p.meanOthers()
}

// recentLoadPeriod is how long RecentLoad uses a reported load in full, and then the time in which
// its weight falls to 1/e. A router sends no requests to an upstream that reported a long queue, and
// without requests the upstream reports no newer load. Without the decay, it would be excluded
// forever.
const recentLoadPeriod = time.Second

// RecentLoad returns the last reported load of an upstream, from which the wait at the upstream is
// estimated. The reported requests of other routers decay towards zero with their age, and not
// towards the mean of the pool as in Load.
func (p *PoolLoad) RecentLoad(now time.Time, vm VM) float64 {
	e := p.entries[vm]
	if e == nil {
		return 0
	}
	excessAge := max(now.Sub(e.reportedAt)-recentLoadPeriod, 0)
	return float64(e.own) + float64(e.others)*math.Exp(-excessAge.Seconds()/recentLoadPeriod.Seconds())
}

// upperDeviations is the number of standard deviations of the unknown part of an upstream's load
// that UpperBound adds.
const upperDeviations = 1.0

// UpperBound returns a load that an upstream rarely exceeds: the estimated load plus some
// standard deviations of the part without a recent report. The requests of other routers arrive
// at random, so the standard deviation of their number is its square root.
func (p *PoolLoad) UpperBound(now time.Time, vm VM) float64 {
	e := p.entries[vm]
	confidence := e.confidence(now)
	return p.estimate(e, confidence) + upperDeviations*(1-confidence)*math.Sqrt(p.meanOthers())
}

// Drift returns the standard deviation of the change of an upstream's load since its last
// report. Requests arrive and end at random, each at a rate of the mean load over the mean stay,
// and after the mean stay the last report tells nothing.
func (p *PoolLoad) Drift(now time.Time, vm VM) float64 {
	stays := 1.0
	if e := p.entries[vm]; e != nil && !e.reportedAt.IsZero() {
		stays = min(now.Sub(e.reportedAt).Seconds()/p.stays.mean().Seconds(), 1)
	}
	return math.Sqrt(2 * p.meanOthers() * max(stays, 0))
}

// Mean returns the estimated mean load of n upstreams, including idle ones, which receive no
// requests. Idle upstreams report no load. If the mean of the reports counted for all n, a bound
// based on it would be too high: with a third of a pool drained, the others would receive half as
// much load again. An idle upstream whose silence has been heard is in the mean of the reports.
func (p *PoolLoad) Mean(n, idle int) float64 {
	all := float64(max(n, 1))
	unheardIdle := min(idle, max(n-p.heard, 0))
	working := float64(n-unheardIdle) / all
	return float64(p.ownTotal)/all + working*p.meanOthers()
}

// OwnShare returns the share of the load of n upstreams, idle ones included, that consists of
// this router's own requests, from 0 to 1. The router counts these itself and needs no reports of
// them.
func (p *PoolLoad) OwnShare(n, idle int) float64 {
	mean := p.Mean(n, idle)
	if mean <= 0 {
		return 1
	}
	return float64(p.ownTotal) / float64(max(n, 1)) / mean
}

// meanOthers returns the mean number of other routers' requests at an upstream. Newer reports
// have more weight, because an upstream that receives no requests, for example while it is
// suspected, reports nothing. With equal weights, the loads reported during a surge stay in the
// mean for seconds after it, and the load bound that routers derive from it is too high: in four
// runs, 63 of 653 requests in five calm seconds after a surge found their upstream over the load
// bound, and 31 with these weights.
func (p *PoolLoad) meanOthers() float64 {
	if p.weightTotal <= 0 {
		return 0
	}
	return max(0, p.weightedOthers/p.weightTotal)
}
