package quarantine

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// ObservedDecision is the result of DecideObserved.
type ObservedDecision struct {
	Action Action // Allow, RunAlone if the request is suspected, Try, or Refuse
	// Fingerprint is that of the request, or of the part of its prompt, because of which it may not run as usual.
	Fingerprint Fingerprint
	Crashes     int       // observed crashes that no fingerprint of other requests explains
	Explained   int       // observed crashes that a fingerprint of other requests explains
	Until       time.Time // only for Refuse: when it ends
	Since       time.Time // only for Try: from when on the routers take turns
}

// SuspectedCrashes returns the number of crashes that a request is held responsible for. One that is to be tried
// counts as one crash short of a conviction.
func (d ObservedDecision) SuspectedCrashes() int {
	if d.Action == Try {
		return crashesToConvict - 1
	}
	return d.Crashes
}

// strictness orders decisions: the strictest about any of its fingerprints holds for a request.
func (d ObservedDecision) strictness() int {
	return slices.Index([]Action{Allow, RunAlone, Try, Refuse}, d.Action)
}

// DecideObserved returns how a request with these fingerprints may run at an upstream without a sidecar.
//
// The content of a request that was lost at as many crashes as convict is refused if no other fingerprint that may be
// their cause was there, or if it was lost when it was tried. Otherwise each of them may be the cause or a
// bystander: one copy of each is tried alone. If trials are lost together with others that may be the cause, it is
// refused for a while, like a part: each trial costs an upstream, and the next one may prove as little.
//
// A part of prompts is never refused before a trial has failed: many requests share it, and none of those that
// could clear it runs once it is refused. It is tried again after a while.
func (t *Table) DecideObserved(now time.Time, prints ...Fingerprint) ObservedDecision {
	var strictest ObservedDecision
	for _, p := range prints {
		if d := t.DecideAmong(now, p, prints); d.strictness() > strictest.strictness() || d.Crashes > strictest.Crashes && d.strictness() == strictest.strictness() {
			strictest = d
		}
	}
	return strictest
}

// DecideAmong is DecideObserved for one of the fingerprints of a request. Crashes at which another one of them was
// are not explained by it: the request has both.
func (t *Table) DecideAmong(now time.Time, p Fingerprint, prints []Fingerprint) ObservedDecision {
	d, _ := t.decideByEvidence(now, p, prints)
	if r, ok := t.inForce(now, p); ok {
		if restricted := r.decide(now); restricted.strictness() > d.strictness() || restricted.Action == Refuse && restricted.Until.After(d.Until) {
			restricted.Crashes = max(restricted.Crashes, d.Crashes)
			restricted.Explained = d.Explained
			return restricted
		}
	}
	return d
}

// decideByEvidence is DecideAmong from the entries alone.
func (t *Table) decideByEvidence(now time.Time, p Fingerprint, prints []Fingerprint) (ObservedDecision, crashCounts) {
	if len(t.byFingerprint[p]) == 0 {
		return ObservedDecision{Action: Allow}, crashCounts{}
	}
	c := t.countCrashes(now, p, prints)
	if p.IsPart() {
		return c.decidePart(now, p), c
	}
	return c.decideContent(now, p), c
}

// crashCounts is what the observed crashes of a fingerprint say of it.
type crashCounts struct {
	at            []time.Time // when they were
	explained     int         // of them, those that others may be the cause of
	unclearTrials int         // of the explained ones, those at which it was tried
	failedTrials  int         // of the others, those at which it was tried
	ownTrial      bool        // this process has made one of the failed trials
	heardAt       time.Time   // when the latest crash was heard of
	failedAt      time.Time   // when the latest lost trial was heard of
}

// unexplained returns the number of crashes of which nothing else may be the cause.
func (c crashCounts) unexplained() int { return len(c.at) - c.explained }

// isCertain reports whether a content needs no further trial.
func (c crashCounts) isCertain() bool {
	return len(c.at) >= crashesToConvict && (c.unexplained() >= crashesToConvict || c.failedTrials > 0)
}

// neededCrash returns the time of the earliest crash without which there are fewer than convict. There must be a crash.
func (c crashCounts) neededCrash() time.Time {
	at := slices.SortedFunc(slices.Values(c.at), time.Time.Compare)
	return at[max(0, len(at)-crashesToConvict)]
}

// trialPause returns the time from the latest lost trial to the next one.
func (c crashCounts) trialPause() time.Duration {
	switch {
	case c.failedTrials > 0:
		return trialPause(c.failedTrials)
	case c.unclearTrials >= maxUnclearTrials:
		return min(unclearTrialPause<<min(c.unclearTrials-maxUnclearTrials, maxUnclearDoublings), maxTrialPause)
	}
	return 0
}

func (t *Table) countCrashes(now time.Time, p Fingerprint, prints []Fingerprint) crashCounts {
	var c crashCounts
	for _, e := range t.byFingerprint[p] {
		if !e.countsAt(now) {
			continue
		}
		c.at = append(c.at, e.At)
		c.heardAt = latest(c.heardAt, e.heardAt)
		switch {
		case t.isExplainedByCount(now, e, prints):
			c.explained++
			if e.Tried {
				c.unclearTrials++
				c.failedAt = latest(c.failedAt, e.heardAt)
			}
		case e.Tried:
			c.failedTrials++
			c.ownTrial = c.ownTrial || e.own
			c.failedAt = latest(c.failedAt, e.heardAt)
		}
	}
	return c
}

func (c crashCounts) decision(p Fingerprint, a Action) ObservedDecision {
	return ObservedDecision{Action: a, Fingerprint: p, Crashes: c.unexplained(), Explained: c.explained}
}

func (c crashCounts) decideContent(now time.Time, p Fingerprint) ObservedDecision {
	switch {
	case c.isCertain():
		d := c.decision(p, Refuse)
		d.Until = c.neededCrash().Add(SuspectTTL)
		return d
	case len(c.at) >= crashesToConvict:
		return c.decideTrial(now, p)
	case c.unexplained() >= crashesToSuspect:
		return c.decision(p, RunAlone)
	}
	return c.decision(p, Allow)
}

func (c crashCounts) decidePart(now time.Time, p Fingerprint) ObservedDecision {
	if c.failedTrials > 0 || len(c.at) >= crashesToConvict {
		return c.decideTrial(now, p)
	}
	return c.decision(p, Allow)
}

// decideTrial returns the decision on a fingerprint that is to be tried, or to be refused until the next trial.
func (c crashCounts) decideTrial(now time.Time, p Fingerprint) ObservedDecision {
	d := c.decision(p, Try)
	d.Since = c.heardAt
	pause := c.trialPause()
	if pause == 0 {
		return d
	}
	next := c.failedAt.Add(pause)
	if now.Before(next) {
		d.Action, d.Until = Refuse, next
		return d
	}
	d.Since = latest(next, c.heardAt)
	return d
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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

// isExplainedByCount reports whether a fingerprint that is none of prints was lost at e's crash and has enough
// crashes to be the cause.
func (t *Table) isExplainedByCount(now time.Time, e *Entry, prints []Fingerprint) bool {
	return slices.ContainsFunc(t.byCrash[e.Crash], func(o *Entry) bool {
		return o.countsAt(now) && !slices.Contains(prints, o.Fingerprint) && t.mayBeCause(now, o.Fingerprint)
	})
}

// mayBeCause reports whether a fingerprint has enough crashes to be the cause of any of them.
func (t *Table) mayBeCause(now time.Time, p Fingerprint) bool {
	_, restricted := t.inForce(now, p)
	return restricted || t.observedCrashes(now, p) >= crashesToConvict
}

// isConvictedByCount reports whether observed crashes convict p.
func (t *Table) isConvictedByCount(now time.Time, p Fingerprint) bool {
	return t.DecideObserved(now, p).Action == Refuse
}

// MayTryAt returns a function that reports whether a request that is to be tried may be tried at an upstream:
// two that run at one upstream when it crashes tell nothing. Of the fingerprints that are to be tried, each upstream
// has one that ranks first. Tables with the same entries agree on it.
func (t *Table) MayTryAt(now time.Time, prints []Fingerprint) func(upstream string) bool {
	var own, others []Fingerprint
	for q := range t.restrictedOrLost() {
		d := t.DecideObserved(now, q)
		switch {
		case d.Action != Try || now.Sub(d.Since) >= trialTimeout:
		case slices.Contains(prints, q):
			own = append(own, q)
		default:
			others = append(others, q)
		}
	}
	return func(upstream string) bool {
		return len(others) == 0 || highestTrialScore(upstream, own) > highestTrialScore(upstream, others)
	}
}

// restrictedOrLost returns the fingerprints that have entries or restrictions.
func (t *Table) restrictedOrLost() map[Fingerprint]struct{} {
	out := make(map[Fingerprint]struct{}, len(t.byFingerprint)+len(t.restrictions))
	for p := range t.byFingerprint {
		out[p] = struct{}{}
	}
	for p := range t.restrictions {
		out[p] = struct{}{}
	}
	return out
}

func highestTrialScore(upstream string, prints []Fingerprint) uint64 {
	var highest uint64
	for _, p := range prints {
		highest = max(highest, xxh3.HashStringSeed(upstream, uint64(p)))
	}
	return highest
}

// WasLostAt reports whether a crash of an upstream that p was lost at is recorded.
func (t *Table) WasLostAt(now time.Time, p Fingerprint, upstream string) bool {
	crash := observedCrash(upstream)
	return slices.ContainsFunc(t.byFingerprint[p], func(e *Entry) bool { return e.Crash == crash && e.countsAt(now) })
}
