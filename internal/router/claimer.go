package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// claimMemory is for how long a router remembers the claims that it has made. The copy
	// from which a store comes back is some seconds old.
	claimMemory = time.Minute
	// claimDoubt is for how long after a return of the store no idempotency key of callers
	// is claimed: until all routers have heard of it and made their claims again.
	claimDoubt = 5 * time.Second
	// claimAgainPause is the pause before a claim is tried again that has to be made anew.
	claimAgainPause = 250 * time.Millisecond
)

// claimer claims idempotency keys in the store. A store that comes back from an older copy
// has lost claims: a request that comes again under its key would run a second time. So the
// routers that made them make them again, and until they have, no key is claimed.
type claimer struct {
	store topo.Store

	mu      sync.Mutex
	made    []madeClaim // the oldest first
	era     topo.Era
	entered time.Time // when the store was seen to be in it
}

// madeClaim is a claim as it was written.
type madeClaim struct {
	ref   topo.Ref
	key   wire.Key
	value json.RawMessage
	at    time.Time
}

// claim claims an idempotency key for a request key, and returns the one that it stands for.
func (c *claimer) claim(ctx context.Context, ref topo.Ref, proposed wire.Key) (wire.Key, claimOutcome, error) {
	key, outcome, err := c.create(ctx, ref, proposed)
	if err == nil && c.doubted(time.Now(), topo.EraOf(c.store)) {
		return wire.Key{}, claimDoubted, errors.Errorf("router: %s may have been lost", ref)
	}
	return key, outcome, err
}

// doubted takes in the era of the store, and reports whether claims may still be missing.
func (c *claimer) doubted(now time.Time, era topo.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.entered = era, now
	}
	return !c.entered.IsZero() && now.Sub(c.entered) < claimDoubt
}

func (c *claimer) remember(now time.Time, m madeClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.at = now
	c.made = append(c.kept(now), m)
}

// kept returns the claims that are remembered. It needs c.mu held.
func (c *claimer) kept(now time.Time) []madeClaim {
	for i, m := range c.made {
		if now.Sub(m.at) < claimMemory {
			return c.made[i:]
		}
	}
	return nil
}

// restored makes the remembered claims again that the store has lost.
func (c *claimer) restored(ctx context.Context) {
	now := time.Now()
	c.doubted(now, topo.EraOf(c.store))
	c.mu.Lock()
	made := append([]madeClaim(nil), c.kept(now)...)
	c.mu.Unlock()
	for _, m := range made {
		err := c.again(ctx, m)
		for try := 1; err != nil && try < claimTries; try++ {
			sleep(ctx, claimAgainPause)
			err = c.again(ctx, m)
		}
		if err != nil {
			slog.Error("a claim that the store may have lost could not be made again", "claim", m.ref.Name, "error", err)
		}
	}
}

// again makes a claim again. One that another request has made since for its own key gives
// way: under that key nothing has run.
func (c *claimer) again(ctx context.Context, m madeClaim) error {
	_, err := c.store.Put(ctx, m.ref, m.value, 0)
	if !errors.Is(err, topo.ErrConflict) {
		return err
	}
	o, err := c.store.Get(ctx, m.ref)
	if err != nil {
		return err
	}
	var have Claim
	if err := json.Unmarshal(o.Value, &have); err == nil && have.Key == m.key {
		return nil
	}
	_, err = c.store.Put(ctx, m.ref, m.value, o.Version)
	return err
}
