package condition

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// retainUnlistedFor is how long the record of an upstream is kept after it was last listed or
	// observed. An outage of the platform's store can make the entry of a running upstream expire,
	// and the upstream is listed again after the outage.
	retainUnlistedFor = 10 * time.Minute
	// unreachableFor is how long an upstream counts as unreachable after a connection to it could
	// not be opened. It applies only to this router: others may still reach the upstream.
	unreachableFor = 2 * time.Second
)

// Observations holds what a router observes about upstreams while it forwards requests: what
// their answers state, and whether they can be reached. A statement of the upstream itself is
// newer than its entry in the platform's store, so no entry revokes it. Observations is safe for
// concurrent use.
type Observations struct {
	mu      sync.Mutex
	records map[string]*record // by the id of the upstream
}

// record holds the observations of one upstream.
type record struct {
	leavingSince         time.Time // when its answer to this router first said that it leaves; zero: never
	reportedLeavingSince time.Time // when another router first reported that it leaves; zero: never
	restingSince         time.Time // start of the current rest
	restingUntil         time.Time // end of the current rest
	unreachableUntil     time.Time // end of the current unreachable period
	lastSeen             time.Time // when it was last observed, or listed at a Prune
}

// NewObservations returns Observations without records.
func NewObservations() *Observations {
	return &Observations{records: make(map[string]*record)}
}

// RecordLeaving records that an upstream has announced that it leaves, and reports whether that
// is new.
func (o *Observations) RecordLeaving(now time.Time, id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.record(now, id)
	isNew := r.leavingSince.IsZero()
	if isNew {
		r.leavingSince = now
	}
	return isNew
}

// RecordReportedLeaving records that another router has received the announcement that an
// upstream leaves.
func (o *Observations) RecordReportedLeaving(now time.Time, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.record(now, id); r.reportedLeavingSince.IsZero() {
		r.reportedLeavingSince = now
	}
}

// Leaving returns the upstreams that have announced that they leave, most recent first. With
// includeReported, it includes announcements that only other routers have received.
func (o *Observations) Leaving(includeReported bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, r := range o.records {
		if !r.leavingSince.IsZero() || includeReported && !r.reportedLeavingSince.IsZero() {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(o.records[y].leavingKnownSince().Compare(o.records[x].leavingKnownSince()), cmp.Compare(x, y))
	})
	return out
}

// leavingKnownSince returns when this router first learned that the upstream leaves, or zero if it
// has not.
func (r *record) leavingKnownSince() time.Time {
	if r.leavingSince.IsZero() || !r.reportedLeavingSince.IsZero() && r.reportedLeavingSince.Before(r.leavingSince) {
		return r.reportedLeavingSince
	}
	return r.leavingSince
}

// RecordResting records that an upstream has asked this router to send it no requests for d. A
// shorter rest never ends an earlier one sooner.
func (o *Observations) RecordResting(now time.Time, id string, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.record(now, id)
	if !now.Before(r.restingUntil) {
		r.restingSince = now
	}
	r.restingUntil = latest(r.restingUntil, now.Add(d))
}

// RecordUnreachable records that no connection to an upstream could be opened.
func (o *Observations) RecordUnreachable(now time.Time, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(now, id).unreachableUntil = now.Add(unreachableFor)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// record returns the record of an upstream observed at now, which it creates if there is none.
func (o *Observations) record(now time.Time, id string) *record {
	r := o.records[id]
	if r == nil {
		r = &record{}
		o.records[id] = r
	}
	r.lastSeen = now
	return r
}

// Conditions returns the conditions of an upstream.
func (o *Observations) Conditions(now time.Time, id string) Set {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[id]
	if r == nil {
		return 0
	}
	return r.conditions(now)
}

func (r *record) conditions(now time.Time) Set {
	var s Set
	if !r.leavingKnownSince().IsZero() {
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

// IsLeaving reports whether an upstream has announced that it leaves.
func (o *Observations) IsLeaving(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[id]
	return r != nil && !r.leavingKnownSince().IsZero()
}

// Forever is the duration of a condition without an end.
const Forever = time.Duration(math.MaxInt64)

// AvailableIn returns the time until an upstream may receive work, according to its leaving and
// resting conditions: zero if it may now, and Forever if it leaves. An unreachable upstream may
// receive work, after all others.
func (o *Observations) AvailableIn(now time.Time, id string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[id]
	switch {
	case r == nil:
		return 0
	case !r.leavingKnownSince().IsZero():
		return Forever
	}
	return max(r.restingUntil.Sub(now), 0)
}

// Empty reports whether there are no records.
func (o *Observations) Empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.records) == 0
}

// Prune removes records without conditions, and those of upstreams that were neither listed nor
// observed for retainUnlistedFor. listed reports whether an upstream is listed now.
func (o *Observations) Prune(now time.Time, listed func(id string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, r := range o.records {
		switch {
		case r.conditions(now) == 0:
			delete(o.records, id)
		case listed(id):
			r.lastSeen = now
		case now.Sub(r.lastSeen) >= retainUnlistedFor:
			delete(o.records, id)
		}
	}
}

// Statement describes a condition of an upstream with its source and duration.
type Statement struct {
	Kind  Kind
	By    Source
	Since time.Time // zero: unknown
	Until time.Time // zero: no known end
}

// Source is the origin of a condition.
type Source string

// Sources of conditions.
const (
	ByAnswers     Source = "its answers"                // headers of its answers to this router
	ByEntry       Source = "its entry"                  // its entry in the platform's store
	ByOperators   Source = "operators"                  // an order of operators
	ByRouters     Source = "other routers"              // announcements that other routers received
	ByConnections Source = "connections of this router" // connections that could not be opened
	ByOutcomes    Source = "outcomes of all routers"    // more failures than the other upstreams
)

// Statements returns the recorded conditions of an upstream.
func (o *Observations) Statements(now time.Time, id string) []Statement {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[id]
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
