package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Routers that call upstreams themselves tell each other loads through the router
// that they rely on: each tells that one what it has heard, and is told what that
// one knows. An entry is the short name of its upstream (2 bytes, big-endian), its load
// (1) and the age of that (1).
//
// Upstreams are named, not numbered by a list that both sides must hold: where they are
// replaced one after the other, routers hold different lists much of the time.
const (
	// maxSharedEntries is how many loads one message holds. Of a larger pool the highest are
	// told, which are those that a bound is about, and the others by turns.
	maxSharedEntries = 160
	// sharedHighestLoads is how many of the highest loads each message about such a pool holds.
	sharedHighestLoads = 32
	// maxSharedAge is how long after it was heard a load is told.
	maxSharedAge = time.Second
	// ownReportPrecedence is how long a router's own word from an upstream counts more than
	// another's: about as long as that one took.
	ownReportPrecedence = 100 * time.Millisecond
	// sharedAgeUnit is the unit of the age of a load.
	sharedAgeUnit = 10 * time.Millisecond

	sharedEntrySize   = 4
	maxSharedLoad     = 255
	maxSharedAgeUnits = 255
)

// ShortName returns the name of an upstream in messages between routers. Two upstreams of
// a pool seldom have the same; if so, neither is told of.
func (vm VM) ShortName() uint16 { return uint16(vm) }

// ShortNames returns the upstreams of a pool by their short names, without those of which
// two have the same.
func ShortNames(members []VM) map[uint16]VM {
	byName := make(map[uint16]VM, len(members))
	var duplicates []uint16
	for _, vm := range members {
		if other, taken := byName[vm.ShortName()]; taken && other != vm {
			duplicates = append(duplicates, vm.ShortName())
		}
		byName[vm.ShortName()] = vm
	}
	for _, name := range duplicates {
		delete(byName, name)
	}
	return byName
}

// PackObserved returns what this router, or one that tells it, has heard of members
// after a time; nil: nothing.
func (t *PoolLoad) PackObserved(now, after time.Time, members []VM) []byte {
	var observed []VM
	for _, vm := range members {
		if e := t.entries[vm]; e != nil && !e.fromParent && e.reportedAt.After(after) {
			observed = append(observed, vm)
		}
	}
	t.sortByLoad(now, observed)
	return t.pack(now, observed[:min(len(observed), maxSharedEntries)])
}

// PackKnown returns what this router knows of members; nil: nothing. Of a pool that does
// not fit into a message, it returns the highest loads, and of the others those that were
// not told for longest.
func (t *PoolLoad) PackKnown(now time.Time, members []VM) []byte {
	var known []VM
	for _, vm := range members {
		if e := t.entries[vm]; e != nil && !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= maxSharedAge {
			known = append(known, vm)
		}
	}
	if len(known) > maxSharedEntries {
		t.sortByLoad(now, known)
		slices.SortStableFunc(known[sharedHighestLoads:], func(a, b VM) int {
			return t.entries[a].sentAt.Compare(t.entries[b].sentAt)
		})
		known = known[:maxSharedEntries]
	}
	for _, vm := range known {
		t.entries[vm].sentAt = now
	}
	return t.pack(now, known)
}

func (t *PoolLoad) sortByLoad(now time.Time, vms []VM) {
	slices.SortStableFunc(vms, func(a, b VM) int { return cmp.Compare(t.Load(now, b), t.Load(now, a)) })
}

func (t *PoolLoad) pack(now time.Time, vms []VM) []byte {
	var b []byte
	for _, vm := range vms {
		e := t.entries[vm]
		age := min(max(now.Sub(e.reportedAt), 0)/sharedAgeUnit, maxSharedAgeUnits)
		b = binary.BigEndian.AppendUint16(b, vm.ShortName())
		b = append(b, e.sharedLoad(), byte(age))
	}
	return b
}

// sharedLoad returns a load as a byte: what it was when it was heard, since it goes with its
// age, and who is told lets it fade by that.
func (e *upstreamLoad) sharedLoad() byte {
	return byte(min(max(e.own+e.others, 0), maxSharedLoad))
}

// MergeObserved takes in what a router has heard that tells this one. It is passed on.
func (t *PoolLoad) MergeObserved(now time.Time, members []VM, packed []byte) error {
	return t.mergeEntries(now, members, packed, false)
}

// MergeKnown takes in what the router knows that this one relies on.
func (t *PoolLoad) MergeKnown(now time.Time, members []VM, packed []byte) error {
	return t.mergeEntries(now, members, packed, true)
}

func (t *PoolLoad) mergeEntries(now time.Time, members []VM, packed []byte, fromParent bool) error {
	if len(packed)%sharedEntrySize != 0 {
		return ErrMalformed
	}
	byName := ShortNames(members)
	for b := packed; len(b) > 0; b = b[sharedEntrySize:] {
		if vm, ok := byName[binary.BigEndian.Uint16(b)]; ok {
			t.merge(now.Add(-time.Duration(b[3])*sharedAgeUnit), vm, int(b[2]), fromParent)
		}
	}
	return nil
}

// merge takes in a load of an earlier moment, unless what is known is as new. Without its
// age, what comes through three routers would take the place of newer knowledge.
func (t *PoolLoad) merge(at time.Time, vm VM, load int, fromParent bool) {
	e := t.entry(vm)
	if at.Sub(e.reportedAt) <= 0 || !e.fromParent && at.Sub(e.reportedAt) < ownReportPrecedence {
		return
	}
	t.Observe(at, vm, load)
	e.fromParent = fromParent
}
