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
	// readyFor is how long an emptied upstream waits for its load. After that
	// it serves again: the controller may be gone.
	readyFor = 2 * time.Minute
	// pollEvery is how often a loading upstream is asked how far it is.
	pollEvery = 500 * time.Millisecond
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

	mu     sync.Mutex // held across calls of the upstream, so that orders come one by one
	fence  lease.Fence
	id     string // of the order at hand
	phase  wire.OrderPhase
	resume func()
	lapse  *time.Timer
	cancel context.CancelFunc // of what empties the upstream
}

// NewHandler returns a Desk that works until ctx ends.
func NewHandler(ctx context.Context, c Config) *Handler {
	return &Handler{config: c, ctx: ctx}
}

// Handle handles an order. A refusal is in the status, with what the controller
// needs to know besides.
func (d *Handler) Handle(ctx context.Context, o wire.Order) (wire.OrderStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	if err := d.check(ctx, o.Token); err != nil {
		return wire.OrderStatus{Token: d.fence.Highest(), Error: err}, nil
	}
	status, err := d.status(ctx)
	if err != nil || o.Action == wire.OrderQuery {
		return status, err
	}
	if status.Phase == wire.PhaseRunning && status.ID != o.ID {
		status.Error = verdict.New(verdict.NotRun, verdict.ReasonBusy, "the upstream works on order %s", status.ID)
		return status, nil
	}
	switch o.Action {
	case wire.OrderPrepare:
		d.prepare(o)
	case wire.OrderLoad:
		if err := d.load(ctx, o); err != nil {
			status.Error = verdict.From(err)
			return status, nil
		}
	}
	return d.status(ctx)
}

// check applies the fence. A sidecar that has just started knows no token and
// reads it from the store first; without it, an order that a former holder sent
// before the restart would be taken.
func (d *Handler) check(ctx context.Context, t wire.FencingToken) *verdict.Error {
	if !d.fence.Known() && d.config.Token != nil {
		if current, err := d.config.Token(ctx); err == nil {
			d.fence.Learn(current)
		}
	}
	return d.fence.Check(t)
}

// status tells how far the order at hand is; what is at the upstream, the
// upstream tells, so a restarted sidecar knows it as well.
func (d *Handler) status(ctx context.Context) (wire.OrderStatus, error) {
	status, err := d.config.Upstream.OrderStatus(ctx)
	status.Token = d.fence.Highest()
	if d.id != "" {
		status.ID, status.Phase = d.id, d.phase
	}
	return status, err
}

// prepare begins to empty the upstream, or goes on with that under a new id.
func (d *Handler) prepare(o wire.Order) {
	started := d.id != ""
	d.id = o.ID
	if started {
		d.renew()
		return
	}
	d.phase = wire.PhaseDraining
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancel = cancel
	go d.empty(ctx)
}

func (d *Handler) empty(ctx context.Context) {
	resume, err := d.config.Drain(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.id = ""
		return
	}
	d.phase, d.resume = wire.PhaseReady, resume
	d.renew()
}

// renew lets the upstream wait for its load for another while.
func (d *Handler) renew() {
	if d.phase != wire.PhaseReady {
		return
	}
	if d.lapse != nil {
		d.lapse.Stop()
	}
	d.lapse = time.AfterFunc(readyFor, d.giveUp)
}

func (d *Handler) giveUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == wire.PhaseReady {
		d.release()
	}
}

// release puts the upstream back into service.
func (d *Handler) release() {
	d.lapse.Stop()
	d.cancel()
	d.resume()
	d.id, d.phase = "", wire.PhaseNone
}

// load hands a prepared order to the upstream. One that is not at hand, or is
// on its way already, is left: the status tells.
func (d *Handler) load(ctx context.Context, o wire.Order) error {
	if d.id != o.ID || d.phase != wire.PhaseReady {
		return nil
	}
	d.lapse.Stop()
	if err := d.config.Upstream.Load(ctx, o); err != nil {
		d.renew()
		return err
	}
	d.phase = wire.PhaseRunning
	go d.follow(o.ID)
	return nil
}

// follow waits until the upstream has finished the load.
func (d *Handler) follow(id string) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
		if d.finished(id) {
			return
		}
	}
}

func (d *Handler) finished(id string) bool {
	ctx, done := context.WithTimeout(d.ctx, callTimeout)
	defer done()
	status, err := d.config.Upstream.OrderStatus(ctx)
	// An upstream that has restarted no longer knows the order: it is over.
	if err != nil || (status.ID == id && status.Phase == wire.PhaseRunning) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
	return true
}
