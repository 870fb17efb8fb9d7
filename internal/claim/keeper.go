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
	// recreateWindow is how long a router remembers the claims that it has created. A
	// restore loses the claims that are newer than its copy, which is some seconds old.
	recreateWindow = time.Minute
	// RestoreGrace is how long a router claims no idempotency key after it has first seen
	// a new era of the store. Within it, all routers learn of the restore and recreate
	// their claims.
	RestoreGrace = 5 * time.Second
	// retryPause is the pause before the recreation of a claim is tried again.
	retryPause = 250 * time.Millisecond
)

// Claimer claims idempotency keys in the store. A store that was restored from an older
// copy has lost claims, and a request that is resent under a lost key would run a second
// time. So each router recreates the claims that it created, and no key can be claimed
// within RestoreGrace.
type Claimer struct {
	store topo.Store

	mu        sync.Mutex
	created   []createdClaim // oldest first
	era       topo.Era
	eraSeenAt time.Time // when era was first seen; zero: the store has reported none
}

// createdClaim is a claim that this router has written.
type createdClaim struct {
	ref   topo.Ref
	key   wire.Key
	value json.RawMessage
	at    time.Time // when it was written
}

// NewClaimer returns a Claimer for a store. It has created no claims.
func NewClaimer(store topo.Store) *Claimer {
	return &Claimer{store: store}
}

// ObserveEra records the era of the store, zero if it is not known. RestoreGrace also starts
// with the first era that a Claimer sees, since the store may just have been restored. So a
// router calls ObserveEra from its start on; otherwise its first claim would start the grace
// and fail.
func (c *Claimer) ObserveEra(now time.Time, era topo.Era) {
	c.recordEra(now, era)
}

// recordEra records the era of the store. It reports whether now is within RestoreGrace:
// claims that a restore lost may not have been recreated yet.
func (c *Claimer) recordEra(now time.Time, era topo.Era) bool {
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

// recent returns the claims within recreateWindow. The caller must hold c.mu.
func (c *Claimer) recent(now time.Time) []createdClaim {
	for i, claim := range c.created {
		if now.Sub(claim.at) < recreateWindow {
			return c.created[i:]
		}
	}
	return nil
}

// RecreateLost recreates those of this router's recent claims that the store has lost.
func (c *Claimer) RecreateLost(ctx context.Context) {
	now := time.Now()
	c.recordEra(now, topo.EraOf(c.store))
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
			slog.Error("claim that the store may have lost could not be recreated", "claim", claim.ref.Name, "error", err)
		}
	}
}

// recreate creates a claim again. It overwrites a claim that another request has created
// for its own request key since the restore. No request runs under that key, because claims
// within RestoreGrace return StoreRestored.
func (c *Claimer) recreate(ctx context.Context, claim createdClaim) error {
	_, err := c.store.Put(ctx, claim.ref, claim.value, 0)
	if !errors.Is(err, topo.ErrConflict) {
		return err
	}
	o, err := c.store.Get(ctx, claim.ref)
	if err != nil {
		return err
	}
	var existing Claim
	if err := json.Unmarshal(o.Value, &existing); err == nil && existing.Key == claim.key {
		return nil
	}
	_, err = c.store.Put(ctx, claim.ref, claim.value, o.Version)
	return err
}

// pause waits for retryPause, or until ctx ends.
func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
