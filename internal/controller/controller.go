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

	// tickInterval is how often the controller looks for what is due.
	tickInterval = 250 * time.Millisecond
	// desiredInterval is how often it looks at the pools and their upstreams.
	desiredInterval = time.Second
	// orderTimeout bounds one call of a sidecar.
	orderTimeout = 5 * time.Second
)

var (
	ordersSent = telemetry.NewFamily[wire.OrderAction]("controller_orders_total", "action",
		"Orders sent to sidecars by this router while it held the controller's lease.")
	ordersRefused = telemetry.NewFamily[verdict.Reason]("controller_orders_refused_total", "reason",
		"Orders that were refused or whose outcome is not known, by reason.")
)

// Config is what a Controller works with.
type Config struct {
	Store topo.Store
	Self  string // this router's VM
	// Process is unique to this process: a restarted one is another candidate.
	Process string
	// LeaseTTL is how long the lease lasts without renewal.
	LeaseTTL time.Duration
	// LoadInterval is the time between two loads that the weight store allows.
	LoadInterval time.Duration
	// Routers returns the VMs of routers that the platform lists.
	Routers func() []string
	// Desired returns the pools and the VMs of their upstreams.
	Desired func() Desired
	// Order gives an order to the sidecar of a VM.
	Order func(ctx context.Context, vm topo.VM, o wire.Order) (wire.OrderStatus, error)
}

// Controller holds the lease when it is this router's turn, and acts under it.
type Controller struct {
	config      Config
	lease       *lease.Runner
	loop        *loop.Loop[Event, Send]
	ctx         context.Context
	lastDesired time.Time         // at the pools; owned by Run
	lastToken   wire.FencingToken // under which it looked; owned by Run
}

// New returns a Controller.
func New(c Config) *Controller {
	isCandidate := func() bool { return lease.IsCandidate(LeaseName, c.Self, c.Routers()) }
	ctl := &Controller{config: c, lease: lease.NewRunner(c.Store, LeaseName, c.Self+"/"+c.Process, c.LeaseTTL, isCandidate)}
	ctl.loop = loop.New(NewState(c.LoadInterval), ctl.execute, func() {})
	return ctl
}

// HoldsLease reports whether this router is the controller.
func (c *Controller) HoldsLease() bool {
	return c.lease.Grant().Valid(time.Now())
}

// Run works until ctx ends, and then gives the lease up.
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
			c.postState()
		case <-ctx.Done():
		}
	}
	<-resigned
}

// postState tells the reducer how things stand.
func (c *Controller) postState() {
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

func (c *Controller) execute(s Send) {
	go func() { c.loop.Post(c.send(s)) }()
}

// send gives one order. The lease is checked right before: a process that was
// paused since the order was decided on wakes up here with an old belief. If
// it is paused between the check and the sending, the sidecar's fence refuses.
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
