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

// Dispatch sends the request to an upstream and returns when the first piece
// of the answer has arrived. The caller of Dispatch closes the Answer. ctx ends
// when the caller of the request is gone.
func (r *Router) Dispatch(ctx context.Context, req Request) (*Response, error) {
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

// newAnswer returns the Answer of a request to upstreams with sidecars, not yet run.
func (r *Router) newAnswer(caller context.Context, view *View, req Request) *Response {
	now := time.Now()
	a := &Response{
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

// candidates returns the upstreams to offer the request to, in order. If the
// caller holds a key, the VM of the key comes first.
func (r *Router) candidates(now time.Time, a *Response) []topo.VM {
	vms := r.chooseCandidates(now, a)
	if a.req.Key == nil {
		return vms
	}
	vms = slices.DeleteFunc(vms, func(vm topo.VM) bool { return vm.ID == a.req.Key.VM })
	return append([]topo.VM{a.view.VMs[a.req.Key.VM]}, vms...)
}

// chooseCandidates returns the upstreams for a request without regard to its
// key, the best first.
func (r *Router) chooseCandidates(now time.Time, a *Response) []topo.VM {
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

// candidateSeed returns the seed of the choice for a request without a session.
// It is the fingerprint where there is one, so that copies of a request go to the
// same few upstreams, which can be informed if one copy has crashed an upstream.
func (a *Response) candidateSeed() uint64 {
	if a.fingerprint != 0 {
		return a.fingerprint
	}
	return rand.Uint64()
}

// rankUpstreams returns the upstreams of a pool by their rank for a hash.
func (r *Router) rankUpstreams(now time.Time, p *Pool, hash uint64) []topo.VM {
	return r.chooseFromPool(now, p, placement.Query{Session: hash, Ticket: placement.None})
}

// chooseFromPool returns the upstreams of a pool for a query, the best first
// and those that could not be reached lately last.
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

// ID returns the request's id, with which its caller can ask for it again.
func (a *Response) ID() string {
	return a.router.sealKey(a.req.Org.Name, a.session, *a.winner.key)
}

// Ticket returns the placement ticket for the session's next request, or an
// empty string for a request without a session.
func (a *Response) Ticket() string {
	if a.session == 0 {
		return ""
	}
	return a.router.sealTicket(a.req.Org.Name, a.session, *a.winner.key, time.Now())
}

// NextKey returns a request key that the caller may use for its next request.
func (a *Response) NextKey() string {
	key := a.winner.key
	return a.router.sealKey(a.req.Org.Name, a.session, newKey(key.VM, key.Incarnation, time.Now()))
}
