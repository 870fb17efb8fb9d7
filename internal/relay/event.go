package relay

import (
	"time"
)

// Event is something that has happened to a State.
type Event interface {
	// When returns the time of the event, on the monotonic clock.
	When() time.Time
}

// Ticked is the passing of time.
type Ticked struct{ Now time.Time }

// Registered names routers that the store knows.
type Registered struct {
	Now     time.Time
	Routers []Router
}

// HeartbeatReceived is a beat of another router.
type HeartbeatReceived struct {
	Now       time.Time
	Heartbeat Heartbeat
}

// SubscribeReceived is a subscription of another router.
type SubscribeReceived struct {
	Now       time.Time
	Subscribe Subscribe
}

// ProgressUpdated is how far this router follows the sets. The ages are those of its own
// reading of the store.
type ProgressUpdated struct {
	Now          time.Time
	Progress     Sets[Progress]
	StoreFailing bool // the store does not answer it
}

// Resumed is the end of a time in which the router did not run and its clock may
// have stood still: ages that were worked out before mean nothing.
type Resumed struct{ Now time.Time }

// When implements Event.
func (e Ticked) When() time.Time { return e.Now }

// When implements Event.
func (e Registered) When() time.Time { return e.Now }

// When implements Event.
func (e HeartbeatReceived) When() time.Time { return e.Now }

// When implements Event.
func (e SubscribeReceived) When() time.Time { return e.Now }

// When implements Event.
func (e ProgressUpdated) When() time.Time { return e.Now }

// When implements Event.
func (e Resumed) When() time.Time { return e.Now }

// Effect is something that a State wants done.
type Effect interface{ isRelayEffect() }

// SendHeartbeat sends a beat to a router.
type SendHeartbeat struct {
	To        Router
	Heartbeat Heartbeat
}

// SendSubscribe sends a subscription to a router.
type SendSubscribe struct {
	To        Router
	Subscribe Subscribe
}

// SendReport sends a router what this one has heard, or knows, beside the sets.
type SendReport struct {
	To     Router
	Report Report
}

// SwitchStoreReading starts or ends the reading of the store.
type SwitchStoreReading struct{ On bool }

// SetParent names the router to pull from what a beat shows to be missing; an empty
// Node: none.
type SetParent struct{ Parent Router }

// ParentProgress is what the parent knows.
type ParentProgress struct {
	Parent   Router
	Progress Sets[Progress]
}

func (SendHeartbeat) isRelayEffect() {}

func (SendSubscribe) isRelayEffect() {}

func (SendReport) isRelayEffect() {}

func (SwitchStoreReading) isRelayEffect() {}

func (SetParent) isRelayEffect() {}

func (ParentProgress) isRelayEffect() {}
