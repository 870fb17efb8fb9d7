package load

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// A packed sample consists of VM (4 bytes), load or state (2), weight (1) and age (1),
// big-endian.
const (
	sampleSize = 8
	maxWeight  = 255

	// Loads above maxLoad encode states.
	maxLoad      = 0xfffd
	loadDown     = 0xfffe
	loadDraining = 0xffff

	// ageUnit is the unit of a packed age. Ages are rounded up, so that forwarding never makes a
	// sample look newer.
	ageUnit   = 250 * time.Millisecond
	maxPacked = 64 // maximum number of samples in a message
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("load: malformed samples")

// Pack returns the n newest samples for a peer, but at most maxPacked, without expired ones and
// those of the upstreams in except, for which the receiver has newer data.
func (t *Table) Pack(now time.Time, n int, except ...VM) []byte {
	ms := now.UnixMilli()
	var best [maxPacked]int
	found := 0
	n = min(n, maxPacked)
	for i := range t.entries { // insertion sort into best, newest first
		e := &t.entries[i]
		if found == n && (n == 0 || e.at <= t.entries[best[n-1]].at) {
			continue
		}
		if !e.fresh(ms) || slices.Contains(except, e.vm) {
			continue
		}
		found = min(found+1, n)
		at := found - 1
		for at > 0 && t.entries[best[at-1]].at < e.at {
			best[at] = best[at-1]
			at--
		}
		best[at] = i
	}
	b := make([]byte, 0, found*sampleSize)
	for _, i := range best[:found] {
		b = t.entries[i].append(b, ms)
	}
	return b
}

func (e *entry) append(b []byte, ms int64) []byte {
	unit := ageUnit.Milliseconds()
	age := min(max(ms-e.at+unit-1, 0)/unit, 255)
	load := e.load
	switch e.state {
	case Draining:
		load = loadDraining
	case Down:
		load = loadDown
	}
	b = binary.BigEndian.AppendUint32(b, uint32(e.vm))
	b = binary.BigEndian.AppendUint16(b, load)
	return append(b, e.weight, byte(age))
}

// Merge records samples packed by a peer, except those for which a newer sample is known. It returns
// ErrMalformed, and records none, if their length is invalid.
func (t *Table) Merge(now time.Time, packed []byte) error {
	if len(packed)%sampleSize != 0 || len(packed) > maxPacked*sampleSize {
		return ErrMalformed
	}
	ms := now.UnixMilli()
	for b := packed; len(b) > 0; b = b[sampleSize:] {
		if e := unpack(b, ms); !t.hasHigherLoad(&e) {
			t.put(e)
		}
	}
	return nil
}

// hasHigherLoad reports whether the table has a sample with the same time and state as e and a
// higher load. In a burst, samples overtake each other on the way, and their times do not show
// which one is newer. The one with the lower load was usually taken before the burst; replacing
// the other with it makes upstreams with spare capacity refuse requests.
func (t *Table) hasHigherLoad(e *entry) bool {
	i, ok := t.index[e.vm]
	if !ok {
		return false
	}
	held := &t.entries[i]
	return held.at == e.at && held.state == e.state && held.load > e.load
}

func unpack(b []byte, ms int64) entry {
	e := entry{
		vm:     VM(binary.BigEndian.Uint32(b)),
		load:   binary.BigEndian.Uint16(b[4:]),
		weight: max(b[6], 1),
		at:     ms - int64(b[7])*ageUnit.Milliseconds(),
	}
	switch e.load {
	case loadDraining:
		e.state, e.load = Draining, 0
	case loadDown:
		e.state, e.load = Down, 0
	}
	return e
}
