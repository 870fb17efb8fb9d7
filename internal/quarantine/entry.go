// Package quarantine decides how requests may run that are suspected of crashing the
// upstreams that run them.
//
// Each process keeps a Table. A sidecar records the crashes of its upstream with the
// fingerprints that were running. Tables exchange entries: Gossip adds recent ones to
// messages that are sent anyway, and EvidenceFor returns those about one request, which
// are sent with the request, with its refusal, and in the reports of a crash that
// routers send to sidecars. A Table is pure: it does no I/O and reads no clock.
package quarantine

import (
	"fmt"
	"time"
)

// Fingerprint identifies a request: a hash of its organisation and call.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits, the form shown to operators.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Crash identifies one crash of one upstream.
type Crash uint64

// Status is the state of a fingerprint with respect to one crash. Higher values replace
// lower ones, so Tables that merge in any order agree.
type Status uint8

const (
	// Suspect means that the fingerprint was running when the upstream crashed.
	Suspect Status = iota
	// Cleared means that it has since run without a crash.
	Cleared
	// Convicted means that it crashed the upstream while running alone as a suspect of
	// another crash.
	Convicted
)

// Entry records one fingerprint that was running at one crash. All fields but Status
// are set by the sidecar that saw the crash and never change.
type Entry struct {
	Fingerprint Fingerprint
	Crash       Crash
	VM          string        // VM that crashed; empty in observed entries of other routers
	At          time.Time     // time of the crash, in whole milliseconds
	Elapsed     time.Duration // from its start to the crash, or, if observed, until it was lost or left, in whole milliseconds
	Alone       bool          // no other fingerprint was running
	Observed    bool          // a router observed the crash: the upstream has no sidecar
	Tried       bool          // observed crashes only: the request was sent alone to see whether it is the cause
	Status      Status

	own     bool      // this process observed the crash, and had sent the request
	heardAt time.Time // when this process observed or heard of it
}

// key identifies an Entry.
type key struct {
	fingerprint Fingerprint
	crash       Crash
}

func (e *Entry) key() key { return key{e.Fingerprint, e.Crash} }

// ttl returns how long after the crash the entry is valid.
func (e *Entry) ttl() time.Duration {
	switch {
	case e.Status == Convicted:
		return ConvictionTTL
	case e.Tried && e.Fingerprint.IsPart():
		return failedTrialTTL
	}
	return SuspectTTL
}

// Expires returns when the entry ceases to be valid.
func (e *Entry) Expires() time.Time {
	return e.At.Add(e.ttl())
}

// isLive reports whether the entry is valid at now. An entry from the future comes from
// a VM whose clock is wrong, and would never expire.
func (e *Entry) isLive(now time.Time) bool {
	return now.Before(e.Expires()) && e.At.Before(now.Add(maxClockSkew))
}

const (
	// SuspectTTL is how long after a crash its suspects remain suspects.
	SuspectTTL = 15 * time.Minute
	// ConvictionTTL is how long after the crash a conviction is valid.
	ConvictionTTL = 24 * time.Hour
	// RetryAfter is the delay to send to a caller whose request must wait for its turn
	// to run alone.
	RetryAfter = time.Second

	// maxEntries limits the number of entries in a Table.
	maxEntries = 4096
	// evictDivisor sets the part of the entries that is evicted at once from a full
	// Table: one in evictDivisor.
	evictDivisor = 8
	// maxClockSkew is how far a crash may lie in the future by the clock of another VM.
	maxClockSkew = time.Minute
	// minAloneTime is the shortest time after which a suspect that runs alone may count
	// as finished before it ends.
	minAloneTime = time.Second
)
