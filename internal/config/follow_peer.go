package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// pull is the taking over of what a peer has and we lack, piece by piece.
type pull struct {
	peer            Peer
	query           Query
	deletionHorizon topo.Version // of the peer, the same for all pieces
	completeUpTo    topo.Version // of the peer at the first piece
	seen            map[topo.Ref]struct{}
	deadline        time.Time
}

// isFull reports whether the pull takes everything that the peer has.
func (p *pull) isFull() bool {
	return p.query.Since == 0
}

// Widths of a repair: how many changes before the newest a pull begins.
var repairWidths = [...]int{64, 1024}

// repairInterval is the time between the steps of a repair. The peer repairs itself
// at the same time, and one of the two has nothing to gain.
const repairInterval = time.Second

// resyncInterval bounds how often a difference that pulls do not settle leads to
// everything being read again.
const resyncInterval = 10 * time.Minute

// refreshInterval is how often a node whose objects are up to date learns how far
// it is complete.
const refreshInterval = time.Minute

// fullPullInterval bounds how often everything is pulled because the peers have
// forgotten deletions that this node may not know of. Where hundreds of routers list
// the store, one of them always has listed it a moment ago. Where one does for all,
// each of its listings is pulled once by those that were behind.
const fullPullInterval = time.Minute

// repair is what has been tried about a peer whose objects differ from ours
// although its version is the same.
type repair struct {
	digest          uint64 // of the peer
	nextStep        time.Time
	nextWidth       int // index of the next width
	nextResync      time.Time
	nextFullPull    time.Time
	fullPullHorizon topo.Version // of the peer from which everything was pulled last
}

// unobtainable is a version that a peer has claimed and not made good: it holds an
// object that we know to be deleted. Without this, each message of that peer
// would start a pull.
type unobtainable struct {
	version topo.Version
	until   time.Time
}

// tickPeers compares with a peer now and then. It bounds how long a node that
// hears no traffic stays behind, or keeps a gap that its watch has left.
func (f *Follower) tickPeers(now time.Time) []Effect {
	if f.pull != nil && now.After(f.pull.deadline) {
		f.pull = nil
	}
	if f.pull == nil && f.peerAhead != "" && now.After(f.nextPull) {
		return f.startPull(now, f.peerAhead, f.set.Version())
	}
	if f.pull != nil || len(f.peers) == 0 || now.Before(f.nextCheck) {
		return nil
	}
	if f.phase == phaseNone && f.set.CompleteUpTo() == 0 {
		return nil // no router wants this sidecar to keep a copy
	}
	f.nextCheck = now.Add(f.jitter(f.checkInterval()))
	return f.startPull(now, f.randomPeer(), f.set.Version())
}

// randomPeer returns a peer at random: at the start one that has not been heard,
// later one that there is a connection to.
func (f *Follower) randomPeer() Peer {
	if f.Ready() && len(f.connected) > 0 {
		return f.connected[f.rand.IntN(len(f.connected))]
	}
	for _, p := range f.peers {
		if _, ok := f.comparedPeers[p]; !ok && !f.Ready() && f.rand.IntN(2) == 0 {
			return p
		}
	}
	return f.peers[f.rand.IntN(len(f.peers))]
}

func (f *Follower) checkInterval() time.Duration {
	switch {
	case !f.Ready():
		return TickInterval
	case f.reliesOnPeers():
		return sidecarCheckInterval
	case f.failures > 0:
		return outageCheckInterval
	default:
		return peerCheckInterval
	}
}

// startPull begins a pull of everything newer than since. One pull runs at a time:
// many peers say at once that there is news, and one of them is enough.
func (f *Follower) startPull(now time.Time, peer Peer, since topo.Version) []Effect {
	f.peerAhead = ""
	f.nextPull = now.Add(f.timing.PullInterval)
	f.pull = &pull{
		peer:     peer,
		query:    Query{Since: since, Summary: f.set.Summary()},
		seen:     make(map[topo.Ref]struct{}),
		deadline: now.Add(queryTimeout),
	}
	return []Effect{SendQuery{Peer: peer, Query: f.pull.query}}
}

// compare decides what a peer's mark calls for.
func (f *Follower) compare(now time.Time, peer Peer, m Summary) []Effect {
	out := f.enterEra(now, m.CompleteUpTo.Era())
	if f.isOutdatedPeer(m) {
		return out
	}
	return append(out, f.pullMissing(now, peer, m)...)
}

// pullMissing asks a peer for what its mark shows that it knows.
func (f *Follower) pullMissing(now time.Time, peer Peer, m Summary) []Effect {
	if f.pull != nil {
		if m.Version > f.set.Version() {
			f.peerAhead = peer
		}
		return nil
	}
	mine := f.set.Summary()
	switch {
	case m.sameObjects(mine) && m.Version.Era() > mine.Version.Era():
		return f.catchUp(now, peer, m.Version) // others may rely on this node's versions
	case m.sameObjects(mine):
		return f.refresh(now, peer, m)
	case m.isComparableTo(mine):
		return f.repairDifference(now, peer, m)
	case m.Version > mine.Version && !f.isUnobtainable(now, m.Version):
		return f.catchUp(now, peer, m.Version)
	}
	return nil
}

// announcement is a version that a peer has and this node has not.
type announcement struct {
	version  topo.Version
	received time.Time
}

// catchUp asks a peer for what is new there. While the store answers, its watch
// is about to tell the same, so a router waits a little: in a burst of changes
// it would otherwise take each of them twice. One that has just begun to read does
// not: the store may refuse it, and it would stay behind for as long as it waits.
// Sidecars collect the changes of a moment into one pull.
func (f *Follower) catchUp(now time.Time, peer Peer, v topo.Version) []Effect {
	switch {
	case f.reliesOnPeers() && now.Before(f.nextPull):
		f.peerAhead = peer
		return nil
	case f.reliesOnPeers():
	case f.isWatchingStore() && f.announced.version <= f.set.Version():
		f.announced = announcement{version: v, received: now}
		return nil
	case f.isWatchingStore() && now.Sub(f.announced.received) < watchHeadStart:
		return nil
	}
	return f.startPull(now, peer, f.set.Version())
}

// refresh asks, now and then, a peer with the same objects how far it is
// complete. Without it, the store may have compacted the changes since what a
// sidecar knows, and a router that starts from there must list everything.
func (f *Follower) refresh(now time.Time, peer Peer, m Summary) []Effect {
	if m.CompleteUpTo <= f.set.CompleteUpTo() || now.Before(f.nextRefresh) {
		return nil
	}
	f.nextRefresh = now.Add(refreshInterval)
	return f.startPull(now, peer, f.set.Version())
}

func (f *Follower) isUnobtainable(now time.Time, v topo.Version) bool {
	return v <= f.unobtainable.version && now.Before(f.unobtainable.until)
}

// repairDifference handles a peer that is as complete but has other objects: one of the
// two has missed a change. It shows as a change that took effect in most
// places. Both take over what the other has, recent changes first, and since
// the newer version of each object wins, both end with the same.
func (f *Follower) repairDifference(now time.Time, peer Peer, m Summary) []Effect {
	if f.repair.digest != m.Digest {
		f.repair.digest = m.Digest
		f.repair.nextWidth = 0
	}
	if now.Before(f.repair.nextStep) {
		return nil
	}
	f.repair.nextStep = now.Add(repairInterval)
	out := []Effect{DifferenceFound{Peer: peer}}
	if f.repair.nextWidth < len(repairWidths) {
		since := min(f.set.versionBefore(repairWidths[f.repair.nextWidth]), f.set.Version())
		f.repair.nextWidth++
		return append(out, f.startPull(now, peer, since)...)
	}
	if now.Before(f.repair.nextResync) {
		return nil
	}
	f.repair.nextResync = now.Add(resyncInterval)
	if f.reliesOnPeers() {
		return append(out, f.startPull(now, peer, 0)...)
	}
	f.listNext = true
	return out
}

func (f *Follower) queryAnswered(e QueryAnswered) []Effect {
	p, d := f.pull, e.Delta
	if p == nil || p.peer != e.Peer {
		return nil // of a pull that was given up
	}
	if f.isOutdatedPeer(d.Summary) {
		f.pull = nil
		return nil
	}
	if p.query.After > 0 && p.deletionHorizon != d.DeletionHorizon {
		// The peer has forgotten deletions since the first piece.
		clear(p.seen)
		return f.nextPiece(e.Now, 0)
	}
	if p.query.After == 0 {
		// Later pieces do not make up for what the peer has learnt meanwhile
		// below the place that the pieces have reached.
		p.deletionHorizon, p.completeUpTo = d.DeletionHorizon, d.Summary.CompleteUpTo
	}
	b := Batch{Objects: d.Objects}
	if p.isFull() {
		b.DeletionHorizon = d.DeletionHorizon
		for _, o := range d.Objects {
			if !o.Deleted {
				p.seen[o.Ref] = struct{}{}
			}
		}
	}
	out := append(f.enterEra(e.Now, d.Summary.CompleteUpTo.Era()), f.applyBatch(b)...)
	if d.More && len(d.Objects) > 0 {
		return append(out, f.nextPiece(e.Now, d.Objects[len(d.Objects)-1].Version)...)
	}
	return append(out, f.finishPull(e, p)...)
}

// nextPiece asks for the next nextPiece of a pull.
func (f *Follower) nextPiece(now time.Time, after topo.Version) []Effect {
	p := f.pull
	p.query.After = after
	p.deadline = now.Add(queryTimeout)
	return []Effect{SendQuery{Peer: p.peer, Query: p.query}}
}

// finishPull ends a pull.
func (f *Follower) finishPull(e QueryAnswered, p *pull) []Effect {
	f.pull = nil
	if len(f.comparedPeers) < minComparedPeers {
		f.comparedPeers[e.Peer] = struct{}{}
	}
	out := f.adoptCompleteness(e, p)
	if f.pull == nil && e.Delta.Summary.Version > f.set.Version() {
		f.unobtainable = unobtainable{version: e.Delta.Summary.Version, until: e.Now.Add(peerCheckInterval)}
	}
	if f.pull == nil {
		out = append(out, f.compare(e.Now, e.Peer, e.Delta.Summary)...)
	}
	return out
}

// adoptCompleteness takes over how far the peer is complete, if that follows.
func (f *Follower) adoptCompleteness(e QueryAnswered, p *pull) []Effect {
	d := e.Delta
	var out []Effect
	switch {
	case p.query.Summary.CompleteUpTo >= d.DeletionHorizon:
		// No deletion that the peer has forgotten is news to us.
	case p.isFull():
		f.repair.fullPullHorizon = d.DeletionHorizon
		out = changedEffects(f.set.Retain(p.seen, d.DeletionHorizon))
	case f.set.Summary().sameObjects(d.Summary):
		// None of the deletions mattered to us.
		f.set.listedUpTo = max(f.set.listedUpTo, d.DeletionHorizon)
	case e.Now.Before(f.repair.nextFullPull) && !(f.timing.Relayed && d.DeletionHorizon > f.repair.fullPullHorizon):
		return nil
	default:
		f.repair.nextFullPull = e.Now.Add(fullPullInterval)
		return f.startPull(e.Now, p.peer, 0)
	}
	return append(out, f.applyBatch(Batch{Claim: &Claim{From: p.query.Since, To: p.completeUpTo}})...)
}
