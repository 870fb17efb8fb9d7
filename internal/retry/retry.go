package retry

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Decision is what may follow a failed attempt.
type Decision uint8

const (
	// Stop means that the failure is final.
	Stop Decision = iota
	// Reroute means that the request may be offered to another upstream. The
	// failed attempt reached none, so this costs no budget.
	Reroute
	// Retry means that the request may run again, if the budget allows.
	Retry
)

// Failure is how an attempt has failed.
type Failure struct {
	Err *verdict.Error
	// Reached reports that the upstream was asked, even if it took nothing.
	Reached bool
	// Final reports that no other upstream would take the request.
	Final bool
}

// ReachedUpstream reports whether a request that its sidecar had admitted got as far as
// the upstream before it failed. One that only waited there has cost the
// upstream nothing.
func ReachedUpstream(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.ReasonDraining, verdict.ReasonDeadline, verdict.ReasonSuspect:
		return err.Verdict != verdict.NotRun
	}
	return true
}

// Conditions are the properties of a request on which a retry depends.
type Conditions struct {
	Idempotent    bool // the profile allows the request to run more than once
	ReadOnly      bool // the method is safe: it changes nothing
	AnswerStarted bool // the caller has been sent a part of the answer
}

// Decide returns what may follow a failure.
//
// Once a part of the answer has gone out, nothing may: a second run may answer
// differently, and the caller would get the head of one answer with the tail
// of another.
func Decide(f Failure, c Conditions) Decision {
	if c.AnswerStarted || f.Final || !mayDifferElsewhere(f.Err.Reason) {
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

// mayDifferElsewhere reports whether a reason may not hold at another upstream. A reason
// that is not listed, such as one of a newer peer, counts as final.
func mayDifferElsewhere(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonUpstreamFailed, verdict.ReasonIncarnationGone, verdict.ReasonUnknownRequest,
		verdict.ReasonAnswerGone, verdict.ReasonEvicted, verdict.ReasonDeadline:
		return true
	}
	return Transient(r)
}

// Transient reports whether a refusal may not be repeated a little later.
func Transient(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonOverBound, verdict.ReasonQueueFull, verdict.ReasonDraining,
		verdict.ReasonNoUpstream, verdict.ReasonUpstreamDown, verdict.ReasonConnection,
		verdict.ReasonInternal, verdict.ReasonSuspect, verdict.ReasonStoreDown, verdict.ReasonConcurrency, verdict.ReasonDeadline:
		return true
	}
	return false
}

// MayHedge reports whether a second attempt may start while the first is still
// out. Only for reads: of a write that is called idempotent, two runs at the
// same time are still more than one run after the other.
func MayHedge(c Conditions) bool {
	return c.Idempotent && c.ReadOnly && !c.AnswerStarted
}

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Backoff returns how long to wait before reconnecting for the nth time, from
// 1 on. The first time is at once: most lost connections were only forgotten
// by something in between. jitter, from 0 to 1, spreads the routers that lost
// the same upstream.
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
