// Package claim maps callers' own idempotency keys to request keys, by objects in the
// platform's store. The first router that claims an idempotency key sets its request key,
// and all requests with that idempotency key run under it.
//
// Package router calls a Claimer for each request with an idempotency key, and when the
// store was restored from an older copy.
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
	// maxTries bounds how often a router tries to create a claim, or to recreate a lost one.
	maxTries = 3
	// TTL is how long a caller may resend its own idempotency key. After that the
	// controller may delete the claim.
	TTL = 24 * time.Hour
)

// Outcome is the outcome of claiming an idempotency key.
type Outcome string

// Outcomes of Claimer.Claim.
const (
	// Created means that the idempotency key now maps to the proposed request key.
	Created Outcome = "made"
	// Found means that the idempotency key was claimed before.
	Found Outcome = "found"
	// StoreDown means that the claim could neither be created nor read.
	StoreDown Outcome = "store-down"
	// StoreRestored means that an earlier claim of the key may have been lost in a
	// restore of the store.
	StoreRestored Outcome = "store-restored"
)

// Claim is the value of a claim object: the request key under which all requests with a
// caller's own idempotency key run.
type Claim struct {
	Key       wire.Key `json:"key"`
	KeepUntil int64    `json:"keep_until"` // Unix seconds; after that the controller may delete the claim
}

// Ref returns the reference of the claim object of an organisation's idempotency key.
// Callers choose the key freely, so its name is a hash of the organisation and the key.
func Ref(org, idempotencyKey string) topo.Ref {
	sum := sha256.Sum256([]byte(org + "\x00" + idempotencyKey))
	return topo.Ref{Kind: topo.KindClaim, Name: hex.EncodeToString(sum[:])}
}

// Claim claims an idempotency key for a proposed request key, and returns the request key
// that the idempotency key maps to: the proposed one if the outcome is Created, that of an
// earlier claim if it is Found. It returns an error if the outcome is StoreDown or
// StoreRestored, or if an earlier claim cannot be decoded. The request must not run then.
func (c *Claimer) Claim(ctx context.Context, ref topo.Ref, proposed wire.Key) (wire.Key, Outcome, error) {
	key, outcome, err := c.create(ctx, ref, proposed)
	if err == nil && c.recordEra(time.Now(), topo.EraOf(c.store)) {
		return wire.Key{}, StoreRestored, errors.Errorf("claim: an earlier claim %s may have been lost in a restore of the store", ref)
	}
	return key, outcome, err
}

// create creates the claim object. If the object exists, or the response was lost, create
// reads the object. A write whose response was lost may have taken effect or may do so later;
// whichever write takes effect first, the object holds its key. If the object does not exist,
// create tries again.
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
			var existing Claim
			err = json.Unmarshal(o.Value, &existing)
			return existing.Key, Found, errors.WithStack(err)
		}
		if !errors.Is(getErr, topo.ErrNotFound) {
			return wire.Key{}, StoreDown, getErr
		}
	}
	return wire.Key{}, StoreDown, err
}
