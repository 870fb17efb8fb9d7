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

// Heard is a peer's mark, from a query or on the back of traffic. Traffic
// carries the version only.
type Heard struct {
	Now  time.Time
	Peer Peer
	Mark Summary
}

// Answered is a peer's answer to an Ask.
type Answered struct {
	Now   time.Time
	Peer  Peer
	Delta Delta
}

// AskFailed is an Ask without an answer.
type AskFailed struct {
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

// PeersNear names the peers that a connection is open to. Routine comparisons
// prefer them: a new connection costs more than what is compared.
type PeersNear struct{ Peers []Peer }

// Hinted is word from an operator's command that the store has news. It ends
// the pause before the next watch, or the watch that waits: that one may have
// gone silent.
type Hinted struct{ Now time.Time }

// StoreWorks is word that another call of the same store has just been answered
// again. It ends the pause of a Follower that has lost it.
type StoreWorks struct{ Now time.Time }

// Duty starts or ends the reading of the store. While it is off, another router
// reads it for this one, which asks its peers.
type Duty struct {
	Now time.Time
	On  bool
}

// Unwatched is the end of a watch or listing that Unwatch has cut short.
type Unwatched struct{ Now time.Time }

// When implements Event.
func (e Ticked) When() time.Time { return e.Now }

// When implements Event.
func (e StoreWorks) When() time.Time { return e.Now }

// When implements Event.
func (e Hinted) When() time.Time { return e.Now }

// When implements Event.
func (e Duty) When() time.Time { return e.Now }

// When implements Event.
func (e PeersChanged) When() time.Time { return e.Now }

// When implements Event.
func (PeersNear) When() time.Time { return time.Time{} }

// When implements Event.
func (e Unwatched) When() time.Time { return e.Now }

// When implements Event.
func (e Heard) When() time.Time { return e.Now }

// When implements Event.
func (e Answered) When() time.Time { return e.Now }

// When implements Event.
func (e AskFailed) When() time.Time { return e.Now }

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

// Unwatch cuts the present watch or listing short. Unwatched follows, unless it ends
// by itself before.
type Unwatch struct{}

// Ask sends a query to a peer. Answered or AskFailed follows.
type Ask struct {
	Peer  Peer
	Query Query
}

// Differed tells that a peer that is as complete holds other objects: somewhere a
// change went missing. Asks that settle it follow.
type Differed struct{ Peer Peer }

// StoreLost tells that the store does not answer any more.
type StoreLost struct{}

// StoreRegained tells that the store answers again.
type StoreRegained struct{ After time.Duration }

// StoreBehind tells that the store answers, with what is older than what is known. It
// is told once until the store is used again.
type StoreBehind struct{ Told, Known topo.Version }

// StoreRestored tells that the store has come back from an older copy, in a new era. What
// was written there since the copy is gone, the node's own objects too.
type StoreRestored struct{ Era topo.Era }

// Changed tells the role which objects have changed. They are in force from now.
type Changed struct{ Objects []topo.Object }

func (List) isConfigEffect()          {}
func (Watch) isConfigEffect()         {}
func (Unwatch) isConfigEffect()       {}
func (Ask) isConfigEffect()           {}
func (Changed) isConfigEffect()       {}
func (Differed) isConfigEffect()      {}
func (StoreLost) isConfigEffect()     {}
func (StoreRegained) isConfigEffect() {}
func (StoreBehind) isConfigEffect()   {}
func (StoreRestored) isConfigEffect() {}
