// Package lease elects at most one holder of a role at a time, by means of an
// object in the platform's store, and gives each holder a fencing token.
//
// No VM relies on another VM's clock. A holder counts the TTL from before it
// sent the write that made it the holder; a candidate counts the same TTL, plus
// a margin, from after it first saw that write. Fencing tokens keep orders safe
// even if clock rates differ by more than the margin.
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
	// DefaultTTL is how long a lease lasts after the write that acquired or renewed it.
	DefaultTTL = 15 * time.Second
	// MaxCandidates is the number of routers that compete for the lease at a time.
	// The others make no store calls for it.
	MaxCandidates = 3

	// marginDivisor sets the margin to TTL/marginDivisor. A candidate waits for the
	// TTL and the margin, since clocks run at different rates.
	marginDivisor = 5
	// callDivisor sets the interval between a holder's renewals, and between a
	// candidate's reads, to TTL/callDivisor.
	callDivisor = 3

	// orderRetryAfter is when an order may be retried that arrived before the
	// fencing token was known.
	orderRetryAfter = time.Second
)

// Record is the value of a lease object.
type Record struct {
	Holder  string            `json:"holder"`          // empty: released
	Attempt string            `json:"attempt"`         // id of the write, by which its writer recognises it
	TTL     time.Duration     `json:"ttl_ns"`          // applied by all candidates, whatever their own settings
	Token   wire.FencingToken `json:"token,omitempty"` // zero in the write that acquires the lease
}

// TokenOf returns the fencing token of a lease object at version v. The token
// is the version of the write by which the holder acquired the lease. The store
// makes it higher than all earlier versions, even if the object was deleted in
// between.
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
		return 0, errors.Wrapf(err, "decode lease %q", name)
	}
	return TokenOf(r, o.Version), nil
}
