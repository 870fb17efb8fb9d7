package relay

import (
	"time"
)

// Event is an input of a State.
type Event interface {
	// When returns the time of the event, on the monotonic clock.
	When() time.Time
}

// Ticked reports the current time. It drives all timeouts and intervals.
type Ticked struct{ Now time.Time }

// Registered lists the routers that are registered in the store.
type Registered struct {
	Now     time.Time
	Routers []Router
}

// HeartbeatReceived is a heartbeat from another router.
type HeartbeatReceived struct {
	Now       time.Time
	Heartbeat Heartbeat
}

// SubscribeReceived is a subscription from another router.
type SubscribeReceived struct {
	Now       time.Time
	Subscribe Subscribe
}

// ProgressUpdated reports the progress of this router on each set. The ages come from
// its own reading of the store.
type ProgressUpdated struct {
	Now          time.Time
	Progress     Sets[Progress]
	StoreFailing bool // the store does not answer this router
}

// Resumed marks the end of a suspension of the process, during which its clock may have
// stopped. Ages computed before it are invalid.
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

// Effect is an action that a State asks its caller to perform.
type Effect interface{ isRelayEffect() }

// SendHeartbeat sends a heartbeat to a router.
type SendHeartbeat struct {
	To        Router
	Heartbeat Heartbeat
}

// SendSubscribe sends a subscription to a router.
type SendSubscribe struct {
	To        Router
	Subscribe Subscribe
}

// SendReport sends a Report to a router. The caller fills in its payload.
type SendReport struct {
	To     Router
	Report Report
}

// SwitchStoreReading starts or stops the reading of the store.
type SwitchStoreReading struct{ On bool }

// SetParent sets the router to pull missing objects from. An empty Router means that
// there is none.
type SetParent struct{ Parent Router }

// ParentProgress passes on the progress that the parent has published, so that the
// caller can pull what this router lacks.
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
