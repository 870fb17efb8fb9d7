package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Routers that call upstreams themselves tell each other loads through the router
// that they rely on: each tells that one what it has heard, and is told what that
// one knows. Loads are named by their upstream's place in the pool's list, which
// both must hold; a byte is a load.
const (
	// sharedMost is how many loads a message holds in full. In a larger pool the
	// highest are told, which are those that a bound is about.
	sharedMost = 96
	// sharedHighest is how many loads are told of a larger pool.
	sharedHighest = 32
	// sharedFor is how long after it was heard a load is told.
	sharedFor = time.Second
	// ownWordFor is how long a router's own word from an upstream counts more than
	// another's: about as long as that one took.
	ownWordFor = 100 * time.Millisecond

	// A message begins with its form.
	shareFull  = 1 // loads in the order of the list
	shareSome  = 2 // place (2 bytes, big-endian) and load
	someSize   = 3
	loadUnsaid = 255 // in a full list: not known
	loadMost   = 254
)

// PackObserved returns what this router, or one that tells it, has heard of members
// after a time; nil: nothing.
func (t *Tally) PackObserved(now, after time.Time, members []VM) []byte {
	b := []byte{shareSome}
	for i, vm := range members {
		e := t.entries[vm]
		if e == nil || e.told || !e.at.After(after) || i > placeMost {
			continue
		}
		b = appendSome(b, i, t.shared(now, vm))
	}
	if len(b) == 1 {
		return nil
	}
	return b
}

// placeMost is the highest place that two bytes hold.
const placeMost = 1<<16 - 1

// PackKnown returns what this router knows of members; nil: nothing.
func (t *Tally) PackKnown(now time.Time, members []VM) []byte {
	if len(members) > sharedMost {
		return t.packHighest(now, members)
	}
	b := make([]byte, 1, len(members)+1)
	b[0] = shareFull
	known := false
	for _, vm := range members {
		e := t.entries[vm]
		if e == nil || e.at.IsZero() || now.Sub(e.at) > sharedFor {
			b = append(b, loadUnsaid)
			continue
		}
		b = append(b, t.shared(now, vm))
		known = true
	}
	if !known {
		return nil
	}
	return b
}

// packHighest returns the highest loads.
func (t *Tally) packHighest(now time.Time, members []VM) []byte {
	places := make([]int, 0, len(members))
	for i, vm := range members {
		if e := t.entries[vm]; e != nil && !e.at.IsZero() && now.Sub(e.at) <= sharedFor && i <= placeMost {
			places = append(places, i)
		}
	}
	if len(places) == 0 {
		return nil
	}
	slices.SortFunc(places, func(x, y int) int {
		return cmp.Compare(t.Load(now, members[y]), t.Load(now, members[x]))
	})
	b := []byte{shareSome}
	for _, i := range places[:min(len(places), sharedHighest)] {
		b = appendSome(b, i, t.shared(now, members[i]))
	}
	return b
}

func appendSome(b []byte, place int, load byte) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(place)), load)
}

// shared returns a load as a byte.
func (t *Tally) shared(now time.Time, vm VM) byte {
	return byte(min(max(t.Load(now, vm)+0.5, 0), loadMost))
}

// MergeObserved takes in what a router has heard that tells this one. It is passed on.
func (t *Tally) MergeObserved(now time.Time, members []VM, packed []byte) error {
	return eachShared(packed, members, func(vm VM, load int) { t.merge(now, vm, load, false) })
}

// MergeKnown takes in what the router knows that this one relies on.
func (t *Tally) MergeKnown(now time.Time, members []VM, packed []byte) error {
	return eachShared(packed, members, func(vm VM, load int) { t.merge(now, vm, load, true) })
}

func (t *Tally) merge(now time.Time, vm VM, load int, told bool) {
	e := t.entry(vm)
	if !e.told && now.Sub(e.at) < ownWordFor {
		return
	}
	t.Observe(now, vm, load)
	e.told = told
}

// eachShared calls f for each load of a message.
func eachShared(packed []byte, members []VM, f func(vm VM, load int)) error {
	if len(packed) == 0 {
		return nil
	}
	form, b := packed[0], packed[1:]
	switch {
	case form == shareFull && len(b) == len(members):
		for i, load := range b {
			if load != loadUnsaid {
				f(members[i], int(load))
			}
		}
	case form == shareSome && len(b)%someSize == 0:
		for ; len(b) > 0; b = b[someSize:] {
			if place := int(binary.BigEndian.Uint16(b)); place < len(members) {
				f(members[place], int(b[2]))
			}
		}
	default:
		return ErrPacked
	}
	return nil
}
