package config

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// orderHoldTime is how long an order that a store restored from an older copy lacks stays
// in force. Its operators are expected to issue it again within that time.
const orderHoldTime = 2 * time.Second

// enterEra records the era of the store. If it is later than one known before, the store has
// been restored from an older copy of itself.
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

// isOutdatedPeer reports whether a peer has its configuration from an older copy of the store.
func (f *Follower) isOutdatedPeer(m Summary) bool {
	return Edition{Number: m.Edition, Version: m.Version}.isFromOlderCopyThan(f.set.edition)
}

// replacement returns the changes to apply when objects are all that a source holds at a
// version. If the source was restored from an older copy, the configuration in force stays,
// whether the copy holds other objects or lacks some, and only orders change.
func (f *Follower) replacement(now time.Time, objects []topo.Object, version topo.Version) (changes []topo.Object, isOlderCopy bool) {
	isOlderCopy = f.detectOlderCopy(editionOf(objects), version)
	if isOlderCopy {
		objects = f.set.withOrdersOf(objects)
	}
	if now.Before(f.holdOrdersUntil) {
		objects = f.holdOrders(objects, version.Era())
	}
	return f.set.difference(objects, version), isOlderCopy
}

// detectOlderCopy reports whether a source has been restored from an older copy and its
// operators have not written the configuration since. It records the version of the first
// edition found in such a source. Whatever operators write after that version takes effect,
// also under a lower edition number than the one in force.
func (f *Follower) detectOlderCopy(e Edition, version topo.Version) bool {
	if f.set.edition.Number == 0 {
		return false
	}
	if e.Number == 0 { // the copy was made before the first edition
		return version.Era() > f.set.edition.Version.Era()
	}
	if !e.isFromOlderCopyThan(f.set.edition) {
		return false
	}
	if f.restoredEdition.Era() != e.Version.Era() {
		f.restoredEdition = e.Version
	}
	return e.Version <= f.restoredEdition
}

// holdOrders returns objects together with the orders in force that were written before an era
// and are missing among objects. If there are any, the source is listed again at
// holdOrdersUntil, when they are to end.
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
