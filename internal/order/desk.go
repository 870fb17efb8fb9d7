// Package order handles the controller's orders in a sidecar. An order makes the upstream
// load a model. The controller first prepares it, which drains the upstream, and then
// starts the load; the upstream serves again once the load has ended. The package
// rejects orders of former lease holders and gives the upstream one order at a time.
package order

import (
	"context"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// readyTimeout is how long a drained upstream waits for its load. After that it is
	// put back into service, because the controller may be gone.
	readyTimeout = 2 * time.Minute
	// pollInterval is how often the status of a load is polled.
	pollInterval = 500 * time.Millisecond
	// callTimeout limits one call of the upstream or the store.
	callTimeout = 3 * time.Second
)

// Upstream carries out orders.
type Upstream interface {
	// OrderStatus returns the latest order that the upstream has received, and what it
	// serves. The error of an upstream that takes no orders has the reason
	// verdict.ReasonNoOrders.
	OrderStatus(ctx context.Context) (wire.OrderStatus, error)
	// Load starts a load. The order includes its fencing token, for upstreams that
	// check it themselves.
	Load(ctx context.Context, o wire.Order) error
}

// Config configures a Handler.
type Config struct {
	Upstream Upstream
	// Token reads the current fencing token from the store. It is nil if there is no
	// store.
	Token func(ctx context.Context) (wire.FencingToken, error)
	// Drain takes the upstream out of service and returns when no request runs there.
	// resume puts it back into service.
	Drain func(ctx context.Context) (resume func(), err error)
}

// Handler handles the orders for one upstream.
type Handler struct {
	config Config
	ctx    context.Context

	mu         sync.Mutex // held across calls of the upstream, so that orders are handled one at a time
	fence      lease.Fence
	id         string // of the current order
	phase      wire.OrderPhase
	resume     func()
	readyTimer *time.Timer
	cancel     context.CancelFunc // ends the context of Config.Drain
}

// NewHandler returns a Handler that works until ctx ends.
func NewHandler(ctx context.Context, c Config) *Handler {
	return &Handler{config: c, ctx: ctx}
}

// Handle carries out an order and returns the status after it. For a rejected order, the
// status holds the reason and the highest fencing token and, unless the order's token
// was rejected, the current order and what the upstream serves. Handle returns an error
// if the upstream does not report its status.
func (h *Handler) Handle(ctx context.Context, o wire.Order) (wire.OrderStatus, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := h.checkToken(ctx, o.Token); err != nil {
		return wire.OrderStatus{Token: h.fence.Highest(), Error: err}, nil
	}
	status, err := h.status(ctx)
	if err != nil || o.Action == wire.OrderQuery {
		return status, err
	}
	if status.Phase == wire.PhaseRunning && status.ID != o.ID {
		status.Error = verdict.New(verdict.NotRun, verdict.ReasonBusy, "the upstream works on order %s", status.ID)
		return status, nil
	}
	switch o.Action {
	case wire.OrderPrepare:
		h.prepare(o)
	case wire.OrderLoad:
		if err := h.load(ctx, o); err != nil {
			status.Error = verdict.From(err)
			return status, nil
		}
	}
	return h.status(ctx)
}

// checkToken returns nil if an order with token t is accepted, or why it is rejected:
// a former lease holder has sent it. A sidecar that has just started has seen no token
// and first reads the current one from the store; without that, it would accept an order
// that a former lease holder sent before the restart. Until that succeeds, every order
// is rejected.
func (h *Handler) checkToken(ctx context.Context, t wire.FencingToken) *verdict.Error {
	if !h.fence.Known() && h.config.Token != nil {
		if current, err := h.config.Token(ctx); err == nil {
			h.fence.Learn(current)
		}
	}
	return h.fence.Check(t)
}

// status returns the progress of the current order. What the upstream serves comes from
// the upstream itself, so a restarted sidecar reports it as well.
func (h *Handler) status(ctx context.Context) (wire.OrderStatus, error) {
	status, err := h.config.Upstream.OrderStatus(ctx)
	status.Token = h.fence.Highest()
	if h.id != "" {
		status.ID, status.Phase = h.id, h.phase
	}
	return status, err
}

// prepare starts to drain the upstream. If that has already started or been completed
// for an earlier order, or for this one, the state is kept under the ID of o, and an
// upstream that waits for its load waits for another readyTimeout.
func (h *Handler) prepare(o wire.Order) {
	hasOrder := h.id != ""
	h.id = o.ID
	if hasOrder {
		h.restartReadyTimer()
		return
	}
	h.phase = wire.PhaseDraining
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancel = cancel
	go h.drain(ctx)
}

func (h *Handler) drain(ctx context.Context) {
	resume, err := h.config.Drain(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.id = ""
		return
	}
	h.phase, h.resume = wire.PhaseReady, resume
	h.restartReadyTimer()
}

// restartReadyTimer gives a drained upstream another readyTimeout to wait for its load.
func (h *Handler) restartReadyTimer() {
	if h.phase != wire.PhaseReady {
		return
	}
	if h.readyTimer != nil {
		h.readyTimer.Stop()
	}
	h.readyTimer = time.AfterFunc(readyTimeout, h.expireReady)
}

func (h *Handler) expireReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == wire.PhaseReady {
		h.release()
	}
}

// release puts the upstream back into service.
func (h *Handler) release() {
	h.readyTimer.Stop()
	h.cancel()
	h.resume()
	h.id, h.phase = "", wire.PhaseNone
}

// load passes a prepared order to the upstream. It does nothing for an order that is
// not the current one or that is not ready; the status shows that.
func (h *Handler) load(ctx context.Context, o wire.Order) error {
	if h.id != o.ID || h.phase != wire.PhaseReady {
		return nil
	}
	h.readyTimer.Stop()
	if err := h.config.Upstream.Load(ctx, o); err != nil {
		h.restartReadyTimer()
		return err
	}
	h.phase = wire.PhaseRunning
	go h.waitForLoad(o.ID)
	return nil
}

// waitForLoad polls the upstream until it has finished the load.
func (h *Handler) waitForLoad(id string) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			return
		}
		if h.finishLoad(id) {
			return
		}
	}
}

// finishLoad puts the upstream back into service and returns true if the load of order
// id has ended. It returns false if the load still runs or the upstream does not answer.
func (h *Handler) finishLoad(id string) bool {
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	status, err := h.config.Upstream.OrderStatus(ctx)
	// A load has also ended if the upstream reports no order or another one: it has
	// restarted.
	if err != nil || (status.ID == id && status.Phase == wire.PhaseRunning) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release()
	return true
}
