package retry

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Decision is how to proceed after a failed attempt.
type Decision uint8

const (
	// Stop means that the failure is final.
	Stop Decision = iota
	// Reroute means that the request may be offered to another upstream. The failed attempt did
	// not reach any, so this takes nothing from the budget.
	Reroute
	// Retry means that the request may run again if the budget allows it.
	Retry
)

// Cause is why another attempt of a request is wanted.
type Cause string

// Causes of further attempts.
const (
	CauseFailure Cause = "failure" // an attempt failed
	CauseHedge   Cause = "hedge"   // an attempt is slow, and a second one is to run beside it
	CauseSlow    Cause = "slow"    // an attempt has no answer yet, and another one is to replace it
	CauseStall   Cause = "stall"   // an answer has paused, and another upstream is to continue it
)

// Failure describes a failed attempt.
type Failure struct {
	Err *verdict.Error
	// Reached reports whether the request reached the upstream, whether or not the upstream
	// accepted it. It is false if no connection could be opened, or if a sidecar rejected the
	// request or ended it while it waited.
	Reached bool
	// Final reports whether no other upstream would accept the request.
	Final bool
}

// ReachedUpstream reports whether a request admitted by a sidecar reached the upstream before it
// failed. A request that only waited at the sidecar has cost the upstream nothing.
func ReachedUpstream(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.ReasonDraining, verdict.ReasonDeadline, verdict.ReasonSuspect:
		return err.Verdict != verdict.NotRun
	}
	return true
}

// RequestInfo holds the properties of a request that determine whether it may be retried.
type RequestInfo struct {
	Idempotent    bool // the profile allows the request to run more than once
	ReadOnly      bool // the method is safe in the HTTP sense
	AnswerStarted bool // part of the answer has been sent to the caller
}

// Decide returns how to proceed after a failure.
//
// Once part of the answer has been sent, the request must not run again: a second run may answer
// differently, and the caller would receive the beginning of one answer with the end of another.
func Decide(f Failure, c RequestInfo) Decision {
	if c.AnswerStarted || f.Final || !maySucceedElsewhere(f.Err.Reason) {
		return Stop
	}
	notRun := f.Err.Verdict == verdict.NotRun
	switch {
	case !notRun && f.Err.Reason == verdict.ReasonDeadline:
		return Stop
	case notRun && !f.Reached:
		return Reroute
	case notRun || c.Idempotent:
		return Retry
	default:
		return Stop
	}
}

// maySucceedElsewhere reports whether a request that failed for a reason may succeed at another
// upstream. A reason that is not listed, such as one of a newer peer, is treated as final.
func maySucceedElsewhere(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonUpstreamFailed, verdict.ReasonIncarnationGone, verdict.ReasonUnknownRequest,
		verdict.ReasonAnswerGone, verdict.ReasonEvicted, verdict.ReasonDeadline:
		return true
	case verdict.ReasonOverShare, verdict.ReasonPoolShort:
		// They hold for all upstreams of the pool.
		return false
	}
	return Transient(r)
}

// Transient reports whether the same request may be accepted a short time later.
func Transient(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonOverBound, verdict.ReasonQueueFull, verdict.ReasonDraining,
		verdict.ReasonNoUpstream, verdict.ReasonUpstreamDown, verdict.ReasonConnection,
		verdict.ReasonInternal, verdict.ReasonSuspect, verdict.ReasonStoreDown, verdict.ReasonConcurrency, verdict.ReasonDeadline,
		verdict.ReasonOverShare, verdict.ReasonPoolShort:
		return true
	}
	return false
}

// MayHedge reports whether a second attempt may start while the first is still running. This is
// limited to reads: for a write declared idempotent, two concurrent runs are riskier than two
// runs in sequence.
func MayHedge(c RequestInfo) bool {
	return c.Idempotent && c.ReadOnly && !c.AnswerStarted
}

const (
	firstBackoff = 50 * time.Millisecond  // before the second attempt; doubles with each further one
	maxBackoff   = 800 * time.Millisecond // limit of the doubling
)

// Backoff returns the delay before the nth attempt to reconnect, with n starting at 1. The first
// attempt is immediate, because most lost connections were only dropped by an intermediary.
// jitter, from 0 to 1, selects a delay from half of the backoff to all of it, which spreads the
// attempts of routers that lost the same upstream.
func Backoff(n int, jitter float64) time.Duration {
	if n <= 1 {
		return 0
	}
	d := firstBackoff
	for range n - 2 {
		d = min(2*d, maxBackoff)
	}
	return d/2 + time.Duration(jitter*float64(d)/2)
}
