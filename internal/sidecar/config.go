package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// ConfigEvent is an event for the sidecar's copy of the configuration. Routers
// that start while the store is down read this copy.
type ConfigEvent struct {
	Now   time.Time
	Event config.Event
}

// ConfigRequested is posted when a router requests configuration changes.
type ConfigRequested struct {
	Now    time.Time
	Ticket Ticket
	Peer   config.Peer
	Query  wire.ConfigSince
}

func (e ConfigEvent) at() time.Time     { return e.Now }
func (e ConfigRequested) at() time.Time { return e.Now }

// ConfigEffect executes an effect of the copy of the configuration.
type ConfigEffect struct {
	Effect config.Effect
}

// ReplyConfig answers a ConfigRequested.
type ReplyConfig struct {
	Ticket Ticket
	Delta  wire.ConfigDelta
}

func (ConfigEffect) isEffect() {}
func (ReplyConfig) isEffect()  {}

// handleConfigRequest replies with the changes that the peer lacks. The summary in
// its query shows whether the peer has newer objects than this copy.
func (s *State) handleConfigRequest(e ConfigRequested) []Effect {
	effects := s.handleConfig(ConfigEvent{Now: e.Now, Event: config.SummaryReceived{Now: e.Now, Peer: e.Peer, Summary: e.Query.Summary}})
	return append(effects, ReplyConfig{Ticket: e.Ticket, Delta: s.config.Set().Answer(e.Query)})
}

// handleConfig applies an event to the copy of the configuration. The sidecar
// itself acts only on operators' orders to drain its VM or failure domain.
func (s *State) handleConfig(e ConfigEvent) []Effect {
	var effects []Effect
	for _, effect := range s.config.Step(e.Event) {
		change, ok := effect.(config.Changed)
		if !ok {
			effects = append(effects, ConfigEffect{Effect: effect})
			continue
		}
		s.applyDrainOrders(change.Objects)
	}
	return effects
}

// applyDrainOrders applies the operators' orders to drain this VM or its failure
// domain, and the deletion of such orders.
func (s *State) applyDrainOrders(objects []topo.Object) {
	for _, o := range objects {
		s.drainOrders.Apply(o)
	}
	if o, ok := s.drainOrders.Lookup(s.settings.VM, s.settings.FailureDomain); ok {
		s.applyNotice(wire.Notice{Leaving: o.Leave, Version: o.Version})
	}
}
