// Package order is a sidecar's side of the controller's orders: it refuses
// those of former holders, empties the upstream before a load, and gives the
// upstream one order at a time.
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
	// readyTimeout is how long an emptied upstream waits for its load. After that
	// it serves again: the controller may be gone.
	readyTimeout = 2 * time.Minute
	// pollInterval is how often a loading upstream is asked how far it is.
	pollInterval = 500 * time.Millisecond
	// callTimeout bounds one call of the upstream or the store.
	callTimeout = 3 * time.Second
)

// Upstream is what takes orders.
type Upstream interface {
	// OrderStatus returns the latest order that the upstream has had, and what
	// it serves. An upstream that takes no orders answers ReasonNoOrders.
	OrderStatus(ctx context.Context) (wire.OrderStatus, error)
	// Load has the upstream begin a load. The fencing token goes with it, for
	// upstreams that check it themselves.
	Load(ctx context.Context, o wire.Order) error
}

// Config is what a Desk works with.
type Config struct {
	Upstream Upstream
	// Token reads the current fencing token from the store; nil: there is none.
	Token func(ctx context.Context) (wire.FencingToken, error)
	// Drain takes the upstream out of service and returns when nothing runs;
	// resume puts it back.
	Drain func(ctx context.Context) (resume func(), err error)
}

// Handler takes orders.
type Handler struct {
	config Config
	ctx    context.Context

	mu         sync.Mutex // held across calls of the upstream, so that orders come one by one
	fence      lease.Fence
	id         string // of the order at hand
	phase      wire.OrderPhase
	resume     func()
	readyTimer *time.Timer
	cancel     context.CancelFunc // of what empties the upstream
}

// NewHandler returns a Desk that works until ctx ends.
func NewHandler(ctx context.Context, c Config) *Handler {
	return &Handler{config: c, ctx: ctx}
}

// Handle handles an order. A refusal is in the status, with what the controller
// needs to know besides.
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

// checkToken applies the fence. A sidecar that has just started knows no token and
// reads it from the store first; without it, an order that a former holder sent
// before the restart would be taken.
func (h *Handler) checkToken(ctx context.Context, t wire.FencingToken) *verdict.Error {
	if !h.fence.Known() && h.config.Token != nil {
		if current, err := h.config.Token(ctx); err == nil {
			h.fence.Learn(current)
		}
	}
	return h.fence.Check(t)
}

// status tells how far the order at hand is; what is at the upstream, the
// upstream tells, so a restarted sidecar knows it as well.
func (h *Handler) status(ctx context.Context) (wire.OrderStatus, error) {
	status, err := h.config.Upstream.OrderStatus(ctx)
	status.Token = h.fence.Highest()
	if h.id != "" {
		status.ID, status.Phase = h.id, h.phase
	}
	return status, err
}

// prepare begins to empty the upstream, or goes on with that under a new id.
func (h *Handler) prepare(o wire.Order) {
	isDraining := h.id != ""
	h.id = o.ID
	if isDraining {
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

// restartReadyTimer lets the upstream wait for its load for another while.
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

// load hands a prepared order to the upstream. One that is not at hand, or is
// on its way already, is left: the status tells.
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

// waitForLoad waits until the upstream has finished the load.
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

func (h *Handler) finishLoad(id string) bool {
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	status, err := h.config.Upstream.OrderStatus(ctx)
	// An upstream that has restarted no longer knows the order: it is over.
	if err != nil || (status.ID == id && status.Phase == wire.PhaseRunning) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release()
	return true
}
