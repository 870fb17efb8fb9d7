package quarantine

import "time"

// A request to an upstream without a sidecar has several fingerprints: one of its content, which only copies of
// it have, and one of each part of its prompt that other requests may share. Any of them may crash upstreams.

// partBit is set in the fingerprints of parts, and in no fingerprint of the content of a request to an upstream
// without a sidecar.
const partBit Fingerprint = 1 << 63

// ContentFingerprint returns the fingerprint of the content of a request to an upstream without a sidecar, never
// zero, from a hash of it.
func ContentFingerprint(hash uint64) Fingerprint {
	return max(Fingerprint(hash)&^partBit, 1)
}

// PartFingerprint returns the fingerprint of a part of prompts from a hash of it.
func PartFingerprint(hash uint64) Fingerprint {
	return Fingerprint(hash) | partBit
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (p Fingerprint) IsPart() bool { return p&partBit != 0 }

const (
	// servedBefore is how long before a request is sent an answer to another one with the same part shows that
	// the part does not crash the upstreams that run it.
	servedBefore = time.Second
	// partServedFor is how long a part counts as served after a request with it was.
	partServedFor = 5 * time.Second
	// firstTrialPause is the time from a trial of a part that has failed to the next one. It grows by
	// trialPauseFactor with each, up to maxTrialPause: the upstreams may have been replaced by such that bear it.
	firstTrialPause  = 30 * time.Second
	trialPauseFactor = 4
	maxTrialPause    = 15 * time.Minute
	// failedTrialTTL is how long a failed trial counts: a part whose trials fail for so long is tried every
	// maxTrialPause.
	failedTrialTTL = 4 * maxTrialPause
)

// trialPause returns the time from the latest of so many failed trials to the next one.
func trialPause(failed int) time.Duration {
	pause := firstTrialPause
	for range failed - 1 {
		pause = nextTrialPause(pause)
	}
	return pause
}

// nextTrialPause returns the pause after a trial that has failed after a pause.
func nextTrialPause(pause time.Duration) time.Duration {
	return min(trialPauseFactor*pause, maxTrialPause)
}

// servedTimes remembers when fingerprints were served last, of at least the maxServed latest.
type servedTimes struct {
	current, previous map[Fingerprint]time.Time
}

func (s *servedTimes) add(now time.Time, p Fingerprint) {
	if s.current == nil || len(s.current) >= maxServed {
		s.previous, s.current = s.current, make(map[Fingerprint]time.Time)
	}
	s.current[p] = now
}

// since reports whether a fingerprint was served at a time or later.
func (s *servedTimes) since(at time.Time, p Fingerprint) bool {
	served, known := s.current[p]
	if !known {
		served, known = s.previous[p]
	}
	return known && !served.Before(at)
}

// RecordPartsServed records that an upstream without a sidecar has written on the parts of the prompt of a request,
// and clears them.
func (t *Table) RecordPartsServed(now time.Time, parts []Fingerprint) {
	for _, p := range parts {
		t.partsServed.add(now, p)
		if t.isKnown(p) {
			t.RecordFinished(now, p)
		}
	}
}

// wasServedSince reports whether a fingerprint was served so lately that a request which was sent at a time is
// not lost because of it.
func (t *Table) wasServedSince(sent time.Time, p Fingerprint) bool {
	if p.IsPart() {
		return t.partsServed.since(sent.Add(-servedBefore), p)
	}
	return t.served.has(p)
}
