// Package membership derives the list of upstream VMs that a router uses from the
// entries that upstreams keep in the platform's store.
//
// The router's control state passes it the changes that the follower of the entries
// delivers. Changes of one entry arrive in the order in which the store committed them.
// Upstreams may have issued the writes in another order, and writers other than
// upstreams may write entries.
package membership

import (
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Entry is an upstream's description of itself in the store.
type Entry struct {
	// Name of the entry. An upstream that restarts in place keeps it.
	Name string
	// StartedAt is the start of this incarnation in Unix milliseconds. Zero means that
	// the upstream does not report it and takes a new name when it restarts.
	StartedAt int64
	// Sequence counts the upstream's writes from its start.
	Sequence int64
	// Version of the entry in the store.
	Version topo.Version
	// ColdFor is how much longer the upstream stays cold, counted from the write.
	ColdFor time.Duration
	// VM describes how to reach the upstream. The State sets its ID, Instance and WarmAt.
	VM topo.VM
}

// Decoder decodes the store's objects into entries.
type Decoder interface {
	// Kind of the objects.
	Kind() topo.Kind
	// Decode returns the entry that an object holds, or an error if the object
	// describes no usable upstream.
	Decode(o topo.Object) (Entry, error)
}

// State is one router's view of the entries. It does no I/O; the follower of the
// entries passes it their changes.
//
// Invariant: a listed entry has the latest start that its name was seen with, and of the writes
// of that incarnation the one with the highest sequence, for as long as earlier writes are
// remembered.
type State struct {
	entries         map[string]*entry           // by name
	tombstones      map[string]tombstone        // by name; these names have no entry
	unconfirmed     map[string]unconfirmedEntry // by name; their upstreams may be gone
	recoveredAt     time.Time                   // see StoreRecovered; zero: no outage or restore yet
	coldAssumptions map[string]coldAssumption   // by failure domain
	timing          Timing
}

// Timing holds the durations that a State applies.
type Timing struct {
	// OutageGrace is how long after the end of a store outage, or after a restore, a
	// missing entry still counts: upstreams whose entries lapsed or were lost write them
	// again within this time.
	OutageGrace time.Duration
	// Linger is how long an upstream counts as leaving after its entry was removed
	// without a notice. Most such upstreams still finish their requests, and others
	// can fetch the prompts that they hold.
	Linger time.Duration
	// MaxRenewInterval is the longest time between two writes of its entry by a running
	// upstream.
	MaxRenewInterval time.Duration
}

// unconfirmedEntry is the last write of an upstream that had been removed, found again
// in a store that was restored from an older copy.
type unconfirmedEntry struct {
	entry     Entry
	confirmAt time.Time // if the store still has the entry then, the upstream is running
}

// lapseIntervals is the number of intervals of MaxRenewInterval after which the store has
// certainly dropped an entry that is not renewed. It drops one after three missed renewals.
const lapseIntervals = 4

// coldAssumption states that the upstreams of a failure domain are cold until a time,
// unless their entries were written after a version of the store.
type coldAssumption struct {
	version topo.Version
	until   time.Time
}

// entry is one upstream's entry.
type entry struct {
	vm           topo.VM
	write        write
	missingUntil time.Time // end of the grace of an entry that the store has lost; zero: the store has it
	dropAt       time.Time // when it is dropped; zero: not scheduled
	// overwritten is set while the store holds a write of a former incarnation. When the
	// store then removes the entry, the removal does not concern this incarnation.
	overwritten bool
}

// overtake records that the store holds an earlier entry than the one that is in force here.
func (e *entry) overtake(earlier Entry) {
	e.vm.Overtaken = e.vm.Leaving && !earlier.VM.Leaving
}

// NewState returns a State without entries.
func NewState(t Timing) *State {
	return &State{
		entries:         make(map[string]*entry),
		tombstones:      make(map[string]tombstone),
		unconfirmed:     make(map[string]unconfirmedEntry),
		coldAssumptions: make(map[string]coldAssumption),
		timing:          t,
	}
}

// StoreRecovered records that at a time the store answered again after an outage, or was
// found to be restored from an older copy. In both cases entries of running upstreams may
// be missing, so missing entries count for OutageGrace from then. A time that is not after
// the last recorded one is ignored.
func (s *State) StoreRecovered(at time.Time) {
	if !at.After(s.recoveredAt) {
		return
	}
	s.recoveredAt = at
	until := at.Add(s.timing.OutageGrace)
	for _, e := range s.entries {
		if !e.missingUntil.IsZero() && e.missingUntil.Before(until) {
			e.missingUntil = until
		}
	}
}

// StoreRecoveredAt returns the latest time passed to StoreRecovered, or the zero time if
// there was none.
func (s *State) StoreRecoveredAt() time.Time {
	return s.recoveredAt
}

// Apply applies changes in their order.
func (s *State) Apply(now time.Time, changes []Change) ApplyResult {
	var result ApplyResult
	for _, c := range changes {
		switch c.Kind {
		case Written:
			s.applyWritten(now, c.Entry, &result)
		case Removed:
			s.applyRemoved(now, c.Entry.Name)
		case Unusable:
			s.applyUnusable(now, c.Entry.Name)
		}
	}
	return result
}

// applyWritten applies a written entry. The platform may delay a write, or commit one whose
// response was lost, so that an entry may arrive after a later one. Of two incarnations, the start
// tells which is the later one: accepting a write of the former would restore loads, prompts and an
// address that no longer exist. Of two writes of one incarnation, the sequence does: accepting the
// earlier one would send work to an upstream that has announced its leaving since.
func (s *State) applyWritten(now time.Time, e Entry, result *ApplyResult) {
	current, last := s.entries[e.Name], s.lastWrite(e.Name)
	delete(s.unconfirmed, e.Name)
	switch {
	case e.StartedAt == 0 && last.startedAt != 0:
		// An upstream that has reported its start once always reports it.
		s.applyUnusable(now, e.Name)
		return
	case e.StartedAt < last.startedAt:
		result.Outdated++
		if current != nil {
			current.overwritten = true
		}
		return
	case writeOf(e).isReplayOf(last):
		result.Outdated++
		s.applyReplay(now, current, e)
		return
	case writeOf(e).isOvertakenBy(last, current != nil):
		result.Outdated++
		if current != nil {
			current.overtake(e)
		}
		return
	case current != nil && current.write.startedAt != e.StartedAt:
		result.Replaced = append(result.Replaced, current.vm)
	}
	s.set(now, e)
}

// applyReplay applies an entry whose write, or a later one, has been seen before. Treated
// as a new write, it would send work to an upstream that is leaving.
//
// A listed upstream only takes the version of the replay, and its entry is no longer missing.
// An upstream whose entry had been removed or become unusable may be running if the
// replay is of its last write and does not announce its leaving; it is running if the store
// still has the entry after lapseIntervals. Other replays are ignored.
func (s *State) applyReplay(now time.Time, current *entry, e Entry) {
	switch {
	case current != nil && current.dropAt.IsZero():
		current.write.version, current.missingUntil = e.Version, time.Time{}
		current.overtake(e)
	case !e.VM.Leaving && e.Sequence == s.lastWrite(e.Name).sequence:
		s.unconfirmed[e.Name] = unconfirmedEntry{entry: e, confirmAt: now.Add(lapseIntervals * s.timing.MaxRenewInterval)}
	}
}

// set stores an entry under its name.
func (s *State) set(now time.Time, e Entry) {
	delete(s.tombstones, e.Name)
	vm := e.VM
	vm.ID, vm.Instance = incarnationID(e), e.Name
	if e.ColdFor > 0 {
		vm.WarmAt = now.Add(e.ColdFor) // the write is older than now, so the upstream is warm by then
	}
	stored := &entry{vm: vm, write: writeOf(e)}
	stored.assumeCold(s.coldAssumptions[vm.FailureDomain])
	s.entries[e.Name] = stored
}

// AssumeCold records that the upstreams of a failure domain may have become cold by a
// version of the store, such as after the domain was drained and returned to service. An
// upstream counts as cold from now for the duration that warmup returns for its pool, or
// until it writes an entry with a higher version. An entry of the domain that arrives within
// the longest of these durations, with a version at or below the given one, counts as cold
// until the end of that duration.
func (s *State) AssumeCold(now time.Time, domain string, version topo.Version, warmup func(pool string) time.Duration) {
	longest := time.Duration(0)
	for _, e := range s.entries {
		if e.vm.FailureDomain == domain {
			longest = max(longest, warmup(e.vm.Pool))
			e.assumeCold(coldAssumption{version: version, until: now.Add(warmup(e.vm.Pool))})
		}
	}
	s.coldAssumptions[domain] = coldAssumption{version: version, until: now.Add(longest)}
}

// assumeCold applies an assumption to an entry, unless it was written after the version of
// the assumption.
func (e *entry) assumeCold(a coldAssumption) {
	if e.write.version <= a.version && a.until.After(e.vm.WarmAt) {
		e.vm.WarmAt = a.until
	}
}

// lastWrite returns the latest write seen under a name, or the zero write.
func (s *State) lastWrite(name string) write {
	if e := s.entries[name]; e != nil {
		return e.write
	}
	return s.tombstones[name].write
}

// incarnationID returns the id of one incarnation of an upstream. This router, and the
// routers that it reports to, key all state of upstreams by this id, so that load,
// outcomes, session prompts and connections of a former incarnation are never attributed
// to the present one.
func incarnationID(e Entry) string {
	if e.StartedAt == 0 {
		return e.Name
	}
	return e.Name + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// applyRemoved applies the removal of an entry from the store.
func (s *State) applyRemoved(now time.Time, name string) {
	e := s.entries[name]
	delete(s.unconfirmed, name)
	switch {
	case e == nil:
	case e.overwritten && !e.vm.Leaving:
		// The removed entry was that of the former incarnation. The present one
		// rewrites its own if it is running.
		e.overwritten, e.missingUntil = false, now.Add(s.timing.MaxRenewInterval)
	case s.inOutageGrace(now) && !e.vm.Leaving:
		e.missingUntil = s.recoveredAt.Add(s.timing.OutageGrace)
	default:
		s.markLapsed(now, name, e)
	}
}

// applyUnusable applies the overwriting of an entry by a value that describes no usable
// upstream. The upstream of the former value is used again once it has rewritten its entry.
func (s *State) applyUnusable(now time.Time, name string) {
	delete(s.unconfirmed, name)
	if e := s.entries[name]; e != nil {
		s.markGone(now, name, e)
	}
}

// markLapsed is markGone for an upstream whose entry was removed. If it had not announced that it leaves,
// it may have ended without a word.
func (s *State) markLapsed(now time.Time, name string, e *entry) {
	e.vm.Lapsed = !e.vm.Leaving
	s.markGone(now, name, e)
}

// markGone makes an upstream whose entry is missing or unusable linger as leaving. It drops
// the upstream if it was leaving already, or if Linger is not positive.
func (s *State) markGone(now time.Time, name string, e *entry) {
	if e.vm.Leaving || s.timing.Linger <= 0 {
		s.drop(now, name, e)
		return
	}
	e.missingUntil, e.vm.Leaving, e.dropAt = time.Time{}, true, now.Add(s.timing.Linger)
}

// drop removes an upstream from the list and remembers its last write.
func (s *State) drop(now time.Time, name string, e *entry) {
	delete(s.entries, name)
	s.tombstones[name] = tombstone{write: e.write, removedAt: now}
}

// inOutageGrace reports whether a missing entry may have lapsed only because its owner
// could not reach the store. Dropping it then would reject requests that working upstreams
// could serve; keeping it longer would send requests to upstreams that are gone.
func (s *State) inOutageGrace(now time.Time) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < s.timing.OutageGrace
}

// Expire processes expired timers, and reports whether an entry changed. Entries that are
// still missing at the end of the grace become leaving, those that have lingered are
// dropped, and those that a restored store has kept become entries of running upstreams.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for name, e := range s.entries {
		switch {
		case isDue(now, e.missingUntil):
			s.markLapsed(now, name, e)
			changed = true
		case isDue(now, e.dropAt):
			s.drop(now, name, e)
			changed = true
		}
	}
	for name, u := range s.unconfirmed {
		if isDue(now, u.confirmAt) {
			delete(s.unconfirmed, name)
			s.set(now, u.entry)
			changed = true
		}
	}
	for domain, a := range s.coldAssumptions {
		if isDue(now, a.until) {
			delete(s.coldAssumptions, domain)
		}
	}
	for name, t := range s.tombstones {
		if now.Sub(t.removedAt) >= tombstoneTTL {
			delete(s.tombstones, name)
		}
	}
	return changed
}

// isDue reports whether a time is set and has been reached.
func isDue(now, at time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

// VMs returns the listed upstreams, leaving ones included, in no particular order.
func (s *State) VMs() []topo.VM {
	out := make([]topo.VM, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.vm)
	}
	return out
}
