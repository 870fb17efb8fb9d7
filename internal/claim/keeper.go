package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// recreateWindow is for how long a router remembers the claims that it has made. The copy
	// from which a store comes back is some seconds old.
	recreateWindow = time.Minute
	// RestoreGrace is for how long after a return of the store no idempotency key of callers
	// is claimed: until all routers have heard of it and made their claims again.
	RestoreGrace = 5 * time.Second
	// retryPause is the pause before a claim is tried again that has to be made anew.
	retryPause = 250 * time.Millisecond
)

// Claimer claims idempotency keys in the store. A store that comes back from an older copy
// has lost claims: a request that comes again under its key would run a second time. So the
// routers that made them make them again, and until they have, no key is claimed.
type Claimer struct {
	store topo.Store

	mu        sync.Mutex
	created   []createdClaim // the oldest first
	era       topo.Era
	eraSeenAt time.Time // when the store was seen to be in it
}

// createdClaim is a claim as it was written.
type createdClaim struct {
	ref   topo.Ref
	key   wire.Key
	value json.RawMessage
	at    time.Time
}

// NewClaimer returns a Keeper of claims in a store that has made none.
func NewClaimer(store topo.Store) *Claimer {
	return &Claimer{store: store}
}

// ObserveEra takes in the era of the store, so that the first claim of a router does not find it new.
func (c *Claimer) ObserveEra(now time.Time, era topo.Era) {
	c.mayMissClaims(now, era)
}

// mayMissClaims takes in the era of the store, and reports whether claims may still be missing.
func (c *Claimer) mayMissClaims(now time.Time, era topo.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.eraSeenAt = era, now
	}
	return !c.eraSeenAt.IsZero() && now.Sub(c.eraSeenAt) < RestoreGrace
}

func (c *Claimer) remember(now time.Time, claim createdClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim.at = now
	c.created = append(c.recent(now), claim)
}

// recent returns the claims that are remembered. It needs k.mu held.
func (c *Claimer) recent(now time.Time) []createdClaim {
	for i, claim := range c.created {
		if now.Sub(claim.at) < recreateWindow {
			return c.created[i:]
		}
	}
	return nil
}

// RecreateLost makes the remembered claims again that the store has lost.
func (c *Claimer) RecreateLost(ctx context.Context) {
	now := time.Now()
	c.mayMissClaims(now, topo.EraOf(c.store))
	c.mu.Lock()
	recent := slices.Clone(c.recent(now))
	c.mu.Unlock()
	for _, claim := range recent {
		err := c.recreate(ctx, claim)
		for try := 1; err != nil && try < maxTries; try++ {
			pause(ctx)
			err = c.recreate(ctx, claim)
		}
		if err != nil {
			slog.Error("a claim that the store may have lost could not be made again", "claim", claim.ref.Name, "error", err)
		}
	}
}

// recreate makes a claim recreate. One that another request has made since for its own key gives
// way: under that key nothing has run.
func (c *Claimer) recreate(ctx context.Context, claim createdClaim) error {
	_, err := c.store.Put(ctx, claim.ref, claim.value, 0)
	if !errors.Is(err, topo.ErrConflict) {
		return err
	}
	o, err := c.store.Get(ctx, claim.ref)
	if err != nil {
		return err
	}
	var have Claim
	if err := json.Unmarshal(o.Value, &have); err == nil && have.Key == claim.key {
		return nil
	}
	_, err = c.store.Put(ctx, claim.ref, claim.value, o.Version)
	return err
}

// pause waits a little before the next try.
func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
