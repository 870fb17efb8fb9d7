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
// of the response has arrived. The caller of Dispatch closes the Response. ctx ends
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
	resp := r.newResponse(ctx, view, req)
	resp.release = release
	if err := resp.applyQuarantine(time.Now()); err != nil {
		resp.Close()
		return nil, err
	}
	if len(resp.candidates) == 0 {
		resp.Close()
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream", req.Profile.Pool)
		return nil, e.WithRetryAfter(time.Second)
	}
	if err := resp.run(); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// newResponse returns the Response of a request to upstreams with sidecars, not yet run.
func (r *Router) newResponse(caller context.Context, view *View, req Request) *Response {
	now := time.Now()
	resp := &Response{
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
	resp.transport = sidecarTransport{resp}
	resp.ctx, resp.stop = context.WithCancel(context.WithoutCancel(caller))
	resp.candidates = r.candidates(now, resp)
	if len(resp.candidates) > 0 {
		resp.home = resp.candidates[0].ID
	}
	resp.plan = req.plan(now, len(resp.candidates))
	resp.state = dispatch.New(resp.plan, r.limits.budget(req.Profile))
	return resp
}

// candidates returns the upstreams to offer the request to, in order. If the
// caller holds a key, the VM of the key comes first.
func (r *Router) candidates(now time.Time, resp *Response) []topo.VM {
	vms := r.chooseCandidates(now, resp)
	if resp.req.Key == nil {
		return vms
	}
	vms = slices.DeleteFunc(vms, func(vm topo.VM) bool { return vm.ID == resp.req.Key.VM })
	return append([]topo.VM{resp.view.VMs[resp.req.Key.VM]}, vms...)
}

// chooseCandidates returns the upstreams for a request without regard to its
// key, the best first.
func (r *Router) chooseCandidates(now time.Time, resp *Response) []topo.VM {
	if resp.pool == nil {
		return nil
	}
	q := placement.Query{
		Session:      resp.session,
		Ticket:       placement.None,
		LoadMultiple: resp.req.Profile.LoadMultiple,
		Random:       resp.candidateSeed(),
	}
	if vm, age := r.ticketVM(now, resp.req.Ticket, resp.session); vm != "" {
		q.Ticket, q.TicketAge = resp.pool.placed.Index(load.Hash(vm)), age
	}
	return r.chooseFromPool(now, resp.pool, q)
}

// candidateSeed returns the seed of the choice for a request without a session.
// It is the fingerprint where there is one, so that copies of a request go to the
// same few upstreams, which can be informed if one copy has crashed an upstream.
func (resp *Response) candidateSeed() uint64 {
	if resp.fingerprint != 0 {
		return resp.fingerprint
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
func (resp *Response) ID() string {
	return resp.router.sealKey(resp.req.Org.Name, resp.session, *resp.winner.key)
}

// Ticket returns the placement ticket for the session's next request, or an
// empty string for a request without a session.
func (resp *Response) Ticket() string {
	if resp.session == 0 {
		return ""
	}
	return resp.router.sealTicket(resp.req.Org.Name, resp.session, *resp.winner.key, time.Now())
}

// NextKey returns a request key that the caller may use for its next request.
func (resp *Response) NextKey() string {
	key := resp.winner.key
	return resp.router.sealKey(resp.req.Org.Name, resp.session, newKey(key.VM, key.Incarnation, time.Now()))
}
