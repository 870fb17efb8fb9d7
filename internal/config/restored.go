package config

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// orderHoldTime is for how long an order holds that a store does not have which has come back
// from an older copy. Its operators give it again.
const orderHoldTime = 2 * time.Second

// enterEra takes in that the store is in an era.
func (f *Follower) enterEra(now time.Time, era topo.Era) []Effect {
	previous := f.era
	if era <= previous {
		return nil
	}
	f.era = era
	if previous == 0 {
		return nil
	}
	f.holdOrdersUntil = now.Add(orderHoldTime)
	return []Effect{StoreRestored{Era: era}}
}

// isOutdatedPeer reports whether a peer has taken its configuration from an older copy.
func (f *Follower) isOutdatedPeer(m Summary) bool {
	return Edition{Number: m.Edition, Version: m.Version}.isOlderCopyThan(f.set.edition)
}

// replacement returns what changes when objects are all that a source has at a version.
// What is in force gives way to nothing that an older copy has, or has not.
func (f *Follower) replacement(now time.Time, objects []topo.Object, version topo.Version) []topo.Object {
	if f.isOlderCopy(editionOf(objects), version) {
		objects = f.set.withOrdersOf(objects)
	}
	if now.Before(f.holdOrdersUntil) {
		objects = f.holdOrders(objects, version.Era())
	}
	return f.set.difference(objects, version)
}

// isOlderCopy reports whether the configuration of a source is that of an older copy, which its
// operators have not yet written again. What they write later is in force, whichever number
// they give it.
func (f *Follower) isOlderCopy(e Edition, version topo.Version) bool {
	if f.set.edition.Number == 0 {
		return false
	}
	if e.Number == 0 { // the copy is of before the first
		return version.Era() > f.set.edition.Version.Era()
	}
	if !e.isOlderCopyThan(f.set.edition) {
		return false
	}
	if f.restoredEdition.Era() != e.Version.Era() {
		f.restoredEdition = e.Version
	}
	return e.Version <= f.restoredEdition
}

// holdOrders returns objects and the orders from before an era that are not among them, and
// has the source read again when these need not be held any more.
func (f *Follower) holdOrders(objects []topo.Object, era topo.Era) []topo.Object {
	out := slices.Clone(objects)
	for _, held := range f.set.ordersBefore(era) {
		if !slices.ContainsFunc(objects, func(o topo.Object) bool { return o.Ref == held.Ref }) {
			out = append(out, held)
			f.nextList = f.holdOrdersUntil
		}
	}
	return out
}
