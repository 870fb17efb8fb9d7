// Package router is the router's role: it knows the configuration and the
// upstreams, sends each request to a sidecar and brings back the answer or the
// truth about its absence.
package router

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/config"
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
		s.version = max(s.version, e.Version)
		followed := Followed{Complete: s.version}
		for _, o := range e.Objects {
			s.apply(o, &followed)
		}
		return []Effect{followed}
	case VMsChanged:
		s.vms = e.VMs
	}
	return nil
}

// apply takes an object unless a newer version of it is known. A listing or a
// watch that lags must not bring back what has been replaced. An object that is
// invalid for this release is not taken: the version before stays in force.
func (s *State) apply(o platform.Object, f *Followed) {
	if s.objects[o.Ref] >= o.Version {
		return
	}
	s.objects[o.Ref] = o.Version
	if err := s.take(o); err != nil {
		f.Rejected = append(f.Rejected, rejection(o.Ref, err))
		return
	}
	f.Objects = append(f.Objects, admin.ObjectVersion{Ref: o.Ref, Version: o.Version})
}

func (s *State) take(o platform.Object) error {
	if o.Deleted {
		s.drop(o.Ref)
		return nil
	}
	spec, err := config.Spec(o)
	if err != nil {
		return err
	}
	if len(spec) == 0 {
		s.drop(o.Ref)
		return nil
	}
	v, err := profile.Decode(o.Ref, spec)
	if err != nil {
		return err
	}
	switch v := v.(type) {
	case *profile.Profile:
		s.profiles[o.Name] = v
	case *profile.Organisation:
		s.orgs[o.Name] = v
	}
	return nil
}

func (s *State) drop(ref platform.Ref) {
	switch ref.Kind {
	case platform.KindProfile:
		delete(s.profiles, ref.Name)
	case platform.KindOrganisation:
		delete(s.orgs, ref.Name)
	}
}

// rejection returns the first problem of an object.
func rejection(ref platform.Ref, err error) profile.Problem {
	var problems profile.Problems
	if errors.As(err, &problems) && len(problems) > 0 {
		return problems[0]
	}
	return profile.Problem{Ref: ref, Message: err.Error()}
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
