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
	// sharedMost is how many loads one message holds. Of a larger pool the highest are
	// told, which are those that a bound is about, and the others by turns.
	sharedMost = 160
	// sharedHighest is how many of the highest loads each message about such a pool holds.
	sharedHighest = 32
	// sharedFor is how long after it was heard a load is told.
	sharedFor = time.Second
	// ownWordFor is how long a router's own word from an upstream counts more than
	// another's: about as long as that one took.
	ownWordFor = 100 * time.Millisecond
	// sharedAge is the unit of the age of a load.
	sharedAge = 10 * time.Millisecond

	shareSize = 4
	loadMost  = 255
	ageMost   = 255
)

// ShortName returns the name of an upstream in messages between routers. Two upstreams of
// a pool seldom have the same; if so, neither is told of.
func (vm VM) ShortName() uint16 { return uint16(vm) }

// ShortNames returns the upstreams of a pool by their short names, without those of which
// two have the same.
func ShortNames(members []VM) map[uint16]VM {
	named := make(map[uint16]VM, len(members))
	var twice []uint16
	for _, vm := range members {
		if other, taken := named[vm.ShortName()]; taken && other != vm {
			twice = append(twice, vm.ShortName())
		}
		named[vm.ShortName()] = vm
	}
	for _, name := range twice {
		delete(named, name)
	}
	return named
}

// PackObserved returns what this router, or one that tells it, has heard of members
// after a time; nil: nothing.
func (t *PoolLoad) PackObserved(now, after time.Time, members []VM) []byte {
	var heard []VM
	for _, vm := range members {
		if e := t.entries[vm]; e != nil && !e.told && e.at.After(after) {
			heard = append(heard, vm)
		}
	}
	t.highestFirst(now, heard)
	return t.pack(now, heard[:min(len(heard), sharedMost)])
}

// PackKnown returns what this router knows of members; nil: nothing. Of a pool that does
// not fit into a message, it returns the highest loads, and of the others those that were
// not told for longest.
func (t *PoolLoad) PackKnown(now time.Time, members []VM) []byte {
	var known []VM
	for _, vm := range members {
		if e := t.entries[vm]; e != nil && !e.at.IsZero() && now.Sub(e.at) <= sharedFor {
			known = append(known, vm)
		}
	}
	if len(known) > sharedMost {
		t.highestFirst(now, known)
		slices.SortStableFunc(known[sharedHighest:], func(a, b VM) int {
			return t.entries[a].packed.Compare(t.entries[b].packed)
		})
		known = known[:sharedMost]
	}
	for _, vm := range known {
		t.entries[vm].packed = now
	}
	return t.pack(now, known)
}

func (t *PoolLoad) highestFirst(now time.Time, vms []VM) {
	slices.SortStableFunc(vms, func(a, b VM) int { return cmp.Compare(t.Load(now, b), t.Load(now, a)) })
}

func (t *PoolLoad) pack(now time.Time, vms []VM) []byte {
	var b []byte
	for _, vm := range vms {
		e := t.entries[vm]
		age := min(max(now.Sub(e.at), 0)/sharedAge, ageMost)
		b = binary.BigEndian.AppendUint16(b, vm.ShortName())
		b = append(b, e.shared(), byte(age))
	}
	return b
}

// shared returns a load as a byte: what it was when it was heard, since it goes with its
// age, and who is told lets it fade by that.
func (e *tally) shared() byte {
	return byte(min(max(e.own+e.others, 0), loadMost))
}

// MergeObserved takes in what a router has heard that tells this one. It is passed on.
func (t *PoolLoad) MergeObserved(now time.Time, members []VM, packed []byte) error {
	return t.mergeAll(now, members, packed, false)
}

// MergeKnown takes in what the router knows that this one relies on.
func (t *PoolLoad) MergeKnown(now time.Time, members []VM, packed []byte) error {
	return t.mergeAll(now, members, packed, true)
}

func (t *PoolLoad) mergeAll(now time.Time, members []VM, packed []byte, told bool) error {
	if len(packed)%shareSize != 0 {
		return ErrMalformed
	}
	named := ShortNames(members)
	for b := packed; len(b) > 0; b = b[shareSize:] {
		if vm, ok := named[binary.BigEndian.Uint16(b)]; ok {
			t.merge(now.Add(-time.Duration(b[3])*sharedAge), vm, int(b[2]), told)
		}
	}
	return nil
}

// merge takes in a load of an earlier moment, unless what is known is as new. Without its
// age, what comes through three routers would take the place of newer knowledge.
func (t *PoolLoad) merge(at time.Time, vm VM, load int, told bool) {
	e := t.entry(vm)
	if at.Sub(e.at) <= 0 || !e.told && at.Sub(e.at) < ownWordFor {
		return
	}
	t.Observe(at, vm, load)
	e.told = told
}
