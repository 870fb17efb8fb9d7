// Package retry decides whether a request may be retried after a failed attempt, and limits
// retries to a share of the traffic.
package retry

import "time"

const (
	// MaxRatio is the largest share of requests that may cost another attempt. It applies
	// whatever ratio a profile requests, so upstreams always receive less than 1.1 times the
	// requests of callers.
	MaxRatio = 0.1

	// attemptCost is the cost of one more attempt, in units of credit.
	attemptCost = 1000

	// maxCredit limits the retries that accumulate during a long time without failures, in units
	// of credit.
	maxCredit = 50 * attemptCost
)

// Budget limits retries and hedges to a share of the requests. Each request adds its share of the
// cost of an attempt, and each further attempt takes the whole cost. The budget starts empty: a
// router that has just started has no requests to justify a retry, and initial credit would be
// multiplied by the number of routers.
//
// The zero value is ready to use. A Budget is not safe for concurrent use.
type Budget struct {
	credit int64
}

// Deposit records a request of a caller and adds ratio, limited to the range from 0 to MaxRatio,
// times the cost of an attempt to the credit.
func (b *Budget) Deposit(ratio float64) {
	share := int64(min(max(ratio, 0), MaxRatio) * attemptCost)
	b.credit = min(b.credit+share, maxCredit)
}

// Withdraw takes the cost of one more attempt and reports whether the credit exceeds it. Some
// credit always remains, so the number of attempts is always strictly less than 1+MaxRatio times
// the number of requests.
func (b *Budget) Withdraw(cause Cause) bool {
	allowed := b.credit > attemptCost
	if allowed {
		b.credit -= attemptCost
	}
	countRepeat(cause, allowed)
	return allowed
}

// RetryAfter returns zero: a Budget has no estimate of when callers should retry. It is used for
// upstreams with sidecars, which report when they have spare capacity.
func (b *Budget) RetryAfter(time.Duration) time.Duration { return 0 }
