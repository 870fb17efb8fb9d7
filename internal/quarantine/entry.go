// Package quarantine decides what becomes of requests that may crash the
// upstream that runs them.
//
// Each node keeps a Book. A sidecar enters the crashes of its upstream with
// the fingerprints that were running; the Books tell each other on the back of
// traffic and by reports. A Book is pure: it does no I/O and reads no clock.
package quarantine

import (
	"fmt"
	"time"
)

// Fingerprint is the fingerprint of a request: a hash of its organisation and call.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as operators see it.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Crash names one crash of one upstream.
type Crash uint64

// Status is what is known of a fingerprint in respect of one crash. Higher
// values replace lower ones, so Books that merge in any order agree.
type Status uint8

const (
	// Suspect was running when the upstream crashed.
	Suspect Status = iota
	// Cleared has since run without a crash.
	Cleared
	// Convicted crashed the upstream while it ran alone, as a suspect of another crash.
	Convicted
)

// Entry is one fingerprint that was running at one crash. All but Standing
// are fixed by the sidecar that saw the crash.
type Entry struct {
	Fingerprint Fingerprint
	Crash       Crash
	VM          string        // VM of the crash
	At          time.Time     // of the crash, whole milliseconds
	RunTime     time.Duration // for which it had run, whole milliseconds
	Alone       bool          // nothing else was running
	Status      Status
}

// key identifies an Entry.
type key struct {
	fingerprint Fingerprint
	crash       Crash
}

func (e *Entry) key() key { return key{e.Fingerprint, e.Crash} }

// ttl is how long the entry counts, from the crash on.
func (e *Entry) ttl() time.Duration {
	if e.Status == Convicted {
		return ConvictionTTL
	}
	return SuspectTTL
}

// Expires is when the entry ceases to count.
func (e *Entry) Expires() time.Time {
	return e.At.Add(e.ttl())
}

// isLive reports whether the entry counts at now. One from the future is from a
// node whose clock is wrong, and would never age out.
func (e *Entry) isLive(now time.Time) bool {
	return now.Before(e.Expires()) && e.At.Before(now.Add(maxClockSkew))
}

const (
	// SuspectTTL is how long after a crash its suspects count as such.
	SuspectTTL = 15 * time.Minute
	// ConvictionTTL is how long a conviction stands.
	ConvictionTTL = 24 * time.Hour
	// RetryAfter is when a caller should come back whose request waits for its
	// turn to run alone.
	RetryAfter = time.Second

	// maxEntries bounds the entries of a Book.
	maxEntries = 4096
	// evictDivisor of the entries leave at a time when a Book is full.
	evictDivisor = 8
	// maxClockSkew is how far a crash may lie in the future by the clock of another VM.
	maxClockSkew = time.Minute
	// minAloneTime is the least time for which a suspect runs alone.
	minAloneTime = time.Second
)
