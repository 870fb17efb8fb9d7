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
	if r.isDirect(view, &req) {
		return r.dispatchDirect(ctx, view, req)
	}
	release, err := r.limits.acquire(req.Org, view.Routers)
	if err != nil {
		// An earlier copy of a request under a key may be among those in flight.
		err.EarlierUnknown = req.Key != nil
		return nil, err
	}
	a := r.newAnswer(ctx, view, req)
	a.release = release
	if err := a.applyQuarantine(time.Now()); err != nil {
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
		router:      r,
		req:         req,
		view:        view,
		pool:        view.Pools[req.Profile.Pool].inRegions(req.regions()),
		session:     sessionHash(req.Org.Name, req.Session),
		fingerprint: req.fingerprint(),
		started:     now,
		caller:      caller,
		outcomes:    make(chan outcome),
	}
	a.transport = sidecarTransport{a}
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
	vms := r.chooseCandidates(now, a)
	if a.req.Key == nil {
		return vms
	}
	vms = slices.DeleteFunc(vms, func(vm topo.VM) bool { return vm.ID == a.req.Key.VM })
	return append([]topo.VM{a.view.VMs[a.req.Key.VM]}, vms...)
}

func (r *Router) chooseCandidates(now time.Time, a *Answer) []topo.VM {
	if a.pool == nil {
		return nil
	}
	q := placement.Query{
		Session:      a.session,
		Ticket:       placement.None,
		LoadMultiple: a.req.Profile.LoadMultiple,
		Random:       a.candidateSeed(),
	}
	if vm, age := r.ticketVM(now, a.req.Ticket, a.session); vm != "" {
		q.Ticket, q.TicketAge = a.pool.placed.Index(load.Hash(vm)), age
	}
	return r.chooseFromPool(now, a.pool, q)
}

// candidateSeed returns what the choice for a request without a session begins with. It
// follows from the request, so that a copy of it meets the same few upstreams,
// and those can be told if it has crashed one.
func (a *Answer) candidateSeed() uint64 {
	if a.fingerprint != 0 {
		return a.fingerprint
	}
	return rand.Uint64()
}

// rankUpstreams returns the upstreams of a pool by their rankUpstreams for a hash.
func (r *Router) rankUpstreams(now time.Time, p *Pool, hash uint64) []topo.VM {
	return r.chooseFromPool(now, p, placement.Query{Session: hash, Ticket: placement.None})
}

func (r *Router) chooseFromPool(now time.Time, p *Pool, q placement.Query) []topo.VM {
	var out [placement.MaxCandidates]int
	n := p.loadReports.choose(now, p.placed, q, &out)
	vms := make([]topo.VM, 0, n+1)
	unreachable := make([]topo.VM, 0, n)
	for _, i := range out[:n] {
		vm := p.VMs[i]
		if r.isUnreachable(vm.ID, now) {
			unreachable = append(unreachable, vm)
		} else {
			vms = append(vms, vm)
		}
	}
	return append(vms, unreachable...)
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
	key := a.winner.key
	return a.router.sealKey(a.req.Org.Name, a.session, newKey(key.VM, key.Incarnation, time.Now()))
}
