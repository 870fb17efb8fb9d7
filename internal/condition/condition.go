// Package condition remembers what upstreams have said of themselves in their answers: that
// they leave, or that they want rest.
//
// Package router notes what it hears on the path of a request. A Book knows no clock and no
// connection. It may assume that an id names one incarnation of an upstream, so that nothing
// that a former life has said holds for the next one.
package condition

import (
	"math"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// Condition is what an upstream has said of itself.
type Condition struct {
	Leaving   bool      // it takes nothing new for as long as it lives
	RestUntil time.Time // it wants nothing from this router until then; zero: it never asked
}

// Rests reports whether the upstream wants rest now.
func (c Condition) Rests(now time.Time) bool {
	return now.Before(c.RestUntil)
}

// forgetAfter is how long what an upstream has said outlives its entry in the list. Entries
// lapse while the platform's store is away, and come back.
const forgetAfter = 10 * time.Minute

// Reason is why an upstream may get nothing.
type Reason string

// Reasons, the first that holds counts.
const (
	None    Reason = ""
	Leaving Reason = "leaving"
	Resting Reason = "resting"
)

// Against returns why the upstream may get no request of this router now.
func (c Condition) Against(now time.Time) Reason {
	switch {
	case c.Leaving:
		return Leaving
	case c.Rests(now):
		return Resting
	}
	return None
}

// Ends returns how long what speaks against the upstream lasts at least: zero if nothing
// does, Never while it leaves.
func (c Condition) Ends(now time.Time) time.Duration {
	switch c.Against(now) {
	case Leaving:
		return Never
	case Resting:
		return c.RestUntil.Sub(now)
	}
	return 0
}

// Never is how long what has no end lasts.
const Never = time.Duration(math.MaxInt64)

// Book is the conditions of upstreams, as one router has heard them. It is safe for
// concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[load.VM]*record
}

type record struct {
	condition Condition
	listed    time.Time // when the upstream was in the list last, or was heard
}

// NewBook returns a Book that has heard nothing.
func NewBook() *Book {
	return &Book{records: make(map[load.VM]*record)}
}

// Leaves notes that an upstream has said that it leaves, and reports whether that is new.
func (b *Book) Leaves(now time.Time, vm load.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, vm)
	news := !r.condition.Leaving
	r.condition.Leaving = true
	return news
}

// Rests notes that an upstream wants nothing from this router for a time, and reports whether
// it wanted no rest before. Each wish holds to its own end.
func (b *Book) Rests(now time.Time, vm load.VM, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, vm)
	news := !r.condition.Rests(now)
	if until := now.Add(d); until.After(r.condition.RestUntil) {
		r.condition.RestUntil = until
	}
	return news
}

func (b *Book) record(now time.Time, vm load.VM) *record {
	r := b.records[vm]
	if r == nil {
		r = &record{}
		b.records[vm] = r
	}
	r.listed = now
	return r
}

// Of returns the condition of an upstream.
func (b *Book) Of(vm load.VM) Condition {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[vm]; r != nil {
		return r.condition
	}
	return Condition{}
}

// Empty reports whether no upstream has said anything that is remembered.
func (b *Book) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records) == 0
}

// Keep takes in which upstreams are listed now, and forgets those that have not been for a
// long time.
func (b *Book) Keep(now time.Time, listed map[load.VM]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm, r := range b.records {
		switch {
		case listed[vm]:
			r.listed = now
		case now.Sub(r.listed) >= forgetAfter:
			delete(b.records, vm)
		}
	}
}
