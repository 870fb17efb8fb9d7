package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	apiKey           = "club-key"
	booking          = "booking" // a profile and service whose calls are not idempotent
	clips            = "clips"   // a profile and service whose calls are idempotent
	model            = "notes"
	responseInterval = 10 * time.Millisecond
)

// fleet runs routers, sidecars and fake upstreams in one process, with a store that
// can be made unavailable.
type fleet struct {
	net         *network
	store       *store
	vmList      *vmList
	gateways    []*gateway.Gateway
	stopRouters []context.CancelFunc
	upstreamVMs []*vm
	stop        context.CancelFunc
	ctx         context.Context
	ring        *token.Keyring
	slots       int // of each upstream
}

// vm is an upstream VM whose sidecar can be replaced by a new incarnation.
type vm struct {
	id       string
	mu       sync.Mutex // held while the sidecar is replaced
	upstream *fakeUpstream
	kill     func() // stops the sidecar at once
	shutdown func() // starts a planned stop
	starts   uint64
}

// newFleet starts a fleet whose upstreams run up to slots requests at a time and
// queue as many.
func newFleet(vms, routers, slots int) *fleet {
	ring, _ := token.NewKeyring(token.Secret{ID: 1, Value: bytes.Repeat([]byte{7}, 16)})
	f := &fleet{net: newNetwork(), slots: slots, store: newStore(), vmList: &vmList{}, ring: ring}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for _, name := range []string{booking, clips} {
		p := profile.New(topo.KindProfile).(*profile.Profile)
		p.Name, p.Service, p.Pool = name, name, "p"
		p.Idempotent = name == clips
		p.Deadline = profile.Duration(map[string]time.Duration{booking: 20 * time.Second, clips: 2 * time.Second}[name])
		f.store.put(topo.KindProfile, name, p)
	}
	chat := profile.New(topo.KindProfile).(*profile.Profile)
	chat.Name, chat.Model, chat.Pool, chat.Deadline = "chat", model, "p", profile.Duration(time.Minute)
	f.store.put(topo.KindProfile, chat.Name, chat)
	f.store.put(topo.KindOrganisation, "club", profile.Organisation{
		Name: "club", Weight: 1, Profiles: []string{booking, clips, chat.Name}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey(apiKey)}},
	})
	for i := range vms {
		v := &vm{id: fmt.Sprintf("vm-%d", i), upstream: &fakeUpstream{unfreeze: make(chan struct{}), crashed: make(chan struct{})}}
		f.upstreamVMs = append(f.upstreamVMs, v)
		f.startSidecar(v)
		f.vmList.set(topo.VM{ID: v.id, Role: topo.RoleUpstream, Addr: v.id, Pool: "p"})
	}
	for i := range routers {
		name := fmt.Sprintf("router-%d", i)
		f.vmList.set(topo.VM{ID: name, Role: topo.RoleRouter})
		f.startRouter(name, f.store, f.vmList)
	}
	time.Sleep(time.Second) // of the bubble's clock, until configuration and list of VMs have been read
	return f
}

func (f *fleet) startRouter(name string, s topo.Store, l topo.VMList) {
	ctx, stop := context.WithCancel(f.ctx)
	r := router.New(ctx, router.Config{VM: name, Store: s, VMs: l, Ring: f.ring, Dial: f.net.dialer(name)})
	f.gateways = append(f.gateways, gateway.New(r, budget.NewMemory(0)))
	f.stopRouters = append(f.stopRouters, stop)
}

func (f *fleet) startSidecar(v *vm) {
	v.starts++
	s := sidecar.New(sidecar.Config{
		Settings: sidecar.Settings{
			VM:          v.id,
			Incarnation: v.starts,
			Keys:        1000,
			Admission:   admission.Config{Slots: f.slots, MaxWaiting: f.slots},
			DetachGrace: time.Second,
			KeepAnswer:  time.Minute,
		},
		Buffer:   sidecar.BufferLimits{PerResponse: 1 << 20, Total: 1 << 24},
		Upstream: v.upstream,
	})
	l := f.net.listen(v.id)
	ctx, shutdown := context.WithCancel(context.Background())
	v.kill = func() { _ = l.Close() } // like a killed process
	v.shutdown = shutdown
	go func() { _ = s.Serve(ctx, l) }()
}

// replace stops a sidecar as planned and starts a new one 10 s later.
func (f *fleet) replace(v *vm) {
	v.mu.Lock()
	shutdown := v.shutdown
	v.mu.Unlock()
	shutdown()
	time.Sleep(10 * time.Second)
	f.restart(v)
}

// restart kills a sidecar and starts a new one, which has lost all state.
func (f *fleet) restart(v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.kill()
	f.net.cut(func(c *faultyConn) bool { return c.addr == v.id })
	f.startSidecar(v)
}

func (f *fleet) close() {
	f.stop()
	for _, v := range f.upstreamVMs {
		close(v.upstream.unfreeze)
		v.kill()
	}
	f.net.cut(func(*faultyConn) bool { return true })
}

// runs returns how often each request has run, by body.
func (f *fleet) runs() map[string]int {
	out := make(map[string]int)
	for _, v := range f.upstreamVMs {
		v.upstream.mu.Lock()
		for _, body := range v.upstream.runs {
			out[body]++
		}
		v.upstream.mu.Unlock()
	}
	return out
}

// fakeUpstream records its runs and responds with expectedBody of the request's body.
type fakeUpstream struct {
	mu        sync.Mutex
	runs      []string
	header    http.Header                                  // of the last call
	cancelled int                                          // number of runs that were cancelled
	beforeRun func(ctx context.Context, body string) error // called before a run is recorded
	downUntil time.Time                                    // end of the down time after a crash
	crashed   chan struct{}                                // closed and replaced on each crash
	starts    int
	frozen    bool // runs requests, but does not respond until unfreeze is closed
	unfreeze  chan struct{}
}

// Probe implements upstream.Upstream.
func (u *fakeUpstream) Probe(context.Context) upstream.Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.downUntil) {
		return upstream.Health{State: upstream.Gone}
	}
	return upstream.Health{Instance: upstream.Instance(fmt.Sprint(u.starts))}
}

// poison is the prefix of the body of a request that crashes every upstream that runs it.
const poison = "poison"

// simulateCrash ends all runs and makes the upstream unavailable for a second.
func (u *fakeUpstream) simulateCrash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	u.downUntil = time.Now().Add(time.Second)
	close(u.crashed)
	u.crashed = make(chan struct{})
}

// Export implements upstream.Upstream.
func (u *fakeUpstream) Export(context.Context, uint64) ([]byte, error) { return nil, nil }

// Import implements upstream.Upstream.
func (u *fakeUpstream) Import(context.Context, uint64, []byte) error { return nil }

// Do implements upstream.Upstream.
func (u *fakeUpstream) Do(ctx context.Context, r upstream.Request) (*upstream.Response, error) {
	body := string(r.Call.Body)
	u.mu.Lock()
	beforeRun, frozen, crashed, down := u.beforeRun, u.frozen, u.crashed, time.Now().Before(u.downUntil)
	u.mu.Unlock()
	if down {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
	}
	if beforeRun != nil {
		if err := beforeRun(ctx, body); err != nil {
			return nil, err
		}
	}
	u.mu.Lock()
	u.runs, u.header = append(u.runs, body), r.Call.Header
	u.mu.Unlock()
	if frozen {
		<-u.unfreeze
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")
	}
	if strings.HasPrefix(body, poison) {
		time.Sleep(2 * responseInterval)
		u.simulateCrash()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")
	}
	context.AfterFunc(ctx, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.cancelled++
	})
	h := http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Own": {"1"}, "Set-Cookie": {"a=b"}, "Parsley-Ticket": {"spoofed"}}
	return &upstream.Response{Status: http.StatusOK, Header: h, Body: &slowBody{ctx: ctx, crashed: crashed, rest: expectedBody(body)}}, nil
}

// expectedBody returns the response to a request body. It differs for every body.
func expectedBody(body string) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(body))
	var b bytes.Buffer
	for i := range 8 {
		fmt.Fprintf(&b, "data: %x %d %s\n\n", h.Sum64(), i, bytes.Repeat([]byte{'x'}, i*37))
	}
	return b.Bytes()
}

// slowBody returns a response in pieces of at most 100 bytes, one per responseInterval.
type slowBody struct {
	ctx     context.Context
	crashed <-chan struct{}
	rest    []byte
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(responseInterval):
	case <-b.crashed:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 100)], b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *slowBody) Close() error { return nil }

// reply is a response as its caller received it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	aborted bool // the connection was broken before the end of the response
	verdict string
}

// complete reports whether the caller received the whole response.
func (r reply) complete() bool { return r.status == http.StatusOK && !r.aborted }

// send serves a request by a router's handler, as an HTTP server would.
func (f *fleet) send(ctx context.Context, router int, method, path, body string, header http.Header) (out reply) {
	w := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(ctx, method, path, bytes.NewBufferString(body))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, values := range header {
		req.Header[name] = values
	}
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		} else if p != nil {
			out.aborted = true
		}
		out.status, out.header, out.body = w.Code, w.Header(), w.Body.Bytes()
		out.verdict = w.Header().Get(gateway.HeaderVerdict)
	}()
	f.gateways[router].ServeHTTP(w, req)
	return out
}

// mint returns a new request key, or "" if the router returns none.
func (f *fleet) mint(router int, profile string) string {
	r := f.send(f.ctx, router, http.MethodPost, "/v1/keys", `{"profile":"`+profile+`"}`, nil)
	var keys struct{ Keys []string }
	if json.Unmarshal(r.body, &keys) != nil || len(keys.Keys) == 0 {
		return ""
	}
	return keys.Keys[0]
}

// foreignKey returns a request key of this fleet that belongs to another organisation.
func (f *fleet) foreignKey() (string, error) {
	t, err := f.ring.Open(strings.TrimPrefix(f.mint(0, booking), router.KeyPrefix), token.PurposeKey)
	t.Org++
	return router.KeyPrefix + f.ring.Seal(t), err
}

func (u *fakeUpstream) ran(body string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.runs, body)
}
