package config

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Times of a Follower.
const (
	// TickInterval is the pace of Ticked.
	TickInterval = 100 * time.Millisecond
	// WatchGrace is how much later than its wait a watch may answer.
	WatchGrace = time.Second

	// firstListDelay is when a router that began with what a peer had verifies it
	// against the store. Later it does so every listEvery, or less often so that
	// the values read stay within listRate in bytes a second. A change that all
	// nodes have missed shows nowhere else.
	firstListDelay     = 5 * time.Minute
	minListInterval    = time.Minute
	listBytesPerSecond = 256

	// peerCheckInterval is how often a router compares with a peer that it draws.
	peerCheckInterval = 2500 * time.Millisecond
	// sidecarCheckInterval is how often a sidecar does so. Many routers ask it as well.
	sidecarCheckInterval = time.Minute
	// outageCheckInterval is the same while the store does not answer.
	outageCheckInterval = 500 * time.Millisecond
	// watchHeadStart is how long a router lets its watch bring what a peer has.
	watchHeadStart = 2 * time.Second
	// queryTimeout is after how long an Ask counts as failed.
	queryTimeout = 2 * time.Second
	// minComparedPeers is how many peers a router has compared with before it trusts
	// a configuration that the store has not confirmed.
	minComparedPeers = 3
	// maxPeerWait is when it stops waiting for them.
	maxPeerWait = 2 * time.Second
)

// Timing is how a Follower calls the store.
type Timing struct {
	// WatchWait is how long a watch of the store waits for a change. It is what
	// a router pays for in calls when nothing happens.
	WatchWait time.Duration
	// WatchWaitAfterFailure is the wait of the first watch after a failed one,
	// so that two silent connections in a row cost less than two full waits.
	WatchWaitAfterFailure time.Duration
	// WatchPause is the mean pause after a watch that brought changes. Without
	// it a burst of changes would wake every router for each of them, which at
	// 330 routers is more than the store serves.
	WatchPause time.Duration
	// Relayed is set where routers rely on what one of them reads. A pause is then
	// part of the watch that follows it, which costs a tenth more calls; and what a
	// listing has shown to be gone is pulled at once, since few routers list.
	Relayed bool
	// RetryInitial and RetryMax bound the pause after a failed call of the store.
	RetryInitial, RetryMax time.Duration
	// PeerWait is how long a new router waits for peers to give it a
	// configuration, before it takes the listing of the store's many pages.
	PeerWait time.Duration
	// FirstWatchDelay is how long after its first listing a router waits before it watches,
	// in case that another one reads the store for it.
	FirstWatchDelay time.Duration
	// PullInterval is the least time between the pulls of a node that does not read
	// the store.
	PullInterval time.Duration
}

// DefaultTiming keeps a change that the store has accepted within 7 s of being in
// force: a watch that has gone silent is given up after WatchWait and
// WatchGrace, and the next one answers at once.
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

// Status is what a Follower knows about its own state.
type Status struct {
	Version        topo.Version `json:"version"`
	CompleteUpTo   topo.Version `json:"complete"`
	Objects        int          `json:"objects"`
	Bytes          int          `json:"bytes"`
	StoreAnswered  time.Time    `json:"store_heard"`         // of the last answer that was not stale
	Failures       int          `json:"failures"`            // of calls of the store, in a row
	StoreRecovered time.Time    `json:"store_back,omitzero"` // when it answered again after an outage
}

// storePhase says what a Follower is doing at the store.
type storePhase uint8

const (
	phaseNone    storePhase = iota // there is no store: a sidecar
	phaseWaiting                   // until resume
	phaseListing
	phaseWatching
)

// Follower keeps a Set up to date from the store and from peers. It is a
// reducer: Step never blocks and takes the time from its events.
type Follower struct {
	set             *Set
	timing          Timing
	rand            *rand.Rand
	storeAnsweredAt time.Time

	delegated        bool // another router reads the store for this one
	phase            storePhase
	nextCall         time.Time
	listNext         bool // the next call of the store is a listing
	nextList         time.Time
	failures         int          // in a row
	storeVersion     topo.Version // by the store, all changes up to here
	storeConfirmed   bool         // the store has answered
	unavailableSince time.Time    // since when it does not answer; zero: it does
	recoveredAt      time.Time    // when it answered again after it had not
	storeIsStale     bool         // its last answer was older than what is known
	era              topo.Era     // of the store
	holdOrdersUntil  time.Time    // orders that the store has lost hold until then
	restoredEdition  topo.Version // of the edition that the store came back with, if it was older

	peers         []Peer
	connected     []Peer // of them, those with a connection
	started       time.Time
	peerWaitOver  bool              // for peers, long enough
	ready         bool              // the configuration has been trusted
	comparedPeers map[Peer]struct{} // peers that have answered, up to enoughPeers
	pull          *pull
	peerAhead     Peer // said to know more than we do
	unobtainable  unobtainable
	announced     announcement
	nextPull      time.Time
	nextCheck     time.Time
	repair        repair

	nextRefresh time.Time
}

// NewFollower returns the Follower of a router, which reads the store at a pace.
// Seed sets its jitter.
func NewFollower(seed uint64, timing Timing) *Follower {
	f := NewSidecarFollower(seed)
	f.phase = phaseWaiting
	f.timing = timing
	return f
}

// NewSidecarFollower returns the Follower of a sidecar, which only asks its peers. It keeps
// nothing until a router tells it of a version; see Copies.
func NewSidecarFollower(seed uint64) *Follower {
	return &Follower{
		set:           NewSet(),
		timing:        DefaultTiming(),
		rand:          rand.New(rand.NewPCG(seed, 0)),
		comparedPeers: make(map[Peer]struct{}),
	}
}

// Set returns the configuration, for reading.
func (f *Follower) Set() *Set {
	return f.set
}

// Status returns how far the Follower is.
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

// Ready reports whether the configuration can be trusted to be a recent one:
// a router that starts has compared it with a few peers, so that neither a
// store that lags nor a single peer that was cut off makes it serve by rules
// that are no longer in force.
//
// Once it is trusted it stays so. A router that has just begun to rely on another
// one, which it has yet to hear, would else refuse callers for a moment.
func (f *Follower) Ready() bool {
	return f.ready
}

func (f *Follower) isTrusted() bool {
	return f.set.CompleteUpTo() > 0 && (f.hasComparedPeers() || f.peerWaitOver)
}

func (f *Follower) hasComparedPeers() bool {
	return len(f.comparedPeers) >= min(minComparedPeers, len(f.peers)) && (f.storeConfirmed || len(f.comparedPeers) > 0)
}

// Step applies an event.
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

// jitter returns a time between half of d and one and a half.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rand.Int64N(int64(d)))
}

// applyBatch applies a batch and tells the role.
func (f *Follower) applyBatch(b Batch) []Effect {
	return changedEffects(f.set.Apply(b))
}

func changedEffects(objects []topo.Object) []Effect {
	if len(objects) == 0 {
		return nil
	}
	return []Effect{Changed{Objects: objects}}
}
