package sidecar

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// exportConcurrency is the number of concurrent transfers.
	exportConcurrency = 4
	// announceTimeout limits the announcement of a new VM, including the wait until
	// the list of VMs contains it.
	announceTimeout = 2 * time.Minute
	// listPollInterval is the interval between reads of the list during that wait.
	listPollInterval = 2 * time.Second
)

// export transfers the cached prefixes of sessions to the upstreams that rank first
// for them after this one has left. It is best effort and limited in time: a
// prefix that is not transferred is recomputed.
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
	ranked := newSuccessors(list.Entries, s.config.Settings.VM)
	s.exportSessions(ctx, sessions, ranked.successorOf, exportLeaving)
}

// exportTo transfers cached prefixes to a VM that has joined: those of the given
// sessions for which it ranks first. The target must be in the list of VMs,
// whichever peer announced it.
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
	ranked := newSuccessors(list.Entries, s.config.Settings.VM)
	s.exportSessions(ctx, e.Sessions, func(session uint64) (topo.VM, bool) {
		home, ok := ranked.home(session)
		return home, ok && home.ID == e.VM
	}, exportJoined)
}

// announceJoin asks the other upstreams of the pool for the cached prefixes of the
// sessions for which this upstream ranks first now that it has joined. Routers
// send these sessions here as soon as they see this VM in the list, and each
// missing prefix has to be recomputed.
func (s *Sidecar) announceJoin() {
	if s.config.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	ranked, ok := s.waitUntilListed(ctx)
	if !ok {
		return
	}
	x := exporter{sidecar: s, peers: make(map[string]*wire.Peer)}
	defer x.close()
	forEachConcurrently(exportConcurrency, ranked.others(), func(vm topo.VM) {
		_ = x.peer(vm).Call(ctx, wire.MethodJoined, wire.Joined{VM: s.config.Settings.VM}, nil)
	})
}

// waitUntilListed waits until the list of VMs contains this VM. It returns false if
// ctx ends first.
func (s *Sidecar) waitUntilListed(ctx context.Context) (ranked successors, ok bool) {
	for {
		list, _, err := s.config.VMs.VMs(ctx, "")
		if err == nil {
			if ranked = newSuccessors(list.Entries, s.config.Settings.VM); ranked.self != placement.None {
				return ranked, true
			}
		}
		select {
		case <-time.After(listPollInterval):
		case <-ctx.Done():
			return ranked, false
		}
	}
}

// importPrefix imports a cached prefix from another sidecar into the engine.
func (s *Sidecar) importPrefix(ctx context.Context, p wire.Import) (any, error) {
	if err := s.config.Upstream.Import(ctx, p.Session, p.Cached); err != nil {
		slog.Warn("import of a cached prefix failed", "vm", s.config.Settings.VM, "session", upstream.SessionID(p.Session), "error", err)
		return nil, err
	}
	s.loop.Post(PrefixImported{Now: time.Now(), Session: p.Session})
	importedSessions.Inc()
	return wire.Empty{}, nil
}

// exportReason is the reason for an export of cached prefixes.
type exportReason string

const (
	exportLeaving exportReason = "leaving" // this upstream is draining
	exportJoined  exportReason = "joined"  // another upstream has joined
)

// exportSessions transfers the cached prefix of each session to the VM that targetOf
// returns for it, if any.
func (s *Sidecar) exportSessions(ctx context.Context, sessions []uint64, targetOf func(uint64) (topo.VM, bool), reason exportReason) {
	x := exporter{sidecar: s, peers: make(map[string]*wire.Peer)}
	defer x.close()
	defer func() {
		slog.Info("cached prefixes exported", "vm", s.config.Settings.VM, "reason", reason,
			"sessions", len(sessions), "exported", x.exported.Load(), "failed", x.failed.Load())
	}()
	forEachConcurrently(exportConcurrency, sessions, func(session uint64) {
		if vm, ok := targetOf(session); ok {
			x.exportSession(ctx, session, vm)
		}
	})
}

// forEachConcurrently calls do for each item, with up to n concurrent calls.
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

// exporter holds the connections of one export.
type exporter struct {
	sidecar  *Sidecar
	exported atomic.Int64 // sessions
	failed   atomic.Int64 // sessions

	mu    sync.Mutex
	peers map[string]*wire.Peer // by VM
}

// exportSession transfers the cached prefix of one session. A session without a
// cached prefix is skipped.
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
		x.failed.Add(1)
		return
	}
	exportedSessions.Inc()
	x.exported.Add(1)
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
