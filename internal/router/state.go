// Package router is the router's role: it knows the configuration and the
// upstreams, sends each request to a sidecar and brings back the answer or the
// truth about its absence.
package router

import (
	"encoding/json"
	"maps"

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
	beliefs  map[string]*beliefs // by pool
	self     placement.Locality
}

// NewState returns the State of a router at self that knows nothing yet.
func NewState(self placement.Locality) *State {
	return &State{
		beliefs:  make(map[string]*beliefs),
		self:     self,
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

// View builds the picture of the present state.
func (s *State) View() *View {
	v := &View{
		Version:  s.version,
		Profiles: maps.Clone(s.profiles),
		Orgs:     make(map[string]*profile.Organisation, len(s.orgs)),
		Pools:    make(map[string]*Pool),
		VMs:      make(map[string]platform.VM, len(s.vms.Entries)),
	}
	for _, o := range s.orgs {
		for _, k := range o.Keys {
			v.Orgs[k.SHA256] = o
		}
	}
	v.buildPools(s.vms.Entries, s.beliefs, s.self)
	return v
}
