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
	// pageEvery is the pause between two pages of a listing. A page of 500
	// objects of 150 bytes every 20 s is within a node's 4 KB/s of control.
	pageEvery = 20 * time.Second
	// passEvery is the pause between two passes over all objects.
	passEvery = 10 * time.Minute
	// deleteEvery is the pause between two deletions.
	deleteEvery = 100 * time.Millisecond
	// keepMargin is for how long past its time an object is kept, for clocks
	// that differ.
	keepMargin = 10 * time.Minute
)

// sweptKinds are the kinds of object that are of no use after their time.
var sweptKinds = []topo.Kind{topo.KindClaim, topo.KindConviction}

var swept = telemetry.NewFamily[topo.Kind]("controller_swept_objects_total", "kind",
	"Objects in the store that were past their time and were deleted, by kind.")

// dated is what the swept kinds have in common.
type dated struct {
	KeepUntil int64 `json:"keep_until"` // Unix seconds; zero: for ever
}

// old reports whether an object may be deleted.
func old(now time.Time, o topo.Object) bool {
	var d dated
	if json.Unmarshal(o.Value, &d) != nil || d.KeepUntil == 0 {
		return false
	}
	return now.After(time.Unix(d.KeepUntil, 0).Add(keepMargin))
}

// sweep deletes old objects, page by page, while this router holds the lease.
func (c *Controller) sweep(ctx context.Context) {
	for rest(ctx, passEvery) {
		for _, kind := range sweptKinds {
			c.pass(ctx, kind)
		}
	}
}

func (c *Controller) pass(ctx context.Context, kind topo.Kind) {
	cont := ""
	for c.HoldsLease() {
		page, err := c.config.Store.List(ctx, kind, cont)
		if err != nil {
			return // the store is down or busy: the next pass will do
		}
		for _, o := range page.Objects {
			if old(time.Now(), o) && !c.remove(ctx, o) {
				return
			}
		}
		cont = page.Continue
		if cont == "" || !rest(ctx, pageEvery) {
			return
		}
	}
}

// remove deletes an object at the version that was seen to be old: one that
// has been renewed since stays. It reports whether to go on.
func (c *Controller) remove(ctx context.Context, o topo.Object) bool {
	if !rest(ctx, deleteEvery) || !c.HoldsLease() {
		return false
	}
	err := c.config.Store.Delete(ctx, o.Ref, o.Version)
	if err == nil {
		swept.Inc(o.Kind)
	}
	return err == nil || errors.Is(err, topo.ErrNotFound) || errors.Is(err, topo.ErrConflict)
}

// rest waits. It reports false when ctx has ended.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
