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
	// memory is the time in which an outcome loses its weight. An upstream that is well
	// again gets requests after about as long. With 3 s, a fifth more of cached prompts
	// are moved, and no fewer requests are lost.
	memory = 1500 * time.Millisecond
	// referenceShare is the part of a pool, those that do best, by which the others are
	// measured: with most of a pool failing, its mean would excuse them.
	referenceShare = 1.0 / 3
	// leastReference is the share of failures that the others are taken to have at least.
	leastReference = 0.05
	// suspectTimes the others' share and suspectMargin more, suspectLeast at least and
	// suspectMost at most, is the share that an upstream has which is to be suspected.
	suspectTimes, suspectMargin = 2.0, 0.1
	suspectLeast, suspectMost   = 0.4, 0.95
	// suspectOdds is how many times likelier its outcomes are to be those of such an upstream
	// than of one like the others, from which on one is suspected. Where many fail a few
	// requests, some have two failures among few by chance.
	suspectOdds = 9.0
	// prior is how many requests without a failure each upstream is taken to have had, where
	// those that do best are looked for.
	prior = 1.0
	// leastFailures is the weight of failures below which an upstream is not suspected:
	// the second one in a few seconds, whichever router it met. Suspected from the first
	// one on, sessions leave upstreams that are well, and two fifths more of cached
	// prompts are moved.
	leastFailures = 1.2
	// mostFailures is up to which weight failures count. Together with the share that failed
	// it says enough; more of it only takes longer to fade. After a surge in which hundreds
	// fail at each upstream, those that do not recover first came to be suspected for five
	// seconds when all was well, a third of the pool at a time.
	mostFailures = 4.0
	// negligible is the weight of failures below which an upstream need not be judged.
	negligible = 0.01
	// suspectFor is how long an upstream is suspected at least, times how often it has been
	// lately, up to repeatsMost, and times the part of the pool that is trusted: the fewer
	// are left to take the others' requests, the sooner those are tried again. forgiveAfter
	// is how long an upstream must have been trusted for the repeats to begin anew. One that goes on failing costs two requests each time that it
	// is tried: with this, 5 of 80 are lost to one of four upstreams that loses all
	// answers, and 8 without.
	suspectFor   = 1500 * time.Millisecond
	repeatsMost  = 4
	forgiveAfter = 10 * time.Second
	// enoughTrusted is the part of a pool below which a suspicion ends with its time, and
	// with it what spoke against the upstream. After a surge that has weight for seconds,
	// while nothing new is known of an upstream that gets no requests: with two thirds of
	// a pool suspected, the others' loads go over the operators' bound (65 to 141 of some
	// 600 requests in five calm seconds, none with this). With clean slates for all, a
	// fifth more requests fail where two fifths of the pool hang.
	enoughTrusted = 0.5
	// settleFor is for how long after that what others tell is left out: until they have
	// forgotten it too.
	settleFor = 750 * time.Millisecond
	// judgeEvery is how old a judgement may be.
	judgeEvery = 100 * time.Millisecond
)

// count is the outcomes of one upstream's requests, by weight.
type count struct{ failed, all float64 }

// Detector judges the upstreams of one pool. It is not safe for concurrent use.
type Detector struct {
	clock      decay.Clock
	counts     map[load.VM]count // of this router and those that report to it
	told       map[load.VM]count // of the whole fleet, by the router that this one relies on
	news       map[load.VM]count // since they were reported last, each of weight one
	failing    bool              // any upstream has failures that count
	suspicions map[load.VM]suspicion
	judgedAt   time.Time
	changes    []Change
}

// suspicion is an upstream that is suspected, or was so lately.
type suspicion struct {
	now     bool
	until   time.Time // it lasts so long at least
	ended   time.Time // when it ended last
	cleared time.Time // when what spoke against the upstream was forgotten last
	repeats int
}

// renewed returns the suspicion of an upstream that is suspected from now on.
// trusted is the part of the pool that is not suspected.
func (s suspicion) renewed(now time.Time, trusted float64) suspicion {
	if now.Sub(s.ended) > forgiveAfter {
		s.repeats = 0
	}
	s.now = true
	s.repeats = min(s.repeats+1, repeatsMost)
	s.until = now.Add(time.Duration(max(1, trusted*float64(s.repeats)) * float64(suspectFor)))
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
	return &Detector{clock: decay.NewClock(memory), counts: make(map[load.VM]count), news: make(map[load.VM]count), suspicions: make(map[load.VM]suspicion)}
}

// Succeeded takes in that an upstream has answered a request.
func (d *Detector) Succeeded(now time.Time, vm load.VM) {
	d.add(now, vm, count{all: 1})
}

// Failed takes in that an upstream has failed a request.
func (d *Detector) Failed(now time.Time, vm load.VM) {
	d.add(now, vm, count{failed: 1, all: 1})
}

func (d *Detector) add(now time.Time, vm load.VM, n count) {
	d.rebase(now)
	weight := d.clock.Weight(now)
	d.counts[vm] = d.counts[vm].plus(n.times(weight)).upTo(mostFailures * weight)
	d.news[vm] = d.news[vm].plus(n)
	if n.failed > 0 {
		d.failing, d.judgedAt = true, time.Time{}
	}
}

func (c count) plus(other count) count {
	return count{failed: c.failed + other.failed, all: c.all + other.all}
}

func (c count) times(x float64) count {
	return count{failed: c.failed * x, all: c.all * x}
}

// upTo returns c with the same share of failures, but no more of them than most.
func (c count) upTo(most float64) count {
	if c.failed <= most {
		return c
	}
	return c.times(most / c.failed)
}

// most returns the larger of each.
func (c count) most(other count) count {
	return count{failed: max(c.failed, other.failed), all: max(c.all, other.all)}
}

func (d *Detector) rebase(now time.Time) {
	weight, due := d.clock.Rebase(now)
	if !due {
		return
	}
	for _, counts := range []map[load.VM]count{d.counts, d.told} {
		for vm, c := range counts {
			counts[vm] = c.times(1 / weight)
		}
	}
}

// Keep forgets every upstream that is not among members.
func (d *Detector) Keep(members []load.VM) {
	wanted := load.SetOf(members)
	for _, counts := range []map[load.VM]count{d.counts, d.told, d.news} {
		maps.DeleteFunc(counts, func(vm load.VM, _ count) bool { return !wanted[vm] })
	}
	maps.DeleteFunc(d.suspicions, func(vm load.VM, _ suspicion) bool { return !wanted[vm] })
	d.judgedAt = time.Time{}
}

// known returns what is known of each upstream, as of now: the larger of what was
// counted here and what was told, which holds most of that too.
func (d *Detector) known(now time.Time) map[load.VM]count {
	d.rebase(now)
	weight := d.clock.Weight(now)
	out := make(map[load.VM]count, len(d.counts))
	for vm, c := range d.counts {
		out[vm] = c.times(1 / weight)
	}
	for vm, c := range d.told {
		if now.Sub(d.suspicions[vm].cleared) > settleFor {
			out[vm] = out[vm].most(c.times(1 / weight))
		}
	}
	return out
}

// IsSuspected reports whether an upstream is suspected.
func (d *Detector) IsSuspected(now time.Time, vm load.VM) bool {
	d.refresh(now)
	return d.suspicions[vm].now
}

// SuspectedCount returns how many upstreams are suspected.
func (d *Detector) SuspectedCount(now time.Time) int {
	d.refresh(now)
	n := 0
	for _, s := range d.suspicions {
		if s.now {
			n++
		}
	}
	return n
}

func (d *Detector) refresh(now time.Time) {
	if d.failing && now.Sub(d.judgedAt) > judgeEvery {
		d.judge(now)
	}
}

// judge works out who is suspected now.
func (d *Detector) judge(now time.Time) {
	known := d.known(now)
	d.judgedAt, d.failing = now, false
	best := reference(known)
	for vm := range d.suspicions {
		if _, ok := known[vm]; !ok {
			known[vm] = count{} // those of which nothing is known any more are settled as well
		}
	}
	failing := make(map[load.VM]bool)
	for vm, c := range known {
		if c.failed >= leastFailures && c.odds(best) > suspectOdds {
			failing[vm] = true
		}
	}
	trusted := 1 - float64(len(failing))/float64(max(1, len(known)))
	for vm, c := range known {
		d.settle(now, vm, c, failing[vm], trusted)
		d.failing = d.failing || d.suspicions[vm].now || c.failed > negligible
	}
}

// odds returns how many times likelier the outcomes are those of an upstream that is to be
// suspected than of one that fails as the reference does.
func (c count) odds(reference float64) float64 {
	like := max(reference, leastReference)
	bad := min(max(suspectTimes*like+suspectMargin, suspectLeast), suspectMost)
	return math.Pow(bad/like, c.failed) * math.Pow((1-bad)/(1-like), c.all-c.failed)
}

// settle takes in whether an upstream fails more than others now. trusted is the part of
// the pool that does not.
func (d *Detector) settle(now time.Time, vm load.VM, c count, fails bool, trusted float64) {
	s := d.suspicions[vm]
	switch {
	case fails && !s.now:
		s = s.renewed(now, trusted)
	case s.now && !now.Before(s.until) && trusted < enoughTrusted:
		s.now, s.ended, s.cleared = false, now, now
		delete(d.counts, vm)
		delete(d.told, vm)
	case !fails && s.now && !now.Before(s.until):
		s.now, s.ended = false, now
	default:
		return
	}
	d.suspicions[vm] = s
	d.changes = append(d.changes, Change{VM: vm, Suspected: s.now, Failed: c.failed, All: c.all})
}

// reference returns the share of failures of the upstreams that do best.
func reference(known map[load.VM]count) float64 {
	counts := slices.Collect(maps.Values(known))
	slices.SortFunc(counts, func(a, b count) int {
		return cmp.Or(cmp.Compare(a.failed/(a.all+prior), b.failed/(b.all+prior)), cmp.Compare(b.all, a.all))
	})
	var best count
	for _, c := range counts[:min(max(1, int(referenceShare*float64(len(counts))+0.5)), len(counts))] {
		best = best.plus(c)
	}
	return best.failed / (best.all + prior)
}
