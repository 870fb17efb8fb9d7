package router

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// logSuspicions logs which upstreams have become suspected, and which no longer are.
func (p *Pool) logSuspicions(name string) {
	for _, c := range p.tracker.SuspicionChanges() {
		vm := p.upstreamByHash(c.VM)
		level, msg := slog.LevelInfo, "upstream is no longer suspected"
		if c.Suspected {
			level, msg = slog.LevelWarn, "upstream is suspected: it fails more requests than others and is chosen last"
		}
		slog.LogAttrs(context.Background(), level, msg, slog.String("upstream", vm.ID), slog.String("addr", vm.Addr),
			slog.String("pool", name), slog.Float64("failed", roundTenths(c.Failed)), slog.Float64("of", roundTenths(c.All)))
	}
}

// upstreamByHash returns an upstream of the pool; the zero VM if it has none with that hash.
func (p *Pool) upstreamByHash(id load.VM) topo.VM {
	for _, vm := range p.VMs {
		if load.Hash(vm.ID) == id {
			return vm
		}
	}
	return topo.VM{}
}

// countsAsOutcome reports whether a response's status counts as a success or failure of the
// upstream. A 504 doesn't: it means that the time limit which came with the request has passed,
// and that limit may have been short.
func countsAsOutcome(status int) bool {
	return status != http.StatusGatewayTimeout
}
