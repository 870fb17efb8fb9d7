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

// runController runs the controller on a router until ctx ends. The controller gives orders
// only while it holds the controller's lease.
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

// fencingTokenReader returns a function by which a sidecar reads the controller's fencing
// token from store.
func fencingTokenReader(store topo.Store) func(context.Context) (wire.FencingToken, error) {
	return func(ctx context.Context) (wire.FencingToken, error) {
		return lease.CurrentToken(ctx, store, controller.LeaseName)
	}
}
