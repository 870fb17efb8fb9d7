package sidecar

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// exportConcurrency is how many prefixes are on their way at a time.
	exportConcurrency = 4
	// announceTimeout bounds the wait for the list of VMs to name a new VM, and
	// its announcement to the others.
	announceTimeout = 2 * time.Minute
	// listPollInterval is how often the list is read meanwhile.
	listPollInterval = 2 * time.Second
)

// export hands the cached prefixes of sessions to the upstreams that rank first
// for them once this one has left. It is best effort and bounded in time: a
// prefix that is not handed over is computed anew.
func (s *Sidecar) export(sessions []uint64) {
	defer func() { s.loop.Post(ExportFinished{Now: time.Now()}) }()
	if s.config.VMs == nil || len(sessions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, exportTimeout)
	defer cancel()
	list, _, err := s.config.VMs.VMs(ctx, "")
	if err != nil {
		exportFailures.Add(int64(len(sessions)))
		return
	}
	pool := newSuccessors(list.Entries, s.config.Settings.VM)
	s.exportSessions(ctx, sessions, pool.successorOf)
}

// exportTo hands the cached prefixes of those of sessions that rank first at a
// VM that has joined to that VM. Whoever asks for it, they go to VMs that the
// list of VMs names, by their rank.
func (s *Sidecar) exportTo(e ExportTo) {
	if s.config.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, exportTimeout)
	defer cancel()
	list, _, err := s.config.VMs.VMs(ctx, "")
	if err != nil {
		return
	}
	pool := newSuccessors(list.Entries, s.config.Settings.VM)
	s.exportSessions(ctx, e.Sessions, func(session uint64) (topo.VM, bool) {
		home, ok := pool.home(session)
		return home, ok && home.ID == e.VM
	})
}

// announceJoin asks the other upstreams of the pool for the cached prefixes of the
// sessions that rank first here now that this one has joined. Routers send
// those here as soon as they see this VM in the list, and without their
// prefixes each of them would be computed anew.
func (s *Sidecar) announceJoin() {
	if s.config.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	pool, ok := s.waitUntilListed(ctx)
	if !ok {
		return
	}
	x := exporter{sidecar: s, peers: make(map[string]*wire.Peer)}
	defer x.close()
	forEachConcurrently(exportConcurrency, pool.others(), func(vm topo.VM) {
		_ = x.peer(vm).Call(ctx, wire.MethodJoined, wire.Joined{VM: s.config.Settings.VM}, nil)
	})
}

// waitUntilListed waits until the list of VMs names this one.
func (s *Sidecar) waitUntilListed(ctx context.Context) (h successors, ok bool) {
	for {
		list, _, err := s.config.VMs.VMs(ctx, "")
		if err == nil {
			if h = newSuccessors(list.Entries, s.config.Settings.VM); h.self != placement.None {
				return h, true
			}
		}
		select {
		case <-time.After(listPollInterval):
		case <-ctx.Done():
			return h, false
		}
	}
}

// importPrefix gives the engine a prefix that another sidecar hands over.
func (s *Sidecar) importPrefix(ctx context.Context, p wire.Import) (any, error) {
	if err := s.config.Upstream.Import(ctx, p.Session, p.Cached); err != nil {
		return nil, err
	}
	s.loop.Post(PrefixImported{Now: time.Now(), Session: p.Session})
	importedSessions.Inc()
	return wire.Empty{}, nil
}

// exportSessions exports the prefixes of sessions and hands each to the VM that to names,
// if it names one.
func (s *Sidecar) exportSessions(ctx context.Context, sessions []uint64, to func(uint64) (topo.VM, bool)) {
	x := exporter{sidecar: s, peers: make(map[string]*wire.Peer)}
	defer x.close()
	forEachConcurrently(exportConcurrency, sessions, func(session uint64) {
		if vm, ok := to(session); ok {
			x.exportSession(ctx, session, vm)
		}
	})
}

// forEachConcurrently calls do for each of items, for up to n at a time.
func forEachConcurrently[T any](n int, items []T, do func(T)) {
	work := make(chan T)
	var workers sync.WaitGroup
	for range n {
		workers.Go(func() {
			for item := range work {
				do(item)
			}
		})
	}
	for _, item := range items {
		work <- item
	}
	close(work)
	workers.Wait()
}

// exporter is one export.
type exporter struct {
	sidecar *Sidecar

	mu    sync.Mutex
	peers map[string]*wire.Peer // by VM
}

func (x *exporter) exportSession(ctx context.Context, session uint64, to topo.VM) {
	cached, err := x.sidecar.config.Upstream.Export(ctx, session)
	if err == upstream.ErrNotCached {
		return
	}
	if err == nil {
		err = x.peer(to).Call(ctx, wire.MethodImport, wire.Import{Session: session, Cached: cached}, nil)
	}
	if err != nil {
		exportFailures.Inc()
		return
	}
	exportedSessions.Inc()
}

func (x *exporter) peer(vm topo.VM) *wire.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[vm.ID]
	if p == nil {
		dial := x.sidecar.config.Dial
		p = wire.NewPeer(wire.PeerConfig{Dial: func(ctx context.Context) (net.Conn, error) { return dial(ctx, vm) }})
		x.peers[vm.ID] = p
	}
	return p
}

func (x *exporter) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.Close()
	}
}
