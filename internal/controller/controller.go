package controller

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// LeaseName names the lease object of the controller.
	LeaseName = "controller"

	// tickInterval is the time between two ticks of the control loop.
	tickInterval = 250 * time.Millisecond
	// desiredInterval is the time between two reads of the pools and their
	// upstreams.
	desiredInterval = time.Second
	// orderTimeout bounds one call to a sidecar.
	orderTimeout = 5 * time.Second
)

var (
	ordersSent = telemetry.NewFamily[wire.OrderAction]("controller_orders_total", "action",
		"Orders sent to sidecars by this router while it held the controller's lease.")
	ordersRefused = telemetry.NewFamily[verdict.Reason]("controller_orders_refused_total", "reason",
		"Orders that were refused or whose outcome is not known, by reason.")
)

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Store topo.Store
	Self  string // this router's VM
	// Process is unique to this process. It is part of the name under which the
	// process competes for the lease, so that a restarted process does not
	// regard the lease of the earlier one as its own.
	Process string
	// LeaseTTL is how long the lease lasts without renewal.
	LeaseTTL time.Duration
	// LoadInterval is the shortest time between two loads that the weight store
	// allows.
	LoadInterval time.Duration
	// Routers returns the VMs of the routers that the platform lists.
	Routers func() []string
	// Desired returns the pools and the VMs of their upstreams.
	Desired func() Desired
	// Order sends an order to the sidecar of a VM and returns its status.
	Order func(ctx context.Context, vm topo.VM, o wire.Order) (wire.OrderStatus, error)
}

// Controller competes for the lease and, while it holds the lease, orders
// upstreams to load models and deletes expired objects.
type Controller struct {
	config      Config
	lease       *lease.Runner
	loop        *loop.Loop[Event, Send]
	ctx         context.Context   // of Run; ends the calls to sidecars
	lastDesired time.Time         // last time the pools were read; owned by Run
	lastToken   wire.FencingToken // lease token at that time; owned by Run
}

// New returns a Controller. Run starts it.
func New(c Config) *Controller {
	isCandidate := func() bool { return lease.IsCandidate(LeaseName, c.Self, c.Routers()) }
	ctl := &Controller{config: c, lease: lease.NewRunner(c.Store, LeaseName, c.Self+"/"+c.Process, c.LeaseTTL, isCandidate)}
	ctl.loop = loop.New(NewState(c.LoadInterval), ctl.execute, func() {})
	return ctl
}

// HoldsLease reports whether this router holds the controller's lease.
func (c *Controller) HoldsLease() bool {
	return c.lease.Grant().Valid(time.Now())
}

// Run runs the controller until ctx ends, and then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	resigned := make(chan struct{})
	go func() {
		c.lease.Run(ctx)
		close(resigned)
	}()
	go c.loop.Run(ctx)
	go c.sweep(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			c.postEvents()
		case <-ctx.Done():
		}
	}
	<-resigned
}

// postEvents posts the state of the lease to the reducer. While the lease is
// held, it also posts a tick and, every desiredInterval and for each new token,
// the desired state.
func (c *Controller) postEvents() {
	now := time.Now()
	grant := c.lease.Grant()
	if !grant.Valid(now) {
		grant.Token = 0
	}
	c.loop.Post(LeaseChanged{Now: now, Token: grant.Token})
	if grant.Token == 0 {
		return
	}
	if now.Sub(c.lastDesired) >= desiredInterval || grant.Token != c.lastToken {
		c.lastDesired, c.lastToken = now, grant.Token
		c.loop.Post(c.config.Desired())
	}
	c.loop.Post(Tick{Now: now})
}

// execute sends an order in the background and posts its outcome.
func (c *Controller) execute(s Send) {
	go func() { c.loop.Post(c.send(s)) }()
}

// send sends one order and returns its outcome. The lease is checked
// immediately before: a process that was paused after the order was decided may
// no longer hold it. If the pause falls between the check and the sending, the
// sidecar rejects the outdated fencing token.
func (c *Controller) send(s Send) Replied {
	r := Replied{VM: s.VM.ID, Order: s.Order}
	grant := c.lease.Grant()
	if grant.Token != s.Order.Token || !grant.Valid(time.Now()) {
		r.Now, r.Err = time.Now(), verdict.New(verdict.NotRun, verdict.ReasonFenced, "the lease has lapsed")
		return r
	}
	ordersSent.Inc(s.Order.Action)
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	status, err := c.config.Order(ctx, s.VM, s.Order)
	r.Now, r.Status, r.Err = time.Now(), status, status.Error
	if err != nil {
		r.Err = verdict.From(err)
	}
	if r.Err != nil {
		ordersRefused.Inc(r.Err.Reason)
	}
	return r
}
