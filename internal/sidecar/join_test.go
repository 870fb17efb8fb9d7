package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// kvUpstream is an engine with a cache of prefixes.
type kvUpstream struct {
	mu       sync.Mutex
	cached   map[uint64]bool
	imported []uint64
}

func (u *kvUpstream) Do(_ context.Context, r upstream.Request) (*upstream.Response, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cached[r.Session] = true
	return &upstream.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (u *kvUpstream) Probe(context.Context) upstream.Health { return upstream.Health{} }

func (u *kvUpstream) Export(_ context.Context, session uint64) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.cached[session] {
		return nil, upstream.ErrNotCached
	}
	return []byte("kv"), nil
}

func (u *kvUpstream) Import(_ context.Context, session uint64, _ []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cached[session] = true
	u.imported = append(u.imported, session)
	return nil
}

func (u *kvUpstream) importedSessions() []uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Sorted(slices.Values(u.imported))
}

// kvPool is a pool of sidecars. Each is added to the list of VMs when it starts.
type kvPool struct {
	mu    sync.Mutex
	list  []topo.VM
	pipes map[string]*pipeListener
}

func (p *kvPool) VMs(context.Context, string) (topo.VMs, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return topo.VMs{Entries: slices.Clone(p.list)}, true, nil
}

func (p *kvPool) dial(ctx context.Context, vm topo.VM) (net.Conn, error) {
	p.mu.Lock()
	to := p.pipes[vm.ID]
	p.mu.Unlock()
	return to.dial(ctx)
}

func (p *kvPool) add(id string) *pipeListener {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pipes[id] = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p.list = append(p.list, topo.VM{ID: id, Role: topo.RoleUpstream, Pool: "notes"})
	return p.pipes[id]
}

// start runs a sidecar until stop. It returns after a minute, when the sidecar has
// announced itself to the others.
func (p *kvPool) start(id string) (u *kvUpstream, stop func()) {
	u = &kvUpstream{cached: make(map[uint64]bool)}
	listener := p.add(id)
	s := New(Config{
		Settings: Settings{
			VM: id, Incarnation: 1, Keys: 1000, Admission: admission.Config{Slots: 4, MaxWaiting: 4, MaxBytes: 1 << 20},
			DetachGrace: time.Second, KeepAnswer: time.Second, StopTimeout: time.Minute,
		},
		Buffer:   BufferLimits{PerResponse: 64 << 10, Total: 1 << 20},
		Upstream: u, VMs: p, Dial: p.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(ctx, listener) }()
	time.Sleep(time.Minute)
	return u, func() { cancel(); <-serveErr }
}

// When a second engine joins, routers send it the sessions for which it ranks
// first, so their cached prefixes must be transferred to it; otherwise each is
// recomputed. When the second engine leaves, the prefixes must be transferred back.
func TestPrefixesAreExportedWhenUpstreamsJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &kvPool{pipes: make(map[string]*pipeListener)}
		first, stopFirst := p.start("vm-0")
		peer := wire.NewPeer(wire.PeerConfig{Dial: p.pipes["vm-0"].dial})
		const sessions = 40
		for n := range byte(sessions) {
			key := wire.Key{VM: "vm-0", Incarnation: 1, Nonce: token.Nonce{n}, Expires: time.Now().Add(time.Hour).Unix()}
			if _, _, err := peer.Submit(t.Context(), wire.Submit{Key: key, Org: "org", Session: uint64(n) + 1, Window: 1 << 10}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		peer.Close()

		second, stopSecond := p.start("vm-1")
		ranked := newSuccessors(p.list, "vm-1")
		var expected []uint64
		for session := uint64(1); session <= sessions; session++ {
			if vm, _ := ranked.home(session); vm.ID == "vm-1" {
				expected = append(expected, session)
			}
		}
		if got := second.importedSessions(); len(expected) == 0 || !slices.Equal(got, expected) {
			t.Errorf("imported at the join: %v, want %v", got, expected)
		}
		stopSecond()
		if got := first.importedSessions(); !slices.Equal(got, expected) {
			t.Errorf("imported at the leave: %v, want %v", got, expected)
		}
		stopFirst()
	})
}
