package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// restrictionCBOR is the wire form of a Restriction.
type restrictionCBOR struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Since       int64  // Unix milliseconds
	NeededFor   uint32 // milliseconds from NeededCrash to Since, if flagged
	RefusedFor  uint32 // milliseconds
	LiftedAt    int64  // Unix milliseconds; zero: never
	Flags       uint8
}

const (
	storedFlag  = 0x01
	clearedFlag = 0x02
	neededFlag  = 0x04 // NeededCrash is known

	// restrictionBytes is the largest size of a restriction on the wire, and restrictionsHeader that of what is before
	// them.
	restrictionBytes   = 41
	restrictionsHeader = 3
	// restrictionBytesPerSecond bounds the repeats of restrictions: with many, each is repeated less often.
	restrictionBytesPerSecond = 160
)

// GossipRestrictions returns restrictions to add to a message to another router, in at most budget bytes: those told
// least often first. Each is told for as long as it is valid, for routers that start. It returns nil if there is
// nothing to send or the rate limit is reached.
func (t *Table) GossipRestrictions(now time.Time, budget int) []byte {
	if len(t.restrictions) == 0 {
		return nil
	}
	t.outbox.refill(now)
	n := (min(budget, int(t.outbox.tokens)) - restrictionsHeader) / restrictionBytes
	due := t.dueRestrictions(now)
	due = due[:max(0, min(n, len(due)))]
	if len(due) == 0 {
		return nil
	}
	out, _ := cbor.Marshal(restrictionsToWire(now, due)) // cannot fail for these types
	t.outbox.tokens -= float64(len(out))
	return out
}

func restrictionsToWire(now time.Time, due []*restriction) []restrictionCBOR {
	out := make([]restrictionCBOR, len(due))
	for i, r := range due {
		r.sent++
		r.sentAt = now
		out[i] = restrictionCBOR{Fingerprint: r.Fingerprint, Since: r.Since.UnixMilli(), RefusedFor: uint32(r.RefusedFor.Milliseconds())}
		if !r.LiftedAt.IsZero() {
			out[i].LiftedAt = r.LiftedAt.UnixMilli()
		}
		if !r.NeededCrash.IsZero() {
			out[i].NeededFor = uint32(max(0, r.Since.Sub(r.NeededCrash)).Milliseconds())
			out[i].Flags |= neededFlag
		}
		if r.Stored {
			out[i].Flags |= storedFlag
		}
		if r.Cleared {
			out[i].Flags |= clearedFlag
		}
	}
	return out
}

// dueRestrictions returns the restrictions that are to be told now, those told least often first.
func (t *Table) dueRestrictions(now time.Time) []*restriction {
	slowest := time.Duration(len(t.restrictions)) * restrictionBytes * time.Second / restrictionBytesPerSecond
	var out []*restriction
	for _, r := range t.restrictions {
		if r.isValid(now) && (r.sent == 0 || now.Sub(r.sentAt) >= max(repeatPause(r.sent), slowest)) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y *restriction) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return out
}

// MergeRestrictions adds the restrictions of a message of GossipRestrictions.
func (t *Table) MergeRestrictions(now time.Time, message []byte) error {
	if len(message) == 0 {
		return nil
	}
	if len(message) > maxMessageBytes {
		return errors.Errorf("quarantine: restrictions of %d bytes exceed the limit of %d", len(message), maxMessageBytes)
	}
	var told []restrictionCBOR
	if err := cbor.Unmarshal(message, &told); err != nil {
		return errors.Wrap(err, "quarantine: malformed message of restrictions")
	}
	for _, r := range told {
		restriction := Restriction{
			Fingerprint: r.Fingerprint, Since: time.UnixMilli(r.Since), RefusedFor: time.Duration(r.RefusedFor) * time.Millisecond,
			Stored: r.Flags&storedFlag != 0, Cleared: r.Flags&clearedFlag != 0,
		}
		if r.LiftedAt != 0 {
			restriction.LiftedAt = time.UnixMilli(r.LiftedAt)
		}
		if r.Flags&neededFlag != 0 {
			restriction.NeededCrash = restriction.Since.Add(-time.Duration(r.NeededFor) * time.Millisecond)
		}
		t.MergeRestriction(now, restriction)
	}
	return nil
}
