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

	// maxSuspectsPerCrash bounds the entries of an observed crash. The requests that had started
	// last are recorded, since a request that crashes its upstream mostly does so soon.
	maxSuspectsPerCrash = 16
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
func (t *Table) RecordObservedCrash(now time.Time, upstream string, lost []RunningRequest) int {
	crash := Crash(xxh3.HashStringSeed(upstream, observedCrashSeed))
	at := now.Truncate(time.Millisecond)
	lost = slices.Clone(lost)
	slices.SortFunc(lost, func(a, b RunningRequest) int { return cmp.Compare(b.Started.UnixNano(), a.Started.UnixNano()) })
	before := t.size
	for _, r := range lost {
		if r.Fingerprint == 0 || t.served.has(r.Fingerprint) || len(t.byCrash[crash]) >= maxSuspectsPerCrash {
			continue
		}
		runTime := max(0, now.Sub(r.Started)).Truncate(time.Millisecond)
		t.mergeEntry(now, Entry{Fingerprint: r.Fingerprint, Crash: crash, VM: upstream, At: at, RunTime: runTime, Observed: true})
	}
	return t.size - before
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

// ObservedDecision is the result of DecideObserved.
type ObservedDecision struct {
	Action  Action    // Allow, RunAlone if the request is suspected, or Refuse
	Crashes int       // observed crashes that no other fingerprint explains
	Until   time.Time // only for Refuse: when the conviction ends
}

// DecideObserved returns how a request may run at an upstream without a sidecar.
func (t *Table) DecideObserved(now time.Time, p Fingerprint) ObservedDecision {
	if len(t.byFingerprint[p]) == 0 {
		return ObservedDecision{Action: Allow}
	}
	var ends []time.Time
	for _, e := range t.byFingerprint[p] {
		if e.countsAt(now) && !t.isExplainedByCount(now, e) {
			ends = append(ends, e.Expires())
		}
	}
	d := ObservedDecision{Crashes: len(ends)}
	switch {
	case d.Crashes >= crashesToConvict:
		slices.SortFunc(ends, time.Time.Compare)
		d.Action, d.Until = Refuse, ends[len(ends)-crashesToConvict]
	case d.Crashes >= crashesToSuspect:
		d.Action = RunAlone
	}
	return d
}

// WasLostAt reports whether a crash of an upstream that p was lost at is recorded.
func (t *Table) WasLostAt(now time.Time, p Fingerprint, upstream string) bool {
	return slices.ContainsFunc(t.byFingerprint[p], func(e *Entry) bool { return e.VM == upstream && e.countsAt(now) })
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

// isExplainedByCount reports whether another fingerprint that was lost at e's crash has enough
// crashes to be convicted, and more than that of e. The other requests at a crash are not held
// guilty of it.
func (t *Table) isExplainedByCount(now time.Time, e *Entry) bool {
	least := max(crashesToConvict, t.observedCrashes(now, e.Fingerprint)+1)
	return slices.ContainsFunc(t.byCrash[e.Crash], func(o *Entry) bool {
		return o.Fingerprint != e.Fingerprint && t.observedCrashes(now, o.Fingerprint) >= least
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

// Observer relates lost requests to the crashes of upstreams without a sidecar, of which a router
// learns before or after it loses the requests. It is pure: it reads no clock.
type Observer struct {
	lost    map[string][]lostRequest // by upstream
	size    int                      // of lost
	crashed map[string]time.Time     // when an upstream was found to have crashed
}

type lostRequest struct {
	RunningRequest
	at time.Time
}

const (
	// observerWindow is how long before or after a router learns of a crash the requests are lost
	// that it has ended. An upstream that does not start again is found by the end of its entry.
	observerWindow = 15 * time.Second
	// maxLost bounds the lost requests that an Observer keeps. When all upstreams crash at once, a
	// router loses all requests in flight, and none of them is the cause.
	maxLost = 1024
)

// NewObserver returns an Observer that knows of nothing.
func NewObserver() *Observer {
	return &Observer{lost: make(map[string][]lostRequest), crashed: make(map[string]time.Time)}
}

// Lost records that a request was lost at an upstream, and reports whether the upstream is known to
// have crashed.
func (o *Observer) Lost(now time.Time, upstream string, r RunningRequest) bool {
	if at, known := o.crashed[upstream]; known && now.Sub(at) < observerWindow {
		return true
	}
	if o.size < maxLost {
		o.size++
		o.lost[upstream] = append(o.lost[upstream], lostRequest{RunningRequest: r, at: now})
	}
	return false
}

// Crashed records that an upstream has crashed, and returns the requests that were lost at it lately.
func (o *Observer) Crashed(now time.Time, upstream string) []RunningRequest {
	o.crashed[upstream] = now
	var out []RunningRequest
	for _, l := range o.lost[upstream] {
		if now.Sub(l.at) < observerWindow {
			out = append(out, l.RunningRequest)
		}
	}
	o.size -= len(o.lost[upstream])
	delete(o.lost, upstream)
	return out
}

// Expire drops what lies too far back to be related.
func (o *Observer) Expire(now time.Time) {
	for upstream, at := range o.crashed {
		if now.Sub(at) >= observerWindow {
			delete(o.crashed, upstream)
		}
	}
	for upstream, lost := range o.lost {
		left := slices.DeleteFunc(lost, func(l lostRequest) bool { return now.Sub(l.at) >= observerWindow })
		o.size -= len(lost) - len(left)
		if len(left) == 0 {
			delete(o.lost, upstream)
		} else {
			o.lost[upstream] = left
		}
	}
}
