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

// postPeers posts the peers from which the copy of the configuration can be
// updated. peersMu prevents an older list from being posted after a newer one.
func (s *Sidecar) postPeers() {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	s.mu.Lock()
	var names []config.Peer
	for _, pc := range s.conns {
		if pc.role != secure.RoleSidecar { // sidecars are not asked for configuration
			names = append(names, pc.peer)
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	now := time.Now()
	s.loop.Post(ConfigEvent{Now: now, Event: config.PeersChanged{Now: now, Peers: names}})
}

// peerOf returns the name by which the copy of the configuration identifies a
// connection, or "" if it has ended.
func (s *Sidecar) peerOf(c *wire.Conn) config.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pc := s.conns[c]; pc != nil {
		return pc.peer
	}
	return ""
}

func (s *Sidecar) connOf(p config.Peer) *wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, pc := range s.conns {
		if pc.peer == p {
			return c
		}
	}
	return nil
}

// queryConfig requests configuration changes from a router.
func (s *Sidecar) queryConfig(ctx context.Context, to config.Peer, q config.Query) (config.Delta, error) {
	c := s.connOf(to)
	if c == nil {
		return config.Delta{}, verdict.New(verdict.NotRun, verdict.ReasonConnection, "the router has gone")
	}
	var delta wire.ConfigDelta
	err := c.Call(ctx, wire.MethodConfigSince, q, &delta)
	return delta, err
}

// configSince returns configuration changes to a router.
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
