package sidecar

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// exportConcurrency is the number of concurrent transfers.
	exportConcurrency = 4
	// announceTimeout limits the announcement of a new VM, including the wait until
	// the list of VMs contains it.
	announceTimeout = 2 * time.Minute
	// rankedTTL is how long the VMs of the pool are used for exports before their list is
	// read again.
	rankedTTL = 10 * time.Second
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
	ranked, err := s.rankedVMs(ctx, nil)
	if err != nil {
		exportFailures.Add(int64(len(sessions)))
		slog.Warn("no cached prefix exported: the list of VMs cannot be read", "vm", s.config.Settings.VM, "sessions", len(sessions), "error", err)
		return
	}
	s.exportSessions(ctx, sessions, ranked.successorOf, exportLeaving)
}

// exportTo transfers cached prefixes to VMs that have joined: those of the given
// sessions for which one of them ranks first. The target must be in the list of VMs,
// whichever peer announced it.
func (s *Sidecar) exportTo(e ExportTo) {
	if s.config.VMs == nil || len(e.Sessions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, exportTimeout)
	defer cancel()
	ranked, err := s.rankedVMs(ctx, e.VMs)
	if err != nil {
		slog.Warn("no cached prefix exported: the list of VMs cannot be read", "vm", s.config.Settings.VM, "to", e.VMs, "error", err)
		return
	}
	s.exportSessions(ctx, e.Sessions, func(session uint64) (topo.VM, bool) {
		home, ok := ranked.home(session)
		return home, ok && slices.Contains(e.VMs, home.ID)
	}, exportJoined)
}

// rankedVMs returns the VMs of the pool, which must include the given ones if the list of
// VMs does. It reads the list at most once in rankedTTL while that is the case: exports
// follow the end of each request that was running when the first one began.
func (s *Sidecar) rankedVMs(ctx context.Context, include []string) (successors, error) {
	s.rankedMu.Lock()
	defer s.rankedMu.Unlock()
	if time.Since(s.rankedAt) < rankedTTL && s.ranked.contains(include) {
		return s.ranked, nil
	}
	list, _, err := s.config.VMs.VMs(ctx, "")
	if err != nil {
		return successors{}, err
	}
	s.ranked, s.rankedAt = newSuccessors(list.Entries, s.config.Settings.VM), time.Now()
	return s.ranked, nil
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
		err := x.peer(vm).Call(ctx, wire.MethodJoined, wire.Joined{VM: s.config.Settings.VM}, nil)
		if err != nil {
			slog.Info("join not announced", "vm", s.config.Settings.VM, "to", vm.ID, "error", err)
		}
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
	var ticket Ticket
	_, err := s.transfer(ctx, func(t Ticket) Event {
		ticket = t
		return ImportRequested{Now: time.Now(), Ticket: t, Session: p.Session, Fingerprint: quarantine.Fingerprint(p.Fingerprint)}
	})
	defer func() { s.loop.Post(ImportEnded{Now: time.Now(), Ticket: ticket, Err: err}) }()
	if err != nil {
		refusedImports.Inc(verdict.From(err).Reason)
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	if err = s.config.Upstream.Import(ctx, p.Session, p.Cached); err != nil {
		slog.Warn("import of a cached prefix failed", "vm", s.config.Settings.VM, "session", upstream.SessionID(p.Session), "error", err)
		return nil, err
	}
	importedSessions.Inc()
	return wire.Empty{}, nil
}

// transfer posts the event that f returns for a new ticket. It returns the fingerprint of
// the request whose prompt may be transferred, or the reason why it may not.
func (s *Sidecar) transfer(ctx context.Context, f func(Ticket) Event) (quarantine.Fingerprint, error) {
	e, err := s.ask(ctx, f)
	if err != nil {
		return 0, err
	}
	reply := e.(ReplyTransfer)
	if reply.Err != nil {
		return 0, reply.Err
	}
	return reply.Fingerprint, nil
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
// cached prefix, or whose prefix may no longer be transferred, is skipped.
func (x *exporter) exportSession(ctx context.Context, session uint64, to topo.VM) {
	cached, err := x.sidecar.config.Upstream.Export(ctx, session)
	if errors.Is(err, upstream.ErrNotCached) {
		return
	}
	if err == nil {
		fp, withheld := x.sidecar.transfer(ctx, func(t Ticket) Event { return PrefixRead{Now: time.Now(), Ticket: t, Session: session} })
		if withheld != nil {
			withheldExports.Inc()
			return
		}
		err = x.peer(to).Call(ctx, wire.MethodImport, wire.Import{Session: session, Fingerprint: uint64(fp), Cached: cached}, nil)
	}
	if err != nil {
		exportFailures.Inc()
		x.failed.Add(1)
		slog.Debug("export of a cached prefix failed", "vm", x.sidecar.config.Settings.VM, "to", to.ID, "session", upstream.SessionID(session), "error", err)
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
