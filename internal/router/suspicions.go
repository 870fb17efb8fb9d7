package router

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// logSuspicions tells which upstreams are suspected now, and which are not any more.
func (p *Pool) logSuspicions(name string) {
	for _, c := range p.tracker.SuspicionChanges() {
		vm := p.upstreamByHash(c.VM)
		level, msg := slog.LevelInfo, "upstream is trusted again"
		if c.Suspected {
			level, msg = slog.LevelWarn, "upstream fails more than others and comes last"
		}
		slog.LogAttrs(context.Background(), level, msg, slog.String("upstream", vm.ID), slog.String("addr", vm.Addr),
			slog.String("pool", name), slog.Float64("failed", roundTenths(c.Failed)), slog.Float64("of", roundTenths(c.All)))
	}
}

// upstreamByHash returns an upstream of the pool.
func (p *Pool) upstreamByHash(id load.VM) topo.VM {
	for _, vm := range p.VMs {
		if load.Hash(vm.ID) == id {
			return vm
		}
	}
	return topo.VM{}
}

// countsAsOutcome reports whether a status speaks for or against an upstream. 504 is its word
// that the time which it was given is over, which may have been short.
func countsAsOutcome(status int) bool {
	return status != http.StatusGatewayTimeout
}
