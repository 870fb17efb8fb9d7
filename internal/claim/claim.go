// Package claim keeps which request key stands for a caller's own idempotency key, as
// objects in the platform's store: whichever router makes the claim first, all runs that
// come with the key go by it.
//
// Package router asks a Keeper for each request that comes with such a key, and tells it
// when the store has come back from an older copy.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// maxTries is how often an unanswered claim is made again.
	maxTries = 3
	// TTL is for how long a caller may send its own idempotency key again. After that the
	// claim may be swept.
	TTL = 24 * time.Hour
)

// Outcome is what came of claiming an idempotency key.
type Outcome string

// Outcomes of Keeper.Claim.
const (
	Created   Outcome = "made"
	Found     Outcome = "found"
	StoreDown Outcome = "store-down"
	// StoreRestored is a claim that cannot be told from one that the store has lost.
	StoreRestored Outcome = "store-restored"
)

// Claim is the value of a claim object: the request key under which everything
// with a caller's own idempotency key runs.
type Claim struct {
	Key       wire.Key `json:"key"`
	KeepUntil int64    `json:"keep_until"` // Unix seconds; then it may be swept
}

// Ref names the claim object of an organisation's idempotency key. Callers
// choose the key, so it is hashed with the organisation's name.
func Ref(org, idempotencyKey string) topo.Ref {
	sum := sha256.Sum256([]byte(org + "\x00" + idempotencyKey))
	return topo.Ref{Kind: topo.KindClaim, Name: hex.EncodeToString(sum[:])}
}

// Claim claims an idempotency key for a request key, and returns the one that it stands for.
func (c *Claimer) Claim(ctx context.Context, ref topo.Ref, proposed wire.Key) (wire.Key, Outcome, error) {
	key, outcome, err := c.create(ctx, ref, proposed)
	if err == nil && c.mayMissClaims(time.Now(), topo.EraOf(c.store)) {
		return wire.Key{}, StoreRestored, errors.Errorf("claim: %s may have been lost", ref)
	}
	return key, outcome, err
}

// create creates the claim object or reads the one that is there. An unanswered
// create may have taken effect, now or a little later. Whichever create is the
// first holds, and the object says which key that was, so reading it back and
// creating it once more settle it without a guess.
func (c *Claimer) create(ctx context.Context, ref topo.Ref, proposed wire.Key) (wire.Key, Outcome, error) {
	value, err := json.Marshal(Claim{Key: proposed, KeepUntil: time.Now().Add(TTL).Unix()})
	if err != nil {
		return wire.Key{}, StoreDown, errors.WithStack(err)
	}
	for range maxTries {
		_, err = c.store.Put(ctx, ref, value, 0)
		if err == nil {
			c.remember(time.Now(), createdClaim{ref: ref, key: proposed, value: value})
			return proposed, Created, nil
		}
		if errors.Is(err, topo.ErrRefused) {
			return wire.Key{}, StoreDown, err
		}
		o, getErr := c.store.Get(ctx, ref)
		if getErr == nil {
			var have Claim
			err = json.Unmarshal(o.Value, &have)
			return have.Key, Found, errors.WithStack(err)
		}
		if !errors.Is(getErr, topo.ErrNotFound) {
			return wire.Key{}, StoreDown, getErr
		}
	}
	return wire.Key{}, StoreDown, err
}
