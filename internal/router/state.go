// Package router is the router's role: it knows the configuration and the
// upstreams, sends each request to a sidecar and brings back the answer or the
// truth about its absence.
package router

import (
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/admin/ledger"
	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/drain"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is something that has happened to a router.
type Event interface{ isEvent() }

// ConfigEvent is something that concerns the configuration.
type ConfigEvent struct {
	Event config.Event
}

// ConfigQueried is a sidecar or another router that asks for objects of a set.
type ConfigQueried struct {
	Now    time.Time
	Set    relay.Set
	Peer   config.Peer
	Query  config.Query
	Ticket uint64 // of the call that waits for the ConfigReply
}

// VMsChanged is a new reading of the list of VMs.
type VMsChanged struct {
	Now time.Time
	VMs topo.VMs
}

func (ConfigEvent) isEvent()   {}
func (ConfigQueried) isEvent() {}
func (VMsChanged) isEvent()    {}

// MembershipChanged is an Effect: the list of VMs has changed.
type MembershipChanged struct{ Changes []topo.VMChange }

func (MembershipChanged) isEffect() {}

// ConfigApplied is an Effect: objects have come into force, or were rejected.
type ConfigApplied struct {
	ledger.Followed
	Drained []DomainOrder
	Edition int64 // the operators' number of a configuration that is written as a whole
}

func (ConfigApplied) isEffect() {}

// DomainOrder is an order to a failure domain that has come into force.
type DomainOrder struct {
	Domain  string
	Drained bool // else it is taken back
	Version topo.Version
	InForce int // failure domains that are under an order now
}

// Effect is something that a router is to do.
type Effect interface{ isEffect() }

// ConfigEffect is something to be done for the configuration's follower.
type ConfigEffect struct {
	Effect config.Effect
}

// ConfigReply answers a ConfigAsked.
type ConfigReply struct {
	Ticket uint64
	Delta  config.Delta
}

func (ConfigEffect) isEffect() {}
func (ConfigReply) isEffect()  {}

// State is a router's control state.
type State struct {
	self     placement.Locality
	decode   func(topo.Object) (profile.Object, error)
	follower *config.Follower
	profiles map[string]*profile.Profile
	orgs     map[string]*profile.Organisation
	limits   *profile.Limits
	loads    map[string]*profile.Pool // what pools load
	vm       string                   // of this router
	orders   drain.Orders             // of operators
	wanted   map[string]wire.Notice   // what each VM is to be told
	sent     map[string]sent          // what it has been told
	vms      topo.VMs
	beliefs  map[string]*beliefs         // by pool
	trackers map[string]*balance.Tracker // by pool
	joined   map[string]time.Time        // when VMs were first seen in the list
	relayed  *relayed                    // nil: this router always reads the store

	view  *View   // as it was published last
	stale changes // since then
}

// changes says which parts of a View have to be built anew.
type changes struct {
	profiles, orgs, pools bool
}

// NewState returns the State of a router on VM vm at self that knows nothing
// yet. It calls the store at a pace, with jitter that seed sets.
func NewState(vm string, self placement.Locality, pace config.Pace, seed uint64) *State {
	return &State{
		vm:       vm,
		self:     self,
		decode:   decodeRevision,
		follower: config.NewFollower(seed, pace),
		profiles: make(map[string]*profile.Profile),
		orgs:     make(map[string]*profile.Organisation),
		loads:    make(map[string]*profile.Pool),
		sent:     make(map[string]sent),
		beliefs:  make(map[string]*beliefs),
		trackers: make(map[string]*balance.Tracker),
		view:     &View{},
		stale:    changes{profiles: true, orgs: true, pools: true},
	}
}

// SetDecoder makes the State read objects that are not as parsleyctl writes them.
func (s *State) SetDecoder(decode func(topo.Object) (profile.Object, error)) {
	s.decode = decode
}

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case ConfigEvent:
		effects := s.configure(e.Event)
		if tick, ok := e.Event.(config.Ticked); ok {
			effects = append(effects, s.notify(tick.Now)...)
			return append(effects, s.tickRelay(tick.Now)...)
		}
		return append(effects, s.followed(e.Event.When())...)
	case NoticeAccepted:
		s.taken(e)
	case NoticeLost:
		s.lost(e)
	case RelayEvent:
		return s.stepRelay(e.Event.When(), e.Event)
	case MembersEvent:
		return s.membersEvent(e.Event)
	case ConfigQueried:
		return s.asked(e)
	case VMsChanged:
		members := MembershipChanged{Changes: topo.Changes(s.vms.Entries, e.VMs.Entries)}
		s.vms = e.VMs
		s.join(e.Now)
		s.stale.pools = true
		s.wanted = s.noticesFor()
		if s.relayed != nil { // the peers are routers
			return []Effect{members}
		}
		return append(s.configure(config.PeersChanged{Now: e.Now, Peers: s.peers()}), members)
	}
	return nil
}

// join notes which VMs are new in the list.
func (s *State) join(now time.Time) {
	joined := make(map[string]time.Time, len(s.vms.Entries))
	for _, vm := range s.vms.Entries {
		at, known := s.joined[vm.ID]
		if !known {
			at = now
		}
		joined[vm.ID] = at
	}
	s.joined = joined
}

// asked answers a node that lacks objects.
func (s *State) asked(e ConfigQueried) []Effect {
	if e.Set == relay.SetMembers {
		if s.relayed == nil {
			return []Effect{ConfigReply{Ticket: e.Ticket}}
		}
		return []Effect{ConfigReply{Ticket: e.Ticket, Delta: s.relayed.members.Set().Answer(e.Query)}}
	}
	var heard []Effect
	if e.Peer != "" { // routers hear of each other's marks by beats
		heard = s.configure(config.Heard{Now: e.Now, Peer: e.Peer, Mark: e.Query.Mark})
	}
	return append(heard, ConfigReply{Ticket: e.Ticket, Delta: s.follower.Set().Answer(e.Query)})
}

// peers returns whom to ask for configuration: the sidecars that keep a copy.
func (s *State) peers() []config.Peer {
	var out []config.Peer
	for _, vm := range s.vms.Entries {
		if vm.Role == topo.RoleUpstream && !vm.Leaving {
			out = append(out, config.Peer(vm.ID))
		}
	}
	return config.Copies(out)
}

// configure passes an event to the follower and takes what it says is in force.
func (s *State) configure(e config.Event) []Effect {
	var effects []Effect
	followed := ConfigApplied{}
	for _, effect := range s.follower.Step(e) {
		switch effect := effect.(type) {
		case config.Changed:
			for _, o := range effect.Objects {
				s.apply(o, &followed)
			}
			effects = append(effects, s.returned(e.When(), followed.Drained)...)
			continue
		case config.StoreRegained:
			if s.relayed != nil {
				effects = append(effects, s.follow(e.When(), config.StoreWorks{Now: e.When()})...)
			}
		case config.StoreRestored:
			s.restored(e.When())
		}
		effects = append(effects, ConfigEffect{Effect: effect})
	}
	status := s.follower.Status()
	followed.Complete, followed.StoreHeard = status.Complete, status.StoreHeard
	followed.Edition = s.follower.Set().Mark().Edition
	return append(effects, followed)
}

// restored takes in that the store has come back from an older copy: upstreams that have no
// entry there may write it again.
func (s *State) restored(now time.Time) {
	if s.relayed != nil {
		s.relayed.entries.StoreRecovered(now)
	}
}

// returned takes in which failure domains are taken back. Their upstreams may have become
// cold just before, and are not known to be warm until they have said so.
func (s *State) returned(now time.Time, orders []DomainOrder) []Effect {
	if s.relayed == nil {
		return nil
	}
	doubted := false
	for _, order := range orders {
		if !order.Drained {
			s.relayed.entries.AssumeCold(now, order.Domain, order.Version, s.warmup)
			doubted = true
		}
	}
	if !doubted {
		return nil
	}
	return s.listed(now)
}

// warmup returns for how long upstreams of a pool are cold after their start.
func (s *State) warmup(pool string) time.Duration {
	if p := s.loads[pool]; p != nil && p.WarmupRate > 0 {
		return p.Warmup.Std()
	}
	return 0
}

// apply takes an object. One that is invalid for this release is not taken: the
// version before stays in force.
func (s *State) apply(o topo.Object, f *ConfigApplied) {
	if err := s.take(o); err != nil {
		f.Rejected = append(f.Rejected, rejection(o.Ref, err))
		return
	}
	if o.Kind == topo.KindDomainDrain {
		f.Drained = append(f.Drained, DomainOrder{Domain: o.Name, Drained: !o.Deleted, Version: o.Version, InForce: len(s.orders.DrainedDomains())})
	}
	f.Objects = append(f.Objects, admin.ObjectVersion{Ref: o.Ref, Version: o.Version})
}

func (s *State) take(o topo.Object) error {
	if o.Kind == topo.KindEdition {
		return nil // by which the follower tells older copies, and no decision goes
	}
	if o.Deleted {
		s.drop(o)
		return nil
	}
	v, err := s.decode(o)
	if err != nil {
		return err
	}
	if v == nil {
		s.drop(o)
		return nil
	}
	switch v := v.(type) {
	case *profile.Profile:
		s.profiles[o.Name], s.stale.profiles = v, true
	case *profile.Organisation:
		s.orgs[o.Name], s.stale.orgs = v, true
	case *profile.Pool:
		s.loads[o.Name], s.stale.pools = v, true
	case *profile.Drain, *profile.DomainDrain:
		s.order(o)
	case *profile.Limits:
		s.limits, s.stale.profiles = v, true
	}
	return nil
}

// decodeRevision reads an object that parsleyctl wrote; nil: it deletes the object.
func decodeRevision(o topo.Object) (profile.Object, error) {
	spec, err := config.Spec(o)
	if err != nil || len(spec) == 0 {
		return nil, err
	}
	return profile.Decode(o.Ref, spec)
}

// order takes an operator's order to a VM or a failure domain.
func (s *State) order(o topo.Object) {
	s.orders.Apply(o)
	s.wanted = s.noticesFor()
	s.stale.pools = true
}

func (s *State) drop(o topo.Object) {
	switch o.Kind {
	case topo.KindProfile:
		delete(s.profiles, o.Name)
		s.stale.profiles = true
	case topo.KindOrganisation:
		delete(s.orgs, o.Name)
		s.stale.orgs = true
	case topo.KindPool:
		delete(s.loads, o.Name)
		s.stale.pools = true
	case topo.KindDrain, topo.KindDomainDrain:
		s.order(o)
	case topo.KindLimits:
		s.limits, s.stale.profiles = nil, true
	}
}

// rejection returns the first problem of an object.
func rejection(ref topo.Ref, err error) profile.Problem {
	var problems profile.Problems
	if errors.As(err, &problems) && len(problems) > 0 {
		return problems[0]
	}
	return profile.Problem{Ref: ref, Message: err.Error()}
}
