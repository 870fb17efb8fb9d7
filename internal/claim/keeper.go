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
func (k *Claimer) ObserveEra(now time.Time, era topo.Era) {
	k.mayMissClaims(now, era)
}

// mayMissClaims takes in the era of the store, and reports whether claims may still be missing.
func (k *Claimer) mayMissClaims(now time.Time, era topo.Era) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era > k.era {
		k.era, k.eraSeenAt = era, now
	}
	return !k.eraSeenAt.IsZero() && now.Sub(k.eraSeenAt) < RestoreGrace
}

func (k *Claimer) remember(now time.Time, m createdClaim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.at = now
	k.created = append(k.recent(now), m)
}

// recent returns the claims that are remembered. It needs k.mu held.
func (k *Claimer) recent(now time.Time) []createdClaim {
	for i, m := range k.created {
		if now.Sub(m.at) < recreateWindow {
			return k.created[i:]
		}
	}
	return nil
}

// RecreateLost makes the remembered claims again that the store has lost.
func (k *Claimer) RecreateLost(ctx context.Context) {
	now := time.Now()
	k.mayMissClaims(now, topo.EraOf(k.store))
	k.mu.Lock()
	recent := slices.Clone(k.recent(now))
	k.mu.Unlock()
	for _, m := range recent {
		err := k.recreate(ctx, m)
		for try := 1; err != nil && try < maxTries; try++ {
			pause(ctx)
			err = k.recreate(ctx, m)
		}
		if err != nil {
			slog.Error("a claim that the store may have lost could not be made again", "claim", m.ref.Name, "error", err)
		}
	}
}

// recreate makes a claim recreate. One that another request has made since for its own key gives
// way: under that key nothing has run.
func (k *Claimer) recreate(ctx context.Context, m createdClaim) error {
	_, err := k.store.Put(ctx, m.ref, m.value, 0)
	if !errors.Is(err, topo.ErrConflict) {
		return err
	}
	o, err := k.store.Get(ctx, m.ref)
	if err != nil {
		return err
	}
	var have Claim
	if err := json.Unmarshal(o.Value, &have); err == nil && have.Key == m.key {
		return nil
	}
	_, err = k.store.Put(ctx, m.ref, m.value, o.Version)
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
