package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickStore starts the next call of the store when it is due.
func (f *Follower) tickStore(now time.Time) []Effect {
	if f.phase != phaseWaiting || f.relieved {
		return nil
	}
	if f.resume.IsZero() {
		f.resume = f.started.Add(f.pace.PeerWait)
	}
	if !f.confirmed && f.failures == 0 && f.pull == nil && f.compared() {
		f.resume = now // the peers have said what they know
	}
	if now.Before(f.resume) {
		return nil
	}
	if f.nextList.IsZero() {
		f.nextList = f.started.Add(f.jitter(listSoon))
	}
	f.relist = f.relist || (now.After(f.nextList) && f.failures == 0)
	if f.relist || (f.set.CompleteUpTo() == 0 && !f.confirmed) {
		f.phase = phaseListing
		return []Effect{List{}}
	}
	f.phase = phaseWatching
	if !f.confirmed {
		f.told = f.set.CompleteUpTo() // by a peer, at the start
	}
	return []Effect{Watch{Since: f.told, Wait: f.watchWait(now)}}
}

// watchLeast is the least part of its wait that a watch lasts after a pause.
const watchLeast = 0.5

// watchWait returns for how long the next watch waits. For a router that reads for
// others, a pause before it is part of that: they go by how long ago the store
// answered, and if that took a pause and a whole wait, they would read it themselves.
func (f *Follower) watchWait(now time.Time) time.Duration {
	switch {
	case f.failures > 0:
		return f.pace.WatchWaitAfterFailure
	case !f.pace.Relayed || f.storeHeard.IsZero():
		return f.pace.WatchWait
	}
	least := time.Duration(watchLeast * float64(f.pace.WatchWait))
	return max(f.pace.WatchWait-now.Sub(f.storeHeard), least)
}

// setDuty begins or ends the reading of the store. It begins with a listing: what
// the store told last lies far back, and its history may be gone since. A listing that is
// under way when it ends is cut short: a router that is relied on hands its objects on
// in a twentieth of the bytes, which would share the link with it.
func (f *Follower) setDuty(e StoreReadingSwitched) []Effect {
	if f.relieved == !e.On {
		return nil
	}
	f.relieved = !e.On
	if e.On {
		f.relist, f.failures, f.resume = true, 0, e.Now
		return f.tickStore(e.Now)
	}
	f.lost = time.Time{}
	if f.phase == phaseWatching || f.phase == phaseListing {
		return []Effect{CancelCall{}}
	}
	return nil
}

// aloof reports whether only peers tell this node of news.
func (f *Follower) aloof() bool {
	return f.phase == phaseNone || f.relieved
}

// watches reports whether the store brings this node what is new.
func (f *Follower) watches() bool {
	return f.confirmed && f.failures == 0 && !f.relist
}

// The watch goes on from what the store itself has told, not from what peers
// make the Set complete up to. Else one router's gap becomes that of others:
// they hear from a peer that there is nothing new up to a version, and watch
// from there.
func (f *Follower) tellStore(v topo.Version) {
	f.told = max(f.told, v)
}

// pause makes the next call of the store wait for about d.
func (f *Follower) pause(now time.Time, d time.Duration) {
	f.phase = phaseWaiting
	f.resume = now.Add(f.jitter(d))
}

// firstRetryMost is how many times longer than the first one a pause between failed calls
// of the store is at most while a router knows nothing. Pauses that grow as usual let it
// be refused up to a second after the store is back; with this, within .3 s.
const firstRetryMost = 2

// fail makes the next call of the store wait longer after each failure.
func (f *Follower) fail(now time.Time) {
	d := f.pace.RetryMax
	if f.failures < 4 {
		d = min(f.pace.RetryMax, f.pace.RetryInitial<<f.failures)
	}
	if !f.confirmed && f.set.CompleteUpTo() == 0 {
		d = min(d, firstRetryMost*f.pace.RetryInitial) // callers wait for this answer
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
		f.resume = now
		return f.tickStore(now)
	}
	return nil
}

// storeWorks calls a store at once that had been lost. A router follows two sets of
// objects in one store: without this, the second learns up to RetryMost later than
// the first that an outage is over.
func (f *Follower) storeWorks(now time.Time) []Effect {
	switch {
	case f.lost.IsZero():
	case f.phase == phaseWatching:
		return []Effect{CancelCall{}} // it may wait on a connection that has gone silent
	case f.phase == phaseWaiting:
		f.resume = now
		return f.tickStore(now)
	}
	return nil
}

func (f *Follower) storeFailed(e StoreFailed) []Effect {
	switch {
	case e.Compacted:
		// The store's watches begin later than what we know. It shows as a watch
		// that is refused however often it is tried; a listing starts anew.
		f.relist = true
		f.pause(e.Now, f.pace.RetryInitial)
	case e.Silent:
		// The wait was pause enough: the next connection may work at once.
		f.failures++
		f.pause(e.Now, f.pace.RetryInitial)
	default:
		f.fail(e.Now)
	}
	if e.Compacted || !f.lost.IsZero() || f.relieved {
		return nil
	}
	f.lost = e.Now
	return []Effect{StoreUnavailable{}}
}

func (f *Follower) listedStore(e Listed) []Effect {
	f.relist = false
	if e.Whole {
		// Of what it does not hold, this node may never have known that it is gone: it
		// has no deletion to tell of it, and those that pull from it need them all.
		return f.replaced(e.Now, e.Objects, e.Version, e.Version)
	}
	f.tellStore(e.Version)
	f.nextList = e.Now.Add(f.jitter(f.listInterval()))
	stale := e.Version < f.set.CompleteUpTo()
	out := f.entered(e.Now, e.Version.Era())
	out = append(out, f.changed(Batch{Objects: e.Objects, Claim: &Claim{To: e.Version}, DeletionHorizon: e.Version, Raw: true})...)
	seen := make(map[topo.Ref]struct{}, len(e.Objects))
	for _, o := range e.Objects {
		seen[o.Ref] = struct{}{}
	}
	out = append(out, tell(f.set.Retain(seen, e.Version))...)
	if stale {
		// A listing by a replica that lags proves nothing about the present. If
		// the watch is refused again, the next listing waits longer.
		return append(out, f.passOver(e.Now, e.Version)...)
	}
	first := !f.confirmed
	out = append(out, f.storeAnswered(e.Now)...)
	return append(out, f.listed(e.Now, first)...)
}

// listed goes on after a listing.
func (f *Follower) listed(now time.Time, first bool) []Effect {
	f.phase, f.resume = phaseWaiting, now
	if first {
		f.resume = now.Add(f.pace.FirstWatchDelay)
	}
	return f.tickStore(now)
}

// listInterval is the time between listings: what keeps them within listRate.
func (f *Follower) listInterval() time.Duration {
	return max(listEvery, time.Duration(f.set.Bytes())*time.Second/listRate)
}

// passOver passes over an answer of the store that is older than what is known.
func (f *Follower) passOver(now time.Time, told topo.Version) []Effect {
	f.fail(now)
	if f.outdated {
		return nil
	}
	f.outdated = true
	return []Effect{StoreStale{Received: told, Known: f.set.CompleteUpTo()}}
}

func (f *Follower) storeAnswered(now time.Time) []Effect {
	f.confirmed, f.outdated = true, false
	f.failures = 0
	f.storeHeard = now
	if f.lost.IsZero() {
		return nil
	}
	after := now.Sub(f.lost)
	f.lost, f.back = time.Time{}, now
	return []Effect{StoreRecovered{After: after}}
}

func (f *Follower) watched(e Watched) []Effect {
	if e.Page.Version < e.Since {
		// A replica that lags behind what is in force here.
		out := f.passOver(e.Now, e.Page.Version)
		return append(out, f.changed(Batch{Objects: e.Page.Objects, Raw: true})...)
	}
	if e.Page.Whole && len(e.Page.Objects) > 0 {
		return f.replaced(e.Now, e.Page.Objects, e.Page.Version, 0)
	}
	out := f.storeAnswered(e.Now)
	f.tellStore(e.Page.Version)
	claim := Claim{From: e.Since, To: e.Page.Version}
	out = append(out, f.changed(Batch{Objects: e.Page.Objects, Claim: &claim, Raw: true})...)
	if len(e.Page.Objects) > 0 {
		f.pause(e.Now, f.pace.WatchPause)
		return out
	}
	f.phase, f.resume = phaseWaiting, e.Now
	return append(out, f.tickStore(e.Now)...)
}

// replaced takes all objects that exist at a version, from a source that does not
// know when each of them changed last. known is as in Batch.
func (f *Follower) replaced(now time.Time, objects []topo.Object, version, known topo.Version) []Effect {
	if version < f.set.CompleteUpTo() {
		return f.passOver(now, version) // a replica that lags
	}
	if len(objects) == 0 && f.set.Len() > 0 {
		// Nothing is what a source holds before its first configuration, and never
		// after it. Taken at its word, it would refuse every caller.
		f.fail(now)
		return nil
	}
	first := !f.confirmed
	out := append(f.entered(now, version.Era()), f.storeAnswered(now)...)
	f.tellStore(version)
	f.nextList = now.Add(f.jitter(f.listInterval()))
	out = append(out, f.changed(Batch{Objects: f.replacement(now, objects, version), Claim: &Claim{To: version}, DeletionHorizon: known})...)
	f.set.listed = max(f.set.listed, known)
	return append(out, f.listed(now, first)...)
}
