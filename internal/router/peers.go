package router

import (
	"context"
	"net"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// endpoint identifies a sidecar by its VM and address. The address alone would not
// do: a new VM may get the address of a former one.
type endpoint struct {
	vm, addr string
}

// peer returns the Peer for a VM's sidecar, or for the parent router.
func (r *Router) peer(vm topo.VM) *wire.Peer {
	ep := endpoint{vm: vm.ID, addr: vm.Addr}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[ep]
	if p == nil {
		dial := func(ctx context.Context) (net.Conn, error) { return r.dial(ctx, vm) }
		calls := func(ctx context.Context, m wire.Method, params wire.Params) (any, error) {
			return r.handleSidecarCall(ctx, vm, m, params)
		}
		p = wire.NewPeer(wire.PeerConfig{Dial: dial, CallHandler: calls})
		r.peers[ep] = p
	}
	return p
}

// dial connects to the sidecar of a VM, or to another router.
func (r *Router) dial(ctx context.Context, vm topo.VM) (net.Conn, error) {
	if r.mesh != nil {
		return r.mesh.Dial(ctx, "tcp", vm.Addr)
	}
	return r.config.Dial(ctx, vm)
}

// handleControl processes the control data that a sidecar attaches to a reply.
func (r *Router) handleControl(now time.Time, vm topo.VM, c wire.Control) {
	view := r.View()
	if c.Config > 0 && (c.Config != view.Version || c.ConfigDigest != view.Digest) {
		summary := config.PiggybackedSummary(c.Config, c.ConfigDigest)
		r.loop.Post(ConfigEvent{Event: config.SummaryReceived{Now: now, Peer: config.Peer(vm.ID), Summary: summary}})
	}
	if !c.Draining && r.View().Leaving[vm.ID] {
		r.loop.Post(NoticeLost{VM: vm.ID})
	}
	r.mergeSuspects(now, c.Suspects)
	if pool := r.View().Pools[vm.Pool]; pool != nil {
		pool.loadReports.observe(now, load.Hash(vm.ID), max(vm.Weight, 1), c)
	}
}

// control returns the control data that goes with a request to the sidecar of a VM
// of pool. Only sidecars that keep a copy of the configuration get its version.
func (r *Router) control(now time.Time, vm string, pool *Pool, fingerprint uint64) wire.Control {
	var c wire.Control
	if view := r.View(); view.ConfigCopies[vm] {
		c.Config, c.ConfigDigest = view.Version, view.Digest
	}
	_, c.Suspects = r.suspects.Decide(now, fingerprint)
	if pool != nil {
		c.Samples = pool.loadReports.samples(now, load.Hash(vm))
	}
	return c
}

// markUnreachable records that an upstream could not be reached, which ranks it
// last for a while.
func (r *Router) markUnreachable(vm string) {
	r.conditions.RecordUnreachable(time.Now(), vm)
}

// isUnreachable reports whether an upstream could not be reached lately.
func (r *Router) isUnreachable(vm string, now time.Time) bool {
	return r.conditions.Conditions(now, vm).Has(condition.Unreachable)
}

// prunePeers drops the peers of VMs that have left or changed their address, once
// they are disconnected. Thousands of VMs come and go during the uptime of a router.
func (r *Router) prunePeers() {
	vms := r.View().VMs
	r.mu.Lock()
	defer r.mu.Unlock()
	for ep, p := range r.peers {
		if vm, ok := vms[ep.vm]; (!ok || vm.Addr != ep.addr) && !p.Connected() {
			p.Close()
			delete(r.peers, ep)
		}
	}
}

// closePeers closes all connections to sidecars and to other routers.
func (r *Router) closePeers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.Close()
	}
}
