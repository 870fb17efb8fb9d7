package quarantine

import (
	"math"
	"time"
)

const (
	// survivalsPerCrash is how many copies of a request upstreams must have survived, for each crash at
	// which this process lost or left one, for the request to be no suspect. A copy that takes long to
	// crash its upstream counts as survived before, so that one for each crash proves nothing.
	survivalsPerCrash = 2
	// survivalsFor is the shortest time for which a survival counts, unless those of
	// maxSurvivingRequests others have been recorded since.
	survivalsFor         = time.Minute
	maxSurvivingRequests = 2048
)

// survivals remembers, for at least survivalsFor and at most twice as long, for how long copies of
// requests were awaited that nobody awaited to their end, and that their upstreams have outlived.
type survivals struct {
	current, previous map[Fingerprint]*waits
	since             time.Time // start of current
}

const (
	// waitBuckets and waitBucketsPerOctave lay out the buckets of waits: from a millisecond to a minute,
	// each a fifth wider than the one before.
	waitBuckets          = 64
	waitBucketsPerOctave = 4
)

// waits counts copies of a request by the time for which they were awaited. A count that is full stays.
type waits [waitBuckets]uint8

// waitBucket returns the bucket of a time.
func waitBucket(d time.Duration) int {
	ms := max(1, float64(d)/float64(time.Millisecond))
	return min(int(waitBucketsPerOctave*math.Log2(ms)), waitBuckets-1)
}

// waitOf returns the shortest time in a bucket, in whole milliseconds.
func waitOf(bucket uint8) time.Duration {
	ms := math.Ceil(math.Exp2(float64(bucket) / waitBucketsPerOctave))
	return time.Duration(ms) * time.Millisecond
}

// add records a survival.
func (s *survivals) add(now time.Time, p Fingerprint, awaited time.Duration) {
	if s.current == nil || now.Sub(s.since) >= survivalsFor || len(s.current) >= maxSurvivingRequests {
		s.previous, s.current, s.since = s.current, make(map[Fingerprint]*waits), now
	}
	w := s.current[p]
	if w == nil {
		w = &waits{}
		s.current[p] = w
	}
	if i := waitBucket(awaited); w[i] < math.MaxUint8 {
		w[i]++
	}
}

// count returns how many copies of p were awaited for at least so long, or a little less, and have been
// survived.
func (s *survivals) count(p Fingerprint, least time.Duration) int {
	n := 0
	for _, w := range [...]*waits{s.current[p], s.previous[p]} {
		if w == nil {
			continue
		}
		for _, k := range w[waitBucket(least):] {
			n += int(k)
		}
	}
	return n
}

// RecordSurvived records that an upstream without a sidecar has outlived a copy of a request that nobody
// awaited to its end, and that was awaited for a time. A request that crashes the upstreams which run it
// has at most one such copy for each crash. One that happened to be where upstreams crashed for other
// reasons has many more, and is cleared.
func (t *Table) RecordSurvived(now time.Time, p Fingerprint, awaited time.Duration) {
	t.survivals.add(now, p, awaited)
	t.clearIfMostSurvived(now, p)
}

// IsMostlySurvived reports whether upstreams have survived most copies of a request, as far as it is known
// where they are.
func (t *Table) IsMostlySurvived(p Fingerprint, at Whereabouts) bool {
	return at.Heard+t.survivals.count(p, at.Awaited) >= survivalsPerCrash*len(at.Silent)
}

// clearIfMostSurvived clears p of the observed crashes if upstreams have survived most of the copies that
// this process has sent. Only those count that were awaited for as long as one that was lost or left at a
// crash: a request does nothing to an upstream that drops it before.
func (t *Table) clearIfMostSurvived(now time.Time, p Fingerprint) {
	own, suspected, least := 0, false, time.Duration(0)
	for _, e := range t.byFingerprint[p] {
		if e.own && now.Sub(e.At) < 2*survivalsFor {
			own++
		}
		if e.countsAt(now) && (!suspected || e.Elapsed < least) {
			suspected, least = true, e.Elapsed
		}
	}
	if suspected && t.survivals.count(p, least) >= survivalsPerCrash*max(own, 1) {
		t.RecordFinished(now, p)
	}
}
