package quarantine

import (
	"slices"
	"time"
)

// crashCount returns the number of valid entries, which is the number of crashes during
// which their fingerprint was running.
func (t *Table) crashCount(now time.Time, entries []*Entry) int {
	n := 0
	for _, e := range entries {
		if e.isLive(now) {
			n++
		}
	}
	return n
}

// isConvicted reports whether p is convicted: either by the sidecar that saw the crash,
// by entries of two sidecars that each saw one crash, or by observed crashes.
func (t *Table) isConvicted(now time.Time, p Fingerprint) bool {
	return t.isConvictedBySidecar(now, p) || t.isConvictedByEvidence(now, p) || t.isConvictedByCount(now, p)
}

// isConvictedBySidecar reports whether a sidecar has convicted p.
func (t *Table) isConvictedBySidecar(now time.Time, p Fingerprint) bool {
	return slices.ContainsFunc(t.byFingerprint[p], func(e *Entry) bool {
		return e.Status == Convicted && e.isLive(now)
	})
}

// isConvictedByEvidence reports whether p was running at one crash and ran alone at a
// later one, and no other convicted fingerprint explains either of them. This convicts p
// if two sidecars saw one crash each and did not know of the other's.
func (t *Table) isConvictedByEvidence(now time.Time, p Fingerprint) bool {
	var first, alone *Entry
	for _, e := range t.byFingerprint[p] {
		if e.Status != Suspect || !e.isLive(now) || t.isExplained(now, e, t.isConvictedBySidecar) {
			continue
		}
		if first == nil || isEarlier(e, first) {
			first = e
		}
		if e.Alone && (alone == nil || isEarlier(alone, e)) {
			alone = e
		}
	}
	return alone != nil && alone.At.After(first.At)
}

// isExplained reports whether another fingerprint that was running at e's crash is
// convicted, as isConvicted reports it. A conviction thereby clears all other
// fingerprints of the crash at once. The result is computed from the entries and not
// stored, so Tables with the same entries agree in whatever order they received them.
//
// The parameter isConvicted is one of the methods of t: isConvictedByEvidence passes
// isConvictedBySidecar, because Table.isConvicted calls it in turn.
func (t *Table) isExplained(now time.Time, e *Entry, isConvicted func(time.Time, Fingerprint) bool) bool {
	return slices.ContainsFunc(t.byCrash[e.Crash], func(o *Entry) bool {
		return o.Fingerprint != e.Fingerprint && isConvicted(now, o.Fingerprint)
	})
}

// firstSuspicion returns the earliest entry that makes its fingerprint a suspect, or
// nil.
func (t *Table) firstSuspicion(now time.Time, entries []*Entry) *Entry {
	var first *Entry
	for _, e := range entries {
		if e.Status != Suspect || !e.isLive(now) || t.isExplained(now, e, t.isConvicted) {
			continue
		}
		if first == nil || isEarlier(e, first) {
			first = e
		}
	}
	return first
}

// isEarlier reports whether x sorts before y: by time, crash and fingerprint, which
// never change and are the same in all Tables.
func isEarlier(x, y *Entry) bool {
	if !x.At.Equal(y.At) {
		return x.At.Before(y.At)
	}
	if x.Crash != y.Crash {
		return x.Crash < y.Crash
	}
	return x.Fingerprint < y.Fingerprint
}

// mergeEntry adds an entry, or raises the status of the one already known. It ignores an
// entry that is not valid at now, and one that a full Table would evict first. An entry that was told with a
// lower status than is known here is sent again: whoever told it has missed the higher one.
func (t *Table) mergeEntry(now time.Time, e Entry) {
	if !e.isLive(now) {
		return
	}
	if e.Observed {
		before := t.DecideObserved(now, e.Fingerprint).Action
		defer func() { t.recordDecisionChange(now, before, change{p: e.Fingerprint, told: !e.own, at: e.At}) }()
	}
	told := e.Status
	if e.Observed && e.Status == Suspect && t.wasServedSince(e.At, e.Fingerprint) {
		e.Status = Cleared
	}
	for _, known := range t.byFingerprint[e.Fingerprint] {
		if known.Crash == e.Crash {
			known.own = known.own || e.own
			known.Tried = known.Tried || e.Tried
			t.raiseStatus(now, known, e.Status)
			if known.Status > told {
				t.outbox.addAgain(now, known)
			}
			t.review(now, known)
			return
		}
	}
	if t.size >= maxEntries && !t.evict(now, &e) {
		return
	}
	t.size++
	t.changes++
	e.heardAt = now
	t.byFingerprint[e.Fingerprint] = append(t.byFingerprint[e.Fingerprint], &e)
	t.byCrash[e.Crash] = append(t.byCrash[e.Crash], &e)
	t.outbox.add(now, &e)
	if !e.Observed {
		return
	}
	t.clearIfMostSurvived(now, e.Fingerprint)
	t.review(now, &e)
}

// review brings the restrictions into line with the entries, of which one has changed.
func (t *Table) review(now time.Time, e *Entry) {
	if !e.Observed {
		return
	}
	t.reviewOwn(now)
	t.restrictByEvidence(now, e.Fingerprint, []Fingerprint{e.Fingerprint})
}

// raiseStatus sets a higher status; a lower one has no effect. An outcome ends the
// grant to run alone, even if another sidecar observed it.
func (t *Table) raiseStatus(now time.Time, e *Entry, to Status) {
	if to <= e.Status {
		return
	}
	e.Status = to
	t.changes++
	t.Revoke(e.Fingerprint)
	t.outbox.add(now, e)
}

// Expire removes entries that are no longer valid.
func (t *Table) Expire(now time.Time) {
	for _, entries := range t.byFingerprint {
		for _, e := range slices.Clone(entries) {
			if !e.isLive(now) {
				t.deleteEntry(e)
			}
		}
	}
	t.expireRestrictions(now)
}

// evict makes room for e and reports whether e may be added. It removes expired entries
// or, if that is not enough, one in evictDivisor of all, in the order of
// isEvictedBefore. It removes none of those if e would itself be the first of them.
// Convictions are evicted last, because a fingerprint whose conviction is lost crashes
// upstreams again. Many entries are evicted at once, because finding the oldest requires
// a scan of all.
func (t *Table) evict(now time.Time, e *Entry) bool {
	t.Expire(now)
	if t.size < maxEntries {
		return true
	}
	all := make([]*Entry, 0, t.size)
	for _, entries := range t.byFingerprint {
		all = append(all, entries...)
	}
	slices.SortFunc(all, func(x, y *Entry) int {
		if isEvictedBefore(x, y) {
			return -1
		}
		return 1
	})
	if isEvictedBefore(e, all[0]) {
		return false
	}
	for _, o := range all[:maxEntries/evictDivisor] {
		t.deleteEntry(o)
	}
	return true
}

// isEvictedBefore reports whether a full Table evicts x before y.
func isEvictedBefore(x, y *Entry) bool {
	xc, yc := x.Status == Convicted, y.Status == Convicted
	if xc != yc {
		return yc
	}
	return isEarlier(x, y)
}

func (t *Table) deleteEntry(e *Entry) {
	t.size--
	t.outbox.drop(e)
	removeFrom(t.byFingerprint, e.Fingerprint, e)
	removeFrom(t.byCrash, e.Crash, e)
}

func removeFrom[K comparable](m map[K][]*Entry, k K, e *Entry) {
	left := slices.DeleteFunc(m[k], func(o *Entry) bool { return o == e })
	if len(left) == 0 {
		delete(m, k)
		return
	}
	m[k] = left
}
