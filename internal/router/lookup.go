package router

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// lookupTimeout bounds a query about an earlier request.
	lookupTimeout = 3 * time.Second
	// MaxMintedKeys bounds the number of request keys that one call returns.
	MaxMintedKeys = 1000
)

// Resume returns the response to an earlier request of org, from offset on. It
// never runs the request again.
func (r *Router) Resume(ctx context.Context, org *profile.Organisation, key wire.Key, offset int64) (*Response, error) {
	view := r.View()
	resp := &Response{
		router:       r,
		req:          Request{Org: org, Profile: &profile.Profile{}, Key: &key},
		view:         view,
		candidates:   []topo.VM{view.VMs[key.VM]},
		resumeOffset: offset,
		release:      func() {},
		caller:       ctx,
		outcomes:     make(chan outcome),
		plan:         dispatch.Plan{CallerHasKey: true, AttachOnly: true, MaxOffers: 1},
	}
	resp.transport = sidecarTransport{resp}
	resp.ctx, resp.stop = context.WithCancel(context.WithoutCancel(ctx))
	resp.state = dispatch.New(resp.plan, &retry.Budget{})
	if err := resp.run(); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// Status returns the status of an earlier request of org.
func (r *Router) Status(ctx context.Context, org string, key wire.Key) (wire.Status, error) {
	var status wire.Status
	err := r.querySidecar(ctx, key, wire.MethodStatus, wire.StatusRequest{Key: key, Org: org}, &status)
	return status, err
}

// Cancel cancels an earlier request of org and returns its status.
func (r *Router) Cancel(ctx context.Context, org string, key wire.Key) (wire.Status, error) {
	var status wire.Status
	err := r.querySidecar(ctx, key, wire.MethodCancel, wire.Cancel{Key: key, Org: org}, &status)
	return status, err
}

// querySidecar makes a call about a request to the sidecar that decides on its key. If
// the sidecar can't be reached, the error has the verdict MayHaveRun.
func (r *Router) querySidecar(ctx context.Context, key wire.Key, m wire.Method, params, result any) error {
	vm, ok := r.View().VMs[key.VM]
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the VM of the request has left")
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	err := r.peer(vm).Call(ctx, m, params, result)
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	switch e.Reason {
	case verdict.ReasonNoUpstream, verdict.ReasonConnection, verdict.ReasonInternal:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the upstream's sidecar cannot be reached").WithRetryAfter(time.Second)
	}
	return e
}

// Mint returns n keys for requests of a profile, and when they expire.
func (r *Router) Mint(ctx context.Context, org *profile.Organisation, p *profile.Profile, session string, n int) ([]string, time.Time, error) {
	first, err := r.mintKey(ctx, org, p, session)
	if err != nil {
		return nil, time.Time{}, err
	}
	hash := sessionHash(org.Name, session)
	keys := make([]string, n)
	for i := range keys {
		key := first
		key.Nonce = token.NewNonce()
		keys[i] = r.sealKey(org.Name, hash, key)
	}
	return keys, time.Unix(first.Expires, 0), nil
}

// mintKey generates a key for the first upstream to which the session's next
// request would be offered and whose sidecar can be reached.
func (r *Router) mintKey(ctx context.Context, org *profile.Organisation, p *profile.Profile, session string) (wire.Key, error) {
	now := time.Now()
	view := r.View()
	vms := r.chooseCandidates(now, &Response{
		view:    view,
		pool:    view.Pools[p.Pool],
		req:     Request{Org: org, Profile: p},
		session: sessionHash(org.Name, session),
	})
	for _, vm := range vms {
		hello, err := r.peer(vm).Connect(ctx)
		if err == nil {
			return newKey(vm.ID, hello.Incarnation, now), nil
		}
		r.markUnreachable(vm.ID)
	}
	e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream of pool %q could be reached", p.Pool)
	return wire.Key{}, e.WithRetryAfter(time.Second)
}
