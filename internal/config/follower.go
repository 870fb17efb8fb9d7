package config

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Intervals and limits of a Follower.
const (
	// TickInterval is the time between Ticked events.
	TickInterval = 100 * time.Millisecond
	// WatchGrace is how long after the end of its wait a watch may still answer.
	WatchGrace = time.Second

	// firstListDelay is the mean time from the start of a router with a peer's
	// configuration to its first listing of the store, which verifies that configuration.
	// The mean time between later listings is minListInterval, or as much longer as keeps
	// the size of the values read within listBytesPerSecond. Only a listing shows a change
	// that all nodes have missed.
	firstListDelay     = 5 * time.Minute
	minListInterval    = time.Minute
	listBytesPerSecond = 256

	// peerCheckInterval is the mean time between comparisons with a random peer, for a
	// router that reads the store.
	peerCheckInterval = 2500 * time.Millisecond
	// peersOnlyCheckInterval is the same for a sidecar, and for a router that has another
	// one read the store for it. A sidecar is also queried by many routers.
	peersOnlyCheckInterval = time.Minute
	// outageCheckInterval is the same for a router whose calls to the store fail.
	outageCheckInterval = 500 * time.Millisecond
	// pullDelay is how long a router waits for its own watch to return a change
	// that a peer has reported, before it pulls the change.
	pullDelay = 2 * time.Second
	// queryTimeout is the time after which a SendQuery counts as failed.
	queryTimeout = 2 * time.Second
	// minComparedPeers is how many peers a router compares itself with before it
	// trusts a configuration that the store has not confirmed.
	minComparedPeers = 3
	// maxPeerWait is the time after its start from which a router trusts the
	// configuration that it has, without further comparisons.
	maxPeerWait = 2 * time.Second
)

// Timing sets how a Follower calls the store and its peers.
type Timing struct {
	// WatchWait is how long a watch of the store waits for a change. It determines how
	// many calls a router makes while nothing changes.
	WatchWait time.Duration
	// WatchWaitAfterFailure is the wait of the first watch after a failed one, so that
	// two unresponsive connections in a row cost less than two full waits.
	WatchWaitAfterFailure time.Duration
	// WatchPause is the mean pause after a watch that returned changes. Without it, a
	// burst of changes would make every router call the store for each of them, which
	// with 330 routers is more than the store can serve.
	WatchPause time.Duration
	// Relayed is set at all routers of a fleet in which a parent reads the store for its
	// subscribers. A pause then counts as part of the watch that follows it, which costs a
	// tenth more calls. Subscribers pull at once the removals that a listing of their
	// parent has shown, without regard to fullPullInterval: few routers list the store, so
	// such pulls are few.
	Relayed bool
	// RetryInitial and RetryMax bound the pause after a failed call to the store.
	RetryInitial, RetryMax time.Duration
	// PeerWait is how long a new router waits for a configuration from its peers before
	// it lists the store, which takes many pages.
	PeerWait time.Duration
	// FirstWatchDelay is how long a router waits between its first listing and its first
	// watch, in case another router reads the store for it.
	FirstWatchDelay time.Duration
	// PullInterval is the minimum time between pulls of a node that does not read the
	// store.
	PullInterval time.Duration
}

// DefaultTiming returns the Timing that brings a change into force within 7 s after the
// store has accepted it: an unresponsive watch is abandoned after WatchWait and
// WatchGrace, and the next one is answered at once.
func DefaultTiming() Timing {
	return Timing{
		WatchWait:             2500 * time.Millisecond,
		WatchWaitAfterFailure: 500 * time.Millisecond,
		WatchPause:            600 * time.Millisecond,
		RetryInitial:          250 * time.Millisecond,
		RetryMax:              2 * time.Second,
		PeerWait:              500 * time.Millisecond,
		PullInterval:          500 * time.Millisecond,
	}
}

// Status describes the state of a Follower.
type Status struct {
	Version        topo.Version `json:"version"`
	CompleteUpTo   topo.Version `json:"complete"`
	Objects        int          `json:"objects"`
	Bytes          int          `json:"bytes"`
	StoreAnswered  time.Time    `json:"store_heard"`         // when it last gave an answer that was not stale
	Failures       int          `json:"failures"`            // consecutive failed calls to the store
	StoreRecovered time.Time    `json:"store_back,omitzero"` // when it last answered again after an outage
}

// storePhase is what a Follower is doing with the store.
type storePhase uint8

const (
	phaseNone    storePhase = iota // no access to the store: a sidecar
	phaseWaiting                   // until nextCall
	phaseListing
	phaseWatching
)

// Follower keeps a Set up to date from the store and from peers. It is a reducer: Step
// never blocks and takes the time from its events.
type Follower struct {
	set             *Set
	timing          Timing
	rand            *rand.Rand
	storeAnsweredAt time.Time

	hasParent        bool // another router, the parent, reads the store for this one
	phase            storePhase
	nextCall         time.Time
	listNext         bool // the next call to the store is a listing
	nextList         time.Time
	failures         int          // consecutive failed calls to the store
	compactions      int          // watches refused for lack of history since one was answered
	storeVersion     topo.Version // the store has returned all changes up to it
	storeConfirmed   bool         // the store has answered at least once
	unavailableSince time.Time    // when the store stopped answering; zero: it answers
	recoveredAt      time.Time    // when the store last answered again after an outage
	storeIsStale     bool         // the store's last answer was older than what is known here
	era              topo.Era     // of the store
	holdOrdersUntil  time.Time    // orders that a restored store lacks hold until then
	restoredEdition  topo.Version // of the first edition seen in a store restored from an older copy

	peers         []Peer
	connected     []Peer // the peers to which a connection is open
	started       time.Time
	peerWaitOver  bool              // maxPeerWait has passed
	ready         bool              // see Ready
	comparedPeers map[Peer]struct{} // peers that have answered, up to minComparedPeers
	pull          *pull
	peerAhead     Peer // has reported a newer version than this node's
	unobtainable  unobtainable
	announced     announcement
	nextPull      time.Time
	nextCheck     time.Time
	repair        repair

	nextRefresh time.Time
}

// NewFollower returns the Follower of a router, which reads the store. The seed determines
// its jitter.
func NewFollower(seed uint64, timing Timing) *Follower {
	f := NewSidecarFollower(seed)
	f.phase = phaseWaiting
	f.timing = timing
	return f
}

// NewSidecarFollower returns the Follower of a sidecar, which only queries its peers. It
// holds no objects until a router sends it a version; see CopyHolders.
func NewSidecarFollower(seed uint64) *Follower {
	return &Follower{
		set:           NewSet(),
		timing:        DefaultTiming(),
		rand:          rand.New(rand.NewPCG(seed, 0)),
		comparedPeers: make(map[Peer]struct{}),
	}
}

// Set returns the configuration. The caller must not modify it.
func (f *Follower) Set() *Set {
	return f.set
}

// Status returns the current state.
func (f *Follower) Status() Status {
	return Status{
		Version:        f.set.Version(),
		CompleteUpTo:   f.set.CompleteUpTo(),
		Objects:        f.set.Len(),
		Bytes:          f.set.Bytes(),
		StoreAnswered:  f.storeAnsweredAt,
		Failures:       f.failures,
		StoreRecovered: f.recoveredAt,
	}
}

// Ready reports whether the configuration is likely to be recent. A router that starts
// first compares it with a few peers, so that neither a lagging store nor a single
// disconnected peer makes it serve by rules that are no longer in force.
//
// Once true, it stays true. Otherwise a router that has just got a parent would refuse callers
// until the parent answers.
func (f *Follower) Ready() bool {
	return f.ready
}

// isTrusted reports whether there is a configuration and either enough peers have been
// compared or maxPeerWait has passed.
func (f *Follower) isTrusted() bool {
	return f.set.CompleteUpTo() > 0 && (f.hasComparedPeers() || f.peerWaitOver)
}

// hasComparedPeers reports whether minComparedPeers peers have answered, or all if there are
// fewer. If none has answered, the store must have.
func (f *Follower) hasComparedPeers() bool {
	return len(f.comparedPeers) >= min(minComparedPeers, len(f.peers)) && (f.storeConfirmed || len(f.comparedPeers) > 0)
}

// Step applies an event and returns the effects to carry out.
func (f *Follower) Step(event Event) []Effect {
	out := f.step(event)
	f.ready = f.ready || f.isTrusted()
	return out
}

func (f *Follower) step(event Event) []Effect {
	switch e := event.(type) {
	case Ticked:
		return f.ticked(e.Now)
	case Hinted:
		return f.hinted(e.Now)
	case StoreReachable:
		return f.storeReachable(e.Now)
	case StoreReadingSwitched:
		return f.switchStoreReading(e)
	case CallCancelled:
		f.phase, f.nextCall = phaseWaiting, e.Now
		return f.ticked(e.Now)
	case PeersConnected:
		f.connected = e.Peers
	case PeersChanged:
		f.peers = e.Peers
		return f.ticked(e.Now)
	case SummaryReceived:
		return f.compare(e.Now, e.Peer, e.Summary)
	case QueryAnswered:
		return f.queryAnswered(e)
	case QueryFailed:
		if f.pull != nil && f.pull.peer == e.Peer {
			f.pull = nil
		}
	case Listed:
		return f.storeListed(e)
	case Watched:
		return f.storeWatched(e)
	case StoreFailed:
		return f.storeFailed(e)
	}
	return nil
}

func (f *Follower) ticked(now time.Time) []Effect {
	if f.started.IsZero() {
		f.started = now
	}
	f.peerWaitOver = f.peerWaitOver || now.Sub(f.started) >= maxPeerWait
	return append(f.tickStore(now), f.tickPeers(now)...)
}

// jitter returns a random duration from half of d to one and a half times d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rand.Int64N(int64(d)))
}

// applyBatch applies a batch to the Set and reports the objects that have changed.
func (f *Follower) applyBatch(b Batch) []Effect {
	return changedEffects(f.set.Apply(b))
}

func changedEffects(objects []topo.Object) []Effect {
	if len(objects) == 0 {
		return nil
	}
	return []Effect{Changed{Objects: objects}}
}
