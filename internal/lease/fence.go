package lease

import (
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Fence is what a sidecar keeps to turn away the orders of former holders. A
// holder that was paused past its lease wakes up believing that it still holds
// it; its order carries the token of its time, which is lower than that of the
// holder after it, so the order is refused here also when the upstream behind
// ignores fencing tokens.
type Fence struct {
	highest wire.FencingToken
	known   bool
}

// Learn takes in the token that the lease object holds. A sidecar that has just
// started remembers no token and would take any; it learns one from the
// store before it takes its first order.
func (f *Fence) Learn(t wire.FencingToken) {
	f.known = true
	f.highest = max(f.highest, t)
}

// Known reports whether a token has been learnt since the start.
func (f *Fence) Known() bool { return f.known }

// Highest returns the highest token known.
func (f *Fence) Highest() wire.FencingToken { return f.highest }

// Check takes an order's token, or says why the order is refused.
func (f *Fence) Check(t wire.FencingToken) *verdict.Error {
	if !f.known {
		return verdict.New(verdict.NotRun, verdict.ReasonStoreDown, "the current fencing token is not known yet").WithRetryAfter(orderRetryAfter)
	}
	if t < f.highest {
		return verdict.New(verdict.NotRun, verdict.ReasonFenced, "fencing token %d is older than %d", t, f.highest)
	}
	f.highest = t
	return nil
}
