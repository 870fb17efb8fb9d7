package drain

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// newObject returns a configuration object.
func newObject(kind topo.Kind, name string, version topo.Version, deleted bool) topo.Object {
	return topo.Object{Ref: topo.Ref{Kind: kind, Name: name}, Version: version, Deleted: deleted}
}

// An operator drains a failure domain in which one engine is broken and has been drained before
// by an order for its VM. The domain is put back into service while that engine is still being
// repaired: it must not get requests with the others.
func TestVMOrderOutlivesItsDomainOrder(t *testing.T) {
	var o Orders
	o.Apply(newObject(topo.KindDrain, "broken", 3, false))
	o.Apply(newObject(topo.KindDomainDrain, "hall", 5, false))
	o.Apply(newObject(topo.KindDomainDrain, "hall", 9, true))
	if got, _ := o.Lookup("broken", "hall"); got != (Order{Leave: true, Version: 9}) {
		t.Errorf("the broken engine's order is %+v, want to leave, version 9", got)
	}
	if got, ok := o.Lookup("healthy", "hall"); !ok || got != (Order{Version: 9}) {
		t.Errorf("the healthy engine's order is %+v (found %v), want not to leave, version 9", got, ok)
	}
	if drained := o.DrainedDomains(); len(drained) != 0 {
		t.Errorf("drained domains are %v, want none", drained)
	}
}

// Other objects of the configuration are not orders. Even one with the name of a VM and a failure
// domain must drain no upstream.
func TestOtherObjectsAreNotOrders(t *testing.T) {
	var o Orders
	if o.Apply(newObject(topo.KindProfile, "hall", 1, false)) {
		t.Error("Apply reports that a profile is an order")
	}
	if _, ok := o.Lookup("hall", "hall"); ok {
		t.Error("an upstream has an order although only a profile was applied")
	}
}

// For any sequence of orders, an upstream leaves if and only if the newest order for it or for
// its failure domain says so, versions never decrease, and the list of drained domains agrees.
func TestNewestOrderApplies(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var o Orders
		vms, domains := make(map[string]bool), make(map[string]bool)
		last := make(map[string]topo.Version)
		for version := topo.Version(1); version <= 20; version++ {
			name, deleted := rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "deleted")
			if rapid.Bool().Draw(t, "domain") {
				o.Apply(newObject(topo.KindDomainDrain, name, version, deleted))
				domains[name] = !deleted
			} else {
				o.Apply(newObject(topo.KindDrain, name, version, deleted))
				vms[name] = !deleted
			}
			for _, vm := range names {
				for _, domain := range names {
					got, _ := o.Lookup(vm, domain)
					if got.Leave != (vms[vm] || domains[domain]) {
						t.Fatalf("vm %s in %s: %+v", vm, domain, got)
					}
					if got.Version < last[vm+domain] {
						t.Fatalf("vm %s in %s: version decreased from %d to %d", vm, domain, last[vm+domain], got.Version)
					}
					last[vm+domain] = got.Version
				}
				if slices.Contains(o.DrainedDomains(), vm) != domains[vm] {
					t.Fatalf("drained domains %v: want %s among them: %v", o.DrainedDomains(), vm, domains[vm])
				}
			}
		}
	})
}
