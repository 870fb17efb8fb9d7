package demand

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	priorityCount = 10
	rankCount     = 10
	classCount    = 2 * rankCount // class index: twice the rank, plus 1 if Returning
	maxWeight     = 1000

	// rateDecay is the time in which the weight of offered work falls to 1/e.
	rateDecay = time.Second
	// minRate is the work per second below which a class is dropped. A request of work 1 is
	// below it after 7 s.
	minRate = 1e-3
	// maxClasses is the maximum number of classes of this router's own demand.
	maxClasses = 4096
	// evictedClasses is the number of classes with the least work that are evicted together once
	// there are more than maxClasses, so that not every new class costs a search.
	evictedClasses = maxClasses / 8
)

// Account holds the demand that is offered to one pool: this router's own, and that of other
// routers as far as they report it. It is not safe for concurrent use.
type Account struct {
	clock    decay.Clock
	own      []organisation // offered contains sums of weights of the clock
	index    map[uint32]int // of own
	classes  int            // number of classes in own
	accepted float64
	rejected float64

	scarceAt time.Time // time of the last SetScarce(true) without a later SetScarce(false)
	isRoot   bool

	reports  map[string]receivedReport // by sender
	summary  receivedSummary
	reported [2]sentReport // the last reports to the parent, newest first

	lastReport, lastSummary time.Time
	firstSummary            time.Time // at the root: time of the first one after a pause
	withoutSummarySince     time.Time // since when a summary is due and the parent has sent none
}

// NewAccount returns an empty Account.
func NewAccount() *Account {
	return &Account{
		clock: decay.NewClock(rateDecay), index: make(map[uint32]int), reports: make(map[string]receivedReport),
	}
}

// Offer counts a request of the given work. Fields of c that are out of range are clamped. Work
// that is not positive and finite is ignored.
func (a *Account) Offer(now time.Time, c Class, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	a.rebase(now)
	at, known := a.index[c.Org]
	if !known {
		at = len(a.own)
		a.index[c.Org] = at
		a.own = append(a.own, organisation{id: c.Org})
	}
	o := &a.own[at]
	o.priority = min(c.OrgPriority, priorityCount-1)
	o.weight = min(max(c.Weight, 1), maxWeight)
	class := classIndex(c)
	isNew := o.classes&(1<<class) == 0
	o.add(class, work*a.clock.Weight(now))
	if isNew {
		a.classes++
		if a.classes > maxClasses {
			a.evict(now)
		}
	}
}

func classIndex(c Class) int {
	class := 2 * int(min(c.Rank, rankCount-1))
	if c.Returning {
		class++
	}
	return class
}

// Outcome counts an attempt that an upstream accepted or rejected.
func (a *Account) Outcome(now time.Time, accepted bool) {
	a.rebase(now)
	if accepted {
		a.accepted += a.clock.Weight(now)
	} else {
		a.rejected += a.clock.Weight(now)
	}
}

// SetScarce records whether this router sees that the pool is, or nearly is, short. True is valid
// for 2 s, because a router without requests no longer determines it; so the caller repeats it.
func (a *Account) SetScarce(now time.Time, scarce bool) {
	a.scarceAt = time.Time{}
	if scarce {
		a.scarceAt = now
	}
}

// SetRoot records whether this router is the root of the tree, which has no parent.
func (a *Account) SetRoot(root bool) {
	if root != a.isRoot {
		a.summary, a.reported = receivedSummary{}, [2]sentReport{}
	}
	a.isRoot = root
}

// rebase limits the growth of weights, and drops classes with next to no work.
func (a *Account) rebase(now time.Time) {
	weight, due := a.clock.Rebase(now)
	if !due {
		return
	}
	for i := range a.own {
		for class := range a.own[i].offered {
			a.own[i].offered[class] /= weight
		}
	}
	a.accepted /= weight
	a.rejected /= weight
	a.drop(minRate * rateDecay.Seconds())
}

// drop removes the classes whose sum of weights is below the minimum.
func (a *Account) drop(minimum float64) {
	kept := a.own[:0]
	clear(a.index)
	a.classes = 0
	for _, o := range a.own {
		for set := o.classes; set != 0; set &= set - 1 {
			if class := bits.TrailingZeros32(set); o.offered[class] < minimum {
				o.classes &^= 1 << class
				o.offered[class] = 0
			}
		}
		if o.classes != 0 {
			a.index[o.id] = len(kept)
			a.classes += bits.OnesCount32(o.classes)
			kept = append(kept, o)
		}
	}
	a.own = kept
}

// evict drops the evictedClasses with the least work, and those with next to no work.
func (a *Account) evict(now time.Time) {
	sums := make([]*float64, 0, a.classes)
	for i := range a.own {
		for set := a.own[i].classes; set != 0; set &= set - 1 {
			sums = append(sums, &a.own[i].offered[bits.TrailingZeros32(set)])
		}
	}
	slices.SortStableFunc(sums, func(x, y *float64) int { return cmp.Compare(*x, *y) })
	for _, sum := range sums[:evictedClasses] {
		*sum = 0
	}
	a.drop(minRate * rateDecay.Seconds() * a.clock.Weight(now))
}
