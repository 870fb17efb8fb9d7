package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// postPeers tells the copy of the configuration whom it can ask. One at a
// time does, or an older list could be posted after a newer one.
func (s *Sidecar) postPeers() {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	s.mu.Lock()
	var names []config.Peer
	for _, r := range s.conns {
		if r.role != secure.RoleSidecar { // which has no configuration to give
			names = append(names, r.peer)
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	now := time.Now()
	s.loop.Post(ConfigEvent{Now: now, Event: config.PeersChanged{Now: now, Peers: names}})
}

// peerOf is the name of a router's connection for the copy of the configuration.
func (s *Sidecar) peerOf(c *wire.Conn) config.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.conns[c]; r != nil {
		return r.peer
	}
	return ""
}

func (s *Sidecar) connOf(p config.Peer) *wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, r := range s.conns {
		if r.peer == p {
			return c
		}
	}
	return nil
}

// queryConfig asks a router for what is new in the configuration.
func (s *Sidecar) queryConfig(ctx context.Context, to config.Peer, q config.Query) (config.Delta, error) {
	c := s.connOf(to)
	if c == nil {
		return config.Delta{}, verdict.New(verdict.NotRun, verdict.ReasonConnection, "the router has gone")
	}
	var delta wire.ConfigDelta
	err := c.Call(ctx, wire.MethodConfigSince, q, &delta)
	return delta, err
}

// configSince tells a router what is new in the configuration.
func (s *Sidecar) configSince(ctx context.Context, c *wire.Conn, q wire.ConfigSince) (any, error) {
	from := s.peerOf(c)
	e, err := s.ask(ctx, func(t Ticket) Event {
		return ConfigRequested{Now: time.Now(), Ticket: t, Peer: from, Query: q}
	})
	if err != nil {
		return nil, err
	}
	return e.(ReplyConfig).Delta, nil
}
