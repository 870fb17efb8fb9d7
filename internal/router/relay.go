package router

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// RelayEvent is an event for the relay between routers.
type RelayEvent struct{ Event relay.Event }

// MembersEvent is an event for the follower of the upstreams' entries.
type MembersEvent struct{ Event config.Event }

func (RelayEvent) isEvent()   {}
func (MembersEvent) isEvent() {}

// RelayEffect is an effect of the relay between routers.
type RelayEffect struct{ Effect relay.Effect }

// MembersEffect is an effect of the follower of the upstreams' entries.
type MembersEffect struct{ Effect config.Effect }

// UnusableEntry is an Effect: count, and log once, an entry that names no usable upstream.
type UnusableEntry struct {
	Err      error
	Repeated bool // the entry's previous version was unusable for the same reason
}

// UpstreamsRestarted is an Effect: handle upstreams that have restarted, and count late
// writes of former incarnations.
type UpstreamsRestarted struct{ membership.ApplyResult }

func (RelayEffect) isEffect()        {}
func (UnusableEntry) isEffect()      {}
func (UpstreamsRestarted) isEffect() {}
func (MembersEffect) isEffect()      {}

// relayState is the state of a router that may let another router read the store for
// it: the relay, which chooses that router, and a follower of the upstreams' entries
// beside that of the configuration.
type relayState struct {
	relay   *relay.State
	members *config.Follower
	entries *membership.State
	decoder membership.Decoder
	// unusable holds why entries name no usable upstream, by the name of the entry. Such
	// an entry may be written again at each heartbeat, but is logged only once.
	unusable map[string]string
}

// membersRetryFactor is how many times longer than the follower of the configuration the
// follower of entries waits before it retries a failed call to the store. A response to one
// of the two lets the other call at once, so during an outage it is enough that one of them
// retries often.
const membersRetryFactor = 4

// failingStoreCalls is the number of consecutive calls without a response after which the
// store counts as failing. One is not enough, because a single response may be lost.
const failingStoreCalls = 2

// EnableRelay makes the State follow the entries of upstreams in the same way as the
// configuration. The relay chooses the router that reads both from the store. Until it does,
// nothing is read.
func (s *State) EnableRelay(r *relay.State, decoder membership.Decoder, timing membership.Timing, configTiming config.Timing, seed uint64) {
	configTiming.RetryMax *= membersRetryFactor
	s.relayState = &relayState{
		relay:    r,
		members:  config.NewFollower(seed, configTiming),
		entries:  membership.NewState(timing),
		decoder:  decoder,
		unusable: make(map[string]string),
	}
	if !r.Reading() {
		off := config.StoreReadingSwitched{On: false}
		s.follower.Step(off)
		s.relayState.members.Step(off)
	}
}

// stepRelay passes an event to the relay and applies the effects that concern the State.
func (s *State) stepRelay(now time.Time, e relay.Event) []Effect {
	var out []Effect
	for _, effect := range s.relayState.relay.Step(e) {
		switch effect := effect.(type) {
		case relay.SwitchStoreReading:
			out = append(out, s.stepConfig(config.StoreReadingSwitched{Now: now, On: effect.On})...)
			out = append(out, s.stepMembers(now, config.StoreReadingSwitched{Now: now, On: effect.On})...)
		case relay.SetParent:
			var peers []config.Peer
			if effect.Parent.Name != "" {
				peers = []config.Peer{config.Peer(effect.Parent.Name)}
			}
			out = append(out, s.stepConfig(config.PeersChanged{Now: now, Peers: peers})...)
			out = append(out, s.stepMembers(now, config.PeersChanged{Now: now, Peers: peers})...)
		case relay.ParentProgress:
			out = append(out, s.onParentReport(now, effect)...)
		}
		out = append(out, RelayEffect{Effect: effect})
	}
	return out
}

// RegisteredRouters returns the number of routers of the region in the register; zero: not
// known.
func (s *State) RegisteredRouters() int {
	if s.relayState == nil {
		return 0
	}
	return s.relayState.relay.ListedRouters()
}

// publishRouters passes the list of the other routers on to the exchange of origins, and to the turns in which
// they try requests, if it has changed.
func (r *Router) publishRouters() {
	if r.mesh == nil {
		return
	}
	r.mesh.followed.Store(r.state.relayState.relay.HasSubscribers(time.Now()))
	r.mesh.storeFails.Store(r.state.relayState.relay.StoreFails())
	r.publishListCurrency()
	if known := r.state.relayState.relay; known.ListVersion() != r.mesh.listVersion {
		r.mesh.listVersion = known.ListVersion()
		routers := known.Routers()
		r.origins.SetPeers(originPeers(routers))
		r.suspects.SetRouters(r.config.VM, routerNames(routers))
	}
}

func routerNames(routers []relay.Router) []string {
	names := make([]string, len(routers))
	for i, r := range routers {
		names[i] = r.Name
	}
	return names
}

// packetsOf returns the connection for messages between routers; nil: there is none.
func packetsOf(m *Mesh) net.PacketConn {
	if m == nil {
		return nil
	}
	return m.Packets
}

// onParentReport passes the parent's summaries of the configuration and of the entries to the
// followers.
func (s *State) onParentReport(now time.Time, e relay.ParentProgress) []Effect {
	peer := config.Peer(e.Parent.Name)
	out := s.stepConfig(config.SummaryReceived{Now: now, Peer: peer, Summary: e.Progress[relay.SetConfig].Summary})
	members := e.Progress[relay.SetMembers]
	if members.SinceRecovery >= 0 {
		s.relayState.entries.StoreRecovered(now.Add(-time.Duration(members.SinceRecovery) * time.Millisecond))
	}
	return append(out, s.stepMembers(now, config.SummaryReceived{Now: now, Peer: peer, Summary: members.Summary})...)
}

// stepMembers passes an event to the follower of entries and applies what has changed.
func (s *State) stepMembers(now time.Time, e config.Event) []Effect {
	r := s.relayState
	var out []Effect
	changed := false
	for _, effect := range r.members.Step(e) {
		switch effect := effect.(type) {
		case config.Changed:
			changes, unusable := r.decodeEntries(effect.Objects)
			out = append(out, unusable...)
			if t := r.entries.Apply(now, changes); t.Outdated > 0 || len(t.Replaced) > 0 {
				out = append(out, UpstreamsRestarted{ApplyResult: t})
			}
			changed = true
		case config.StoreRestored:
			s.onStoreRestored(now)
			out = append(out, MembersEffect{Effect: effect})
		case config.StoreRecovered:
			// After an outage, entries are kept although they have expired. If this router
			// relies on another one that could still read the store, there was no outage
			// and no entry has expired. To keep entries then would send new work to an
			// upstream whose entry is removed now, for longer than it serves.
			if !r.relay.HasParent() {
				r.entries.StoreRecovered(now)
			}
			out = append(out, s.stepConfig(config.StoreReachable{Now: now})...)
			out = append(out, MembersEffect{Effect: effect})
		default:
			out = append(out, MembersEffect{Effect: effect})
		}
	}
	if r.entries.Expire(now) || changed {
		out = append(out, s.updateVMList(now)...)
	}
	return out
}

// decodeEntries decodes entries, and returns an UnusableEntry for each that names no usable
// upstream.
func (r *relayState) decodeEntries(objects []topo.Object) ([]membership.Change, []Effect) {
	out := make([]membership.Change, 0, len(objects))
	var unusable []Effect
	for _, o := range objects {
		c := membership.Change{Entry: membership.Entry{Name: o.Name}}
		if o.Deleted {
			c.Kind = membership.Removed
			delete(r.unusable, o.Name)
			out = append(out, c)
			continue
		}
		entry, err := r.decoder.Decode(o)
		if err != nil {
			c.Kind = membership.Unusable
			unusable = append(unusable, UnusableEntry{Err: err, Repeated: r.unusable[o.Name] == err.Error()})
			r.unusable[o.Name] = err.Error()
		} else {
			c.Entry = entry
			delete(r.unusable, o.Name)
		}
		out = append(out, c)
	}
	return out, unusable
}

// updateVMList makes the upstreams whose entries are valid now the list of VMs.
func (s *State) updateVMList(now time.Time) []Effect {
	vms := s.relayState.entries.VMs()
	slices.SortFunc(vms, func(a, b topo.VM) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(vms, s.vms.Entries) {
		return nil
	}
	return s.Step(VMsChanged{Now: now, VMs: topo.VMs{Entries: vms}})
}

// reportProgress passes to the relay how far this router has followed the configuration and
// the entries.
func (s *State) reportProgress(now time.Time) []Effect {
	if s.relayState == nil || now.IsZero() {
		return nil
	}
	var k relay.Sets[relay.Progress]
	failing := false
	for set, f := range [...]*config.Follower{relay.SetConfig: s.follower, relay.SetMembers: s.relayState.members} {
		status := f.Status()
		failing = failing || status.Failures >= failingStoreCalls
		k[set] = relay.Progress{Summary: f.Set().Summary(), Age: -1, SinceRecovery: -1}
		if !status.StoreAnswered.IsZero() {
			k[set].Age = now.Sub(status.StoreAnswered).Milliseconds()
		}
	}
	if back := s.relayState.entries.StoreRecoveredAt(); !back.IsZero() {
		k[relay.SetMembers].SinceRecovery = now.Sub(back).Milliseconds()
	}
	return s.stepRelay(now, relay.ProgressUpdated{Now: now, Progress: k, StoreFailing: failing})
}

// tickRelay passes the present time to the relay and the follower of entries.
func (s *State) tickRelay(now time.Time) []Effect {
	if s.relayState == nil {
		return nil
	}
	out := s.stepMembers(now, config.Ticked{Now: now})
	out = append(out, s.reportProgress(now)...)
	return append(out, s.stepRelay(now, relay.Ticked{Now: now})...)
}

// stepMembersEvent passes an event to the follower of entries and reports the progress to
// the relay at once, because other routers may be waiting for it.
func (s *State) stepMembersEvent(e config.Event) []Effect {
	now := e.When()
	return append(s.stepMembers(now, e), s.reportProgress(now)...)
}
