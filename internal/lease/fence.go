package lease

import (
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Fence rejects the orders of former lease holders at a sidecar. A holder that
// was paused past its lease resumes as if it still held the lease. Its order
// carries its own token, which is lower than that of the next holder, so the
// order is rejected here even if the upstream ignores fencing tokens.
type Fence struct {
	highest wire.FencingToken
	known   bool
}

// Learn records the token that the lease object holds. A sidecar that has just
// started has no token to compare with and would accept any; it reads one from
// the store before it accepts its first order.
func (f *Fence) Learn(t wire.FencingToken) {
	f.known = true
	f.highest = max(f.highest, t)
}

// Known reports whether a token has been learned since the start.
func (f *Fence) Known() bool { return f.known }

// Highest returns the highest token learned or accepted.
func (f *Fence) Highest() wire.FencingToken { return f.highest }

// Check accepts an order by its token, or returns why the order is rejected.
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
