package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// pageInterval is the pause between two pages of a listing. A page of 500
	// objects of 150 bytes every 20 s stays within a VM's 4 KB/s of control
	// traffic.
	pageInterval = 20 * time.Second
	// passInterval is the pause between two passes over all objects.
	passInterval = 10 * time.Minute
	// deleteInterval is the pause between two deletions.
	deleteInterval = 100 * time.Millisecond
	// clockMargin is how long an object is kept after its expiry, to allow for
	// clock differences.
	clockMargin = 10 * time.Minute
)

// sweptKinds are the kinds of object that are deleted after their expiry.
var sweptKinds = []topo.Kind{topo.KindClaim, topo.KindConviction}

var swept = telemetry.NewFamily[topo.Kind]("controller_swept_objects_total", "kind",
	"Objects in the store that were past their time and were deleted, by kind.")

// expiring holds the field that the swept kinds have in common.
type expiring struct {
	KeepUntil int64 `json:"keep_until"` // Unix seconds; zero: never expires
}

// isExpired reports whether an object may be deleted.
func isExpired(now time.Time, o topo.Object) bool {
	var e expiring
	if json.Unmarshal(o.Value, &e) != nil || e.KeepUntil == 0 {
		return false
	}
	return now.After(time.Unix(e.KeepUntil, 0).Add(clockMargin))
}

// sweep deletes expired objects page by page while this router holds the lease.
func (c *Controller) sweep(ctx context.Context) {
	for sleep(ctx, passInterval) {
		for _, kind := range sweptKinds {
			c.sweepKind(ctx, kind)
		}
	}
}

func (c *Controller) sweepKind(ctx context.Context, kind topo.Kind) {
	cont := ""
	for c.HoldsLease() {
		page, err := c.config.Store.List(ctx, kind, cont)
		if err != nil {
			return // the store is down or busy; the next pass retries
		}
		for _, o := range page.Objects {
			if isExpired(time.Now(), o) && !c.deleteExpired(ctx, o) {
				return
			}
		}
		cont = page.Continue
		if cont == "" || !sleep(ctx, pageInterval) {
			return
		}
	}
}

// deleteExpired deletes an object at the version that was seen to be expired,
// so that one renewed since stays. It reports whether the pass should continue.
func (c *Controller) deleteExpired(ctx context.Context, o topo.Object) bool {
	if !sleep(ctx, deleteInterval) || !c.HoldsLease() {
		return false
	}
	err := c.config.Store.Delete(ctx, o.Ref, o.Version)
	if err == nil {
		swept.Inc(o.Kind)
	}
	return err == nil || errors.Is(err, topo.ErrNotFound) || errors.Is(err, topo.ErrConflict)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
