// Package verdict says whether a request may have run.
//
// Every error that crosses a package edge on the request path carries a
// Verdict. The verdict alone decides whether the request may be tried again
// and what its caller is told.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value: where nothing is known, nothing is ruled out.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the upstream has started, and perhaps finished, the request.
	Ran
)

// Names of the verdicts as callers and peers see them.
const (
	nameMayHaveRun = "may-have-run"
	nameNotRun     = "not-run"
	nameRan        = "ran"
)

// String returns the verdict's name on the wire.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return nameNotRun
	case Ran:
		return nameRan
	default:
		return nameMayHaveRun
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. A name that it does not
// know becomes MayHaveRun, since a newer peer may say more than we understand.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case nameNotRun:
		*v = NotRun
	case nameRan:
		*v = Ran
	default:
		*v = MayHaveRun
	}
	return nil
}

// Reason names why a request was refused or cut short. Reasons are stable:
// callers and alerts match on them.
type Reason string

const (
	// ReasonBadRequest is a request that can never succeed as sent.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnauthorized is a missing or unknown API key.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonForbidden is a profile or request id that the organisation may not use.
	ReasonForbidden Reason = "forbidden"
	// ReasonUnknownProfile is a profile, model or service that does not exist.
	ReasonUnknownProfile Reason = "unknown-profile"
	// ReasonUnknownRequest is a request id of which nothing is known.
	ReasonUnknownRequest Reason = "unknown-request"
	// ReasonTooLarge is a body over its profile's limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonBadKey is a request key that we did not sign, or that has expired.
	ReasonBadKey Reason = "bad-key"
	// ReasonOverBound is an upstream at its multiple of the pool's mean load.
	ReasonOverBound Reason = "over-bound"
	// ReasonQueueFull is a queue at the bound of its profile.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline is a deadline that has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining is an upstream or router that is leaving.
	ReasonDraining Reason = "draining"
	// ReasonNoUpstream is a pool in which no upstream could be reached.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUpstreamDown is an upstream process that does not accept work.
	ReasonUpstreamDown Reason = "upstream-down"
	// ReasonUpstreamFailed is an upstream that failed while the request was running.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonIncarnationGone is a request key whose sidecar incarnation has ended.
	ReasonIncarnationGone Reason = "incarnation-gone"
	// ReasonEvicted is a request key that has left its sidecar's table.
	ReasonEvicted Reason = "evicted"
	// ReasonMoved is a request key whose execution moved to a successor key.
	ReasonMoved Reason = "moved"
	// ReasonKeyReused is a request key that came back with a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonQuarantined is a request that is known to crash its upstream.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspect is a request that may have crashed an upstream and waits
	// for its turn to run alone.
	ReasonSuspect Reason = "suspect"
	// ReasonFenced is an order from a former holder of a lease.
	ReasonFenced Reason = "fenced"
	// ReasonNoOrders is an upstream that takes no orders.
	ReasonNoOrders Reason = "no-orders"
	// ReasonBusy is an upstream that works on another order.
	ReasonBusy Reason = "busy"
	// ReasonStoreDown is an idempotency key that could not be claimed.
	ReasonStoreDown Reason = "store-down"
	// ReasonConcurrency is an organisation at its concurrency limit.
	ReasonConcurrency Reason = "concurrency"
	// ReasonCancelled is a request that its caller cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonConnection is a connection to a sidecar that broke or went silent.
	ReasonConnection Reason = "connection"
	// ReasonAnswerGone is an answer that is no longer held.
	ReasonAnswerGone Reason = "answer-gone"
	// ReasonInternal is a failure that none of the other reasons covers.
	ReasonInternal Reason = "internal"
)

// Error is an error with the verdict on the request that it concerns.
type Error struct {
	Verdict    Verdict       `json:"verdict"`
	Reason     Reason        `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // zero: no advice
	// EarlierUnknown limits a NotRun to this arrival of the request: of earlier
	// ones under the same key nothing is known.
	EarlierUnknown bool `json:"earlier_unknown,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an Error without advice on when to come back.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error within err. An error without a verdict is one of
// which nothing is known, so it becomes MayHaveRun.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "%s", err)
}
