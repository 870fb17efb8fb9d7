package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// restrictionAttempts is how often writing a restriction to the store is tried. It is then abandoned:
	// routers tell each other of it as well.
	restrictionAttempts = 8
	// restrictionRetryInterval is the pause between two attempts to write a restriction, or to read them.
	restrictionRetryInterval = 2 * time.Second
)

var storedRestrictions = telemetry.NewFamily[convictionOutcome]("router_restrictions_stored_total", "outcome",
	"Restrictions of requests that crash upstreams without sidecars, by what came of keeping them in the store.")

// storedRestriction is the value of a restriction object. Its name is the fingerprint.
type storedRestriction struct {
	Fingerprint uint64 `json:"fingerprint"`
	Since       int64  `json:"since_ms"`                  // Unix milliseconds
	NeededCrash int64  `json:"needed_crash_ms,omitempty"` // Unix milliseconds; zero: not known
	RefusedFor  int64  `json:"refused_for_ms"`
	LiftedAt    int64  `json:"lifted_at_ms,omitempty"` // Unix milliseconds
	Cleared     bool   `json:"cleared,omitempty"`
	KeepUntil   int64  `json:"keep_until"` // Unix seconds; it may be removed afterwards
}

func newStoredRestriction(r quarantine.Restriction) storedRestriction {
	s := storedRestriction{
		Fingerprint: uint64(r.Fingerprint), Since: r.Since.UnixMilli(), RefusedFor: r.RefusedFor.Milliseconds(), Cleared: r.Cleared,
		KeepUntil: r.Expires().Unix() + 1,
	}
	if !r.NeededCrash.IsZero() {
		s.NeededCrash = r.NeededCrash.UnixMilli()
	}
	if !r.LiftedAt.IsZero() {
		s.LiftedAt = r.LiftedAt.UnixMilli()
	}
	return s
}

func (s storedRestriction) restriction() quarantine.Restriction {
	r := quarantine.Restriction{
		Fingerprint: quarantine.Fingerprint(s.Fingerprint), Since: time.UnixMilli(s.Since), RefusedFor: time.Duration(s.RefusedFor) * time.Millisecond, Cleared: s.Cleared, Stored: true,
	}
	if s.NeededCrash != 0 {
		r.NeededCrash = time.UnixMilli(s.NeededCrash)
	}
	if s.LiftedAt != 0 {
		r.LiftedAt = time.UnixMilli(s.LiftedAt)
	}
	return r
}

// storeRestrictions writes the restrictions that this router has begun or lifted to the store, each in its turn among
// the routers, so that mostly one of those that began it writes.
func (r *Router) storeRestrictions() {
	if r.mesh == nil {
		return // beside sidecars convictions are stored
	}
	for _, u := range r.suspects.TakeUnstored(time.Now()) {
		go r.storeRestriction(u)
	}
}

// storeRestriction writes a restriction unless another router does so first.
func (r *Router) storeRestriction(u suspects.Unstored) {
	wait := u.Turn
	for range restrictionAttempts {
		sleep(r.ctx, wait)
		restriction, ok := r.suspects.Unstored(time.Now(), u.Fingerprint)
		if !ok || r.ctx.Err() != nil {
			return
		}
		if err := r.writeRestriction(restriction); err == nil {
			storedRestrictions.Inc(convictionStored)
			return
		}
		wait = restrictionRetryInterval
	}
	storedRestrictions.Inc(convictionNotStored)
	slog.Warn("a restriction could not be written to the store: routers that start together will not know it", "fingerprint", u.Fingerprint.String())
}

// writeRestriction writes a restriction, merged with what the store has of it.
func (r *Router) writeRestriction(restriction quarantine.Restriction) error {
	ref := topo.Ref{Kind: topo.KindRestriction, Name: restriction.Fingerprint.String()}
	version := topo.Version(0)
	for range 2 {
		value, err := json.Marshal(newStoredRestriction(restriction))
		if err != nil {
			return errors.WithStack(err)
		}
		_, err = r.config.Store.Put(r.ctx, ref, value, version)
		if err == nil {
			restriction.Stored = true
			r.suspects.MergeRestriction(time.Now(), restriction)
			return nil
		}
		if !errors.Is(err, topo.ErrConflict) {
			return err
		}
		stored, err := r.config.Store.Get(r.ctx, ref)
		if err != nil {
			return err
		}
		r.mergeStoredRestriction(stored)
		merged, unstored := r.suspects.Unstored(time.Now(), restriction.Fingerprint)
		if !unstored {
			return nil
		}
		restriction, version = merged, stored.Version
	}
	return errors.Errorf("router: restriction %s is being changed by others", restriction.Fingerprint)
}

// mergeStoredRestriction adds a restriction that is in the store.
func (r *Router) mergeStoredRestriction(o topo.Object) {
	var s storedRestriction
	if err := json.Unmarshal(o.Value, &s); err != nil {
		malformedSuspects.Inc()
		slog.Warn("malformed restriction in the store", "restriction", o.Name, "error", err)
		return
	}
	r.suspects.MergeRestriction(time.Now(), s.restriction())
}

// readRestrictions reads the restrictions in the store once, and removes those that have expired. A router that
// begins to read the store for others may have just started, and all others with it.
func (r *Router) readRestrictions(ctx context.Context) {
	for ctx.Err() == nil && r.mesh.readsStore.Load() {
		err := r.listRestrictions(ctx)
		if err == nil {
			r.applyDecisionChanges()
			return
		}
		if ctx.Err() != nil {
			return
		}
		slog.Warn("the restrictions of requests could not be read from the store", "error", err)
		sleep(ctx, restrictionRetryInterval)
	}
}

func (r *Router) listRestrictions(ctx context.Context) error {
	cont := ""
	for {
		page, err := r.config.Store.List(ctx, topo.KindRestriction, cont)
		if err != nil {
			return err
		}
		for _, o := range page.Objects {
			r.mergeStoredRestriction(o)
			r.removeExpiredRestriction(ctx, o)
		}
		if cont = page.Continue; cont == "" {
			return nil
		}
	}
}

// removeExpiredRestriction removes a restriction from the store if it is not valid any more. After a failure the next
// reader removes it.
func (r *Router) removeExpiredRestriction(ctx context.Context, o topo.Object) {
	var s storedRestriction
	if json.Unmarshal(o.Value, &s) != nil || time.Now().Before(time.Unix(s.KeepUntil, 0).Add(expiredRestrictionMargin)) {
		return
	}
	if err := r.config.Store.Delete(ctx, o.Ref, o.Version); err != nil && !errors.Is(err, topo.ErrNotFound) {
		slog.Warn("expired restriction could not be removed from the store", "restriction", o.Name, "error", err)
	}
}

// expiredRestrictionMargin is how long a restriction is kept in the store after its end, to allow for clock differences.
const expiredRestrictionMargin = 10 * time.Minute
