// Package retry decides whether a request whose attempt has failed may be
// tried again, and keeps what is tried again to a share of the traffic.
package retry

import "time"

const (
	// MaxRatio is the largest share of requests that may cost another attempt.
	// It holds whatever a profile asks for, so that upstreams never see 1.1
	// times what callers send.
	MaxRatio = 0.1

	// attemptCost is what one more attempt costs, in units of credit.
	attemptCost = 1000

	// maxCredit bounds the retries that a long time without failures saves up,
	// in units of credit.
	maxCredit = 50 * attemptCost
)

// Budget limits retries and hedges to a share of the requests. Each request
// adds its share of one attempt; each further attempt takes a whole one. It
// starts empty: a router that has just started has seen no request to retry on
// the strength of, and credit given at the start would be multiplied by the
// number of routers.
//
// The zero value is ready to use. A Budget is not safe for concurrent use.
type Budget struct {
	credit int64
}

// Deposit records a caller's request, of which ratio may be tried again.
func (b *Budget) Deposit(ratio float64) {
	share := int64(min(max(ratio, 0), MaxRatio) * attemptCost)
	b.credit = min(b.credit+share, maxCredit)
}

// Withdraw takes the cost of one more attempt, or reports false when there is
// not more than that. Something always stays, so the attempts of any number of
// requests are strictly under 1+MaxRatio times their number.
func (b *Budget) Withdraw() bool {
	if b.credit <= attemptCost {
		return false
	}
	b.credit -= attemptCost
	return true
}

// RetryAfter returns zero: a Budget knows no time at which callers had better come back.
// Upstreams with sidecars say themselves when they have room.
func (b *Budget) RetryAfter(time.Duration) time.Duration { return 0 }
