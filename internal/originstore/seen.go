package originstore

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// seenInterval is how often what this router has seen of where streams begin is compared with what the store has.
	seenInterval = 100 * time.Millisecond
	// seenRetryInterval is the pause after a failed call.
	seenRetryInterval = time.Second
)

// seenKeeper keeps in the store what routers have seen of where streams begin. A router that starts when no other is left
// can't have seen it: it would refuse all streams that nobody names.
type seenKeeper struct {
	*Keeper
	ref     topo.Ref
	stored  origins.Seen
	version topo.Version // of the object; zero: there is none
}

// keepSeen reads what was seen before this router started, and keeps it up to date while this router reads the store for
// others, until ctx ends.
func (keeper *Keeper) keepSeen(ctx context.Context) {
	k := &seenKeeper{Keeper: keeper, ref: topo.Ref{Kind: topo.KindOrigins, Name: keeper.region}}
	for !k.start(ctx) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, seenRetryInterval)
	}
	for ctx.Err() == nil {
		pause := seenInterval
		if err := k.update(ctx); err != nil {
			slog.Warn("what was seen of where streams begin could not be written to the store", "error", err)
			pause = seenRetryInterval
		}
		sleep(ctx, pause)
	}
}

// start reads the object, and reports whether that is known. Without one, nothing is known of the time before, unless the
// whole system starts for the first time.
func (k *seenKeeper) start(ctx context.Context) bool {
	err := k.read(ctx)
	switch {
	case err == nil:
		k.config.History.Seed(time.Now(), k.stored)
	case errors.Is(err, topo.ErrNotFound):
		if k.config.FirstStart {
			k.config.History.SeedFirst(time.Now())
		}
	default:
		return false
	}
	return true
}

// read reads the object. A malformed one says nothing.
func (k *seenKeeper) read(ctx context.Context) error {
	o, err := k.config.Store.Get(ctx, k.ref)
	if err != nil {
		return err
	}
	k.version, k.stored = o.Version, origins.Seen{}
	if err := json.Unmarshal(o.Value, &k.stored); err != nil {
		slog.Error("what was seen of where streams begin is malformed in the store", "error", err)
		k.stored = origins.Seen{}
	}
	return nil
}

// update writes the object if it says something else than what has been seen. If this router has missed something, the
// object vouches for no time until it has seen enough again.
func (k *seenKeeper) update(ctx context.Context) error {
	if !k.config.ReadsStore() {
		return nil
	}
	now, longest := time.Now(), k.config.LongestAway()
	seen, ok := k.config.History.Seen(now, longest)
	if !ok || longest == 0 {
		return nil
	}
	if seen.Within == 0 && k.stored.Within > 0 { // the longest time may just have grown
		seen, _ = k.config.History.Seen(now, k.stored.Within)
	}
	if seen.Within == 0 {
		seen = k.stored.Extend(seen)
	}
	if seen.Equal(k.stored) || seen.Within == 0 && k.version == 0 {
		return nil
	}
	value, err := json.Marshal(seen)
	if err != nil {
		return errors.WithStack(err)
	}
	o, err := k.config.Store.Put(ctx, k.ref, value, k.version)
	switch {
	case err == nil:
		k.stored, k.version = seen, o.Version
	case errors.Is(err, topo.ErrConflict), errors.Is(err, topo.ErrNotFound):
		k.stored, k.version = origins.Seen{}, 0
		if err := k.read(ctx); err != nil && !errors.Is(err, topo.ErrNotFound) {
			return err
		}
	default:
		return err
	}
	return nil
}
