package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Restriction says that requests with a fingerprint are refused at upstreams without a sidecar, or are to be tried.
// It is what processes tell each other, and keep, of many entries: it stays the same size however many crashes there
// are, and who knows it needs none of the entries.
type Restriction struct {
	Fingerprint Fingerprint
	Since       time.Time     // in whole milliseconds
	NeededCrash time.Time     // the earliest crash without which there are too few for the restriction; zero: not known
	RefusedFor  time.Duration // from Since on, in whole milliseconds; afterwards requests are to be tried
	LiftedAt    time.Time     // when it was last found that the restriction has no reason; zero: never
	Cleared     bool          // a request with the fingerprint was served or survived, by LiftedAt
	Stored      bool          // it is in the store
}

const (
	// maxRestrictions bounds the restrictions in a Table. The oldest are dropped first.
	maxRestrictions = 256
	// minStoredRefusal is for how long a restriction refuses requests that is worth a write to the store.
	minStoredRefusal = firstTrialPause
)

// ttl returns how long a restriction is valid.
func (r Restriction) ttl() time.Duration {
	if r.Fingerprint.IsPart() {
		return failedTrialTTL
	}
	return SuspectTTL
}

// Expires returns when the restriction ceases to be valid.
func (r Restriction) Expires() time.Time { return latest(r.Since, r.LiftedAt).Add(r.ttl()) }

// isValid reports whether the restriction is neither over nor from a clock that is wrong.
func (r Restriction) isValid(now time.Time) bool {
	return now.Before(r.Expires()) && latest(r.Since, r.LiftedAt).Before(now.Add(maxClockSkew))
}

// refusedUntil returns when requests are to be tried.
func (r Restriction) refusedUntil() time.Time { return r.Since.Add(r.RefusedFor) }

// isInForce reports whether the restriction has not been lifted since it began.
func (r Restriction) isInForce() bool { return r.Since.After(r.LiftedAt) }

// merge returns what follows from two restrictions of the same fingerprint: the latest end of a restriction ends all
// that began before it, and of two that are in force the one that refuses longer remains.
func (r Restriction) merge(o Restriction) Restriction {
	switch {
	case r.LiftedAt.Equal(o.LiftedAt):
		r.Cleared = r.Cleared || o.Cleared
	case r.LiftedAt.Before(o.LiftedAt):
		r.LiftedAt, r.Cleared = o.LiftedAt, o.Cleared
	}
	o.LiftedAt, o.Cleared = r.LiftedAt, r.Cleared
	switch {
	case !o.isInForce():
		return r
	case !r.isInForce() || o.isStricterThan(r):
		return o
	}
	r.Stored = r.Stored || o.Stored && o.isSame(r)
	return r
}

// isStricterThan reports whether the restriction refuses requests until later, or for longer until the same time, or
// needs a later crash.
func (r Restriction) isStricterThan(o Restriction) bool {
	return cmp.Or(r.refusedUntil().Compare(o.refusedUntil()), cmp.Compare(r.RefusedFor, o.RefusedFor), r.NeededCrash.Compare(o.NeededCrash)) > 0
}

// isSame reports whether two restrictions differ in Stored at most.
func (r Restriction) isSame(o Restriction) bool {
	return r.Since.Equal(o.Since) && r.NeededCrash.Equal(o.NeededCrash) && r.RefusedFor == o.RefusedFor && r.LiftedAt.Equal(o.LiftedAt) && r.Cleared == o.Cleared
}

// restriction is a Restriction as a Table holds it.
type restriction struct {
	Restriction
	own    bool          // from the entries of this process
	among  []Fingerprint // own: those of the request that it is known from
	kept   bool          // the store has it in this form or an earlier one
	taken  bool          // TakeUnstored has returned it
	sent   int           // number of messages that carried it in its present form
	sentAt time.Time
}

// decide returns how a request with the fingerprint may run.
func (r Restriction) decide(now time.Time) ObservedDecision {
	d := ObservedDecision{Fingerprint: r.Fingerprint, Crashes: crashesToConvict}
	if until := r.refusedUntil(); r.RefusedFor > 0 && now.Before(until) {
		d.Action, d.Until = Refuse, until
		return d
	}
	d.Action, d.Since = Try, r.refusedUntil()
	return d
}

// inForce returns the restriction of a fingerprint that is valid, not lifted and not refuted.
func (t *Table) inForce(now time.Time, p Fingerprint) (Restriction, bool) {
	r := t.restrictions[p]
	if r == nil || !r.isInForce() || !r.isValid(now) || t.isRefuted(now, r.Restriction) {
		return Restriction{}, false
	}
	return r.Restriction, true
}

// isRefuted reports whether a crash is cleared here that a restriction needs. The process that began the restriction
// had not heard of that, and lifts it as soon as it does; until then the entries count here.
func (t *Table) isRefuted(now time.Time, r Restriction) bool {
	if r.NeededCrash.IsZero() {
		return false
	}
	return slices.ContainsFunc(t.byFingerprint[r.Fingerprint], func(e *Entry) bool {
		return e.Observed && e.Status == Cleared && e.isLive(now) && !e.At.Before(r.NeededCrash) && !e.At.After(r.Since)
	})
}

// isKnown reports whether there are entries or a restriction of a fingerprint.
func (t *Table) isKnown(p Fingerprint) bool {
	return len(t.byFingerprint[p]) > 0 || t.restrictions[p] != nil
}

// MergeRestriction adds a restriction that another process has told of, or that is in the store.
func (t *Table) MergeRestriction(now time.Time, r Restriction) {
	if !r.isValid(now) {
		return
	}
	before := t.DecideObserved(now, r.Fingerprint).Action
	if !t.setRestriction(now, r, false) {
		return
	}
	t.recordDecisionChange(now, before, change{p: r.Fingerprint, told: true, at: latest(r.Since, r.LiftedAt)})
	if r.isInForce() && t.wasServedSince(r.Since, r.Fingerprint) {
		t.lift(now, r.Fingerprint, true)
	}
	t.clearUntil(now, t.restrictions[r.Fingerprint].Restriction)
}

// clearUntil clears the entries of a fingerprint that are older than a request which was served or survived.
func (t *Table) clearUntil(now time.Time, r Restriction) {
	if !r.Cleared {
		return
	}
	for _, e := range t.byFingerprint[r.Fingerprint] {
		if !e.At.After(r.LiftedAt) {
			t.raiseStatus(now, e, Cleared)
		}
	}
}

// setRestriction merges a restriction with what is known, and reports whether that has changed.
func (t *Table) setRestriction(now time.Time, r Restriction, own bool) bool {
	known := t.restrictions[r.Fingerprint]
	if known == nil || !known.isValid(now) {
		if known == nil && len(t.restrictions) >= maxRestrictions {
			t.dropOldestRestriction()
		}
		t.restrictions[r.Fingerprint] = &restriction{Restriction: r, own: own, kept: r.Stored}
		t.changes++
		return true
	}
	kept := known.kept || r.Stored
	merged := known.merge(r)
	if merged.isSame(known.Restriction) {
		known.Stored, known.kept = known.Stored || merged.Stored, kept
		return false
	}
	t.restrictions[r.Fingerprint] = &restriction{Restriction: merged, own: own, kept: kept}
	t.changes++
	return true
}

func (t *Table) dropOldestRestriction() {
	var oldest *restriction
	for _, r := range t.restrictions {
		if oldest == nil || latest(r.Since, r.LiftedAt).Before(latest(oldest.Since, oldest.LiftedAt)) {
			oldest = r
		}
	}
	delete(t.restrictions, oldest.Fingerprint)
}

// restrictByEvidence sets the restriction that follows from the entries of a fingerprint. The fingerprints of the
// request that it is known from, among, explain none of its crashes: they are always there.
//
// A part of prompts that was lost when it was tried is restricted by the process that has tried it. One that has just
// started may be told of that trial before it is told what else explains the crash.
func (t *Table) restrictByEvidence(now time.Time, p Fingerprint, among []Fingerprint) {
	d, c := t.decideByEvidence(now, p, among)
	r := Restriction{Fingerprint: p, Since: now.Truncate(time.Millisecond)}
	known, restricted := t.inForce(now, p)
	if lifted := t.restrictions[p]; lifted != nil && !lifted.isInForce() {
		r.Since = latest(r.Since, lifted.LiftedAt.Add(time.Millisecond))
	}
	isOver := known.RefusedFor > 0 && !r.Since.Before(known.refusedUntil())
	switch {
	case d.Action == Refuse && !p.IsPart() && c.isCertain():
		r.RefusedFor = d.Until.Sub(r.Since)
	case d.Action == Refuse && p.IsPart() && c.failedTrials > 0 && !c.ownTrial:
		return
	case d.Action == Refuse:
		r.RefusedFor = c.trialPause()
		if restricted && isOver {
			r.RefusedFor = max(r.RefusedFor, nextTrialPause(known.RefusedFor)) // trials that this process knows nothing of
		}
	case d.Action != Try:
		return
	}
	if restricted && known.RefusedFor >= r.RefusedFor && !(isOver && r.RefusedFor > 0) {
		return
	}
	if !p.IsPart() || c.failedTrials == 0 { // a failed trial alone restricts a part
		r.NeededCrash = earliest(c.neededCrash(), r.Since)
	}
	if t.setRestriction(now, r, true) {
		t.restrictions[p].among = among
	}
}

// reviewOwn lifts the restrictions that follow from entries of this process no longer: others may be the cause of
// crashes that seemed to be those of one fingerprint only, or an upstream has not crashed.
func (t *Table) reviewOwn(now time.Time) {
	for p, r := range t.restrictions {
		if r.own && r.isInForce() && r.isValid(now) {
			if d, _ := t.decideByEvidence(now, p, r.among); d.strictness() < r.decide(r.Since).strictness() {
				t.lift(now, p, false)
			}
		}
	}
}

// lift ends the restriction of a fingerprint, at all processes.
func (t *Table) lift(now time.Time, p Fingerprint, cleared bool) {
	r := t.restrictions[p]
	if r == nil || !r.isInForce() {
		return
	}
	lifted := r.Restriction
	// The clock of the process that began the restriction may be ahead.
	lifted.LiftedAt, lifted.Cleared, lifted.Stored = latest(now.Truncate(time.Millisecond), r.Since), cleared, false
	t.setRestriction(now, lifted, true)
}

// TakeUnstored returns the fingerprints whose restrictions this process is to write to the store, each once as long as
// its restriction stays the same.
func (t *Table) TakeUnstored(now time.Time) []Fingerprint {
	var out []Fingerprint
	for p, r := range t.restrictions {
		if _, ok := t.Unstored(now, p); ok && !r.taken {
			r.taken = true
			out = append(out, p)
		}
	}
	return out
}

// Unstored returns the restriction of a fingerprint if this process is to write it to the store: one that it began and
// that refuses requests for long, or one that it has changed since the store has it.
func (t *Table) Unstored(now time.Time, p Fingerprint) (Restriction, bool) {
	r := t.restrictions[p]
	if r == nil || !r.own || r.Stored || !r.isValid(now) || !r.kept && !(r.isInForce() && r.RefusedFor >= minStoredRefusal) {
		return Restriction{}, false
	}
	return r.Restriction, true
}

// expireRestrictions removes the restrictions that are not valid any more.
func (t *Table) expireRestrictions(now time.Time) {
	for p, r := range t.restrictions {
		if !r.isValid(now) {
			delete(t.restrictions, p)
		}
	}
}
