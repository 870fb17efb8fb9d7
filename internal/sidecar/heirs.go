package sidecar

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// successors ranks the upstreams of a pool to which one of them transfers its
// cached prefixes.
type successors struct {
	vms  []topo.VM
	pool *placement.Pool
	self int // index of the VM that transfers its prefixes, or placement.None
}

func newSuccessors(list []topo.VM, self string) successors {
	h := successors{self: placement.None}
	var own topo.VM
	for _, vm := range list {
		if vm.ID == self {
			own = vm
		}
	}
	var members []placement.Member
	for _, vm := range list {
		if vm.Role != topo.RoleUpstream || vm.Pool != own.Pool || (vm.Leaving && vm.ID != self) {
			continue
		}
		if vm.ID == self {
			h.self = len(members)
		}
		members = append(members, placement.Member{
			VM:     load.Hash(vm.ID),
			Seed:   placement.Seed(vm.ID),
			Weight: vm.Weight,
			Domain: vm.FailureDomain,
		})
		h.vms = append(h.vms, vm)
	}
	h.pool = placement.NewPool(members, placement.Locality{Domain: own.FailureDomain})
	return h
}

// successorOf returns the upstream that serves a session after this one has left.
func (h *successors) successorOf(session uint64) (topo.VM, bool) {
	return h.vmAt(h.pool.Successor(session, h.self))
}

// home returns the upstream that ranks first for a session.
func (h *successors) home(session uint64) (topo.VM, bool) {
	return h.vmAt(h.pool.Home(session))
}

// others returns all upstreams of the pool except this one.
func (h *successors) others() []topo.VM {
	return slices.DeleteFunc(slices.Clone(h.vms), func(vm topo.VM) bool { return vm.ID == h.vms[h.self].ID })
}

func (h *successors) vmAt(i int) (topo.VM, bool) {
	if i == placement.None {
		return topo.VM{}, false
	}
	return h.vms[i], true
}
