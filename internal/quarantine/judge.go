package quarantine

import (
	"slices"
	"time"
)

// count returns at how many crashes the entries' fingerprint was running.
func (b *Table) count(now time.Time, entries []*Entry) int {
	n := 0
	for _, e := range entries {
		if e.live(now) {
			n++
		}
	}
	return n
}

// convicted reports whether p is convicted: by the word of the sidecar that
// saw it, or because two sidecars each saw a part of it.
func (b *Table) convicted(now time.Time, p Fingerprint) bool {
	return b.pronounced(now, p) || b.proved(now, p)
}

// pronounced reports whether a sidecar has convicted p.
func (b *Table) pronounced(now time.Time, p Fingerprint) bool {
	return slices.ContainsFunc(b.byPrint[p], func(e *Entry) bool {
		return e.Status == Convicted && e.live(now)
	})
}

// proved reports whether p was alone at a crash after it had been running at
// another that no other convict explains. Two sidecars saw one crash each here,
// and neither knew of the other's.
func (b *Table) proved(now time.Time, p Fingerprint) bool {
	var first, alone *Entry
	for _, e := range b.byPrint[p] {
		if e.Status != Suspect || !e.live(now) || b.explainedBy(now, e, b.pronounced) {
			continue
		}
		if first == nil || earlier(e, first) {
			first = e
		}
		if e.Alone && (alone == nil || earlier(alone, e)) {
			alone = e
		}
	}
	return alone != nil && alone.At.After(first.At)
}

// explainedBy reports whether another fingerprint that was running at e's
// crash is guilty. This clears all bystanders of a crash at once, and because
// it is worked out from what the Book holds, not stored, Books that hold the
// same agree whatever they heard first.
func (b *Table) explainedBy(now time.Time, e *Entry, guilty func(time.Time, Fingerprint) bool) bool {
	return slices.ContainsFunc(b.byCrash[e.Crash], func(o *Entry) bool {
		return o.Fingerprint != e.Fingerprint && guilty(now, o.Fingerprint)
	})
}

// first returns the earliest entry that makes its fingerprint a suspect, or nil.
func (b *Table) first(now time.Time, entries []*Entry) *Entry {
	var first *Entry
	for _, e := range entries {
		if e.Status != Suspect || !e.live(now) || b.explainedBy(now, e, b.convicted) {
			continue
		}
		if first == nil || earlier(e, first) {
			first = e
		}
	}
	return first
}

// earlier orders entries by what is fixed in them, the same at all nodes.
func earlier(x, y *Entry) bool {
	if !x.At.Equal(y.At) {
		return x.At.Before(y.At)
	}
	if x.Crash != y.Crash {
		return x.Crash < y.Crash
	}
	return x.Fingerprint < y.Fingerprint
}

// enter merges an entry.
func (b *Table) enter(now time.Time, e Entry) {
	if !e.live(now) {
		return
	}
	for _, known := range b.byPrint[e.Fingerprint] {
		if known.Crash == e.Crash {
			b.raise(now, known, e.Status)
			return
		}
	}
	if b.size >= maxEntries && !b.makeRoom(now, &e) {
		return
	}
	b.size++
	b.byPrint[e.Fingerprint] = append(b.byPrint[e.Fingerprint], &e)
	b.byCrash[e.Crash] = append(b.byCrash[e.Crash], &e)
	b.tell.add(now, &e)
}

// raise lifts an entry's standing. An outcome ends the leave to run alone,
// also when it was another sidecar that saw it.
func (b *Table) raise(now time.Time, e *Entry, to Status) {
	if to <= e.Status {
		return
	}
	e.Status = to
	b.Revoke(e.Fingerprint)
	b.tell.add(now, e)
}

// Expire forgets what has aged out.
func (b *Table) Expire(now time.Time) {
	for _, entries := range b.byPrint {
		for _, e := range slices.Clone(entries) {
			if !e.live(now) {
				b.forget(e)
			}
		}
	}
}

// makeRoom forgets what has aged out, or else the oldest part, and reports
// whether e has a place among the rest. Convictions go last: forgetting one
// costs upstreams. Entries leave many at a time, because to find the oldest
// means to look at all.
func (b *Table) makeRoom(now time.Time, e *Entry) bool {
	b.Expire(now)
	if b.size < maxEntries {
		return true
	}
	all := make([]*Entry, 0, b.size)
	for _, entries := range b.byPrint {
		all = append(all, entries...)
	}
	slices.SortFunc(all, func(x, y *Entry) int {
		if lesser(x, y) {
			return -1
		}
		return 1
	})
	if lesser(e, all[0]) {
		return false
	}
	for _, o := range all[:maxEntries/evictShare] {
		b.forget(o)
	}
	return true
}

// lesser orders entries by what a full Book gives up first.
func lesser(x, y *Entry) bool {
	xc, yc := x.Status == Convicted, y.Status == Convicted
	if xc != yc {
		return yc
	}
	return earlier(x, y)
}

func (b *Table) forget(e *Entry) {
	b.size--
	b.tell.drop(e)
	remove(b.byPrint, e.Fingerprint, e)
	remove(b.byCrash, e.Crash, e)
}

func remove[K comparable](m map[K][]*Entry, k K, e *Entry) {
	left := slices.DeleteFunc(m[k], func(o *Entry) bool { return o == e })
	if len(left) == 0 {
		delete(m, k)
		return
	}
	m[k] = left
}
