// Package verdict defines errors that state whether a request may have run.
//
// Every error that crosses a package boundary on the request path carries a
// Verdict. The verdict alone decides whether the request may be retried and which
// outcome its caller sees.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have run. It is the zero
	// value, so that an unset Verdict rules nothing out.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the upstream has started, and perhaps finished, the request.
	Ran
)

// Names of the verdicts on the wire, for callers and peers.
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

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name, such as one
// from a newer peer, becomes MayHaveRun.
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

// Reason names why a request was refused or ended early. Reasons are stable: callers
// and alerts match on them.
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
	// ReasonUnknownRequest is a request id under which the organisation or the sidecar
	// has no request.
	ReasonUnknownRequest Reason = "unknown-request"
	// ReasonTooLarge is a body larger than its profile allows.
	ReasonTooLarge Reason = "too-large"
	// ReasonBadKey is a key that has expired or is invalid, such as a request key with a
	// wrong signature.
	ReasonBadKey Reason = "bad-key"
	// ReasonOverBound is an upstream at its load bound, a multiple of the pool's mean
	// load.
	ReasonOverBound Reason = "over-bound"
	// ReasonQueueFull is a queue at the limit of its profile.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline is a deadline that has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining is an upstream or router that is leaving.
	ReasonDraining Reason = "draining"
	// ReasonNoUpstream is a pool without a usable upstream, or an upstream or sidecar to
	// which no connection could be opened.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUpstreamDown is an upstream process that is down although its VM or sidecar
	// responds, or whose address another upstream has now.
	ReasonUpstreamDown Reason = "upstream-down"
	// ReasonUpstreamFailed is an upstream that failed while the request was running.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonIncarnationGone is a request key of a sidecar that has restarted or left since
	// the key was created, so that it is unknown whether the request has run.
	ReasonIncarnationGone Reason = "incarnation-gone"
	// ReasonEvicted is a request key that was evicted from its sidecar's table of keys.
	ReasonEvicted Reason = "evicted"
	// ReasonMoved is a request key whose execution moved to a successor key.
	ReasonMoved Reason = "moved"
	// ReasonKeyReused is a request key that was used again for a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonQuarantined is a request that is known to crash its upstream.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspect is a request that may have crashed an upstream and waits to be
	// run alone.
	ReasonSuspect Reason = "suspect"
	// ReasonFenced is an order of the controller with an outdated fencing token: its
	// sender no longer holds the controller's lease.
	ReasonFenced Reason = "fenced"
	// ReasonNoOrders is an upstream that accepts no orders of the controller.
	ReasonNoOrders Reason = "no-orders"
	// ReasonBusy is an upstream that is carrying out another order.
	ReasonBusy Reason = "busy"
	// ReasonStoreDown is an idempotency key that could not be claimed, or an order whose
	// fencing token could not be checked, because the store did not respond, has lost its
	// latest writes, or has not been read yet.
	ReasonStoreDown Reason = "store-down"
	// ReasonConcurrency is an organisation at its concurrency limit.
	ReasonConcurrency Reason = "concurrency"
	// ReasonOverShare is a request beyond its organisation's share of a pool that is too small
	// for all organisations.
	ReasonOverShare Reason = "over-share"
	// ReasonPoolShort is a request within its organisation's share of such a pool, whose place
	// goes to a more urgent one.
	ReasonPoolShort Reason = "pool-short"
	// ReasonOriginUnknown is a stream to be continued of which it is not known at which software version
	// it began.
	ReasonOriginUnknown Reason = "origin-unknown"
	// ReasonVersionGone is a stream to be continued that began at a software version which no upstream has
	// any more.
	ReasonVersionGone Reason = "version-gone"
	// ReasonCancelled is a request that its caller cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonConnection is a connection to an upstream or its sidecar that broke or
	// stalled.
	ReasonConnection Reason = "connection"
	// ReasonAnswerGone is a response that is no longer kept.
	ReasonAnswerGone Reason = "answer-gone"
	// ReasonInternal is a failure that none of the other reasons covers.
	ReasonInternal Reason = "internal"
)

// Error is an error with the verdict on the affected request.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
	Detail  string  `json:"detail,omitempty"`
	// RetryAfter is after which time the caller should retry; zero: not given.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// EarlierUnknown reports that NotRun holds only for this submission of the request.
	// Whether an earlier submission under the same key has run is unknown.
	EarlierUnknown bool `json:"earlier_unknown,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an Error without a RetryAfter.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error in err's chain, or nil if err is nil. An err without an Error
// becomes a MayHaveRun with ReasonInternal.
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
