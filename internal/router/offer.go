package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var resumedStreams = telemetry.NewCounter("router_resumed_streams_total",
	"Answers that were attached to anew because the connection to their sidecar was lost.")

// Dispatch finds an upstream for the request and returns when the first piece
// of the answer is there. The caller of Dispatch closes the Answer. ctx ends
// when the one who waits for the answer is gone.
func (r *Router) Dispatch(ctx context.Context, req Request) (*Answer, error) {
	view := r.View()
	if r.direct(view, &req) {
		return r.dispatchDirect(ctx, view, req)
	}
	release, err := r.limits.enter(req.Org, view.Routers)
	if err != nil {
		// An earlier copy of a request under a key may be among those in flight.
		err.EarlierUnknown = req.Key != nil
		return nil, err
	}
	a := r.newAnswer(ctx, view, req)
	a.release = release
	if err := a.confine(time.Now()); err != nil {
		a.Close()
		return nil, err
	}
	if len(a.candidates) == 0 {
		a.Close()
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream", req.Profile.Pool)
		return nil, e.WithRetryAfter(time.Second)
	}
	if err := a.run(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (r *Router) newAnswer(caller context.Context, view *View, req Request) *Answer {
	now := time.Now()
	a := &Answer{
		router:   r,
		req:      req,
		view:     view,
		pool:     view.Pools[req.Profile.Pool].in(req.regions()),
		session:  sessionHash(req.Org.Name, req.Session),
		print:    req.fingerprint(),
		started:  now,
		caller:   caller,
		outcomes: make(chan outcome),
	}
	a.carrier = sidecars{a}
	a.ctx, a.stop = context.WithCancel(context.WithoutCancel(caller))
	a.candidates = r.candidates(now, a)
	if len(a.candidates) > 0 {
		a.home = a.candidates[0].ID
	}
	a.plan = req.plan(now, len(a.candidates))
	a.state = dispatch.New(a.plan, r.limits.budget(req.Profile))
	return a
}

// candidates returns the upstreams to which the request is offered, in order.
// A key that the caller holds comes first at its own VM.
func (r *Router) candidates(now time.Time, a *Answer) []topo.VM {
	vms := r.choose(now, a)
	if a.req.Key == nil {
		return vms
	}
	vms = slices.DeleteFunc(vms, func(vm topo.VM) bool { return vm.ID == a.req.Key.VM })
	return append([]topo.VM{a.view.VMs[a.req.Key.VM]}, vms...)
}

func (r *Router) choose(now time.Time, a *Answer) []topo.VM {
	if a.pool == nil {
		return nil
	}
	q := placement.Query{
		Session:      a.session,
		Ticket:       placement.None,
		LoadMultiple: a.req.Profile.LoadMultiple,
		Random:       a.random(),
	}
	if vm, age := r.ticketVM(now, a.req.Ticket, a.session); vm != "" {
		q.Ticket, q.TicketAge = a.pool.placed.Index(load.Hash(vm)), age
	}
	return r.order(now, a.pool, q)
}

// random returns what the choice for a request without a session begins with. It
// follows from the request, so that a copy of it meets the same few upstreams,
// and those can be told if it has crashed one.
func (a *Answer) random() uint64 {
	if a.print != 0 {
		return a.print
	}
	return rand.Uint64()
}

// rank returns the upstreams of a pool by their rank for a hash.
func (r *Router) rank(now time.Time, p *Pool, hash uint64) []topo.VM {
	return r.order(now, p, placement.Query{Session: hash, Ticket: placement.None})
}

func (r *Router) order(now time.Time, p *Pool, q placement.Query) []topo.VM {
	var out [placement.MaxCandidates]int
	n := p.beliefs.choose(now, p.placed, q, &out)
	vms := make([]topo.VM, 0, n+1)
	avoided := make([]topo.VM, 0, n)
	for _, i := range out[:n] {
		vm := p.VMs[i]
		if r.avoids(vm.ID, now) {
			avoided = append(avoided, vm)
		} else {
			vms = append(vms, vm)
		}
	}
	return append(vms, avoided...)
}

// ID is the request's id, by which its caller can ask for it again.
func (a *Answer) ID() string {
	return a.router.sealKey(a.req.Org.Name, a.session, *a.winner.key)
}

// Ticket is the placement ticket for the session's next request, or empty for
// a request without a session.
func (a *Answer) Ticket() string {
	if a.session == 0 {
		return ""
	}
	return a.router.sealTicket(a.req.Org.Name, a.session, *a.winner.key, time.Now())
}

// NextKey is a request key that the caller may use for its next request.
func (a *Answer) NextKey() string {
	won := a.winner.key
	return a.router.sealKey(a.req.Org.Name, a.session, newKey(won.VM, won.Incarnation, time.Now()))
}
