package router

import (
	"slices"
	"strings"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// View is an immutable picture of a router's control state, for traffic.
type View struct {
	Version  platform.Version
	Profiles map[string]*profile.Profile
	Orgs     map[string]*profile.Organisation // by the hash of an API key
	Pools    map[string]*Pool
	VMs      map[string]platform.VM
	Routers  int // that the list of VMs knows, at least one
}

// Pool is the upstreams of one pool.
type Pool struct {
	VMs     []platform.VM
	placed  *placement.Pool // in the order of VMs
	beliefs *beliefs
}

// buildPools sorts the upstreams that are not leaving by pool. Beliefs about a
// pool are carried over from one View to the next.
func (v *View) buildPools(vms []platform.VM, known map[string]*beliefs, self placement.Locality) {
	members := make(map[string][]platform.VM)
	for _, vm := range vms {
		v.VMs[vm.ID] = vm
		if vm.Role == platform.RoleRouter && !vm.Leaving {
			v.Routers++
		}
		if vm.Role == platform.RoleUpstream && !vm.Leaving {
			members[vm.Pool] = append(members[vm.Pool], vm)
		}
	}
	v.Routers = max(v.Routers, 1)
	for name, vms := range members {
		if known[name] == nil {
			known[name] = newBeliefs()
		}
		v.Pools[name] = newPool(vms, known[name], self)
	}
}

func newPool(vms []platform.VM, b *beliefs, self placement.Locality) *Pool {
	members := make([]placement.Member, len(vms))
	ids := make([]load.VM, len(vms))
	for i, vm := range vms {
		ids[i] = load.Hash(vm.ID)
		members[i] = placement.Member{
			VM:     ids[i],
			Seed:   placement.Seed(vm.ID),
			Weight: max(vm.Weight, 1),
			Domain: vm.FailureDomain,
		}
	}
	b.keep(ids)
	return &Pool{VMs: vms, placed: placement.NewPool(members, self), beliefs: b}
}

// ForModel returns the profile by which org uses model: the named one, or the
// first of its profiles that serves the model.
func (v *View) ForModel(org *profile.Organisation, name, model string) *profile.Profile {
	for _, allowed := range org.Profiles {
		p := v.Profiles[allowed]
		if p != nil && p.Model == model && (name == "" || name == p.Name) {
			return p
		}
	}
	return nil
}

// ForService returns the profile by which org makes a call of a service. Among
// several the one with the longest matching route counts.
func (v *View) ForService(org *profile.Organisation, name, service, method, path string) *profile.Profile {
	var best *profile.Profile
	longest := -1
	for _, allowed := range org.Profiles {
		p := v.Profiles[allowed]
		if p == nil || p.Service != service || (name != "" && name != p.Name) {
			continue
		}
		if n := matchRoutes(p.Routes, method, path); n > longest {
			best, longest = p, n
		}
	}
	return best
}

// matchRoutes returns the length of the longest matching prefix, or -1.
func matchRoutes(routes []profile.Route, method, path string) int {
	if len(routes) == 0 {
		return 0
	}
	longest := -1
	for _, r := range routes {
		methodFits := len(r.Methods) == 0 || slices.Contains(r.Methods, method)
		if methodFits && strings.HasPrefix(path, r.Prefix) {
			longest = max(longest, len(r.Prefix))
		}
	}
	return longest
}
