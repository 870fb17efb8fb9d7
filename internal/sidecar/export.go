package sidecar

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// exportAtOnce is how many prefixes are on their way at a time.
const exportAtOnce = 4

// export hands the cached prefixes of sessions to the upstreams that rank first
// for them once this one has left. It is best effort and bounded in time: a
// prefix that is not handed over is computed anew.
func (s *Sidecar) export(sessions []uint64) {
	defer func() { s.loop.Post(Exported{Now: time.Now()}) }()
	if s.config.VMs == nil || len(sessions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, exportWithin)
	defer cancel()
	list, _, err := s.config.VMs.VMs(ctx, "")
	if err != nil {
		exportFailures.Add(int64(len(sessions)))
		return
	}
	x := exporter{sidecar: s, heirs: newHeirs(list.Entries, s.config.Settings.VM), peers: make(map[string]*wire.Peer)}
	defer x.close()
	x.run(ctx, sessions)
}

// takeImport gives the engine a prefix that a leaving sidecar hands over.
func (s *Sidecar) takeImport(ctx context.Context, p wire.Import) (any, error) {
	if err := s.config.Upstream.Import(ctx, p.Session, p.Cached); err != nil {
		return nil, err
	}
	importedSessions.Inc()
	return wire.Empty{}, nil
}

// exporter is one export.
type exporter struct {
	sidecar *Sidecar
	heirs   heirs

	mu    sync.Mutex
	peers map[string]*wire.Peer // by VM
}

func (x *exporter) run(ctx context.Context, sessions []uint64) {
	work := make(chan uint64)
	var workers sync.WaitGroup
	for range exportAtOnce {
		workers.Go(func() {
			for session := range work {
				x.hand(ctx, session)
			}
		})
	}
	for _, session := range sessions {
		work <- session
	}
	close(work)
	workers.Wait()
}

func (x *exporter) hand(ctx context.Context, session uint64) {
	to, ok := x.heirs.of(session)
	if !ok {
		return
	}
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

func (x *exporter) peer(vm platform.VM) *wire.Peer {
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

// heirs are the upstreams of a pool, of which one leaves.
type heirs struct {
	vms  []platform.VM
	pool *placement.Pool
	self int // index of the one that leaves
}

func newHeirs(list []platform.VM, self string) heirs {
	h := heirs{self: placement.None}
	var own platform.VM
	for _, vm := range list {
		if vm.ID == self {
			own = vm
		}
	}
	var members []placement.Member
	for _, vm := range list {
		if vm.Role != platform.RoleUpstream || vm.Pool != own.Pool || (vm.Leaving && vm.ID != self) {
			continue
		}
		if vm.ID == self {
			h.self = len(members)
		}
		members = append(members, placement.Member{
			VM:     load.Hash(vm.ID),
			Seed:   placement.Seed(vm.ID),
			Weight: vm.Weight,
			Domain: vm.FailureDomain,
		})
		h.vms = append(h.vms, vm)
	}
	h.pool = placement.NewPool(members, placement.Locality{Domain: own.FailureDomain})
	return h
}

// of returns the upstream that serves a session next.
func (h *heirs) of(session uint64) (platform.VM, bool) {
	i := h.pool.Successor(session, h.self)
	if i == placement.None {
		return platform.VM{}, false
	}
	return h.vms[i], true
}
