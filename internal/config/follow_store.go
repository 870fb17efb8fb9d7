package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickStore starts the next call to the store when it is due.
func (f *Follower) tickStore(now time.Time) []Effect {
	if f.phase != phaseWaiting || f.hasParent {
		return nil
	}
	if f.nextCall.IsZero() {
		f.nextCall = f.started.Add(f.timing.PeerWait)
	}
	if !f.storeConfirmed && f.failures == 0 && f.pull == nil && f.hasComparedPeers() {
		f.nextCall = now // the peers have reported their state
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
		f.storeVersion = f.set.CompleteUpTo() // from a peer, at the start
	}
	return []Effect{Watch{Since: f.storeVersion, Wait: f.watchWait(now)}}
}

// minWatchFraction is the smallest fraction of WatchWait for which a watch waits after a pause.
const minWatchFraction = 0.5

// watchWait returns for how long the next watch waits. At a parent, the pause before a watch
// counts as part of the wait: its subscribers go by how long ago the store last answered it,
// and after a pause and a full wait they would read the store themselves.
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

// switchStoreReading starts or stops the reading of the store. Reading starts with a listing,
// because the last answer of the store is old and its change history may have been compacted
// since. When reading stops, a listing in progress is cancelled: the parent sends the objects
// in a twentieth of the bytes, and both transfers would share the link.
func (f *Follower) switchStoreReading(e StoreReadingSwitched) []Effect {
	if f.hasParent == !e.On {
		return nil
	}
	f.hasParent = !e.On
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

// receivesFromPeersOnly reports whether this node receives changes from peers only: it is a
// sidecar, or a router with a parent.
func (f *Follower) receivesFromPeersOnly() bool {
	return f.phase == phaseNone || f.hasParent
}

// isWatchingStore reports whether this node receives changes from its watch of the store.
func (f *Follower) isWatchingStore() bool {
	return f.storeConfirmed && f.failures == 0 && !f.listNext
}

// advanceStoreVersion records a version up to which the store itself has returned all
// changes. The next watch starts there, and not at the version up to which peers have made
// the Set complete. Otherwise a gap at one router would spread to others: a peer would
// report that nothing is new up to a version, and they would watch from there.
func (f *Follower) advanceStoreVersion(v topo.Version) {
	f.storeVersion = max(f.storeVersion, v)
}

// pause delays the next call to the store by about d.
func (f *Follower) pause(now time.Time, d time.Duration) {
	f.phase = phaseWaiting
	f.nextCall = now.Add(f.jitter(d))
}

// maxFirstRetryFactor bounds the mean pause between failed calls to the store while a router
// has no configuration, as a multiple of RetryInitial. With the usual backoff, the last failed
// call of such a router was up to 1 s after the store was back; with this bound, .3 s.
const maxFirstRetryFactor = 2

// backOff delays the next call to the store longer after each failure.
func (f *Follower) backOff(now time.Time) {
	d := f.timing.RetryMax
	if f.failures < 4 {
		d = min(f.timing.RetryMax, f.timing.RetryInitial<<f.failures)
	}
	if !f.storeConfirmed && f.set.CompleteUpTo() == 0 {
		d = min(d, maxFirstRetryFactor*f.timing.RetryInitial) // the router cannot serve callers before this answer
	}
	f.failures++
	f.pause(now, d)
}

// hinted looks for changes at once, unless the last call to the store failed.
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

// storeReachable calls the store at once if it was unavailable. A router follows two sets
// of objects in one store: without this, the second would learn up to RetryMax later than
// the first that an outage is over.
func (f *Follower) storeReachable(now time.Time) []Effect {
	switch {
	case f.unavailableSince.IsZero():
	case f.phase == phaseWatching:
		return []Effect{CancelCall{}} // its connection may have stopped responding
	case f.phase == phaseWaiting:
		f.nextCall = now
		return f.tickStore(now)
	}
	return nil
}

func (f *Follower) storeFailed(e StoreFailed) []Effect {
	switch {
	case e.Compacted:
		// The store's change history begins after the version held here. Every watch from
		// there would fail, so the next call is a listing.
		f.listNext = true
		f.compactions++
		f.pause(e.Now, f.compactionPause())
	case e.TimedOut:
		// The call has lasted until its timeout, so the pause does not grow with the number
		// of failures: a new connection may work at once.
		f.failures++
		f.pause(e.Now, f.timing.RetryInitial)
	default:
		f.backOff(e.Now)
	}
	if e.Compacted || !f.unavailableSince.IsZero() || f.hasParent {
		return nil
	}
	f.unavailableSince = e.Now
	return []Effect{StoreUnavailable{}}
}

// compactionPause returns the mean pause before the listing after a watch from a version that the
// store no longer has. A single such watch is followed by a listing soon. While the store keeps
// dropping its history, even a watch from the listing before fails, and with the same pause a router
// would list the whole store several times a second. It then lists as often as a watch of half its
// usual wait would be answered, so that its state grows no older than the relay allows.
func (f *Follower) compactionPause() time.Duration {
	if f.compactions <= 1 {
		return f.timing.RetryInitial
	}
	return max(f.timing.RetryInitial, time.Duration(minWatchFraction*float64(f.timing.WatchWait)))
}

func (f *Follower) storeListed(e Listed) []Effect {
	f.listNext = false
	if e.Whole {
		// This node may never have held an object that the listing lacks, so it has no
		// deletion to report for it: nodes that pull from it must pull all its objects.
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
	out = append(out, changedEffects(f.set.RemoveUnseen(seen, e.Version))...)
	if stale {
		// A listing by a lagging replica proves nothing about the present state. If
		// the watch is refused again, the next listing waits longer.
		return append(out, f.rejectStale(e.Now, e.Version)...)
	}
	first := !f.storeConfirmed
	out = append(out, f.storeAnswered(e.Now)...)
	return append(out, f.afterListing(e.Now, first)...)
}

// afterListing schedules the first watch after a listing.
func (f *Follower) afterListing(now time.Time, first bool) []Effect {
	f.phase, f.nextCall = phaseWaiting, now
	if first {
		f.nextCall = now.Add(f.timing.FirstWatchDelay)
	}
	return f.tickStore(now)
}

// listInterval returns the time between listings that keeps them within listBytesPerSecond.
func (f *Follower) listInterval() time.Duration {
	return max(minListInterval, time.Duration(f.set.Bytes())*time.Second/listBytesPerSecond)
}

// rejectStale handles an answer of the store that is older than what is known here.
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
		// The answer is from a replica that lags behind what is in force here.
		out := f.rejectStale(e.Now, e.Page.Version)
		return append(out, f.applyBatch(Batch{Objects: e.Page.Objects, Raw: true})...)
	}
	f.compactions = 0
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

// replaceAll takes over all objects that exist at a version, from a source that does not
// record when each of them last changed. horizon is the DeletionHorizon of the Batch.
func (f *Follower) replaceAll(now time.Time, objects []topo.Object, version, horizon topo.Version) []Effect {
	if version < f.set.CompleteUpTo() {
		return f.rejectStale(now, version) // a lagging replica
	}
	if len(objects) == 0 && f.set.Len() > 0 {
		// A source holds nothing before its first configuration, and never after it.
		// Applying an empty one would make the router refuse every caller.
		f.backOff(now)
		return nil
	}
	first := !f.storeConfirmed
	out := append(f.enterEra(now, version.Era()), f.storeAnswered(now)...)
	f.advanceStoreVersion(version)
	f.nextList = now.Add(f.jitter(f.listInterval()))
	changes, isOlderCopy := f.replacement(now, objects, version)
	out = append(out, f.applyBatch(Batch{Objects: changes, Claim: &Claim{To: version}, DeletionHorizon: horizon})...)
	if !isOlderCopy { // else an object that it lacks may be part of a later configuration
		f.set.listedUpTo = max(f.set.listedUpTo, horizon)
		f.set.wholeReadAt = version
		f.set.markWhole(newestVersion(objects))
	}
	return append(out, f.afterListing(now, first)...)
}

// newestVersion returns the highest version of objects; zero: there are none.
func newestVersion(objects []topo.Object) topo.Version {
	var newest topo.Version
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	return newest
}
