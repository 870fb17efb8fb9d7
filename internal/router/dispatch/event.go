// Package dispatch is the state machine of one caller's request in a router:
// where it is offered, what is tried after a failure, and what its caller is
// told. It is pure: it knows no connections and no clocks.
package dispatch

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Plan is what is known of a request before it is offered to anyone.
type Plan struct {
	Idempotent   bool // it may run more than once
	ReadOnly     bool // it changes nothing
	CallerHasKey bool // its caller holds the key: the first attempt runs under it
	AttachOnly   bool // only the answer to an earlier request under the held key is wanted
	Direct       bool // upstreams have no sidecar: a lost connection is not opened again
	Resumable    bool // another run may go on with an answer that has broken off
	MaxOffers    int  // how many upstreams it may be offered to
	MaxSends     int  // how many of them it may be sent to; zero: all

	HedgeAfter time.Duration // until a second attempt; zero: none
	// SwitchAfter is how long an attempt that has said nothing is waited for before
	// it is given up for another upstream; zero: until a deadline. It is for
	// requests of which two runs at the same time are not wanted.
	SwitchAfter time.Duration
	FirstByte   time.Time // when the first byte is due; zero: no deadline
	Deadline    time.Time // when the whole answer is due; zero: no deadline
}

// Event is something that has happened to the request. Attempt is the number
// that the attempt's Offer or Follow gave.
type Event interface{ isEvent() }

// Began starts the request.
type Began struct {
	Now time.Time
}

// Unreachable is an attempt to which no connection could be opened.
type Unreachable struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// Refused is a sidecar's answer that it has not admitted the request.
type Refused struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
	Moved   *wire.Key // the key under which the request goes on, if any
	Final   bool      // no other upstream would take it
}

// ConnectionLost is a connection that broke after the request had been sent over it.
type ConnectionLost struct {
	Now     time.Time
	Attempt int
}

// Admitted is a sidecar's answer that the request is in its table.
type Admitted struct {
	Attempt int
}

// ErrorResponse is an answer that is there and tells of a failure of the upstream.
type ErrorResponse struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// ResponseStarted is the first piece of an answer.
type ResponseStarted struct {
	Now       time.Time
	Attempt   int
	Resumable bool // another run can go on with it, if the plan allows
}

// PieceDelivered is a piece of the answer that the caller has taken.
type PieceDelivered struct{}

// Stalled is an answer that goes to the caller and has paused for too long.
type Stalled struct {
	Now     time.Time
	Attempt int
}

// Ended is the end of an answer; a nil Err means that it is whole.
type Ended struct {
	Now     time.Time
	Attempt int
	Err     *verdict.Error
}

// NotSent is an attempt that had not been sent and never will be.
type NotSent struct {
	Attempt int
}

// Ticked is the passing of time. It is due at Wake.
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

// Effect is something to be done for the request.
type Effect interface{ isEffect() }

// Offer submits the request to a candidate, under the caller's key if the
// caller holds one and this is the first attempt, else under a fresh key.
type Offer struct {
	Attempt   int
	Candidate int
	Continue  bool // only the rest of an answer that has broken off is wanted
}

// Follow submits the request under a successor key.
type Follow struct {
	Attempt int
	Key     wire.Key
}

// FollowAttach asks for the answer under a successor key.
type FollowAttach struct {
	Attempt int
	Key     wire.Key
}

// Resubmit sends an attempt to the same sidecar again, under the same key. The
// sidecar runs it once however often it comes.
type Resubmit struct {
	Attempt int
	Retry   int // how many reconnects in a row this is
}

// Attach asks for the rest of an attempt's answer.
type Attach struct {
	Attempt int
	Retry   int
}

// Deliver starts sending an attempt's answer to the caller.
type Deliver struct {
	Attempt   int
	Resumable bool // another run may go on with it
}

// Cancel cancels an attempt whose answer is not needed any more.
type Cancel struct {
	Attempt int
}

// Finish ends the request. A nil Err means that the answer went out whole.
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
