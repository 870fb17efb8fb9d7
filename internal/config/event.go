package config

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Peer names a node that can be queried: a sidecar for a router, a connected router for
// a sidecar. The role that runs the Follower assigns the names.
type Peer string

// Event is an input of a Follower.
type Event interface {
	// When returns the time of the event on the monotonic clock, or zero if it does not
	// matter.
	When() time.Time
}

// Ticked reports the passing of time. It occurs every TickInterval.
type Ticked struct{ Now time.Time }

// PeersChanged replaces the peers that can be queried.
type PeersChanged struct {
	Now   time.Time
	Peers []Peer
}

// SummaryReceived is a peer's summary, from a query or piggybacked on other traffic, which
// carries only the version and the digest.
type SummaryReceived struct {
	Now     time.Time
	Peer    Peer
	Summary Summary
}

// QueryAnswered is a peer's answer to a SendQuery.
type QueryAnswered struct {
	Now   time.Time
	Peer  Peer
	Delta Delta
}

// QueryFailed reports that a SendQuery was not answered.
type QueryFailed struct {
	Now  time.Time
	Peer Peer
}

// Listed is a complete listing of the store. Version is that of its oldest page.
type Listed struct {
	Now     time.Time
	Objects []topo.Object
	Version topo.Version
	Whole   bool // as in topo.Page
}

// Watched is the result of a watch that the store answered.
type Watched struct {
	Now   time.Time
	Since topo.Version
	Page  topo.Page
}

// StoreFailed reports a listing or a watch that failed.
type StoreFailed struct {
	Now       time.Time
	Compacted bool // the store no longer has the changes that were requested
	TimedOut  bool // the call ended by its time limit; a listing as a whole has none
}

// PeersConnected names the peers to which a connection is open. Routine comparisons
// prefer them: opening a connection costs more than the comparison itself.
type PeersConnected struct{ Peers []Peer }

// Hinted reports, on behalf of an operator's command, that the store has changed. It ends
// the pause before the next watch, or cancels the current watch, whose connection may have
// stopped responding.
type Hinted struct{ Now time.Time }

// StoreReachable reports that another call to the same store has been answered after an
// outage. It ends the pause of a Follower whose own calls fail.
type StoreReachable struct{ Now time.Time }

// StoreReadingSwitched starts or stops the reading of the store. While it is off, the parent
// reads the store, and this router queries its peers.
type StoreReadingSwitched struct {
	Now time.Time
	On  bool
}

// CallCancelled reports that CancelCall has ended a watch or listing.
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

// Effect is an action that a Follower requests.
type Effect interface{ isConfigEffect() }

// List reads all configuration from the store. Listed or StoreFailed follows.
type List struct{}

// Watch waits for changes in the store. Watched or StoreFailed follows. StoreFailed also
// follows when the store has not answered within WatchGrace after Wait.
type Watch struct {
	Since topo.Version
	Wait  time.Duration
}

// CancelCall cancels the current watch or listing. CallCancelled follows, unless the call
// ends by itself first.
type CancelCall struct{}

// SendQuery sends a query to a peer. QueryAnswered or QueryFailed follows.
type SendQuery struct {
	Peer  Peer
	Query Query
}

// DifferenceFound reports that a peer that is equally complete holds other objects: one
// of the two has missed a change. Queries that repair the difference follow.
type DifferenceFound struct{ Peer Peer }

// StoreUnavailable reports that the store has stopped answering.
type StoreUnavailable struct{}

// StoreRecovered reports that the store answers again, and how long it did not.
type StoreRecovered struct{ After time.Duration }

// StoreStale reports that the store's answers are older than what is known here. It is
// emitted once until an answer of the store is accepted again.
type StoreStale struct{ Received, Known topo.Version }

// StoreRestored reports that the store was restored from an older copy, in a new era.
// Everything written since that copy is lost, including this node's own objects.
type StoreRestored struct{ Era topo.Era }

// Changed reports the objects that have changed. They are in force from now on.
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
