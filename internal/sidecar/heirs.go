package sidecar

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// successors ranks the upstreams of a pool by session, so that one of them can choose
// where to export its cached prefixes. It omits VMs that are leaving, except for that
// upstream's own VM.
type successors struct {
	vms  []topo.VM
	pool *placement.Pool
	self int // index of the exporting upstream's VM; placement.None if it is not listed
}

// newSuccessors returns the successors in the pool of the VM self, from a list of VMs.
func newSuccessors(list []topo.VM, self string) successors {
	s := successors{self: placement.None}
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
			s.self = len(members)
		}
		members = append(members, placement.Member{
			VM:     load.Hash(vm.ID),
			Seed:   placement.Seed(vm.ID),
			Weight: vm.Weight,
			Domain: vm.FailureDomain,
		})
		s.vms = append(s.vms, vm)
	}
	s.pool = placement.NewPool(members, placement.Locality{Domain: own.FailureDomain})
	return s
}

// contains reports whether the VMs with the given ids are among them.
func (s *successors) contains(ids []string) bool {
	for _, id := range ids {
		if !slices.ContainsFunc(s.vms, func(vm topo.VM) bool { return vm.ID == id }) {
			return false
		}
	}
	return true
}

// successorOf returns the upstream that serves a session after this one has left.
func (s *successors) successorOf(session uint64) (topo.VM, bool) {
	return s.vmAt(s.pool.Successor(session, s.self))
}

// home returns the upstream that ranks first for a session.
func (s *successors) home(session uint64) (topo.VM, bool) {
	return s.vmAt(s.pool.Home(session))
}

// others returns all upstreams of the pool except this one.
func (s *successors) others() []topo.VM {
	return slices.DeleteFunc(slices.Clone(s.vms), func(vm topo.VM) bool { return vm.ID == s.vms[s.self].ID })
}

func (s *successors) vmAt(i int) (topo.VM, bool) {
	if i == placement.None {
		return topo.VM{}, false
	}
	return s.vms[i], true
}
