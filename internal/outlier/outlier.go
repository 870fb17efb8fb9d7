// Package outlier detects the upstreams of a pool that fail more of their requests than the
// others, based only on their answers: upstreams that answer with errors, lose answers, hang or
// break off while their health checks pass.
//
// Requests of a router record their outcomes, and placement ranks suspected upstreams last. An
// upstream is suspected only relative to others that fail less. If all upstreams fail alike, none
// is suspected, because moving requests between them does not help.
//
// Routers share outcomes in a tree: each router reports those of its requests to its parent, the
// router that it subscribes to, and receives a summary of the whole fleet from it.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
	"github.com/parsleyfront/parsleyfront/internal/load"
)

const (
	// outcomeDecay is the time in which the weight of an outcome falls to 1/e. A recovered
	// upstream gets requests again after about this time. With 3 s, a fifth more cached prompts
	// are moved, and no fewer requests are lost.
	outcomeDecay = 1500 * time.Millisecond
	// referencePoolShare is the part of a pool's upstreams that the others are compared with: those
	// with the lowest failure shares. With the mean of the pool as the reference, upstreams would
	// not be suspected when most of the pool fails.
	referencePoolShare = 1.0 / 3
	// minReferenceShare is the smallest failure share assumed for the reference upstreams.
	minReferenceShare = 0.05
	// The suspect share is the failure share that a failing upstream is assumed to have:
	// suspectFactor times the failure share of the reference upstreams plus suspectMargin, limited
	// to the range from minSuspectShare to maxSuspectShare.
	suspectFactor, suspectMargin     = 2.0, 0.1
	minSuspectShare, maxSuspectShare = 0.4, 0.95
	// minLikelihoodRatio is how many times more likely an upstream's outcomes must be with the
	// suspect share than with the failure share of the reference upstreams for it to be suspected.
	// If many upstreams fail a few requests, some have two failures among few requests by chance.
	minLikelihoodRatio = 9.0
	// priorSuccesses is the number of successful requests that each upstream is assumed to have
	// had when the reference is selected.
	priorSuccesses = 1.0
	// minFailures is the weight of failures below which an upstream is not suspected: it takes a
	// second failure within a few seconds, at any router. If the first one sufficed, sessions
	// would leave healthy upstreams, and two fifths more cached prompts would be moved.
	minFailures = 1.2
	// maxFailures limits the weight of an upstream's failures. More failures only take longer to
	// decay and add nothing to the failure share. After a surge in which hundreds of requests
	// fail at each upstream, those that recovered last were suspected for five seconds although
	// all were healthy, a third of the pool at a time.
	maxFailures = 4.0
	// negligibleFailures is the weight of failures at or below which an upstream need not be
	// evaluated.
	negligibleFailures = 0.01
	// minSuspicion is the minimum duration of a suspicion. An upstream that is suspected
	// repeatedly is suspected for longer: minSuspicion times the number of its recent suspicions,
	// at most maxRepeats, times the healthy share of the pool, but never for less than
	// minSuspicion. The fewer upstreams remain for the requests, the sooner the suspected ones are
	// tried again. An upstream that keeps failing costs two requests each time it is tried: if one
	// of four upstreams loses all answers, 5 of 80 requests are lost, and 8 if repeated suspicions
	// are no longer than the first. The number of recent suspicions is reset to zero after
	// resetRepeatsAfter without suspicion.
	minSuspicion      = 1500 * time.Millisecond
	maxRepeats        = 4
	resetRepeatsAfter = 10 * time.Second
	// minHealthyShare is the healthy share of a pool below which each suspicion ends after its
	// minimum duration, even if the upstream counts as failing, and its failures are cleared. After
	// a surge, the failures keep their weight for seconds, while an upstream without requests
	// produces no new outcomes. Without this rule and with two thirds of a pool suspected, 65 to
	// 141 of some 600 requests went to upstreams over the load bound in five calm seconds after the
	// surge; with it, none did. If failures were cleared after every suspicion, also in a pool with
	// a larger healthy share, a fifth more requests would fail when two fifths of the pool hang.
	minHealthyShare = 0.5
	// ignoreFleetFor is how long the fleet's counts of an upstream are ignored after its failures
	// were cleared, until the other routers have cleared them too.
	ignoreFleetFor = 750 * time.Millisecond
	// evaluateInterval is the maximum age of an evaluation.
	evaluateInterval = 100 * time.Millisecond
)

// outcomeCount holds the weighted outcomes of one upstream's requests.
type outcomeCount struct{ failed, all float64 }

// Detector detects the outliers of one pool. It is not safe for concurrent use.
type Detector struct {
	clock       decay.Clock
	counts      map[load.VM]outcomeCount // of this router and its subscribers
	fleet       map[load.VM]outcomeCount // of the whole fleet, from the parent's last summary
	unreported  map[load.VM]outcomeCount // since the last report, each of weight one
	hasFailures bool                     // any upstream has failures that are not negligible
	suspicions  map[load.VM]suspicion
	evaluatedAt time.Time
	changes     []Change
}

// suspicion is the state of an upstream that is or recently was suspected.
type suspicion struct {
	active  bool
	minEnd  time.Time // earliest end
	ended   time.Time // end of the last one
	cleared time.Time // when the failures of the upstream were last cleared
	repeats int       // number of recent suspicions, this one included, at most maxRepeats
}

// begin returns the state of an upstream that is suspected from now on, for the first time or
// again. healthyShare is the share of the pool that is not failing.
func (s suspicion) begin(now time.Time, healthyShare float64) suspicion {
	if now.Sub(s.ended) > resetRepeatsAfter {
		s.repeats = 0
	}
	s.active = true
	s.repeats = min(s.repeats+1, maxRepeats)
	s.minEnd = now.Add(time.Duration(max(1, healthyShare*float64(s.repeats)) * float64(minSuspicion)))
	return s
}

// Change is the start or end of the suspicion of an upstream.
type Change struct {
	VM        load.VM
	Suspected bool
	// Failed and All are the weights of its failures and of all its outcomes.
	Failed, All float64
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// New returns a Detector without outcomes.
func New() *Detector {
	return &Detector{clock: decay.NewClock(outcomeDecay), counts: make(map[load.VM]outcomeCount), unreported: make(map[load.VM]outcomeCount), suspicions: make(map[load.VM]suspicion)}
}

// Succeeded records that an upstream has answered a request.
func (d *Detector) Succeeded(now time.Time, vm load.VM) {
	d.add(now, vm, outcomeCount{all: 1})
}

// Failed records that an upstream has failed a request.
func (d *Detector) Failed(now time.Time, vm load.VM) {
	d.add(now, vm, outcomeCount{failed: 1, all: 1})
}

func (d *Detector) add(now time.Time, vm load.VM, n outcomeCount) {
	d.rebase(now)
	weight := d.clock.Weight(now)
	d.counts[vm] = d.counts[vm].plus(n.scaled(weight)).limitFailures(maxFailures * weight)
	d.unreported[vm] = d.unreported[vm].plus(n)
	if n.failed > 0 {
		d.hasFailures, d.evaluatedAt = true, time.Time{}
	}
}

func (c outcomeCount) plus(other outcomeCount) outcomeCount {
	return outcomeCount{failed: c.failed + other.failed, all: c.all + other.all}
}

func (c outcomeCount) scaled(factor float64) outcomeCount {
	return outcomeCount{failed: c.failed * factor, all: c.all * factor}
}

// limitFailures scales c down so that its failures weigh at most limit. The failure share does
// not change.
func (c outcomeCount) limitFailures(limit float64) outcomeCount {
	if c.failed <= limit {
		return c
	}
	return c.scaled(limit / c.failed)
}

// maxOf returns the larger of each count.
func (c outcomeCount) maxOf(other outcomeCount) outcomeCount {
	return outcomeCount{failed: max(c.failed, other.failed), all: max(c.all, other.all)}
}

func (d *Detector) rebase(now time.Time) {
	weight, due := d.clock.Rebase(now)
	if !due {
		return
	}
	for _, counts := range []map[load.VM]outcomeCount{d.counts, d.fleet} {
		for vm, c := range counts {
			counts[vm] = c.scaled(1 / weight)
		}
	}
}

// Keep drops all upstreams that are not in members.
func (d *Detector) Keep(members []load.VM) {
	kept := load.SetOf(members)
	for _, counts := range []map[load.VM]outcomeCount{d.counts, d.fleet, d.unreported} {
		maps.DeleteFunc(counts, func(vm load.VM, _ outcomeCount) bool { return !kept[vm] })
	}
	maps.DeleteFunc(d.suspicions, func(vm load.VM, _ suspicion) bool { return !kept[vm] })
	d.evaluatedAt = time.Time{}
}

// currentCounts returns the weights of each upstream's outcomes as of now: the larger of those
// counted by this router and those published for the fleet, which include most of the former.
func (d *Detector) currentCounts(now time.Time) map[load.VM]outcomeCount {
	d.rebase(now)
	weight := d.clock.Weight(now)
	out := make(map[load.VM]outcomeCount, len(d.counts))
	for vm, c := range d.counts {
		out[vm] = c.scaled(1 / weight)
	}
	for vm, c := range d.fleet {
		if now.Sub(d.suspicions[vm].cleared) > ignoreFleetFor {
			out[vm] = out[vm].maxOf(c.scaled(1 / weight))
		}
	}
	return out
}

// IsSuspected reports whether an upstream is suspected.
func (d *Detector) IsSuspected(now time.Time, vm load.VM) bool {
	d.evaluateIfDue(now)
	return d.suspicions[vm].active
}

// SuspectedCount returns how many upstreams are suspected.
func (d *Detector) SuspectedCount(now time.Time) int {
	d.evaluateIfDue(now)
	n := 0
	for _, s := range d.suspicions {
		if s.active {
			n++
		}
	}
	return n
}

func (d *Detector) evaluateIfDue(now time.Time) {
	if d.hasFailures && now.Sub(d.evaluatedAt) > evaluateInterval {
		d.evaluate(now)
	}
}

// evaluate updates the suspicions of all upstreams.
func (d *Detector) evaluate(now time.Time) {
	counts := d.currentCounts(now)
	d.evaluatedAt, d.hasFailures = now, false
	referenceShare := referenceFailureShare(counts)
	for vm := range d.suspicions {
		if _, ok := counts[vm]; !ok {
			counts[vm] = outcomeCount{} // so that suspicions without recent outcomes end as well
		}
	}
	failing := make(map[load.VM]bool)
	for vm, c := range counts {
		if c.failed >= minFailures && c.likelihoodRatio(referenceShare) > minLikelihoodRatio {
			failing[vm] = true
		}
	}
	healthyShare := 1 - float64(len(failing))/float64(max(1, len(counts)))
	for vm, c := range counts {
		d.updateSuspicion(now, vm, c, failing[vm], healthyShare)
		d.hasFailures = d.hasFailures || d.suspicions[vm].active || c.failed > negligibleFailures
	}
}

// likelihoodRatio returns the likelihood of the outcomes for an upstream with the suspect share of
// failures, divided by that for one with the failure share of the reference upstreams.
func (c outcomeCount) likelihoodRatio(referenceShare float64) float64 {
	normalShare := max(referenceShare, minReferenceShare)
	suspectShare := min(max(suspectFactor*normalShare+suspectMargin, minSuspectShare), maxSuspectShare)
	return math.Pow(suspectShare/normalShare, c.failed) * math.Pow((1-suspectShare)/(1-normalShare), c.all-c.failed)
}

// updateSuspicion starts or ends the suspicion of an upstream. failing reports whether it fails
// more than the others, and healthyShare is the share of the pool that does not. In a pool with too
// few healthy upstreams, a suspicion ends even if the upstream counts as failing.
func (d *Detector) updateSuspicion(now time.Time, vm load.VM, c outcomeCount, failing bool, healthyShare float64) {
	s := d.suspicions[vm]
	switch {
	case failing && !s.active:
		s = s.begin(now, healthyShare)
	case s.active && !now.Before(s.minEnd) && healthyShare < minHealthyShare:
		s.active, s.ended, s.cleared = false, now, now
		delete(d.counts, vm)
		delete(d.fleet, vm)
	case !failing && s.active && !now.Before(s.minEnd):
		s.active, s.ended = false, now
	default:
		return
	}
	d.suspicions[vm] = s
	d.changes = append(d.changes, Change{VM: vm, Suspected: s.active, Failed: c.failed, All: c.all})
}

// referenceFailureShare returns the failure share of the reference upstreams: the part
// referencePoolShare of the pool with the lowest failure shares.
func referenceFailureShare(outcomes map[load.VM]outcomeCount) float64 {
	counts := slices.Collect(maps.Values(outcomes))
	slices.SortFunc(counts, func(a, b outcomeCount) int {
		return cmp.Or(cmp.Compare(a.failed/(a.all+priorSuccesses), b.failed/(b.all+priorSuccesses)), cmp.Compare(b.all, a.all))
	})
	var best outcomeCount
	for _, c := range counts[:min(max(1, int(referencePoolShare*float64(len(counts))+0.5)), len(counts))] {
		best = best.plus(c)
	}
	return best.failed / (best.all + priorSuccesses)
}
