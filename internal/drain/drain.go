// Package drain determines which upstreams take no new requests by order of the operators:
// single upstreams by their VM, or all upstreams of a failure domain.
//
// Routers and sidecars pass each configuration object that comes into force to Orders.Apply. No
// object may be followed by an older one of the same name, which the configuration's Set ensures
// even if a source is out of date.
package drain

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Order is the operators' order for a VM, for a failure domain or, as Lookup returns it, for an
// upstream.
type Order struct {
	Leave   bool         // take no new requests; false: the order to leave was deleted
	Version topo.Version // of the newest object that the order comes from
}

// Orders is the set of orders in force. Its zero value is empty.
type Orders struct {
	vms, domains map[string]Order
}

// Apply stores the order of a configuration object in place of an older one, and reports whether
// the object is an order. A deleted object is stored, too, as an order not to leave.
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
// one. The upstream leaves while either the VM or the failure domain has an order to leave, so
// that it does not return with its failure domain if the VM has an order of its own.
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
