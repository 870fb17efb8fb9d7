// Package lease keeps one holder at a time of a role, by an object in the
// platform's store, and gives each holder a fencing token.
//
// No clock of another VM is trusted: a holder counts its time from before it
// sent the write that made it holder, and a candidate counts the same time,
// and a margin, from after it first saw that write. Fencing tokens make orders
// safe even where clocks run at rates that differ by more than the margin.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// DefaultTTL is how long a lease lasts after the write that took or renewed it.
	DefaultTTL = 15 * time.Second
	// MaxCandidates is how many routers stand for the lease at a time. The others
	// make no calls of the store for it.
	MaxCandidates = 3

	// marginDivisor of the TTL is what a candidate waits beyond it, for clocks
	// that run at different rates.
	marginDivisor = 5
	// callDivisor of the TTL is the pause between a holder's renewals and between
	// a candidate's reads.
	callDivisor = 3

	orderRetryAfter = time.Second
)

// Record is the value of a lease object.
type Record struct {
	Holder  string            `json:"holder"`          // empty: released
	Attempt string            `json:"attempt"`         // names the write, so that its writer can tell it again
	TTL     time.Duration     `json:"ttl_ns"`          // by which all judge this holding, whatever their own settings
	Token   wire.FencingToken `json:"token,omitempty"` // zero in the write that takes the lease
}

// TokenOf returns the fencing token of a lease object at version v. The token
// is the version of the write by which the holder took the lease, which the
// store makes higher than all before, also when the object was deleted between.
func TokenOf(r Record, v topo.Version) wire.FencingToken {
	if r.Token == 0 {
		return wire.FencingToken(v)
	}
	return r.Token
}

// CurrentToken reads the fencing token of a lease from the store.
func CurrentToken(ctx context.Context, store topo.Store, name string) (wire.FencingToken, error) {
	o, err := store.Get(ctx, topo.Ref{Kind: topo.KindLease, Name: name})
	if err != nil {
		return 0, err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, errors.Wrap(err, "lease")
	}
	return TokenOf(r, o.Version), nil
}
