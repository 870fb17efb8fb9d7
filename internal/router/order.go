package router

import (
	"context"

	"github.com/parsleyfront/parsleyfront/internal/controller"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Order sends an order of the controller to the sidecar of a VM.
func (r *Router) Order(ctx context.Context, vm topo.VM, o wire.Order) (wire.OrderStatus, error) {
	var status wire.OrderStatus
	err := r.peer(vm).Call(ctx, wire.MethodOrder, o, &status)
	return status, err
}

// Desired returns the specifications of all pools, and their upstreams that take work.
func (r *Router) Desired() controller.Desired {
	view := r.View()
	var d controller.Desired
	for name, p := range view.PoolSpecs {
		d.Pools = append(d.Pools, *p)
		if pool := view.Pools[name]; pool != nil {
			d.VMs = append(d.VMs, pool.VMs...)
		}
	}
	return d
}

// RouterVMs returns the ids of the listed routers that are not leaving.
func (r *Router) RouterVMs() []string {
	var out []string
	for id, vm := range r.View().VMs {
		if vm.Role == topo.RoleRouter && !vm.Leaving {
			out = append(out, id)
		}
	}
	return out
}
