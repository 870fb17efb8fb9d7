package quarantine

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Routers send each other the entries of observed crashes in a form of their own, a third as long as that of
// crashJSON: what all routers of a region learn goes through one of them.

// observedCrashCBOR is the wire form of the entries of one observed crash.
type observedCrashCBOR struct {
	_        struct{} `cbor:",toarray"`
	Crash    Crash
	At       int64 // Unix milliseconds
	Suspects []observedSuspectCBOR
}

// observedSuspectCBOR is the wire form of one of the entries of an observed crash.
type observedSuspectCBOR struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Awaited     uint8 // the bucket of Entry.Elapsed
	Flags       uint8 // status, and triedFlag
}

const (
	statusMask = 0x0f
	triedFlag  = 0x10
	// observedCrashBytes and observedSuspectBytes are the largest sizes of these on the wire.
	observedCrashBytes   = 21
	observedSuspectBytes = 14
)

// GossipObserved returns entries of observed crashes to add to a message to another router, in at most budget
// bytes. It returns nil if there is nothing to send or the rate limit is reached.
func (t *Table) GossipObserved(now time.Time, budget int) []byte {
	return t.gossip(now, budget, true, encodeObserved)
}

// encodeObserved encodes as many of the entries, in order, as fit into budget bytes, and returns their number.
func encodeObserved(entries []*Entry, budget int) ([]byte, int) {
	var crashes []observedCrashCBOR
	at := make(map[Crash]int)
	size, n := 1, 0
	for _, e := range entries {
		i, known := at[e.Crash]
		size += observedSuspectBytes
		if !known {
			size += observedCrashBytes
		}
		if size > budget {
			break
		}
		if !known {
			i = len(crashes)
			at[e.Crash] = i
			crashes = append(crashes, observedCrashCBOR{Crash: e.Crash, At: e.At.UnixMilli()})
		}
		crashes[i].Suspects = append(crashes[i].Suspects, newObservedSuspect(e))
		n++
	}
	if n == 0 {
		return nil, 0
	}
	out, _ := cbor.Marshal(crashes) // cannot fail for these types
	return out, n
}

func newObservedSuspect(e *Entry) observedSuspectCBOR {
	s := observedSuspectCBOR{Fingerprint: e.Fingerprint, Awaited: uint8(waitBucket(e.Elapsed)), Flags: uint8(e.Status)}
	if e.Tried {
		s.Flags |= triedFlag
	}
	return s
}

// MergeObserved adds the entries of a message of GossipObserved. It has the properties of Merge.
func (t *Table) MergeObserved(now time.Time, message []byte) error {
	if len(message) == 0 {
		return nil
	}
	if len(message) > maxMessageBytes {
		return errors.Errorf("quarantine: message of %d bytes exceeds the limit of %d", len(message), maxMessageBytes)
	}
	var crashes []observedCrashCBOR
	if err := cbor.Unmarshal(message, &crashes); err != nil {
		return errors.Wrap(err, "quarantine: malformed message of observed crashes")
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			t.mergeEntry(now, Entry{
				Fingerprint: s.Fingerprint,
				Crash:       c.Crash,
				At:          time.UnixMilli(c.At),
				Elapsed:     waitOf(s.Awaited),
				Observed:    true,
				Tried:       s.Flags&triedFlag != 0,
				Status:      min(Status(s.Flags&statusMask), Convicted),
			})
		}
	}
	return nil
}
