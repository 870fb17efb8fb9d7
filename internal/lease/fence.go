package lease

import (
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Fence lets a sidecar reject the orders of former lease holders. A holder that
// was paused past the end of its lease resumes as if it still held it. Its orders
// carry its own token, which is lower than that of the next holder, so the Fence
// rejects them even if the upstream ignores fencing tokens.
type Fence struct {
	highest wire.FencingToken
	known   bool
}

// Learn records a token that was read from the lease object. A sidecar must do so
// after its start before it accepts orders: without a token to compare with, it
// would accept any.
func (f *Fence) Learn(t wire.FencingToken) {
	f.known = true
	f.highest = max(f.highest, t)
}

// Known reports whether a token has been learned since the start.
func (f *Fence) Known() bool { return f.known }

// Highest returns the highest token learned or accepted.
func (f *Fence) Highest() wire.FencingToken { return f.highest }

// Check returns nil if an order with token t is accepted, or why it is rejected. A
// token is accepted if it is at least the highest one so far, and becomes the highest.
// Before the first Learn, every order is rejected.
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
