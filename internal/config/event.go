package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Peer names a node that can be asked: a sidecar for a router, a connected
// router for a sidecar. The role that runs the Follower gives the names.
type Peer string

// Event is something that has happened to a Follower.
type Event interface {
	// When returns the time of the event, on the monotonic clock; zero: it does not
	// matter.
	When() time.Time
}

// Ticked is the passing of time, every TickEvery.
type Ticked struct{ Now time.Time }

// PeersChanged replaces the peers that can be asked.
type PeersChanged struct {
	Now   time.Time
	Peers []Peer
}

// SummaryReceived is a peer's mark, from a query or on the back of traffic. Traffic
// carries the version only.
type SummaryReceived struct {
	Now     time.Time
	Peer    Peer
	Summary Summary
}

// QueryAnswered is a peer's answer to an Ask.
type QueryAnswered struct {
	Now   time.Time
	Peer  Peer
	Delta Delta
}

// QueryFailed is an Ask without an answer.
type QueryFailed struct {
	Now  time.Time
	Peer Peer
}

// Listed is a whole listing of the store. Version is that of its oldest page.
type Listed struct {
	Now     time.Time
	Objects []topo.Object
	Version topo.Version
	Whole   bool // as in topo.Page
}

// Watched is the end of a watch that the store has answered.
type Watched struct {
	Now   time.Time
	Since topo.Version
	Page  topo.Page
}

// StoreFailed is a listing or a watch that has failed.
type StoreFailed struct {
	Now       time.Time
	Compacted bool // the store no longer holds the changes that were asked for
	Silent    bool // no answer came in time
}

// PeersConnected names the peers that a connection is open to. Routine comparisons
// prefer them: a new connection costs more than what is compared.
type PeersConnected struct{ Peers []Peer }

// Hinted is word from an operator's command that the store has news. It ends
// the pause before the next watch, or the watch that waits: that one may have
// gone silent.
type Hinted struct{ Now time.Time }

// StoreReachable is word that another call of the same store has just been answered
// again. It ends the pause of a Follower that has lost it.
type StoreReachable struct{ Now time.Time }

// StoreReadingSwitched starts or ends the reading of the store. While it is off, another router
// reads it for this one, which asks its peers.
type StoreReadingSwitched struct {
	Now time.Time
	On  bool
}

// CallCancelled is the end of a watch or listing that Unwatch has cut short.
type CallCancelled struct{ Now time.Time }

// When implements Event.
func (e Ticked) When() time.Time { return e.Now }

// When implements Event.
func (e StoreReachable) When() time.Time { return e.Now }

// When implements Event.
func (e Hinted) When() time.Time { return e.Now }

// When implements Event.
func (e StoreReadingSwitched) When() time.Time { return e.Now }

// When implements Event.
func (e PeersChanged) When() time.Time { return e.Now }

// When implements Event.
func (PeersConnected) When() time.Time { return time.Time{} }

// When implements Event.
func (e CallCancelled) When() time.Time { return e.Now }

// When implements Event.
func (e SummaryReceived) When() time.Time { return e.Now }

// When implements Event.
func (e QueryAnswered) When() time.Time { return e.Now }

// When implements Event.
func (e QueryFailed) When() time.Time { return e.Now }

// When implements Event.
func (e Listed) When() time.Time { return e.Now }

// When implements Event.
func (e Watched) When() time.Time { return e.Now }

// When implements Event.
func (e StoreFailed) When() time.Time { return e.Now }

// Effect is something that a Follower is to do.
type Effect interface{ isConfigEffect() }

// List reads all configuration from the store. Listed or StoreFailed follows.
type List struct{}

// Watch waits for changes in the store. Watched or StoreFailed follows, the
// latter also when no answer has come watchGrace after Wait.
type Watch struct {
	Since topo.Version
	Wait  time.Duration
}

// CancelCall cuts the present watch or listing short. Unwatched follows, unless it ends
// by itself before.
type CancelCall struct{}

// SendQuery sends a query to a peer. Answered or AskFailed follows.
type SendQuery struct {
	Peer  Peer
	Query Query
}

// DifferenceFound tells that a peer that is as complete holds other objects: somewhere a
// change went missing. Asks that settle it follow.
type DifferenceFound struct{ Peer Peer }

// StoreUnavailable tells that the store does not answer any more.
type StoreUnavailable struct{}

// StoreRecovered tells that the store answers again.
type StoreRecovered struct{ After time.Duration }

// StoreStale tells that the store answers, with what is older than what is known. It
// is told once until the store is used again.
type StoreStale struct{ Received, Known topo.Version }

// StoreRestored tells that the store has come back from an older copy, in a new era. What
// was written there since the copy is gone, the node's own objects too.
type StoreRestored struct{ Era topo.Era }

// Changed tells the role which objects have changed. They are in force from now.
type Changed struct{ Objects []topo.Object }

func (List) isConfigEffect()             {}
func (Watch) isConfigEffect()            {}
func (CancelCall) isConfigEffect()       {}
func (SendQuery) isConfigEffect()        {}
func (Changed) isConfigEffect()          {}
func (DifferenceFound) isConfigEffect()  {}
func (StoreUnavailable) isConfigEffect() {}
func (StoreRecovered) isConfigEffect()   {}
func (StoreStale) isConfigEffect()       {}
func (StoreRestored) isConfigEffect()    {}
