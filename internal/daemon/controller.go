package daemon

import (
	"context"

	"github.com/parsleyfront/parsleyfront/internal/controller"
	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// runController lets a router stand for the controller's lease until ctx ends.
func runController(ctx context.Context, store topo.Store, vm string, s settings.Controller, r *router.Router) {
	controller.New(controller.Config{
		Store:        store,
		Self:         vm,
		Process:      token.NewNonce().String(),
		LeaseTTL:     s.LeaseTTL.D,
		LoadInterval: s.WeightLoadInterval.D,
		Routers:      r.RouterVMs,
		Desired:      r.Desired,
		Order:        r.Order,
	}).Run(ctx)
}

// fencingTokenReader returns how a sidecar reads the controller's fencing token.
func fencingTokenReader(store topo.Store) func(context.Context) (wire.FencingToken, error) {
	return func(ctx context.Context) (wire.FencingToken, error) {
		return lease.CurrentToken(ctx, store, controller.LeaseName)
	}
}
