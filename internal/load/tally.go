package load

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

// othersFor is the time in which what an upstream said of its load loses its
// weight to the mean. Requests last about as long, so by then others have taken their
// place.
const othersFor = 2 * time.Second

// meanFor is the time in which it loses its weight in the mean of the pool. Shorter than
// othersFor: of one upstream nothing newer may be known, but of a pool there always is.
const meanFor = 500 * time.Millisecond

// PoolLoad is what one router knows of the loads of upstreams that it calls itself,
// with no sidecar to decide for them: its own requests, which it counts, and
// those of other routers, as far as upstreams tell their load with answers. It is
// not safe for concurrent use.
type PoolLoad struct {
	entries map[VM]*tally
	own     int // sum of the router's requests
	clock   decay.Clock
	others  float64 // sum of others' requests, as they were told, by the clock's weights
	weights float64 // sum of those weights
}

// tally is what is known of one upstream.
type tally struct {
	own    int
	others int       // requests of other routers when the upstream told its load
	at     time.Time // when that was; zero: never
	told   bool      // by the router that this one relies on, not by the upstream
	packed time.Time // when it was told to other routers last; zero: never
}

// NewPoolLoad returns an empty Tally.
func NewPoolLoad() *PoolLoad {
	return &PoolLoad{clock: decay.NewClock(meanFor), entries: make(map[VM]*tally)}
}

func (t *PoolLoad) entry(vm VM) *tally {
	e := t.entries[vm]
	if e == nil {
		e = &tally{}
		t.entries[vm] = e
	}
	return e
}

// Begin counts a request that goes to an upstream.
func (t *PoolLoad) Begin(vm VM) {
	t.entry(vm).own++
	t.own++
}

// End counts the end of a request that Begin has counted.
func (t *PoolLoad) End(vm VM) {
	if e := t.entries[vm]; e != nil && e.own > 0 {
		e.own--
		t.own--
	}
}

// Observe takes in that an upstream works on load requests, or has them wait. The
// router's own are among them.
func (t *PoolLoad) Observe(now time.Time, vm VM, load int) {
	e := t.entry(vm)
	t.forget(e)
	e.others, e.at, e.told = max(load-e.own, 0), now, false
	if _, due := t.clock.Rebase(now); due {
		t.sum()
		return
	}
	t.add(e)
}

// sum works the sums out anew, which also takes out what rounding has left.
func (t *PoolLoad) sum() {
	t.others, t.weights = 0, 0
	for _, e := range t.entries {
		t.add(e)
	}
}

func (t *PoolLoad) add(e *tally) {
	if e.at.IsZero() {
		return
	}
	weight := t.clock.Weight(e.at)
	t.others += weight * float64(e.others)
	t.weights += weight
}

// forget takes what an upstream has told out of the sums.
func (t *PoolLoad) forget(e *tally) {
	if e.at.IsZero() {
		return
	}
	weight := t.clock.Weight(e.at)
	t.others -= weight * float64(e.others)
	t.weights -= weight
}

// Keep forgets every upstream that is not among members.
func (t *PoolLoad) Keep(members []VM) {
	wanted := SetOf(members)
	for vm, e := range t.entries {
		if !wanted[vm] {
			t.own -= e.own
			delete(t.entries, vm)
		}
	}
	t.sum()
}

// trustFor is for how long what an upstream has told counts in full. It comes through
// other routers, and a mean in its place would hide who has most.
const trustFor = 500 * time.Millisecond

// trust returns how much what the upstream has told last counts against the mean: from 1,
// as it tells, to 0.
func (e *tally) trust(now time.Time) float64 {
	if e == nil || e.at.IsZero() {
		return 0
	}
	old := max(now.Sub(e.at)-trustFor, 0)
	return math.Exp(-old.Seconds() / othersFor.Seconds())
}

// Load returns the believed load of an upstream.
func (t *PoolLoad) Load(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	return t.believed(e, e.trust(now))
}

func (t *PoolLoad) believed(e *tally, trust float64) float64 {
	if e == nil {
		return t.meanOthers()
	}
	return float64(e.own) + trust*float64(e.others) + (1-trust)*t.meanOthers()
}

// queueFor is for how long what an upstream has told of its queue is believed in full, and
// in which time it fades to an e-th part then. Requests are turned away for a queue, and
// those that are not sent bring no news of it: without this, nothing would be sent for good.
const queueFor = time.Second

// RecentLoad returns the load of an upstream as it has told it lately, from which the wait
// there is worked out.
func (t *PoolLoad) RecentLoad(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	if e == nil {
		return 0
	}
	old := max(now.Sub(e.at)-queueFor, 0)
	return float64(e.own) + float64(e.others)*math.Exp(-old.Seconds()/queueFor.Seconds())
}

// upperDeviations is how many standard deviations of what is not known of an upstream's load
// Upper adds.
const upperDeviations = 1.0

// UpperBound returns a load that an upstream seldom exceeds: what is believed of it, and
// some deviations of the part that was not heard of lately. Requests of others come
// by chance, so that their number varies by its root.
func (t *PoolLoad) UpperBound(now time.Time, vm VM) float64 {
	e := t.entries[vm]
	trust := e.trust(now)
	return t.believed(e, trust) + upperDeviations*(1-trust)*math.Sqrt(t.meanOthers())
}

// Mean returns the believed mean load of n upstreams, of which some are idle: they are
// there, and get nothing. They tell nothing either, so that what the others tell would
// pass for the mean of all, and a bound that counts all would be broken: with a third of
// a pool drained, the others would be filled half as much again.
func (t *PoolLoad) Mean(n, idle int) float64 {
	all := float64(max(n, 1))
	working := float64(n-idle) / all
	return float64(t.own)/all + working*t.meanOthers()
}

// OwnShare returns which part of the load of n upstreams, of which some are idle, is the
// router's own, which it counts and need not be told.
func (t *PoolLoad) OwnShare(n, idle int) float64 {
	mean := t.Mean(n, idle)
	if mean <= 0 {
		return 1
	}
	return float64(t.own) / float64(max(n, 1)) / mean
}

// meanOthers returns the mean of others' requests at an upstream. The later an upstream
// has told its load, the more it counts: one that gets nothing any more, since it is
// suspected, tells nothing either. With the same weight for all, the loads that upstreams
// had in a surge stay in the mean for seconds after it, and no bound holds: of 653
// requests in five calm seconds, 63 found their upstream over the operators' bound, and
// 31 with this (four runs of a day).
func (t *PoolLoad) meanOthers() float64 {
	if t.weights <= 0 {
		return 0
	}
	return max(0, t.others/t.weights)
}
