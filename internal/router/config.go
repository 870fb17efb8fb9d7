package router

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// queryConfig queries a sidecar, or with a mesh the parent router, for configuration.
func (r *Router) queryConfig(ctx context.Context, peer config.Peer, q config.Query) (config.Delta, error) {
	if r.mesh != nil {
		return r.pull(ctx, peer, wire.MethodConfigSince, q)
	}
	vm, ok := r.View().VMs[string(peer)]
	if !ok {
		return config.Delta{}, errors.Errorf("router: %s is not in the list of VMs", peer)
	}
	var d wire.ConfigDelta
	err := r.peer(vm).Call(ctx, wire.MethodConfigSince, q, &d)
	return d, err
}

// handleSidecarCall handles the calls of sidecars.
func (r *Router) handleSidecarCall(ctx context.Context, vm topo.VM, m wire.Method, params wire.Params) (any, error) {
	if m != wire.MethodConfigSince {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", m)
	}
	var q wire.ConfigSince
	if err := params.Decode(&q); err != nil {
		return nil, err
	}
	return r.deltaSince(ctx, relay.SetConfig, config.Peer(vm.ID), q)
}

// deltaSince returns the objects of a set that a peer lacks.
func (r *Router) deltaSince(ctx context.Context, set relay.Set, peer config.Peer, q config.Query) (config.Delta, error) {
	reply := make(chan config.Delta, 1)
	r.mu.Lock()
	r.lastQueryTicket++
	ticket := r.lastQueryTicket
	r.pendingQueries[ticket] = reply
	r.mu.Unlock()
	r.loop.Post(ConfigQueried{Now: time.Now(), Set: set, Peer: peer, Query: q, Ticket: ticket})
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingQueries, ticket)
	return config.Delta{}, errors.New("router: stopping")
}

// deliverReply passes a reply to the call that waits for it.
func (r *Router) deliverReply(e ConfigReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.pendingQueries[e.Ticket]; waiting != nil {
		delete(r.pendingQueries, e.Ticket)
		waiting <- e.Delta
	}
}

// refreshConfig makes the follower look for changes in the store at once.
func (r *Router) refreshConfig() {
	r.loop.Post(ConfigEvent{Event: config.Hinted{Now: time.Now()}})
}

// postConnectedPeers posts to the follower which of the sidecars that keep a copy of
// the configuration this router is connected to.
func (r *Router) postConnectedPeers() {
	copies := r.View().ConfigCopies
	r.mu.Lock()
	var connected []config.Peer
	for ep, p := range r.peers {
		if copies[ep.vm] && p.Connected() {
			connected = append(connected, config.Peer(ep.vm))
		}
	}
	r.mu.Unlock()
	slices.Sort(connected)
	r.loop.Post(ConfigEvent{Event: config.PeersConnected{Peers: connected}})
}
