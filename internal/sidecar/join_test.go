package sidecar

import (
	"context"
	"fmt"
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
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// kvUpstream is an engine with a cache of prefixes.
type kvUpstream struct {
	mu       sync.Mutex
	cached   map[uint64]bool
	imported []uint64
}

// hangingSession is the session whose requests do not end by themselves.
const hangingSession = 1000

func (u *kvUpstream) Do(ctx context.Context, r upstream.Request) (*upstream.Response, error) {
	u.mu.Lock()
	u.cached[r.Session] = true
	u.mu.Unlock()
	if r.Session == hangingSession {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", ctx.Err())
	}
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

// submitAll submits requests of the given sessions to vm-0.
func (p *kvPool) submitAll(t *testing.T, sessions []uint64) {
	peer := wire.NewPeer(wire.PeerConfig{Dial: p.pipes["vm-0"].dial})
	for n, session := range sessions {
		key := wire.Key{VM: "vm-0", Incarnation: 1, Nonce: token.Nonce{byte(n)}, Expires: time.Now().Add(time.Hour).Unix()}
		sub := wire.Submit{Key: key, Org: "org", Session: session, Fingerprint: session, Window: 1 << 10, Policy: wire.RequestPolicy{Deadline: time.Hour}}
		if _, _, err := peer.Submit(t.Context(), sub); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
	}
	peer.Close()
}

// homes returns those of the sessions for which a VM ranks first.
func (p *kvPool) homes(sessions []uint64, id string) []uint64 {
	ranked := newSuccessors(p.list, id)
	return slices.DeleteFunc(slices.Clone(sessions), func(session uint64) bool {
		vm, _ := ranked.home(session)
		return vm.ID != id
	})
}

// Guards against an engine that is lost on its return: the request that crashed it runs
// alone at another VM, which gets the announcement of the join at that moment.
func TestPromptOfRunningRequestIsNotExported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &kvPool{pipes: make(map[string]*pipeListener)}
		_, stopFirst := p.start("vm-0")
		sessions := []uint64{hangingSession}
		for session := uint64(1); session <= 40; session++ {
			sessions = append(sessions, session)
		}
		p.submitAll(t, sessions)
		// The hanging session must rank first at the VM that joins.
		joining := ""
		for n := 1; joining == ""; n++ {
			id := fmt.Sprint("vm-", n)
			with := &kvPool{list: append(slices.Clone(p.list), topo.VM{ID: id, Role: topo.RoleUpstream, Pool: "notes"})}
			if slices.Contains(with.homes(sessions, id), hangingSession) {
				joining = id
			}
		}
		second, stopSecond := p.start(joining)
		expected := p.homes(sessions[1:], joining)
		if got := second.importedSessions(); len(expected) == 0 || !slices.Equal(got, expected) {
			t.Errorf("imported at the join: %v, want %v", got, expected)
		}
		stopSecond()
		stopFirst()
	})
}

// When a second engine joins, routers send it the sessions for which it ranks
// first, so their cached prefixes must be transferred to it; otherwise each is
// recomputed. When the second engine leaves, the prefixes must be transferred back.
func TestPrefixesAreExportedWhenUpstreamsJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &kvPool{pipes: make(map[string]*pipeListener)}
		first, stopFirst := p.start("vm-0")
		var sessions []uint64
		for session := uint64(1); session <= 40; session++ {
			sessions = append(sessions, session)
		}
		p.submitAll(t, sessions)

		second, stopSecond := p.start("vm-1")
		expected := p.homes(sessions, "vm-1")
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
