// Package dispatch is the state machine of one caller's request in a router. It
// decides which upstreams the request is offered to, what is tried after a
// failure, and how the request ends. It does no I/O and reads no clock: events
// carry the time, and the router carries out the effects.
package dispatch

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Plan holds the properties and limits of a request that are fixed before its first attempt.
type Plan struct {
	Idempotent   bool // the request may run more than once
	ReadOnly     bool // the request changes nothing
	CallerHasKey bool // the caller supplied the request key: the first attempt runs under it
	AttachOnly   bool // only attach to the response of an earlier request under the caller's key
	Direct       bool // upstreams have no sidecar: an attempt fails when its connection is lost
	Resumable    bool // another run may continue an interrupted response
	MaxOffers    int  // upstreams that the request may be offered to
	MaxSends     int  // upstreams that the request may be sent to; zero: no limit below MaxOffers

	HedgeAfter time.Duration // from the start to a hedged attempt; zero: no hedging
	// SwitchAfter is how long an attempt may go without a response before it is
	// cancelled and another upstream is tried; zero: until a deadline. It serves
	// requests that must not run twice at the same time, which rules out hedging.
	SwitchAfter time.Duration
	FirstByte   time.Time // when the first byte is due; zero: no deadline
	Deadline    time.Time // when the whole response is due; zero: no deadline
}

// Event is an input of the state machine. Attempt, where an event has it, is the
// number from the effect that started the attempt: Offer, Follow, FollowAttach or,
// with Plan.AttachOnly, Attach.
type Event interface{ isEvent() }

// Began starts the request.
type Began struct {
	Now time.Time
}

// Unreachable reports that no connection could be opened for an attempt.
type Unreachable struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// Refused reports that the request was refused by a sidecar, or by an upstream that has
// no sidecar.
type Refused struct {
	Now       time.Time
	Attempt   int
	Err       *verdict.Error
	Successor *wire.Key // successor key under which the request continues; nil: none
	Final     bool      // no other upstream would accept the request
	// Misdirected reports that another upstream, which has the address of the one that was offered the
	// request, has refused it.
	Misdirected bool
}

// ConnectionLost reports that a connection broke after the request had been sent over it.
type ConnectionLost struct {
	Now     time.Time
	Attempt int
}

// Admitted reports that a sidecar has accepted the request and recorded its key.
type Admitted struct {
	Attempt int
}

// ErrorResponse reports a response in which the upstream says that it failed.
type ErrorResponse struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// ResponseStarted reports the first piece of a response.
type ResponseStarted struct {
	Now       time.Time
	Attempt   int
	Resumable bool // another run can continue the response, if the plan allows it
}

// PieceDelivered reports that a piece of the response was passed on to the caller.
type PieceDelivered struct{}

// Stalled reports that the response being delivered has paused for too long.
type Stalled struct {
	Now     time.Time
	Attempt int
}

// Ended reports the end of a response. A nil Err means that the response is complete.
type Ended struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// NotSent reports that an attempt was not sent and never will be.
type NotSent struct {
	Attempt int
}

// Ticked reports that time has passed. It is due at State.Wake.
type Ticked struct {
	Now time.Time
}

func (Began) isEvent()           {}
func (Unreachable) isEvent()     {}
func (Refused) isEvent()         {}
func (ConnectionLost) isEvent()  {}
func (Admitted) isEvent()        {}
func (ErrorResponse) isEvent()   {}
func (ResponseStarted) isEvent() {}
func (PieceDelivered) isEvent()  {}
func (Stalled) isEvent()         {}
func (Ended) isEvent()           {}
func (NotSent) isEvent()         {}
func (Ticked) isEvent()          {}

// Effect is an action that the router carries out for the request.
type Effect interface{ isEffect() }

// Offer submits the request to a candidate. The first attempt runs under the
// caller's key if the caller has one, every other attempt under a new key.
type Offer struct {
	Attempt   int
	Candidate int
	Continue  bool // continue a response that was interrupted, or has paused
	Takeover  bool // the response has paused, and goes on unless this attempt begins first
}

// Follow submits the request under a successor key.
type Follow struct {
	Attempt int
	Key     wire.Key
}

// FollowAttach attaches to the response under a successor key.
type FollowAttach struct {
	Attempt int
	Key     wire.Key
}

// Resubmit sends an attempt to the same sidecar again, under the same key. The
// sidecar runs the request once, however often it is submitted.
type Resubmit struct {
	Attempt int
	Retry   int // consecutive reconnects, including this one
}

// Attach asks for the rest of an attempt's response.
type Attach struct {
	Attempt int
	Retry   int // consecutive reconnects, including this one; zero: the first attach
}

// Deliver starts to deliver an attempt's response to the caller.
type Deliver struct {
	Attempt   int
	Resumable bool // another run may continue the response
}

// Cancel cancels an attempt whose response is no longer needed.
type Cancel struct {
	Attempt int
}

// Finish ends the request. A nil Err means that the whole response was delivered.
type Finish struct {
	Err *verdict.Error
}

func (Offer) isEffect()        {}
func (Follow) isEffect()       {}
func (FollowAttach) isEffect() {}
func (Resubmit) isEffect()     {}
func (Attach) isEffect()       {}
func (Deliver) isEffect()      {}
func (Cancel) isEffect()       {}
func (Finish) isEffect()       {}
