package load

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
)

// A packed sample is VM (4 bytes), load or state (2), weight (1) and age (1),
// big-endian.
const (
	sampleSize = 8
	maxWeight  = 255

	// Loads from maxLoad up stand for states.
	maxLoad      = 0xfffd
	loadDown     = 0xfffe
	loadDraining = 0xffff

	// ageUnit is the unit of a packed age. Ages are rounded up, so that a
	// sample never looks newer for having been passed on.
	ageUnit   = 250 * time.Millisecond
	maxPacked = 64 // samples that are read from one message
)

// ErrPacked is a list of samples that cannot be read.
var ErrPacked = errors.New("load: malformed samples")

// Pack returns up to n samples for another node. Successive calls go round the
// table, so that each upstream is told of equally often.
func (t *Table) Pack(now time.Time, n int) []byte {
	ms := now.UnixMilli()
	b := make([]byte, 0, n*sampleSize)
	for range t.entries {
		if n == 0 {
			break
		}
		t.next = (t.next + 1) % len(t.entries)
		e := t.entries[t.next]
		if e.fresh(ms) {
			b = e.append(b, ms)
			n--
		}
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

// Merge takes in samples that another node has packed. What it knows better
// already, it keeps.
func (t *Table) Merge(now time.Time, packed []byte) error {
	if len(packed)%sampleSize != 0 || len(packed) > maxPacked*sampleSize {
		return ErrPacked
	}
	ms := now.UnixMilli()
	for b := packed; len(b) > 0; b = b[sampleSize:] {
		t.put(unpack(b, ms))
	}
	return nil
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
