package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Configured is an event of the copy of the configuration that the sidecar
// keeps for routers that start while the store is down.
type Configured struct {
	Now   time.Time
	Event config.Event
}

// ConfigAsked is a router that asks for what is new in the configuration.
type ConfigAsked struct {
	Now    time.Time
	Ticket Ticket
	Peer   config.Peer
	Query  wire.ConfigSince
}

func (e Configured) at() time.Time  { return e.Now }
func (e ConfigAsked) at() time.Time { return e.Now }

// Follow is something to do for the copy of the configuration.
type Follow struct {
	Effect config.Effect
}

// ReplyConfig answers a ConfigAsked.
type ReplyConfig struct {
	Ticket Ticket
	Delta  wire.ConfigDelta
}

func (Follow) isEffect()      {}
func (ReplyConfig) isEffect() {}

func (s *State) configAsked(e ConfigAsked) []Effect {
	heard := s.configured(Configured{Now: e.Now, Event: config.SummaryReceived{Now: e.Now, Peer: e.Peer, Summary: e.Query.Summary}})
	return append(heard, ReplyConfig{Ticket: e.Ticket, Delta: s.config.Set().Answer(e.Query)})
}

// configured steps the copy. Of what changes there, only the order to drain
// this VM concerns the sidecar itself.
func (s *State) configured(e Configured) []Effect {
	var effects []Effect
	for _, effect := range s.config.Step(e.Event) {
		changed, ok := effect.(config.Changed)
		if !ok {
			effects = append(effects, Follow{Effect: effect})
			continue
		}
		s.drainOrders(changed.Objects)
	}
	return effects
}

// drainOrders looks for orders to drain this VM or its failure domain, and for their
// removal.
func (s *State) drainOrders(objects []topo.Object) {
	for _, o := range objects {
		s.orders.Apply(o)
	}
	if o, ok := s.orders.Lookup(s.settings.VM, s.settings.FailureDomain); ok {
		s.order(wire.Notice{Leaving: o.Leave, Version: o.Version})
	}
}
