// Package drain determines which upstreams take no new requests by order of the operators:
// single upstreams by their VM, or all upstreams of a failure domain.
//
// Routers and sidecars apply the configuration objects that come into force to an Orders. It
// assumes that no object is followed by an older one of the same name, which the configuration's
// Set ensures even if a source is out of date.
package drain

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Order is the operators' order for an upstream.
type Order struct {
	Leave   bool         // take no new requests; otherwise the upstream stays
	Version topo.Version // of the newest order that applies to the upstream
}

// Orders is the set of orders in force. Its zero value is empty.
type Orders struct {
	vms, domains map[string]Order
}

// Apply adds an object if it is an order, and reports whether it is.
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

// set stores an order by name and creates the map if it is nil.
func set(orders *map[string]Order, name string, order Order) {
	if *orders == nil {
		*orders = make(map[string]Order)
	}
	(*orders)[name] = order
}

// Lookup returns the order for the upstream on a VM of a failure domain, and whether there is
// one. The upstream leaves while either the VM or the failure domain has an order to leave: an
// order for the VM outlives the end of that for its failure domain.
func (o *Orders) Lookup(vm, domain string) (Order, bool) {
	vmOrder, hasVMOrder := o.vms[vm]
	domainOrder, hasDomainOrder := o.domains[domain]
	return Order{Leave: vmOrder.Leave || domainOrder.Leave, Version: max(vmOrder.Version, domainOrder.Version)}, hasVMOrder || hasDomainOrder
}

// DrainedDomains returns the failure domains that are ordered to leave, sorted.
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
