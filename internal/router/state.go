// Package router implements the role of a router: it follows the configuration and
// the list of upstreams, sends each request to an upstream, and returns the response
// or an error that says whether the request may have run.
//
// State is the control state. It handles events and returns effects, without I/O.
// Router carries out the effects, and publishes a View of the state that requests
// read without locks.
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
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is an input of State.
type Event interface{ isEvent() }

// ConfigEvent is an event for the follower of the configuration.
type ConfigEvent struct {
	Event config.Event
}

// ConfigQueried is a query of a sidecar or another router for objects of a set.
type ConfigQueried struct {
	Now    time.Time
	Set    relay.Set
	Peer   config.Peer
	Query  config.Query
	Ticket uint64 // identifies the call that waits for the ConfigReply
}

// VMsChanged is a new reading of the list of VMs.
type VMsChanged struct {
	Now time.Time
	VMs topo.VMs
}

func (ConfigEvent) isEvent()   {}
func (ConfigQueried) isEvent() {}
func (VMsChanged) isEvent()    {}

// MembershipChanged is an Effect: log changes of the list of VMs, and act on VMs that have ended.
type MembershipChanged struct {
	Changes    []topo.VMChange
	Superseded []topo.VM // at whose addresses others have joined
}

func (MembershipChanged) isEffect() {}

// ConfigApplied is an Effect: log and publish which objects have come into force or
// were rejected.
type ConfigApplied struct {
	ledger.Update
	Drained []DomainOrder
	Edition int64 // the operators' number of a configuration that is written as a whole
}

func (ConfigApplied) isEffect() {}

// DomainOrder is an operators' order to drain a failure domain, or its withdrawal,
// that has come into force.
type DomainOrder struct {
	Domain  string
	Drained bool // false: the order is withdrawn
	Version topo.Version
	InForce int // number of failure domains that are drained now
}

// Effect is an output of State, which the Router carries out.
type Effect interface{ isEffect() }

// ConfigEffect is an effect of the configuration's follower.
type ConfigEffect struct {
	Effect config.Effect
}

// ConfigReply is the reply to a ConfigQueried.
type ConfigReply struct {
	Ticket uint64
	Delta  config.Delta
}

func (ConfigEffect) isEffect() {}
func (ConfigReply) isEffect()  {}

// State is a router's control state. It is not safe for concurrent use.
type State struct {
	self           placement.Locality
	decode         func(topo.Object) (profile.Object, error)
	follower       *config.Follower
	profiles       map[string]*profile.Profile
	orgs           map[string]*profile.Organisation
	limits         *profile.Limits
	poolSpecs      map[string]*profile.Pool // by pool
	vm             string                   // id of this router's VM
	orders         drain.Orders             // operators' orders to drain
	desiredNotices map[string]wire.Notice   // the notice that each VM should have
	sentNotices    map[string]sentNotice    // the latest notice to each VM
	vms            topo.VMs
	loadReports    map[string]*loadReports     // by pool
	trackers       map[string]*balance.Tracker // by pool
	shedders       map[string]*shedding.Pool   // by pool
	firstSeen      map[string]time.Time        // when VMs were first seen in the list
	relayState     *relayState                 // nil: this router always reads the store

	view  *View      // the view returned last
	stale staleParts // parts of the state that have changed since
}

// staleParts are the parts of a View that have to be rebuilt.
type staleParts struct {
	profiles, orgs, pools bool
}

// NewState returns the empty State of a router on a VM at a locality. timing sets when
// its follower calls the store, and seed the jitter of these calls.
func NewState(vm string, self placement.Locality, timing config.Timing, seed uint64) *State {
	return &State{
		vm:          vm,
		self:        self,
		decode:      decodeRevision,
		follower:    config.NewFollower(seed, timing),
		profiles:    make(map[string]*profile.Profile),
		orgs:        make(map[string]*profile.Organisation),
		poolSpecs:   make(map[string]*profile.Pool),
		sentNotices: make(map[string]sentNotice),
		loadReports: make(map[string]*loadReports),
		trackers:    make(map[string]*balance.Tracker),
		shedders:    make(map[string]*shedding.Pool),
		view:        &View{},
		stale:       staleParts{profiles: true, orgs: true, pools: true},
	}
}

// SetDecoder sets the decoder of objects that are not in the format of parsleyctl.
func (s *State) SetDecoder(decode func(topo.Object) (profile.Object, error)) {
	s.decode = decode
}

// Step handles an event and returns the effects to carry out.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case ConfigEvent:
		effects := s.stepConfig(e.Event)
		if tick, ok := e.Event.(config.Ticked); ok {
			effects = append(effects, s.takeDueNotices(tick.Now)...)
			return append(effects, s.tickRelay(tick.Now)...)
		}
		return append(effects, s.reportProgress(e.Event.When())...)
	case NoticeAccepted:
		s.onNoticeAccepted(e)
	case NoticeLost:
		s.onNoticeLost(e)
	case RelayEvent:
		return s.stepRelay(e.Event.When(), e.Event)
	case MembersEvent:
		return s.stepMembersEvent(e.Event)
	case ConfigQueried:
		return s.answerQuery(e)
	case VMsChanged:
		changes := topo.Changes(s.vms.Entries, e.VMs.Entries)
		members := MembershipChanged{Changes: changes, Superseded: topo.Superseded(changes, e.VMs.Entries)}
		s.vms = e.VMs
		s.recordFirstSeen(e.Now)
		s.stale.pools = true
		s.desiredNotices = s.computeNotices()
		if s.relayState != nil { // the peers are routers
			return []Effect{members}
		}
		return append(s.stepConfig(config.PeersChanged{Now: e.Now, Peers: s.configPeers()}), members)
	}
	return nil
}

// recordFirstSeen records when VMs were first seen in the list, and drops those that
// are not listed any more.
func (s *State) recordFirstSeen(now time.Time) {
	firstSeen := make(map[string]time.Time, len(s.vms.Entries))
	for _, vm := range s.vms.Entries {
		at, known := s.firstSeen[vm.ID]
		if !known {
			at = now
		}
		firstSeen[vm.ID] = at
	}
	s.firstSeen = firstSeen
}

// answerQuery replies to a peer's query for objects, and passes the summary in it to the
// follower of the configuration.
func (s *State) answerQuery(e ConfigQueried) []Effect {
	if e.Set == relay.SetMembers {
		if s.relayState == nil {
			return []Effect{ConfigReply{Ticket: e.Ticket}}
		}
		return []Effect{ConfigReply{Ticket: e.Ticket, Delta: s.relayState.members.Set().Answer(e.Query)}}
	}
	var effects []Effect
	if e.Peer != "" { // empty for routers, which learn each other's summaries from beats
		effects = s.stepConfig(config.SummaryReceived{Now: e.Now, Peer: e.Peer, Summary: e.Query.Summary})
	}
	return append(effects, ConfigReply{Ticket: e.Ticket, Delta: s.follower.Set().Answer(e.Query)})
}

// configPeers returns the peers to query for configuration: the sidecars that keep a
// copy.
func (s *State) configPeers() []config.Peer {
	var out []config.Peer
	for _, vm := range s.vms.Entries {
		if vm.Role == topo.RoleUpstream && !vm.Leaving {
			out = append(out, config.Peer(vm.ID))
		}
	}
	return config.CopyHolders(out)
}

// stepConfig passes an event to the follower of the configuration and applies the
// objects that have come into force.
func (s *State) stepConfig(e config.Event) []Effect {
	var effects []Effect
	applied := ConfigApplied{}
	for _, effect := range s.follower.Step(e) {
		switch effect := effect.(type) {
		case config.Changed:
			for _, o := range effect.Objects {
				s.applyOrReject(o, &applied)
			}
			effects = append(effects, s.assumeUndrainedCold(e.When(), applied.Drained)...)
			continue
		case config.StoreRecovered:
			if s.relayState != nil {
				effects = append(effects, s.stepMembers(e.When(), config.StoreReachable{Now: e.When()})...)
			}
		case config.StoreRestored:
			s.onStoreRestored(e.When())
		}
		effects = append(effects, ConfigEffect{Effect: effect})
	}
	status := s.follower.Status()
	applied.Complete, applied.LastStoreResponse = status.CompleteUpTo, status.StoreAnswered
	applied.Edition = s.follower.Set().Summary().Edition
	return append(effects, applied)
}

// onStoreRestored handles a store that was restored from an older copy: upstreams
// whose entries are missing there get time to write them again.
func (s *State) onStoreRestored(now time.Time) {
	if s.relayState != nil {
		s.relayState.entries.StoreRecovered(now)
	}
}

// assumeUndrainedCold handles the withdrawal of orders to drain failure domains. The
// upstreams there may have become cold shortly before, without their entries showing it
// yet. So they count as cold for their warm-up time, or until they have written their
// entries again.
func (s *State) assumeUndrainedCold(now time.Time, orders []DomainOrder) []Effect {
	if s.relayState == nil {
		return nil
	}
	undrained := false
	for _, order := range orders {
		if !order.Drained {
			s.relayState.entries.AssumeCold(now, order.Domain, order.Version, s.warmupDuration)
			undrained = true
		}
	}
	if !undrained {
		return nil
	}
	return s.updateVMList(now)
}

// warmupDuration returns how long upstreams of a pool are cold after their start; zero
// if the pool has no warm-up limit.
func (s *State) warmupDuration(pool string) time.Duration {
	if p := s.poolSpecs[pool]; p != nil && p.WarmupRate > 0 {
		return p.Warmup.Std()
	}
	return 0
}

// applyOrReject applies an object and records the outcome. An object that is invalid
// for this release is rejected, and its previous version stays in force.
func (s *State) applyOrReject(o topo.Object, f *ConfigApplied) {
	if err := s.applyObject(o); err != nil {
		f.Rejected = append(f.Rejected, rejection(o.Ref, err))
		return
	}
	if o.Kind == topo.KindDomainDrain {
		f.Drained = append(f.Drained, DomainOrder{Domain: o.Name, Drained: !o.Deleted, Version: o.Version, InForce: len(s.orders.DrainedDomains())})
	}
	f.Objects = append(f.Objects, admin.ObjectVersion{Ref: o.Ref, Version: o.Version})
}

// applyObject applies an object. It returns an error if the object is invalid.
func (s *State) applyObject(o topo.Object) error {
	if o.Kind == topo.KindEdition {
		return nil // only the follower uses it, to detect older copies of the store
	}
	if o.Deleted {
		s.removeObject(o)
		return nil
	}
	v, err := s.decode(o)
	if err != nil {
		return err
	}
	if v == nil {
		s.removeObject(o)
		return nil
	}
	switch v := v.(type) {
	case *profile.Profile:
		s.profiles[o.Name], s.stale.profiles = v, true
	case *profile.Organisation:
		s.orgs[o.Name], s.stale.orgs = v, true
	case *profile.Pool:
		s.poolSpecs[o.Name], s.stale.pools = v, true
	case *profile.Drain, *profile.DomainDrain:
		s.applyDrainOrder(o)
	case *profile.Limits:
		s.limits, s.stale.profiles = v, true
	}
	return nil
}

// decodeRevision decodes an object that parsleyctl wrote; nil: the revision deletes
// the object.
func decodeRevision(o topo.Object) (profile.Object, error) {
	spec, err := config.Spec(o)
	if err != nil || len(spec) == 0 {
		return nil, err
	}
	return profile.Decode(o.Ref, spec)
}

// applyDrainOrder applies an operators' order to drain a VM or a failure domain.
func (s *State) applyDrainOrder(o topo.Object) {
	s.orders.Apply(o)
	s.desiredNotices = s.computeNotices()
	s.stale.pools = true
}

// removeObject removes a deleted object from the state.
func (s *State) removeObject(o topo.Object) {
	switch o.Kind {
	case topo.KindProfile:
		delete(s.profiles, o.Name)
		s.stale.profiles = true
	case topo.KindOrganisation:
		delete(s.orgs, o.Name)
		s.stale.orgs = true
	case topo.KindPool:
		delete(s.poolSpecs, o.Name)
		s.stale.pools = true
	case topo.KindDrain, topo.KindDomainDrain:
		s.applyDrainOrder(o)
	case topo.KindLimits:
		s.limits, s.stale.profiles = nil, true
	}
}

// rejection returns the first problem of an invalid object.
func rejection(ref topo.Ref, err error) profile.Problem {
	var problems profile.Problems
	if errors.As(err, &problems) && len(problems) > 0 {
		return problems[0]
	}
	return profile.Problem{Ref: ref, Message: err.Error()}
}
