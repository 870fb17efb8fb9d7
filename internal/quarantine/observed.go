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

	// maxSuspectsPerCrash bounds the entries that a router records of a crash.
	maxSuspectsPerCrash = 16
	// trialTimeout is how long after its latest crash a fingerprint that is to be tried keeps others from the
	// upstreams at which it ranks first. Its caller may have gone.
	trialTimeout = 15 * time.Second
	// observedCrashSeed separates the ids of observed crashes from those that sidecars give.
	observedCrashSeed = 1
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
	crash := observedCrash(upstream)
	at := now.Truncate(time.Millisecond)
	running = slices.DeleteFunc(slices.Clone(running), func(r RunningRequest) bool { return r.Fingerprint == 0 || t.served.has(r.Fingerprint) })
	slices.SortStableFunc(running, func(a, b RunningRequest) int {
		return cmp.Compare(a.Started.Sub(lastSign).Abs(), b.Started.Sub(lastSign).Abs())
	})
	before := t.size
	for _, r := range running[:min(len(running), maxSuspectsPerCrash)] {
		awaited := r.Awaited.Truncate(time.Millisecond)
		t.mergeEntry(now, Entry{Fingerprint: r.Fingerprint, Crash: crash, VM: upstream, At: at, RunTime: awaited, Observed: true, Tried: r.Tried, own: true})
	}
	return t.size - before
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
	if len(t.byFingerprint[p]) > 0 {
		t.RecordFinished(now, p)
	}
}

// WasServed reports whether a request was served lately.
func (t *Table) WasServed(p Fingerprint) bool { return t.served.has(p) }

// ObservedDecision is the result of DecideObserved.
type ObservedDecision struct {
	Action    Action    // Allow, RunAlone if the request is suspected, Try, or Refuse
	Crashes   int       // observed crashes that no other fingerprint explains
	Explained int       // observed crashes that another fingerprint explains
	Until     time.Time // only for Refuse: when the conviction ends
	Since     time.Time // only for Try: when the latest of its crashes was heard of
}

// SuspectedCrashes returns the number of crashes that a request is held responsible for. One that is to be tried
// counts as one crash short of a conviction.
func (d ObservedDecision) SuspectedCrashes() int {
	if d.Action == Try {
		return crashesToConvict - 1
	}
	return d.Crashes
}

// DecideObserved returns how a request may run at an upstream without a sidecar.
//
// A fingerprint that was lost at as many crashes as convict is refused if no other that may be their cause was
// there, or if it was lost when it was tried. Otherwise each of them may be the cause or a bystander: one
// copy of each is tried alone.
func (t *Table) DecideObserved(now time.Time, p Fingerprint) ObservedDecision {
	if len(t.byFingerprint[p]) == 0 {
		return ObservedDecision{Action: Allow}
	}
	var d ObservedDecision
	var ends []time.Time
	failedTrial := false
	for _, e := range t.byFingerprint[p] {
		if !e.countsAt(now) {
			continue
		}
		ends = append(ends, e.Expires())
		if e.heardAt.After(d.Since) {
			d.Since = e.heardAt
		}
		if t.isExplainedByCount(now, e) {
			d.Explained++
		} else {
			d.Crashes++
			failedTrial = failedTrial || e.Tried
		}
	}
	switch {
	case len(ends) >= crashesToConvict && (d.Crashes >= crashesToConvict || failedTrial):
		slices.SortFunc(ends, time.Time.Compare)
		d.Action, d.Until = Refuse, ends[len(ends)-crashesToConvict]
	case len(ends) >= crashesToConvict:
		d.Action = Try
	case d.Crashes >= crashesToSuspect:
		d.Action = RunAlone
	}
	return d
}

// MayTryAt returns a function that reports whether a fingerprint that is to be tried may be tried at an upstream:
// two that run at one upstream when it crashes tell nothing. Of those that are to be tried, each upstream
// has one that ranks first. Tables with the same entries agree on it.
func (t *Table) MayTryAt(now time.Time, p Fingerprint) func(upstream string) bool {
	var others []Fingerprint
	for q, entries := range t.byFingerprint {
		if q == p || len(entries) < crashesToConvict {
			continue
		}
		if d := t.DecideObserved(now, q); d.Action == Try && now.Sub(d.Since) < trialTimeout {
			others = append(others, q)
		}
	}
	return func(upstream string) bool {
		score := trialScore(upstream, p)
		return !slices.ContainsFunc(others, func(q Fingerprint) bool { return trialScore(upstream, q) > score })
	}
}

func trialScore(upstream string, p Fingerprint) uint64 {
	return xxh3.HashStringSeed(upstream, uint64(p))
}

// WasLostAt reports whether a crash of an upstream that p was lost at is recorded.
func (t *Table) WasLostAt(now time.Time, p Fingerprint, upstream string) bool {
	crash := observedCrash(upstream)
	return slices.ContainsFunc(t.byFingerprint[p], func(e *Entry) bool { return e.Crash == crash && e.countsAt(now) })
}

// countsAt reports whether the entry of an observed crash counts at now.
func (e *Entry) countsAt(now time.Time) bool {
	return e.Observed && e.Status == Suspect && e.isLive(now)
}

// observedCrashes returns the number of observed crashes that count for p.
func (t *Table) observedCrashes(now time.Time, p Fingerprint) int {
	n := 0
	for _, e := range t.byFingerprint[p] {
		if e.countsAt(now) {
			n++
		}
	}
	return n
}

// isExplainedByCount reports whether another fingerprint that was lost at e's crash has enough crashes to be
// convicted.
func (t *Table) isExplainedByCount(now time.Time, e *Entry) bool {
	return slices.ContainsFunc(t.byCrash[e.Crash], func(o *Entry) bool {
		return o.Fingerprint != e.Fingerprint && o.countsAt(now) && t.observedCrashes(now, o.Fingerprint) >= crashesToConvict
	})
}

// isConvictedByCount reports whether observed crashes convict p.
func (t *Table) isConvictedByCount(now time.Time, p Fingerprint) bool {
	return t.DecideObserved(now, p).Action == Refuse
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
