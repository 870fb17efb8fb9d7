package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// convictionAttempts is how often writing a conviction to the store is tried.
	// It is then abandoned, because only routers that start later read it there.
	convictionAttempts = 5
	// convictionRetryInterval is the pause between two attempts to write a
	// conviction, or to read the convictions at the start of a router.
	convictionRetryInterval = 5 * time.Second
)

var convictions = telemetry.NewFamily[convictionOutcome]("router_convictions_stored_total", "outcome",
	"Convictions of requests that crash upstreams, by what came of keeping them in the store.")

// convictionOutcome is the outcome of writing a conviction to the store.
type convictionOutcome string

const (
	convictionStored    convictionOutcome = "kept"
	convictionNotStored convictionOutcome = "lost"
)

// Conviction is the value of a conviction object.
type Conviction struct {
	Suspects  json.RawMessage `json:"suspects"`   // as in wire.Control
	KeepUntil int64           `json:"keep_until"` // Unix seconds; it may be swept afterwards
}

// storeConviction writes the conviction of a request to the store. A conflict
// means that another router has written it already.
func (r *Router) storeConviction(fingerprint uint64) {
	p := quarantine.Fingerprint(fingerprint)
	now := time.Now()
	value, err := json.Marshal(Conviction{
		Suspects:  r.suspects.Evidence(now, fingerprint),
		KeepUntil: now.Add(quarantine.ConvictionTTL).Unix(),
	})
	if err != nil {
		return
	}
	ref := topo.Ref{Kind: topo.KindConviction, Name: p.String()}
	for range convictionAttempts {
		_, err := r.config.Store.Put(r.ctx, ref, value, 0)
		if err == nil || errors.Is(err, topo.ErrConflict) {
			convictions.Inc(convictionStored)
			return
		}
		sleep(r.ctx, convictionRetryInterval)
	}
	convictions.Inc(convictionNotStored)
}

// readConvictions reads the convictions in the store once. A router that starts
// knows of none, and the first copy of a convicted request that it sent would be
// refused only by a sidecar that knows of the conviction.
func (r *Router) readConvictions(ctx context.Context) {
	cont := ""
	for ctx.Err() == nil {
		page, err := r.config.Store.List(ctx, topo.KindConviction, cont)
		if err != nil {
			sleep(ctx, convictionRetryInterval)
			continue
		}
		for _, o := range page.Objects {
			var c Conviction
			if json.Unmarshal(o.Value, &c) == nil {
				r.mergeSuspects(time.Now(), c.Suspects)
			}
		}
		if cont = page.Continue; cont == "" {
			return
		}
	}
}
