// Package membership makes of the entries that upstreams keep in the platform's
// store the list of VMs that a router works from.
//
// The router's control state feeds it what the follower of the entries brings. It may
// assume that changes of one entry come in the order in which the store took them; it
// may not assume that upstreams wrote them in that order, nor that only upstreams
// write entries.
package membership

import (
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Entry is what an upstream says of itself in the store.
type Entry struct {
	// Name of the entry, under which the upstream is known for as long as it is
	// restarted in place.
	Name string
	// StartedAt is when this incarnation started, in Unix milliseconds; zero: it does not
	// say, and an upstream that starts again has another name.
	StartedAt int64
	// Sequence counts the upstream's writes from its start.
	Sequence int64
	// Version of the entry in the store.
	Version topo.Version
	// ColdFor is for how much longer the upstream is cold, at the moment of its writing.
	ColdFor time.Duration
	// VM is how it is reached. Its ID and WarmAt are the State's to give.
	VM topo.VM
}

// Decoder makes entries of the store's objects.
type Decoder interface {
	// Kind of the objects.
	Kind() topo.Kind
	// Decode returns the entry that an object holds. An error means that it names no
	// upstream that could be used.
	Decode(o topo.Object) (Entry, error)
}

// State is the entries as one router believes them. It is pure; the follower of
// the entries feeds it.
//
// Invariant: an entry that is listed has the latest start of all that its name has
// been seen with, for as long as former starts are remembered.
type State struct {
	entries         map[string]*entry           // by name
	tombstones      map[string]tombstone        // names without an entry
	unconfirmed     map[string]unconfirmedEntry // entries that may be of upstreams that are gone, by name
	recoveredAt     time.Time                   // when the store answered again after an outage; zero: there was none
	coldAssumptions map[string]coldAssumption   // by failure domain
	timing          Timing
}

// Timing is the times of a State.
type Timing struct {
	// OutageGrace is how long an entry that is missing after an outage of the store counts
	// after its end: upstreams that could not renew their entries meanwhile write
	// them again.
	OutageGrace time.Duration
	// Linger is how long an upstream counts as leaving whose entry is gone without
	// its having said that it leaves. Most still finish what they have, and others
	// can get the prompts that they hold.
	Linger time.Duration
	// RenewTimeout is the time within which an upstream that lives writes its entry again.
	RenewTimeout time.Duration
}

// tombstoneTTL is how long the start of an upstream without an entry is remembered. A
// write of a former incarnation that the platform delays comes seconds late.
const tombstoneTTL = 10 * time.Minute

// tombstone is an upstream that had an entry.
type tombstone struct {
	write     write
	removedAt time.Time // when its entry went
}

// write names a write of an entry.
type write struct {
	startedAt, sequence int64
	version             topo.Version
}

func writeOf(e Entry) write {
	return write{startedAt: e.StartedAt, sequence: e.Sequence, version: e.Version}
}

// isReplayOf reports whether w was made no later than last, although its version is higher:
// the store has come back from an older copy that holds it.
func (w write) isReplayOf(last write) bool {
	return last.version != 0 && w.version.Era() > last.version.Era() &&
		w.startedAt == last.startedAt && w.sequence <= last.sequence
}

// unconfirmedEntry is the last write of an upstream that is gone, in a store that has come back from
// an older copy.
type unconfirmedEntry struct {
	entry     Entry
	confirmAt time.Time // when its upstream lives, if the store has the entry still
}

// lapseRenewals is after how many renewals that are due an entry is known to be gone if
// nobody renews it: the store drops it after three.
const lapseRenewals = 4

// coldAssumption is a failure domain whose upstreams may have become cold at a version of the
// store, without their entries telling so yet.
type coldAssumption struct {
	version topo.Version
	until   time.Time
}

// entry is one upstream's entry.
type entry struct {
	vm           topo.VM
	write        write
	missingUntil time.Time // until when it counts though the store has none; zero: the store has it
	dropAt       time.Time // when it is dropped; zero: not yet settled
	// overwritten is set while the store's entry is one of a former incarnation.
	overwritten bool
}

// NewState returns a State that knows nothing.
func NewState(t Timing) *State {
	return &State{
		entries:         make(map[string]*entry),
		tombstones:      make(map[string]tombstone),
		unconfirmed:     make(map[string]unconfirmedEntry),
		coldAssumptions: make(map[string]coldAssumption),
		timing:          t,
	}
}

// ChangeKind is what has happened to an entry.
type ChangeKind uint8

// What has happened to an entry.
const (
	Written  ChangeKind = iota // it is there, as an upstream writes it
	Removed                    // it is gone
	Unusable                   // it is there and names no upstream that could be used
)

// Change is what became of one entry.
type Change struct {
	Kind  ChangeKind
	Entry Entry // only the Name is set unless it was Written
}

// ApplyResult is what a State made of changes.
type ApplyResult struct {
	// Replaced are the VMs whose upstreams have started again: what they worked on is
	// lost, though connections to them may not show it.
	Replaced []topo.VM
	// Outdated is how many writes of former incarnations were passed over.
	Outdated int
}

// StoreRecovered takes in that the store answered again at a time, after an outage.
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

// StoreRecoveredAt returns when the store answered again after its last outage; zero: there was
// none.
func (s *State) StoreRecoveredAt() time.Time {
	return s.recoveredAt
}

// Apply takes in changes.
func (s *State) Apply(now time.Time, changes []Change) ApplyResult {
	var t ApplyResult
	for _, c := range changes {
		switch c.Kind {
		case Written:
			s.applyWritten(now, c.Entry, &t)
		case Removed:
			s.applyRemoved(now, c.Entry.Name)
		case Unusable:
			s.applyUnusable(now, c.Entry.Name)
		}
	}
	return t
}

// applyWritten takes in an entry. One of a former incarnation may arrive after that of its
// successor: a write that the platform delays, or whose answer was lost, is done later.
// Taken for the present one, it would bring back loads, prompts and an address that are
// gone. The start says which of two is the later one.
func (s *State) applyWritten(now time.Time, e Entry, t *ApplyResult) {
	current, last := s.entries[e.Name], s.lastWrite(e.Name)
	delete(s.unconfirmed, e.Name)
	switch {
	case e.StartedAt == 0 && last.startedAt != 0:
		// An upstream that has told its start once tells it always.
		s.applyUnusable(now, e.Name)
		return
	case e.StartedAt < last.startedAt:
		t.Outdated++
		if current != nil {
			current.overwritten = true
		}
		return
	case writeOf(e).isReplayOf(last):
		t.Outdated++
		s.applyReplay(now, current, e)
		return
	case current != nil && current.write.startedAt != e.StartedAt:
		t.Replaced = append(t.Replaced, current.vm)
	}
	s.set(now, e)
}

// applyReplay takes in an entry of which this write or a later one is known. It says nothing
// new: taken for news, it would put an upstream to work again that leaves. One whose entry
// had gone lives only if the store goes on holding it.
func (s *State) applyReplay(now time.Time, current *entry, e Entry) {
	switch {
	case current != nil && current.dropAt.IsZero():
		current.write.version, current.missingUntil = e.Version, time.Time{}
	case !e.VM.Leaving && e.Sequence == s.lastWrite(e.Name).sequence:
		s.unconfirmed[e.Name] = unconfirmedEntry{entry: e, confirmAt: now.Add(lapseRenewals * s.timing.RenewTimeout)}
	}
}

// set makes an entry the one of its name.
func (s *State) set(now time.Time, e Entry) {
	delete(s.tombstones, e.Name)
	vm := e.VM
	vm.ID, vm.Instance = incarnationID(e), e.Name
	if e.ColdFor > 0 {
		vm.WarmAt = now.Add(e.ColdFor) // it was written before now, so that it is warm by then
	}
	stored := &entry{vm: vm, write: writeOf(e)}
	stored.assumeCold(s.coldAssumptions[vm.FailureDomain])
	s.entries[e.Name] = stored
}

// AssumeCold takes in that upstreams of a failure domain may have become cold up to a version of
// the store, as those of a domain do that is emptied and taken back: until they have
// written their entries anew, they count as cold for as long as warm returns for their
// pools.
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

// assumeCold applies a doubt to an entry that was written before it.
func (e *entry) assumeCold(d coldAssumption) {
	if e.write.version <= d.version && d.until.After(e.vm.WarmAt) {
		e.vm.WarmAt = d.until
	}
}

// lastWrite returns the latest write that is known of a name.
func (s *State) lastWrite(name string) write {
	if e := s.entries[name]; e != nil {
		return e.write
	}
	return s.tombstones[name].write
}

// incarnationID returns the id of one life of an upstream. All that is believed of an
// upstream, by this router or by others that it tells, goes by this id: nothing of a
// former life, its load, its outcomes, its sessions' prompts or its connections, is
// taken for the present one's.
func incarnationID(e Entry) string {
	if e.StartedAt == 0 {
		return e.Name
	}
	return e.Name + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// applyRemoved takes in that the store has no entry of an upstream any more.
func (s *State) applyRemoved(now time.Time, name string) {
	e := s.entries[name]
	delete(s.unconfirmed, name)
	switch {
	case e == nil:
	case e.overwritten && !e.vm.Leaving:
		// It was the former incarnation's entry that went. The present one writes its
		// own again, if it lives.
		e.overwritten, e.missingUntil = false, now.Add(s.timing.RenewTimeout)
	case s.inOutageGrace(now) && !e.vm.Leaving:
		e.missingUntil = s.recoveredAt.Add(s.timing.OutageGrace)
	default:
		s.markGone(now, name, e)
	}
}

// applyUnusable takes in that an entry was overwritten by something that names no upstream.
// Whoever wrote it, the upstream that was there is not named any more; it is used again
// when it has written its entry anew.
func (s *State) applyUnusable(now time.Time, name string) {
	delete(s.unconfirmed, name)
	if e := s.entries[name]; e != nil {
		s.markGone(now, name, e)
	}
}

// markGone takes in that an upstream has no entry any more.
func (s *State) markGone(now time.Time, name string, e *entry) {
	if e.vm.Leaving || s.timing.Linger <= 0 {
		s.drop(now, name, e)
		return
	}
	e.missingUntil, e.vm.Leaving, e.dropAt = time.Time{}, true, now.Add(s.timing.Linger)
}

func (s *State) drop(now time.Time, name string, e *entry) {
	delete(s.entries, name)
	s.tombstones[name] = tombstone{write: e.write, removedAt: now}
}

// inOutageGrace reports whether an entry that is missing may have lapsed only because its
// owner could not reach the store. Dropping it then would refuse requests for
// upstreams that work; keeping it longer would send them to some that are gone.
func (s *State) inOutageGrace(now time.Time) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < s.timing.OutageGrace
}

// Expire settles the entries whose time is over, and reports whether there were
// any: those that are still missing after an outage are gone, those that linger are
// dropped, and those that a store from an older copy has kept are of upstreams that live.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for name, e := range s.entries {
		switch {
		case isDue(now, e.missingUntil):
			s.markGone(now, name, e)
			changed = true
		case isDue(now, e.dropAt):
			s.drop(now, name, e)
			changed = true
		}
	}
	for name, c := range s.unconfirmed {
		if isDue(now, c.confirmAt) {
			delete(s.unconfirmed, name)
			s.set(now, c.entry)
			changed = true
		}
	}
	for domain, d := range s.coldAssumptions {
		if isDue(now, d.until) {
			delete(s.coldAssumptions, domain)
		}
	}
	for name, f := range s.tombstones {
		if now.Sub(f.removedAt) >= tombstoneTTL {
			delete(s.tombstones, name)
		}
	}
	return changed
}

func isDue(now, at time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

// VMs returns the upstreams that count, in no order.
func (s *State) VMs() []topo.VM {
	out := make([]topo.VM, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.vm)
	}
	return out
}
