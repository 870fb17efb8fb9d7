// Package drain decides which upstreams take no new work because operators have ordered
// so: one of them by its VM, or all those of a failure domain.
//
// Routers and sidecars feed an Orders with the objects of the configuration that come
// into force. It may assume that no object is followed by an older one of its name; the
// configuration's Set sees to that, whichever stale source tells of it.
package drain

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Order is what operators want of an upstream.
type Order struct {
	Leave   bool         // take no new work; else stay after all
	Version topo.Version // of the newest order that concerns it
}

// Orders is the orders in force. Its zero value knows none.
type Orders struct {
	vms, domains map[string]Order
}

// Apply takes in an object, and reports whether it is an order.
func (o *Orders) Apply(object topo.Object) bool {
	order := Order{Leave: !object.Deleted, Version: object.Version}
	switch object.Kind {
	case topo.KindDrain:
		set(&o.vms, object.Name, order)
	case topo.KindDomainDrain:
		set(&o.domains, object.Name, order)
	default:
		return false
	}
	return true
}

func set(orders *map[string]Order, name string, order Order) {
	if *orders == nil {
		*orders = make(map[string]Order)
	}
	(*orders)[name] = order
}

// Lookup returns what is wanted of the upstream on a VM of a failure domain; false: nobody
// has said. It leaves while either is to leave: an order to the VM outlives the end of
// its failure domain's.
func (o *Orders) Lookup(vm, domain string) (Order, bool) {
	vmOrder, vmOrdered := o.vms[vm]
	domainOrder, domainOrdered := o.domains[domain]
	return Order{Leave: vmOrder.Leave || domainOrder.Leave, Version: max(vmOrder.Version, domainOrder.Version)}, vmOrdered || domainOrdered
}

// DrainedDomains returns the failure domains that are to leave, sorted.
func (o *Orders) DrainedDomains() []string {
	var out []string
	for name, order := range o.domains {
		if order.Leave {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
