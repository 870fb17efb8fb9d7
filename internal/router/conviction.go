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
	// convictionAttempts is how often a conviction is offered to the store. The
	// store only helps routers that start later, so it is then left.
	convictionAttempts = 5
	// convictionRetryInterval is the pause between two tries, and between the tries of a
	// router that starts to read the convictions.
	convictionRetryInterval = 5 * time.Second
)

var convictions = telemetry.NewFamily[convictionOutcome]("router_convictions_stored_total", "outcome",
	"Convictions of requests that crash upstreams, by what came of keeping them in the store.")

// convictionOutcome is what came of keeping a conviction.
type convictionOutcome string

const (
	convictionStored    convictionOutcome = "kept"
	convictionNotStored convictionOutcome = "lost"
)

// Conviction is the value of a conviction object.
type Conviction struct {
	Suspects  json.RawMessage `json:"suspects"`   // as in wire.Control
	KeepUntil int64           `json:"keep_until"` // Unix seconds; then it may be swept
}

// storeConviction writes a conviction that this router has seen come about into
// the store. Another router that saw it too may have been first.
func (r *Router) storeConviction(fingerprint uint64) {
	p := quarantine.Print(fingerprint)
	now := time.Now()
	value, err := json.Marshal(Conviction{
		Suspects:  r.suspects.evidence(now, fingerprint),
		KeepUntil: now.Add(quarantine.ConvictedFor).Unix(),
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

// readConvictions takes in the convictions of the store once. A router that
// starts has heard of none, and its first copy of such a request would be
// refused by a sidecar only if that has heard.
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
				r.suspects.merge(time.Now(), c.Suspects)
			}
		}
		if cont = page.Continue; cont == "" {
			return
		}
	}
}
