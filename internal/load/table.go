package load

import (
	"math"
	"time"
)

// maxEntries limits the size of a Table regardless of received samples: the size of a whole
// fleet.
const maxEntries = 4096

// Table holds the newest sample of each upstream of one pool. It is not safe for concurrent use.
type Table struct {
	entries []entry
	index   map[VM]int
	serving poolTotals
	trend   trend
	// expiry is the earliest time at which a sample may expire, in Unix milliseconds.
	expiry int64
}

// entry is a sample of one upstream.
type entry struct {
	vm     VM
	load   uint16
	weight uint8
	state  State
	at     int64 // time of the sample, in Unix milliseconds
}

// poolTotals are sums over the serving upstreams. With them, computing the mean costs the same in
// a pool of any size.
type poolTotals struct {
	known, loads, weights int64
	weightedTimes         int64 // sum of sample times multiplied by weight, in milliseconds
}

func (s *poolTotals) add(e *entry, sign int64) {
	if e.state != Serving {
		return
	}
	s.known += sign
	s.loads += sign * int64(e.load)
	s.weights += sign * int64(e.weight)
	s.weightedTimes += sign * int64(e.weight) * e.at
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{index: make(map[VM]int), expiry: math.MaxInt64}
}

// Observe records a report that an upstream's own sidecar sent at now.
func (t *Table) Observe(now time.Time, vm VM, r Report) {
	t.put(entry{
		vm:     vm,
		load:   uint16(min(max(r.Load, 0), maxLoad)),
		weight: uint8(min(max(r.Weight, 1), maxWeight)),
		state:  r.State,
		at:     now.UnixMilli(),
	})
}

// Keep drops all upstreams that are not in members.
func (t *Table) Keep(members []VM) {
	kept := SetOf(members)
	t.removeIf(func(e *entry) bool { return !kept[e.vm] })
}

// Get returns the last report of an upstream, and whether it is known and has not expired. The
// load is extrapolated to now by the pool's trend, like the mean.
func (t *Table) Get(now time.Time, vm VM) (Report, bool) {
	ms := now.UnixMilli()
	i, ok := t.index[vm]
	if !ok || !t.entries[i].fresh(ms) {
		return Report{}, false
	}
	e := &t.entries[i]
	age := float64(ms-e.at) / 1000
	load := t.trend.extrapolate(float64(e.load), float64(e.weight), age)
	return Report{Load: int(math.Round(load)), Weight: int(e.weight), State: e.state}, true
}

// Mean returns the mean load per unit of weight of the known serving upstreams, and the number of
// these. Samples are extrapolated to now by the pool's trend.
func (t *Table) Mean(now time.Time) (mean float64, known int) {
	ms := now.UnixMilli()
	t.expire(ms)
	s := t.serving
	if s.known == 0 {
		return 0, 0
	}
	mean = float64(s.loads) / float64(s.weights)
	age := float64(ms-s.weightedTimes/s.weights) / 1000
	return t.trend.extrapolate(mean, 1, age), int(s.known)
}

// put records a sample unless a newer one is known.
func (t *Table) put(e entry) {
	i, ok := t.index[e.vm]
	if ok && t.entries[i].at > e.at {
		return
	}
	if ok {
		t.trend.observe(&t.entries[i], &e)
		t.serving.add(&t.entries[i], -1)
		t.entries[i] = e
	} else {
		t.evictIfFull()
		t.index[e.vm] = len(t.entries)
		t.entries = append(t.entries, e)
	}
	t.serving.add(&e, 1)
	t.expiry = min(t.expiry, e.at+maxAge.Milliseconds())
}

// evictIfFull removes the oldest sample of a full table.
func (t *Table) evictIfFull() {
	if len(t.entries) < maxEntries {
		return
	}
	oldest := 0
	for i := range t.entries {
		if t.entries[i].at < t.entries[oldest].at {
			oldest = i
		}
	}
	t.remove(oldest)
}

// expire removes expired samples.
func (t *Table) expire(ms int64) {
	if ms <= t.expiry {
		return
	}
	t.removeIf(func(e *entry) bool { return !e.fresh(ms) })
	t.expiry = math.MaxInt64
	for i := range t.entries {
		t.expiry = min(t.expiry, t.entries[i].at+maxAge.Milliseconds())
	}
}

func (t *Table) removeIf(matches func(*entry) bool) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		if matches(&t.entries[i]) {
			t.remove(i)
		}
	}
}

func (t *Table) remove(i int) {
	t.serving.add(&t.entries[i], -1)
	delete(t.index, t.entries[i].vm)
	last := len(t.entries) - 1
	if i != last {
		t.entries[i] = t.entries[last]
		t.index[t.entries[i].vm] = i
	}
	t.entries = t.entries[:last]
}

func (e *entry) fresh(ms int64) bool {
	return ms-e.at <= maxAge.Milliseconds()
}
