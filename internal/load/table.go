package load

import (
	"time"
)

// maxEntries bounds a Table whatever samples claim: the size of a whole fleet.
const maxEntries = 4096

// Table holds the newest sample of each upstream of one pool. It is not safe
// for concurrent use.
type Table struct {
	entries []entry
	index   map[VM]int
	trend   trend
}

// entry is a sample of one upstream.
type entry struct {
	vm     VM
	load   uint16
	weight uint8
	state  State
	at     int64 // when it was true, in milliseconds
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{index: make(map[VM]int)}
}

// Observe records what an upstream's own sidecar says now.
func (t *Table) Observe(now time.Time, vm VM, r Report) {
	t.put(entry{
		vm:     vm,
		load:   uint16(min(max(r.Load, 0), maxLoad)),
		weight: uint8(min(max(r.Weight, 1), maxWeight)),
		state:  r.State,
		at:     now.UnixMilli(),
	})
}

// Keep forgets every upstream that is not among members.
func (t *Table) Keep(members []VM) {
	wanted := make(map[VM]bool, len(members))
	for _, vm := range members {
		wanted[vm] = true
	}
	for i := len(t.entries) - 1; i >= 0; i-- {
		if !wanted[t.entries[i].vm] {
			t.remove(i)
		}
	}
}

// Get returns the last report of an upstream, if it is not too old.
func (t *Table) Get(now time.Time, vm VM) (Report, bool) {
	i, ok := t.index[vm]
	if !ok || !t.entries[i].fresh(now.UnixMilli()) {
		return Report{}, false
	}
	e := t.entries[i]
	return Report{Load: int(e.load), Weight: int(e.weight), State: e.state}, true
}

// Mean returns the mean load for each unit of weight over the known upstreams
// that serve, and how many these are. Samples are brought up to now by the
// pool's trend.
func (t *Table) Mean(now time.Time) (mean float64, known int) {
	ms := now.UnixMilli()
	var loads, weights int
	var age float64 // in seconds, times weight
	for i := range t.entries {
		e := &t.entries[i]
		if e.state != Serving || !e.fresh(ms) {
			continue
		}
		loads += int(e.load)
		weights += int(e.weight)
		age += min(max(float64(ms-e.at)/1000, 0), trendSpan) * float64(e.weight)
		known++
	}
	if known == 0 {
		return 0, 0
	}
	mean = float64(loads) / float64(weights)
	change := t.trend.perSecond() * age / float64(weights)
	// Whatever samples claim, the trend does not outweigh them.
	return mean + min(max(change, -mean/2), mean/2), known
}

// put records a sample unless a newer one is known.
func (t *Table) put(e entry) {
	if i, ok := t.index[e.vm]; ok {
		if t.entries[i].at <= e.at {
			t.trend.learn(&t.entries[i], &e)
			t.entries[i] = e
		}
		return
	}
	if len(t.entries) >= maxEntries {
		t.remove(t.oldest())
	}
	t.index[e.vm] = len(t.entries)
	t.entries = append(t.entries, e)
}

func (t *Table) oldest() int {
	oldest := 0
	for i := range t.entries {
		if t.entries[i].at < t.entries[oldest].at {
			oldest = i
		}
	}
	return oldest
}

func (t *Table) remove(i int) {
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
