package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Crashes of upstreams that have no sidecar are observed by routers. A router sees which of its own
// requests were lost at a crash, and cannot let a request run alone. The entries of such crashes are
// counted: a request is suspected from the second crash on and convicted from the third.
const (
	crashesToSuspect = 2
	crashesToConvict = 3
	// MaxUnknown bounds the upstreams that have crashed under a request, or may have: further copies are
	// not sent before that is known.
	MaxUnknown = crashesToConvict

	// maxSuspectsPerCrash bounds the requests of which a router records entries at a crash.
	maxSuspectsPerCrash = 16
	// trialTimeout is how long after its latest crash a fingerprint that is to be tried keeps others from the
	// upstreams at which it ranks first. Its caller may have gone.
	trialTimeout = 15 * time.Second
	// observedCrashSeed separates the ids of observed crashes from those that sidecars give.
	observedCrashSeed = 1
	// maxUnclearTrials is how many trials of a content may be lost at crashes that others may be the cause of,
	// until it is refused for a while: for unclearTrialPause, and twice as long after each further one. In that time
	// the others are found, so that the next trial is clear.
	maxUnclearTrials    = 2
	unclearTrialPause   = 3 * time.Second
	maxUnclearDoublings = 9
	// servedFor is the shortest time for which a fingerprint counts as served after a request with
	// it has run to its end, unless maxServed others have since.
	servedFor = time.Minute
	maxServed = 2048
)

// RecordObservedCrash records that a crash of an upstream without a sidecar has ended requests, and
// returns the number of new entries. It records nothing of a fingerprint that was served lately. All
// routers that observe the crash record it under the same id.
//
// Of many requests, those are recorded that had started closest to lastSign, when something of the
// upstream arrived last: a request that crashes its upstream mostly does so soon, and what is sent to
// an upstream that has fallen silent is not the cause.
func (t *Table) RecordObservedCrash(now time.Time, upstream string, lastSign time.Time, running []RunningRequest) int {
	running = slices.DeleteFunc(slices.Clone(running), func(r RunningRequest) bool { return len(t.suspectsOf(r)) == 0 })
	slices.SortStableFunc(running, func(a, b RunningRequest) int {
		return cmp.Compare(a.Started.Sub(lastSign).Abs(), b.Started.Sub(lastSign).Abs())
	})
	before := t.size
	running = running[:min(len(running), maxSuspectsPerCrash)]
	for _, r := range running {
		for _, p := range t.suspectsOf(r) {
			t.mergeEntry(now, Entry{
				Fingerprint: p, Crash: observedCrash(upstream), VM: upstream, At: now.Truncate(time.Millisecond),
				Elapsed: r.Awaited.Truncate(time.Millisecond), Observed: true, Tried: r.Tried, own: true,
			})
		}
	}
	for _, r := range running {
		t.RecordEvidence(now, r.Fingerprint, append([]Fingerprint{r.Fingerprint}, r.Parts...))
	}
	return t.size - before
}

// RecordEvidence sets the restriction that follows from the entries of a request's content. A caller that knows all
// its fingerprints finds more than the entries of the content by itself show: a request that crashes upstreams and a
// part of its prompt that no other request has are at the same crashes.
func (t *Table) RecordEvidence(now time.Time, content Fingerprint, prints []Fingerprint) {
	if content != 0 {
		t.restrictByEvidence(now, content, prints)
	}
}

// suspectsOf returns the fingerprints of a request that may be the cause of a crash at which it was lost.
func (t *Table) suspectsOf(r RunningRequest) []Fingerprint {
	var out []Fingerprint
	for _, p := range append([]Fingerprint{r.Fingerprint}, r.Parts...) {
		if p != 0 && !t.wasServedSince(r.Started, p) && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// MostPartCrashes returns how many upstreams have crashed under one of the parts of requests, the one with most,
// since a request with it was served.
func (t *Table) MostPartCrashes(now time.Time, running []RunningRequest) int {
	most := 0
	for _, r := range running {
		for _, p := range r.Parts {
			most = max(most, t.observedCrashes(now, p))
		}
	}
	return most
}

// RetractCrash clears all requests of an observed crash of an upstream that is known to have lived at a
// time after the crash was recorded: its connections or its entry were lost, and it was not. It reports
// whether there was such a crash.
func (t *Table) RetractCrash(now time.Time, upstream string, livedAt time.Time) (retracted bool) {
	for _, e := range t.byCrash[observedCrash(upstream)] {
		if e.Observed && e.Status == Suspect && livedAt.After(e.At) {
			t.raiseStatus(now, e, Cleared)
			retracted = true
		}
	}
	if retracted {
		t.reviewOwn(now)
	}
	return retracted
}

// observedCrash returns the id of the crash of an incarnation of an upstream without a sidecar.
func observedCrash(upstream string) Crash {
	return Crash(xxh3.HashStringSeed(upstream, observedCrashSeed))
}

// RecordServed records that a request has run to its end at an upstream without a sidecar, and
// clears its fingerprint. Requests for the same thing may run at many upstreams at once, so that
// several of them are lost when a failure domain fails; their fingerprint must not be convicted.
func (t *Table) RecordServed(now time.Time, p Fingerprint) {
	t.served.add(now, p)
	if t.isKnown(p) {
		t.RecordFinished(now, p)
	}
}

// WasServed reports whether a request, or one with a part of prompts, was served lately.
func (t *Table) WasServed(now time.Time, p Fingerprint) bool {
	if p.IsPart() {
		return t.partsServed.since(now.Add(-partServedFor), p)
	}
	return t.served.has(p)
}

// servedSet remembers fingerprints for at least servedFor and at most twice as long, and at most
// 2*maxServed of them.
type servedSet struct {
	current, previous map[Fingerprint]struct{}
	since             time.Time // start of current
}

func (s *servedSet) add(now time.Time, p Fingerprint) {
	if s.current == nil || now.Sub(s.since) >= servedFor || len(s.current) >= maxServed {
		s.previous, s.current, s.since = s.current, make(map[Fingerprint]struct{}), now
	}
	s.current[p] = struct{}{}
}

func (s *servedSet) has(p Fingerprint) bool {
	_, recent := s.current[p]
	_, earlier := s.previous[p]
	return recent || earlier
}
