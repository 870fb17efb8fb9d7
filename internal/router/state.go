// Package router is the router's role: it knows the configuration and the
// upstreams, sends each request to a sidecar and brings back the answer or the
// truth about its absence.
package router

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// Event is something that has happened to a router.
type Event interface{ isEvent() }

// ObjectsChanged are configuration objects at a newer version.
type ObjectsChanged struct {
	Objects []platform.Object
	Version platform.Version // of the store, up to which this is complete
}

// VMsChanged is a new reading of the list of VMs.
type VMsChanged struct {
	VMs platform.VMs
}

func (ObjectsChanged) isEvent() {}
func (VMsChanged) isEvent()     {}

// Effect is something that a router is to do.
type Effect interface{ isEffect() }

// State is a router's control state.
type State struct {
	version  platform.Version
	objects  map[platform.Ref]platform.Version
	profiles map[string]*profile.Profile
	orgs     map[string]*profile.Organisation
	vms      platform.VMs
}

// NewState returns the State of a router that knows nothing yet.
func NewState() *State {
	return &State{
		objects:  make(map[platform.Ref]platform.Version),
		profiles: make(map[string]*profile.Profile),
		orgs:     make(map[string]*profile.Organisation),
	}
}

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case ObjectsChanged:
		for _, o := range e.Objects {
			s.apply(o)
		}
		s.version = max(s.version, e.Version)
	case VMsChanged:
		s.vms = e.VMs
	}
	return nil
}

// apply takes an object unless a newer version of it is known. A listing or a
// watch that lags must not bring back what has been replaced.
func (s *State) apply(o platform.Object) {
	if s.objects[o.Ref] >= o.Version {
		return
	}
	s.objects[o.Ref] = o.Version
	switch o.Kind {
	case platform.KindProfile:
		store(s.profiles, o)
	case platform.KindOrganisation:
		store(s.orgs, o)
	}
}

func store[T any](into map[string]*T, o platform.Object) {
	if o.Deleted {
		delete(into, o.Name)
		return
	}
	v := new(T)
	if json.Unmarshal(o.Value, v) == nil {
		into[o.Name] = v
	}
}

// View is an immutable picture of a router's control state, for traffic.
type View struct {
	Version  platform.Version
	Profiles map[string]*profile.Profile
	Orgs     map[string]*profile.Organisation // by the hash of an API key
	Pools    map[string]*Pool
	VMs      map[string]platform.VM
}

// Pool is the upstreams of one pool.
type Pool struct {
	VMs   []platform.VM
	Seeds []uint64
}

// View builds the picture of the present state.
func (s *State) View() *View {
	v := &View{
		Version:  s.version,
		Profiles: make(map[string]*profile.Profile, len(s.profiles)),
		Orgs:     make(map[string]*profile.Organisation, len(s.orgs)),
		Pools:    make(map[string]*Pool),
		VMs:      make(map[string]platform.VM, len(s.vms.Entries)),
	}
	for name, p := range s.profiles {
		v.Profiles[name] = p
	}
	for _, o := range s.orgs {
		for _, k := range o.Keys {
			v.Orgs[k.SHA256] = o
		}
	}
	for _, vm := range s.vms.Entries {
		v.addVM(vm)
	}
	return v
}

func (v *View) addVM(vm platform.VM) {
	v.VMs[vm.ID] = vm
	if vm.Role != platform.RoleUpstream || vm.Leaving {
		return
	}
	p := v.Pools[vm.Pool]
	if p == nil {
		p = &Pool{}
		v.Pools[vm.Pool] = p
	}
	p.VMs = append(p.VMs, vm)
	p.Seeds = append(p.Seeds, placement.Seed(vm.ID))
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
