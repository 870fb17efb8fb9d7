// Package outlier finds the upstreams of a pool that fail more of their requests than
// the others, from their answers alone: those that answer with errors, lose answers,
// hang or break off while their health checks pass.
//
// A router's requests report how they went; placement asks whom to put last. What may
// be assumed: an upstream is suspected only next to others that do better. Where all of
// them fail alike, nobody is, since to turn from one to the other helps nobody.
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
	// outcomeDecay is the time in which an outcome loses its weight. An upstream that is well
	// again gets requests after about as long. With 3 s, a fifth more of cached prompts
	// are moved, and no fewer requests are lost.
	outcomeDecay = 1500 * time.Millisecond
	// referenceShare is the part of a pool, those that do best, by which the others are
	// measured: with most of a pool failing, its mean would excuse them.
	referenceShare = 1.0 / 3
	// minReference is the share of failures that the others are taken to have at least.
	minReference = 0.05
	// suspectFactor the others' share and suspectMargin more, suspectLeast at least and
	// suspectMost at most, is the share that an upstream has which is to be suspected.
	suspectFactor, suspectMargin     = 2.0, 0.1
	minSuspectShare, maxSuspectShare = 0.4, 0.95
	// minLikelihoodRatio is how many times likelier its outcomes are to be those of such an upstream
	// than of one like the others, from which on one is suspected. Where many fail a few
	// requests, some have two failures among few by chance.
	minLikelihoodRatio = 9.0
	// priorSuccesses is how many requests without a failure each upstream is taken to have had, where
	// those that do best are looked for.
	priorSuccesses = 1.0
	// minFailures is the weight of failures below which an upstream is not suspected:
	// the second one in a few seconds, whichever router it met. Suspected from the first
	// one on, sessions leave upstreams that are well, and two fifths more of cached
	// prompts are moved.
	minFailures = 1.2
	// maxFailures is up to which weight failures count. Together with the share that failed
	// it says enough; more of it only takes longer to fade. After a surge in which hundreds
	// fail at each upstream, those that do not recover first came to be suspected for five
	// seconds when all was well, a third of the pool at a time.
	maxFailures = 4.0
	// negligibleFailures is the weight of failures below which an upstream need not be judged.
	negligibleFailures = 0.01
	// minSuspicion is how long an upstream is suspected at least, times how often it has been
	// lately, up to repeatsMost, and times the part of the pool that is trusted: the fewer
	// are left to take the others' requests, the sooner those are tried again. forgiveAfter
	// is how long an upstream must have been trusted for the repeats to begin anew. One that goes on failing costs two requests each time that it
	// is tried: with this, 5 of 80 are lost to one of four upstreams that loses all
	// answers, and 8 without.
	minSuspicion      = 1500 * time.Millisecond
	maxRepeats        = 4
	resetRepeatsAfter = 10 * time.Second
	// minHealthyShare is the part of a pool below which a suspicion ends with its time, and
	// with it what spoke against the upstream. After a surge that has weight for seconds,
	// while nothing new is known of an upstream that gets no requests: with two thirds of
	// a pool suspected, the others' loads go over the operators' bound (65 to 141 of some
	// 600 requests in five calm seconds, none with this). With clean slates for all, a
	// fifth more requests fail where two fifths of the pool hang.
	minHealthyShare = 0.5
	// ignoreFleetFor is for how long after that what others tell is left out: until they have
	// forgotten it too.
	ignoreFleetFor = 750 * time.Millisecond
	// evaluateInterval is how old a judgement may be.
	evaluateInterval = 100 * time.Millisecond
)

// outcomeCount is the outcomes of one upstream's requests, by weight.
type outcomeCount struct{ failed, all float64 }

// Detector judges the upstreams of one pool. It is not safe for concurrent use.
type Detector struct {
	clock       decay.Clock
	counts      map[load.VM]outcomeCount // of this router and those that report to it
	fleet       map[load.VM]outcomeCount // of the whole fleet, by the router that this one relies on
	unreported  map[load.VM]outcomeCount // since they were reported last, each of weight one
	hasFailures bool                     // any upstream has failures that count
	suspicions  map[load.VM]suspicion
	evaluatedAt time.Time
	changes     []Change
}

// suspicion is an upstream that is suspected, or was so lately.
type suspicion struct {
	active  bool
	minEnd  time.Time // it lasts so long at least
	ended   time.Time // when it ended last
	cleared time.Time // when what spoke against the upstream was forgotten last
	repeats int
}

// renewed returns the suspicion of an upstream that is suspected from now on.
// trusted is the part of the pool that is not suspected.
func (s suspicion) renewed(now time.Time, healthyShare float64) suspicion {
	if now.Sub(s.ended) > resetRepeatsAfter {
		s.repeats = 0
	}
	s.active = true
	s.repeats = min(s.repeats+1, maxRepeats)
	s.minEnd = now.Add(time.Duration(max(1, healthyShare*float64(s.repeats)) * float64(minSuspicion)))
	return s
}

// Change is an upstream of which the judgement has changed.
type Change struct {
	VM        load.VM
	Suspected bool
	// Failed and All are the weights of its failures and of all its outcomes.
	Failed, All float64
}

// Changes returns what has changed since it was called last.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// New returns a Detector that has seen nothing.
func New() *Detector {
	return &Detector{clock: decay.NewClock(outcomeDecay), counts: make(map[load.VM]outcomeCount), unreported: make(map[load.VM]outcomeCount), suspicions: make(map[load.VM]suspicion)}
}

// Succeeded takes in that an upstream has answered a request.
func (d *Detector) Succeeded(now time.Time, vm load.VM) {
	d.add(now, vm, outcomeCount{all: 1})
}

// Failed takes in that an upstream has failed a request.
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

// limitFailures returns c with the same share of failures, but no more of them than most.
func (c outcomeCount) limitFailures(limit float64) outcomeCount {
	if c.failed <= limit {
		return c
	}
	return c.scaled(limit / c.failed)
}

// maxOf returns the larger of each.
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

// Keep forgets every upstream that is not among members.
func (d *Detector) Keep(members []load.VM) {
	kept := load.SetOf(members)
	for _, counts := range []map[load.VM]outcomeCount{d.counts, d.fleet, d.unreported} {
		maps.DeleteFunc(counts, func(vm load.VM, _ outcomeCount) bool { return !kept[vm] })
	}
	maps.DeleteFunc(d.suspicions, func(vm load.VM, _ suspicion) bool { return !kept[vm] })
	d.evaluatedAt = time.Time{}
}

// currentCounts returns what is currentCounts of each upstream, as of now: the larger of what was
// counted here and what was told, which holds most of that too.
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

// evaluate works out who is suspected now.
func (d *Detector) evaluate(now time.Time) {
	counts := d.currentCounts(now)
	d.evaluatedAt, d.hasFailures = now, false
	reference := referenceFailureShare(counts)
	for vm := range d.suspicions {
		if _, ok := counts[vm]; !ok {
			counts[vm] = outcomeCount{} // those of which nothing is known any more are settled as well
		}
	}
	failing := make(map[load.VM]bool)
	for vm, c := range counts {
		if c.failed >= minFailures && c.likelihoodRatio(reference) > minLikelihoodRatio {
			failing[vm] = true
		}
	}
	healthyShare := 1 - float64(len(failing))/float64(max(1, len(counts)))
	for vm, c := range counts {
		d.updateSuspicion(now, vm, c, failing[vm], healthyShare)
		d.hasFailures = d.hasFailures || d.suspicions[vm].active || c.failed > negligibleFailures
	}
}

// likelihoodRatio returns how many times likelier the outcomes are those of an upstream that is to be
// suspected than of one that fails as the reference does.
func (c outcomeCount) likelihoodRatio(reference float64) float64 {
	normalShare := max(reference, minReference)
	suspectShare := min(max(suspectFactor*normalShare+suspectMargin, minSuspectShare), maxSuspectShare)
	return math.Pow(suspectShare/normalShare, c.failed) * math.Pow((1-suspectShare)/(1-normalShare), c.all-c.failed)
}

// updateSuspicion takes in whether an upstream fails more than others now. trusted is the part of
// the pool that does not.
func (d *Detector) updateSuspicion(now time.Time, vm load.VM, c outcomeCount, failing bool, healthyShare float64) {
	s := d.suspicions[vm]
	switch {
	case failing && !s.active:
		s = s.renewed(now, healthyShare)
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

// referenceFailureShare returns the share of failures of the upstreams that do best.
func referenceFailureShare(known map[load.VM]outcomeCount) float64 {
	counts := slices.Collect(maps.Values(known))
	slices.SortFunc(counts, func(a, b outcomeCount) int {
		return cmp.Or(cmp.Compare(a.failed/(a.all+priorSuccesses), b.failed/(b.all+priorSuccesses)), cmp.Compare(b.all, a.all))
	})
	var best outcomeCount
	for _, c := range counts[:min(max(1, int(referenceShare*float64(len(counts))+0.5)), len(counts))] {
		best = best.plus(c)
	}
	return best.failed / (best.all + priorSuccesses)
}
