package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var chat = topo.Ref{Kind: topo.KindProfile, Name: "chat"}

// fakeNode is a router with one object.
type fakeNode struct {
	mu             sync.Mutex
	version        topo.Version
	changed        chan struct{}
	ignoresRefresh bool         // Refresh has no effect
	storeVersion   topo.Version // version of the object in the store
	vms            []topo.VM
}

func (n *fakeNode) Status(bool) Status                 { return Status{} }
func (n *fakeNode) Explain(Query) (Explanation, error) { return Explanation{}, nil }
func (n *fakeNode) VMs() []topo.VM                     { return n.vms }

func (n *fakeNode) Complete() topo.Version { return n.InForce(chat).Version }
func (n *fakeNode) Rejected() []topo.Ref   { return nil }

func (n *fakeNode) InForce(topo.Ref) InForce {
	n.mu.Lock()
	defer n.mu.Unlock()
	return InForce{Version: n.version}
}

func (n *fakeNode) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *fakeNode) Refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ignoresRefresh {
		n.version = n.storeVersion
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// network holds in-memory connections to the routers, by address.
type network struct {
	mu       sync.Mutex
	incoming map[string]chan net.Conn // connections that are not accepted yet
	bytes    atomic.Int64             // in both directions
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// listen opens an address. Connections to it hang until they are accepted.
func (n *network) listen(addr string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	const backlog = 16
	l := &listener{incoming: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.incoming[addr] = l.incoming
	return l
}

func (n *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	incoming := n.incoming[strings.TrimSuffix(addr, ":80")]
	n.mu.Unlock()
	if incoming == nil {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	incoming <- far
	return countingConn{near, &n.bytes}, nil
}

func (n *network) client(t testing.TB) *http.Client {
	client := &http.Client{Transport: newTransport(n.dial)}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// listener is an open address of a network.
type listener struct {
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{} }

// fleet is a set of routers whose lists of VMs contain all of them.
type fleet struct {
	network network
	nodes   []*fakeNode
	calls   atomic.Int64
}

// newFleet starts n routers at version and returns a client of the first.
func newFleet(t testing.TB, n int, version topo.Version) (*fleet, *Client) {
	f := &fleet{network: network{incoming: make(map[string]chan net.Conn)}}
	vms := make([]topo.VM, n)
	for i := range n {
		node := &fakeNode{version: version, storeVersion: version, changed: make(chan struct{})}
		f.nodes = append(f.nodes, node)
		id := fmt.Sprintf("router-%03d", i)
		api := NewServer(Config{VM: id, Node: node, Token: "t"})
		api.client = f.network.client(t)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.calls.Add(1)
			api.ServeHTTP(w, r)
		})}
		l := f.network.listen(id)
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		vms[i] = topo.VM{ID: id, Role: topo.RoleRouter, AdminAddr: id}
	}
	for _, node := range f.nodes {
		node.vms = vms
	}
	client := NewClient(vms[0].AdminAddr, "t")
	client.http = f.network.client(t)
	return f, client
}

// Guards against a wait that relies on a router's stalled watch, which would
// cost seconds for each change, and against one that omits the routers that are
// lagging, stopped, hanging or without an address, which would report a false
// success.
func TestFleetWaitReportsLaggingRouters(t *testing.T) {
	for _, req := range []WaitRequest{{Objects: []ObjectVersion{{Ref: chat, Version: 5}}}, {Complete: 5}} {
		synctest.Test(t, func(t *testing.T) { checkFleetWait(t, req) })
	}
}

func checkFleetWait(t *testing.T, req WaitRequest) {
	f, client := newFleet(t, 4, 5)
	lagging, stuck := f.nodes[1], f.nodes[2]
	lagging.version, stuck.version, stuck.ignoresRefresh = 4, 4, true
	f.network.listen("hanging")
	f.nodes[0].vms = append(f.nodes[0].vms,
		topo.VM{ID: "stopped", Role: topo.RoleRouter, AdminAddr: "stopped"},
		topo.VM{ID: "hanging", Role: topo.RoleRouter, AdminAddr: "hanging"},
		topo.VM{ID: "unlisted", Role: topo.RoleRouter}, // its admin address is not listed
		topo.VM{ID: "engine", Role: topo.RoleUpstream})
	req.WaitMillis = 700
	wait, err := client.FleetWait(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range wait.Pending() {
		got = append(got, fmt.Sprintf("%s behind=%d error=%t", r.VM, len(r.Behind), r.Error != ""))
	}
	want := "router-002 behind=1 error=false, stopped behind=0 error=true, hanging behind=0 error=true, unlisted behind=0 error=true"
	if strings.Join(got, ", ") != want || len(wait.Routers) != 7 {
		t.Errorf("of %d routers, pending are %s, want %s", len(wait.Routers), strings.Join(got, ", "), want)
	}
}

// Guards against an API that serves operators' data to a client with a wrong
// token, as it would if the token were not compared before a request is routed.
func TestWrongTokenIsRejected(t *testing.T) {
	_, client := newFleet(t, 1, 5)
	client.token = "wrong"
	if _, err := client.Fleet(context.Background()); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("with a wrong token: got error %v, want status 401", err)
	}
}

// BenchmarkFleetWait measures one wait of a fleet that is up to date: the calls
// that all routers serve, and the bytes including headers on all connections,
// in both directions.
func BenchmarkFleetWait(b *testing.B) {
	for _, n := range []int{10, 100, 330} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f, client := newFleet(b, n, 5)
			req := WaitRequest{Objects: []ObjectVersion{{Ref: chat, Version: 5}}, WaitMillis: 1000}
			f.calls.Store(0)
			f.network.bytes.Store(0)
			for b.Loop() {
				if w, err := client.FleetWait(context.Background(), req); err != nil || len(w.Pending()) > 0 {
					b.Fatal(w.Pending(), err)
				}
			}
			b.ReportMetric(float64(f.calls.Load())/float64(b.N), "calls/op")
			b.ReportMetric(float64(f.network.bytes.Load())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(f.network.bytes.Load())/float64(b.N)/float64(n), "wire-B/router")
		})
	}
}
