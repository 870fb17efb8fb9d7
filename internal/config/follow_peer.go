package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// pull is the transfer, piece by piece, of objects that a peer has and this node lacks.
type pull struct {
	peer            Peer
	query           Query
	deletionHorizon topo.Version // of the peer; the same for all pieces
	wholeUpTo       topo.Version // of the first piece, see Delta; zero if the peer was not in one state
	unsettled       bool         // the peer was not in one state, and may have skipped that of this node
	version         topo.Version // of the peer when it sent the first piece
	completeUpTo    topo.Version // likewise
	seen            map[topo.Ref]struct{}
	deadline        time.Time
}

// isFull reports whether the pull requests all objects of the peer.
func (p *pull) isFull() bool {
	return p.query.Since == 0
}

// horizon returns the version up to which a pull of all objects shows which ones exist.
func (p *pull) horizon() topo.Version {
	return max(p.deletionHorizon, p.wholeUpTo)
}

// repairWidths are the steps of a repair: how many changes before the newest its pull begins.
var repairWidths = [...]int{64, 1024}

// repairInterval is the time between the steps of a repair. The peer starts a repair at
// the same time, and one of the two lacks nothing.
const repairInterval = time.Second

// resyncInterval bounds how often a difference that pulls do not repair makes this node
// read everything again.
const resyncInterval = 10 * time.Minute

// refreshInterval is how often a node whose objects are up to date learns up to which
// version it is complete.
const refreshInterval = time.Minute

// fullPullInterval bounds how often all objects are pulled because the peers have
// forgotten deletions that this node may have missed. Without the bound, a node would pull
// again and again where hundreds of routers list the store, since one of them has always
// listed it a moment ago. Where one router reads the store for all (Timing.Relayed), each of
// its listings is pulled once, without delay, by the routers that were behind.
const fullPullInterval = time.Minute

// repair is the state of the repair of a difference from a peer that is equally complete
// but holds other objects.
type repair struct {
	digest          uint64 // of the peer
	nextStep        time.Time
	nextWidth       int // index in repairWidths
	nextResync      time.Time
	nextFullPull    time.Time
	fullPullHorizon topo.Version // of the peer of the last full pull
}

// unobtainable is a version that a peer reports but does not supply, because it belongs to
// an object that this node knows to be deleted. Without it, each message of that peer
// would start a pull.
type unobtainable struct {
	version topo.Version
	until   time.Time
}

// tickPeers compares this node with a peer from time to time. This bounds how long a node
// without traffic stays behind, and how long a node lacks a change that its watch has missed.
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
		return nil // no router has chosen this sidecar to keep a copy
	}
	f.nextCheck = now.Add(f.jitter(f.checkInterval()))
	return f.startPull(now, f.randomPeer(), f.set.Version())
}

// randomPeer returns a peer at random. Until the node is ready, it favours a peer that has
// not answered yet; after that, it picks among the connected peers, if there are any.
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
	case f.receivesFromPeersOnly():
		return peersOnlyCheckInterval
	case f.failures > 0:
		return outageCheckInterval
	default:
		return peerCheckInterval
	}
}

// startPull begins a pull of everything newer than since. One pull runs at a time: many
// peers report the same change at once, and one of them is enough.
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

// compare handles a summary received from a peer.
func (f *Follower) compare(now time.Time, peer Peer, m Summary) []Effect {
	out := f.enterEra(now, m.CompleteUpTo.Era())
	if f.isOutdatedPeer(m) {
		return out
	}
	return append(out, f.pullMissing(now, peer, m)...)
}

// pullMissing starts a pull if a peer's summary shows objects that this node lacks.
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
		return f.catchUp(now, peer, m.Version) // peers may rely on this node's versions
	case m.sameObjects(mine):
		return f.refresh(now, peer, m)
	case m.isComparableTo(mine):
		return f.repairDifference(now, peer, m)
	case m.Version > mine.Version && !f.isUnobtainable(now, m.Version):
		return f.catchUp(now, peer, m.Version)
	}
	return nil
}

// announcement is a version that a peer has reported and this node lacks.
type announcement struct {
	version  topo.Version
	received time.Time
}

// catchUp pulls a newer version from a peer. While the store answers, a router's own watch
// is about to return the same changes, so the router waits for pullDelay: in a burst it
// would otherwise receive each change twice. A router that has just begun to read the
// store does not wait: if the store refuses it, it would stay behind for pullDelay.
// Sidecars collect the changes of a short period into one pull.
func (f *Follower) catchUp(now time.Time, peer Peer, v topo.Version) []Effect {
	switch {
	case f.receivesFromPeersOnly() && now.Before(f.nextPull):
		f.peerAhead = peer
		return nil
	case f.receivesFromPeersOnly():
	case f.isWatchingStore() && f.announced.version <= f.set.Version():
		f.announced = announcement{version: v, received: now}
		return nil
	case f.isWatchingStore() && now.Sub(f.announced.received) < pullDelay:
		return nil
	}
	return f.startPull(now, peer, f.set.Version())
}

// refresh occasionally queries a peer with the same objects for the version up to which it
// is complete. Without it, the store may have compacted the changes since the version that
// a sidecar holds, and a router that starts from there would have to list everything.
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

// repairDifference handles a peer that is equally complete but holds other objects: one of
// the two has missed a change, so that the change took effect in most places but not in
// all. Each pulls what the other has, recent changes first. Since the newer version of each
// object wins, both end with the same objects.
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
	if f.receivesFromPeersOnly() {
		return append(out, f.startPull(now, peer, 0)...)
	}
	f.listNext = true
	return out
}

func (f *Follower) queryAnswered(e QueryAnswered) []Effect {
	p, d := f.pull, e.Delta
	if p == nil || p.peer != e.Peer {
		return nil // belongs to a pull that was abandoned
	}
	if f.isOutdatedPeer(d.Summary) {
		f.pull = nil
		return nil
	}
	if p.query.After > 0 && p.deletionHorizon != d.DeletionHorizon {
		// The peer has forgotten more deletions since it sent the first piece.
		clear(p.seen)
		return f.requestPiece(e.Now, 0)
	}
	if p.query.After == 0 {
		// Later pieces do not include what the peer has learnt since the first one
		// below the version that the pull has reached.
		p.deletionHorizon, p.completeUpTo = d.DeletionHorizon, d.Summary.CompleteUpTo
		p.version, p.wholeUpTo, p.unsettled = d.Summary.Version, d.WholeUpTo, false
		if d.Summary.Digest == 0 {
			p.wholeUpTo, p.unsettled = 0, d.WholeUpTo > 0
		}
	}
	b := Batch{Objects: d.Objects}
	if p.isFull() {
		b.Objects = f.set.restate(d.Objects, p.wholeUpTo)
		b.DeletionHorizon = p.horizon()
		for _, o := range d.Objects {
			if !o.Deleted {
				p.seen[o.Ref] = struct{}{}
			}
		}
	}
	out := append(f.enterEra(e.Now, d.Summary.CompleteUpTo.Era()), f.applyBatch(b)...)
	if d.More && len(d.Objects) > 0 {
		return append(out, f.requestPiece(e.Now, d.Objects[len(d.Objects)-1].Version)...)
	}
	return append(out, f.finishPull(e, p)...)
}

// requestPiece requests the piece of the pull that starts after a version; zero requests the
// first piece.
func (f *Follower) requestPiece(now time.Time, after topo.Version) []Effect {
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

// adoptCompleteness raises the version up to which this node is complete to that of the peer,
// if the pull proves that this node has missed neither a deletion that the peer has forgotten
// nor a change in a state that the peer has skipped. Otherwise a pull of all objects is needed,
// which may have to wait for fullPullInterval.
func (f *Follower) adoptCompleteness(e QueryAnswered, p *pull) []Effect {
	d := e.Delta
	horizon := p.horizon()
	var out []Effect
	switch {
	case f.set.edition.Number != 0 && f.set.Version() != p.query.Summary.Version:
		return nil // the pull started from a state that has been replaced since
	case p.unsettled:
		return nil // the peer is between two states, one of which it will be in soon
	case p.query.Summary.CompleteUpTo >= horizon:
		// This node knows all deletions that the peer has forgotten, and its state is not
		// one that the peer has skipped.
	case p.isFull():
		f.repair.fullPullHorizon = horizon
		out = changedEffects(f.set.RemoveUnseen(p.seen, horizon))
	case f.set.Summary().sameObjects(d.Summary):
		// None of the forgotten deletions and skipped states concerned objects of this node.
		f.set.listedUpTo = max(f.set.listedUpTo, d.DeletionHorizon)
	case e.Now.Before(f.repair.nextFullPull) && !(f.timing.Relayed && horizon > f.repair.fullPullHorizon):
		return nil // too soon after the last pull of all objects
	default:
		f.repair.nextFullPull = e.Now.Add(fullPullInterval)
		return f.startPull(e.Now, p.peer, 0)
	}
	out = append(out, f.applyBatch(Batch{Claim: &Claim{From: p.query.Since, To: p.completeUpTo}})...)
	f.set.markWhole(p.version)
	return out
}
