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
	Now   time.Time
	Nodes []Node
}

// BeatHeard is a beat of another router.
type BeatHeard struct {
	Now  time.Time
	Beat Beat
}

// SubscribeHeard is a subscription of another router.
type SubscribeHeard struct {
	Now       time.Time
	Subscribe Subscribe
}

// Followed is how far this router follows the sets. The ages are those of its own
// reading of the store.
type Followed struct {
	Now       time.Time
	Knowledge Sets[Knowledge]
	Failing   bool // the store does not answer it
}

// Woke is the end of a time in which the router did not run and its clock may
// have stood still: ages that were worked out before mean nothing.
type Woke struct{ Now time.Time }

// When implements Event.
func (e Ticked) When() time.Time { return e.Now }

// When implements Event.
func (e Registered) When() time.Time { return e.Now }

// When implements Event.
func (e BeatHeard) When() time.Time { return e.Now }

// When implements Event.
func (e SubscribeHeard) When() time.Time { return e.Now }

// When implements Event.
func (e Followed) When() time.Time { return e.Now }

// When implements Event.
func (e Woke) When() time.Time { return e.Now }

// Effect is something that a State wants done.
type Effect interface{ isRelayEffect() }

// SendBeat sends a beat to a router.
type SendBeat struct {
	To   Node
	Beat Beat
}

// SendSubscribe sends a subscription to a router.
type SendSubscribe struct {
	To        Node
	Subscribe Subscribe
}

// SendShare sends a router what this one has heard, or knows, beside the sets.
type SendShare struct {
	To    Node
	Share Share
}

// Read starts or ends the reading of the store.
type Read struct{ On bool }

// Rely names the router to pull from what a beat shows to be missing; an empty
// Node: none.
type Rely struct{ On Node }

// Told is what the parent knows.
type Told struct {
	Parent    Node
	Knowledge Sets[Knowledge]
}

func (SendBeat) isRelayEffect() {}

func (SendSubscribe) isRelayEffect() {}

func (SendShare) isRelayEffect() {}

func (Read) isRelayEffect() {}

func (Rely) isRelayEffect() {}

func (Told) isRelayEffect() {}
