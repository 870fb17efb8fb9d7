package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickStore starts the next call of the store when it is due.
func (f *Follower) tickStore(now time.Time) []Effect {
	if f.phase != phaseWaiting || f.delegated {
		return nil
	}
	if f.nextCall.IsZero() {
		f.nextCall = f.started.Add(f.timing.PeerWait)
	}
	if !f.storeConfirmed && f.failures == 0 && f.pull == nil && f.hasComparedPeers() {
		f.nextCall = now // the peers have said what they know
	}
	if now.Before(f.nextCall) {
		return nil
	}
	if f.nextList.IsZero() {
		f.nextList = f.started.Add(f.jitter(firstListDelay))
	}
	f.listNext = f.listNext || (now.After(f.nextList) && f.failures == 0)
	if f.listNext || (f.set.CompleteUpTo() == 0 && !f.storeConfirmed) {
		f.phase = phaseListing
		return []Effect{List{}}
	}
	f.phase = phaseWatching
	if !f.storeConfirmed {
		f.storeVersion = f.set.CompleteUpTo() // by a peer, at the start
	}
	return []Effect{Watch{Since: f.storeVersion, Wait: f.watchWait(now)}}
}

// minWatchFraction is the least part of its wait that a watch lasts after a pause.
const minWatchFraction = 0.5

// watchWait returns for how long the next watch waits. For a router that reads for
// others, a pause before it is part of that: they go by how long ago the store
// answered, and if that took a pause and a whole wait, they would read it themselves.
func (f *Follower) watchWait(now time.Time) time.Duration {
	switch {
	case f.failures > 0:
		return f.timing.WatchWaitAfterFailure
	case !f.timing.Relayed || f.storeAnsweredAt.IsZero():
		return f.timing.WatchWait
	}
	minWait := time.Duration(minWatchFraction * float64(f.timing.WatchWait))
	return max(f.timing.WatchWait-now.Sub(f.storeAnsweredAt), minWait)
}

// switchStoreReading begins or ends the reading of the store. It begins with a listing: what
// the store told last lies far back, and its history may be gone since. A listing that is
// under way when it ends is cut short: a router that is relied on hands its objects on
// in a twentieth of the bytes, which would share the link with it.
func (f *Follower) switchStoreReading(e StoreReadingSwitched) []Effect {
	if f.delegated == !e.On {
		return nil
	}
	f.delegated = !e.On
	if e.On {
		f.listNext, f.failures, f.nextCall = true, 0, e.Now
		return f.tickStore(e.Now)
	}
	f.unavailableSince = time.Time{}
	if f.phase == phaseWatching || f.phase == phaseListing {
		return []Effect{CancelCall{}}
	}
	return nil
}

// reliesOnPeers reports whether only peers tell this node of news.
func (f *Follower) reliesOnPeers() bool {
	return f.phase == phaseNone || f.delegated
}

// isWatchingStore reports whether the store brings this node what is new.
func (f *Follower) isWatchingStore() bool {
	return f.storeConfirmed && f.failures == 0 && !f.listNext
}

// The watch goes on from what the store itself has told, not from what peers
// make the Set complete up to. Else one router's gap becomes that of others:
// they hear from a peer that there is nothing new up to a version, and watch
// from there.
func (f *Follower) advanceStoreVersion(v topo.Version) {
	f.storeVersion = max(f.storeVersion, v)
}

// pause makes the next call of the store wait for about d.
func (f *Follower) pause(now time.Time, d time.Duration) {
	f.phase = phaseWaiting
	f.nextCall = now.Add(f.jitter(d))
}

// maxFirstRetryFactor is how many times longer than the first one a pause between failed calls
// of the store is at most while a router knows nothing. Pauses that grow as usual let it
// be refused up to a second after the store is back; with this, within .3 s.
const maxFirstRetryFactor = 2

// backOff makes the next call of the store wait longer after each failure.
func (f *Follower) backOff(now time.Time) {
	d := f.timing.RetryMax
	if f.failures < 4 {
		d = min(f.timing.RetryMax, f.timing.RetryInitial<<f.failures)
	}
	if !f.storeConfirmed && f.set.CompleteUpTo() == 0 {
		d = min(d, maxFirstRetryFactor*f.timing.RetryInitial) // callers wait for this answer
	}
	f.failures++
	f.pause(now, d)
}

// hinted looks for news at once, unless the store has failed just now.
func (f *Follower) hinted(now time.Time) []Effect {
	switch {
	case f.phase == phaseWatching:
		return []Effect{CancelCall{}}
	case f.phase == phaseWaiting && f.failures == 0:
		f.nextCall = now
		return f.tickStore(now)
	}
	return nil
}

// storeReachable calls a store at once that had been lost. A router follows two sets of
// objects in one store: without this, the second learns up to RetryMost later than
// the first that an outage is over.
func (f *Follower) storeReachable(now time.Time) []Effect {
	switch {
	case f.unavailableSince.IsZero():
	case f.phase == phaseWatching:
		return []Effect{CancelCall{}} // it may wait on a connection that has gone silent
	case f.phase == phaseWaiting:
		f.nextCall = now
		return f.tickStore(now)
	}
	return nil
}

func (f *Follower) storeFailed(e StoreFailed) []Effect {
	switch {
	case e.Compacted:
		// The store's watches begin later than what we know. It shows as a watch
		// that is refused however often it is tried; a listing starts anew.
		f.listNext = true
		f.pause(e.Now, f.timing.RetryInitial)
	case e.Silent:
		// The wait was pause enough: the next connection may work at once.
		f.failures++
		f.pause(e.Now, f.timing.RetryInitial)
	default:
		f.backOff(e.Now)
	}
	if e.Compacted || !f.unavailableSince.IsZero() || f.delegated {
		return nil
	}
	f.unavailableSince = e.Now
	return []Effect{StoreUnavailable{}}
}

func (f *Follower) storeListed(e Listed) []Effect {
	f.listNext = false
	if e.Whole {
		// Of what it does not hold, this node may never have known that it is gone: it
		// has no deletion to tell of it, and those that pull from it need them all.
		return f.replaceAll(e.Now, e.Objects, e.Version, e.Version)
	}
	f.advanceStoreVersion(e.Version)
	f.nextList = e.Now.Add(f.jitter(f.listInterval()))
	stale := e.Version < f.set.CompleteUpTo()
	out := f.enterEra(e.Now, e.Version.Era())
	out = append(out, f.applyBatch(Batch{Objects: e.Objects, Claim: &Claim{To: e.Version}, DeletionHorizon: e.Version, Raw: true})...)
	seen := make(map[topo.Ref]struct{}, len(e.Objects))
	for _, o := range e.Objects {
		seen[o.Ref] = struct{}{}
	}
	out = append(out, changedEffects(f.set.Retain(seen, e.Version))...)
	if stale {
		// A listing by a replica that lags proves nothing about the present. If
		// the watch is refused again, the next listing waits longer.
		return append(out, f.rejectStale(e.Now, e.Version)...)
	}
	first := !f.storeConfirmed
	out = append(out, f.storeAnswered(e.Now)...)
	return append(out, f.afterListing(e.Now, first)...)
}

// afterListing goes on after a listing.
func (f *Follower) afterListing(now time.Time, first bool) []Effect {
	f.phase, f.nextCall = phaseWaiting, now
	if first {
		f.nextCall = now.Add(f.timing.FirstWatchDelay)
	}
	return f.tickStore(now)
}

// listInterval is the time between listings: what keeps them within listRate.
func (f *Follower) listInterval() time.Duration {
	return max(minListInterval, time.Duration(f.set.Bytes())*time.Second/listBytesPerSecond)
}

// rejectStale passes over an answer of the store that is older than what is known.
func (f *Follower) rejectStale(now time.Time, received topo.Version) []Effect {
	f.backOff(now)
	if f.storeIsStale {
		return nil
	}
	f.storeIsStale = true
	return []Effect{StoreStale{Received: received, Known: f.set.CompleteUpTo()}}
}

func (f *Follower) storeAnswered(now time.Time) []Effect {
	f.storeConfirmed, f.storeIsStale = true, false
	f.failures = 0
	f.storeAnsweredAt = now
	if f.unavailableSince.IsZero() {
		return nil
	}
	after := now.Sub(f.unavailableSince)
	f.unavailableSince, f.recoveredAt = time.Time{}, now
	return []Effect{StoreRecovered{After: after}}
}

func (f *Follower) storeWatched(e Watched) []Effect {
	if e.Page.Version < e.Since {
		// A replica that lags behind what is in force here.
		out := f.rejectStale(e.Now, e.Page.Version)
		return append(out, f.applyBatch(Batch{Objects: e.Page.Objects, Raw: true})...)
	}
	if e.Page.Whole && len(e.Page.Objects) > 0 {
		return f.replaceAll(e.Now, e.Page.Objects, e.Page.Version, 0)
	}
	out := f.storeAnswered(e.Now)
	f.advanceStoreVersion(e.Page.Version)
	claim := Claim{From: e.Since, To: e.Page.Version}
	out = append(out, f.applyBatch(Batch{Objects: e.Page.Objects, Claim: &claim, Raw: true})...)
	if len(e.Page.Objects) > 0 {
		f.pause(e.Now, f.timing.WatchPause)
		return out
	}
	f.phase, f.nextCall = phaseWaiting, e.Now
	return append(out, f.tickStore(e.Now)...)
}

// replaceAll takes all objects that exist at a version, from a source that does not
// know when each of them changed last. known is as in Batch.
func (f *Follower) replaceAll(now time.Time, objects []topo.Object, version, horizon topo.Version) []Effect {
	if version < f.set.CompleteUpTo() {
		return f.rejectStale(now, version) // a replica that lags
	}
	if len(objects) == 0 && f.set.Len() > 0 {
		// Nothing is what a source holds before its first configuration, and never
		// after it. Taken at its word, it would refuse every caller.
		f.backOff(now)
		return nil
	}
	first := !f.storeConfirmed
	out := append(f.enterEra(now, version.Era()), f.storeAnswered(now)...)
	f.advanceStoreVersion(version)
	f.nextList = now.Add(f.jitter(f.listInterval()))
	out = append(out, f.applyBatch(Batch{Objects: f.replacement(now, objects, version), Claim: &Claim{To: version}, DeletionHorizon: horizon})...)
	f.set.listedUpTo = max(f.set.listedUpTo, horizon)
	return append(out, f.afterListing(now, first)...)
}
