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

// seenWriter keeps in the store what routers have seen of where streams begin. A router that starts when no other is left
// can't have seen it: it would refuse all streams that nobody names.
type seenWriter struct {
	*Archive
	ref     topo.Ref
	stored  origins.Seen
	version topo.Version // of the object; zero: there is none
}

// keepSeen reads what was seen before this router started, and keeps it up to date while this router reads the store for
// others, until ctx ends.
func (a *Archive) keepSeen(ctx context.Context) {
	w := &seenWriter{Archive: a, ref: topo.Ref{Kind: topo.KindOrigins, Name: a.region}}
	for !w.start(ctx) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, seenRetryInterval)
	}
	for ctx.Err() == nil {
		pause := seenInterval
		if err := w.update(ctx); err != nil {
			slog.Warn("what was seen of where streams begin could not be written to the store", "error", err)
			pause = seenRetryInterval
		}
		sleep(ctx, pause)
	}
}

// start reads the object, and reports whether that is known. Without one, nothing is known of the time before, unless the
// whole system starts for the first time.
func (w *seenWriter) start(ctx context.Context) bool {
	err := w.read(ctx)
	switch {
	case err == nil:
		w.config.History.Seed(time.Now(), w.stored)
	case errors.Is(err, topo.ErrNotFound):
		if w.config.FirstStart {
			w.config.History.SeedFirst(time.Now())
		}
	default:
		return false
	}
	return true
}

// read reads the object. A malformed one says nothing.
func (w *seenWriter) read(ctx context.Context) error {
	o, err := w.config.Store.Get(ctx, w.ref)
	if err != nil {
		return err
	}
	w.version, w.stored = o.Version, origins.Seen{}
	if err := json.Unmarshal(o.Value, &w.stored); err != nil {
		slog.Error("what was seen of where streams begin is malformed in the store", "error", err)
		w.stored = origins.Seen{}
	}
	return nil
}

// update writes the object if it says something else than what has been seen. If this router has missed something, the
// object vouches for no time until it has seen enough again.
func (w *seenWriter) update(ctx context.Context) error {
	if !w.config.ReadsStore() {
		return nil
	}
	now, longest := time.Now(), w.config.LongestAway()
	seen, ok := w.config.History.Seen(now, longest)
	if !ok || longest == 0 {
		return nil
	}
	if seen.Within == 0 && w.stored.Within > 0 { // the longest time may just have grown
		seen, _ = w.config.History.Seen(now, w.stored.Within)
	}
	if seen.Within == 0 {
		seen = w.stored.Extend(seen)
	}
	if seen.Equal(w.stored) || seen.Within == 0 && w.version == 0 {
		return nil
	}
	value, err := json.Marshal(seen)
	if err != nil {
		return errors.WithStack(err)
	}
	o, err := w.config.Store.Put(ctx, w.ref, value, w.version)
	switch {
	case err == nil:
		w.stored, w.version = seen, o.Version
	case errors.Is(err, topo.ErrConflict), errors.Is(err, topo.ErrNotFound):
		w.stored, w.version = origins.Seen{}, 0
		if err := w.read(ctx); err != nil && !errors.Is(err, topo.ErrNotFound) {
			return err
		}
	default:
		return err
	}
	return nil
}
