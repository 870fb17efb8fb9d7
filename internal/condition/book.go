package condition

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// retainUnlistedFor is how long what an upstream has said outlives its entry in the list. Entries
	// lapse while the platform's store is away, and come back.
	retainUnlistedFor = 10 * time.Minute
	// unreachableFor is how long an upstream is unreachable to which no connection could be
	// opened. It is this router's own experience: the way of others may be whole.
	unreachableFor = 2 * time.Second
)

// Observations is what a router notes of upstreams on the path of its requests: what their answers say
// of them, and whether they can be reached. An upstream's own word is newer than what the
// platform's store says of it, and no entry takes it back. A Observations is safe for concurrent use.
type Observations struct {
	mu      sync.Mutex
	records map[string]*record // by the id of the upstream
}

// record is what is noted of one upstream.
type record struct {
	leavingSince         time.Time // when it said so first in an answer to this router; zero: it has not
	reportedLeavingSince time.Time // when another router told first that it has said so; zero: none has
	restingSince         time.Time // when it asked for rest first, of the present one
	restingUntil         time.Time // until when
	unreachableUntil     time.Time // until when
	lastListed           time.Time // when it was in the list last, or something was noted
}

// NewObservations returns a Book that has heard nothing.
func NewObservations() *Observations {
	return &Observations{records: make(map[string]*record)}
}

// RecordLeaving notes that an upstream has said that it leaves, and reports whether that is new.
func (b *Observations) RecordLeaving(now time.Time, vm string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, vm)
	isNew := r.leavingSince.IsZero()
	if isNew {
		r.leavingSince = now
	}
	return isNew
}

// RecordReportedLeaving notes that another router has heard an upstream say that it leaves.
func (b *Observations) RecordReportedLeaving(now time.Time, vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.record(now, vm); r.reportedLeavingSince.IsZero() {
		r.reportedLeavingSince = now
	}
}

// Leaving returns the upstreams that have said that they leave, the latest first: to this
// router, or also to those that have told it.
func (b *Observations) Leaving(includeReported bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for vm, r := range b.records {
		if !r.leavingSince.IsZero() || includeReported && !r.reportedLeavingSince.IsZero() {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(b.records[y].firstLeaving().Compare(b.records[x].firstLeaving()), cmp.Compare(x, y))
	})
	return out
}

// firstLeaving returns when the upstream was first known to leave; zero: it is not.
func (r *record) firstLeaving() time.Time {
	if r.leavingSince.IsZero() || !r.reportedLeavingSince.IsZero() && r.reportedLeavingSince.Before(r.leavingSince) {
		return r.reportedLeavingSince
	}
	return r.leavingSince
}

// RecordResting notes that an upstream wants nothing from this router for a time. Each wish holds to
// its own end.
func (b *Observations) RecordResting(now time.Time, vm string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, vm)
	if !now.Before(r.restingUntil) {
		r.restingSince = now
	}
	r.restingUntil = latest(r.restingUntil, now.Add(d))
}

// RecordUnreachable notes that no connection to an upstream could be opened.
func (b *Observations) RecordUnreachable(now time.Time, vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, vm).unreachableUntil = now.Add(unreachableFor)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (b *Observations) record(now time.Time, vm string) *record {
	r := b.records[vm]
	if r == nil {
		r = &record{}
		b.records[vm] = r
	}
	r.lastListed = now
	return r
}

// Conditions returns the conditions of an upstream.
func (b *Observations) Conditions(now time.Time, vm string) Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[vm]
	if r == nil {
		return 0
	}
	return r.conditions(now)
}

func (r *record) conditions(now time.Time) Set {
	var s Set
	if !r.firstLeaving().IsZero() {
		s |= Of(Leaving)
	}
	if now.Before(r.restingUntil) {
		s |= Of(Resting)
	}
	if now.Before(r.unreachableUntil) {
		s |= Of(Unreachable)
	}
	return s
}

// Forever is how long what has no end lasts.
const Forever = time.Duration(math.MaxInt64)

// AvailableIn returns after what time an upstream may get work, as far as the Book knows: zero if it
// may now, Forever if it leaves.
func (b *Observations) AvailableIn(now time.Time, vm string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[vm]
	switch {
	case r == nil:
		return 0
	case !r.firstLeaving().IsZero():
		return Forever
	}
	return max(r.restingUntil.Sub(now), 0)
}

// Empty reports whether nothing is noted of any upstream.
func (b *Observations) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records) == 0
}

// Prune takes in which upstreams are listed now. It forgets what is over, and what was said by
// those that have not been listed for long.
func (b *Observations) Prune(now time.Time, listed func(vm string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm, r := range b.records {
		switch {
		case r.conditions(now) == 0:
			delete(b.records, vm)
		case listed(vm):
			r.lastListed = now
		case now.Sub(r.lastListed) >= retainUnlistedFor:
			delete(b.records, vm)
		}
	}
}

// Statement is a condition of an upstream with where it comes from.
type Statement struct {
	Kind  Kind
	By    Source
	Since time.Time // zero: not known
	Until time.Time // zero: no end is known
}

// Source is who says of a condition that it holds.
type Source string

// Sources of conditions.
const (
	ByAnswers     Source = "its answers"
	ByEntry       Source = "its entry"
	ByOperators   Source = "operators"
	ByRouters     Source = "other routers"
	ByConnections Source = "connections of this router"
	ByOutcomes    Source = "outcomes of all routers"
)

// Statements returns what is noted of an upstream.
func (b *Observations) Statements(now time.Time, vm string) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[vm]
	if r == nil {
		return nil
	}
	var out []Statement
	s := r.conditions(now)
	if !r.leavingSince.IsZero() {
		out = append(out, Statement{Kind: Leaving, By: ByAnswers, Since: r.leavingSince})
	}
	if !r.reportedLeavingSince.IsZero() {
		out = append(out, Statement{Kind: Leaving, By: ByRouters, Since: r.reportedLeavingSince})
	}
	if s.Has(Resting) {
		out = append(out, Statement{Kind: Resting, By: ByAnswers, Since: r.restingSince, Until: r.restingUntil})
	}
	if s.Has(Unreachable) {
		out = append(out, Statement{Kind: Unreachable, By: ByConnections, Since: r.unreachableUntil.Add(-unreachableFor), Until: r.unreachableUntil})
	}
	return out
}
