package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/platform"
)

var chat = platform.Ref{Kind: platform.KindProfile, Name: "chat"}

// fakeNode is a router that follows one object.
type fakeNode struct {
	mu      sync.Mutex
	version platform.Version
	changed chan struct{}
	stuck   bool // hints do not help it
	store   platform.Version
	vms     []platform.VM
}

func (n *fakeNode) Status(bool) Status                 { return Status{} }
func (n *fakeNode) Explain(Query) (Explanation, error) { return Explanation{}, nil }
func (n *fakeNode) VMs() []platform.VM                 { return n.vms }

func (n *fakeNode) Complete() platform.Version { return n.InForce(chat).Version }
func (n *fakeNode) Rejected() []platform.Ref   { return nil }

func (n *fakeNode) InForce(platform.Ref) InForce {
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
	if !n.stuck {
		n.version = n.store
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// fleet is routers with a list of VMs that shows them all.
type fleet struct {
	nodes []*fakeNode
	bytes atomic.Int64 // on all connections between the routers, one way each
	calls atomic.Int64
}

// countingListener counts what its connections carry.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
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

// newFleet starts n routers at version and returns a client of the first.
func newFleet(t testing.TB, n int, version platform.Version) (*fleet, *Client) {
	f := &fleet{}
	servers := make([]*Server, n)
	vms := make([]platform.VM, n)
	for i := range n {
		node := &fakeNode{version: version, store: version, changed: make(chan struct{})}
		f.nodes = append(f.nodes, node)
		id := fmt.Sprintf("router-%03d", i)
		servers[i] = NewServer(Config{VM: id, Node: node, Token: "t"})
		servers[i].peerTimeout = 300 * time.Millisecond
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.calls.Add(1)
			servers[i].ServeHTTP(w, r)
		}))
		server.Listener = countingListener{server.Listener, &f.bytes}
		server.Start()
		t.Cleanup(server.Close)
		t.Cleanup(servers[i].client.CloseIdleConnections)
		vms[i] = platform.VM{ID: id, Role: platform.RoleRouter, AdminAddr: strings.TrimPrefix(server.URL, "http://")}
	}
	for _, node := range f.nodes {
		node.vms = vms
	}
	client := NewClient(vms[0].AdminAddr, "t")
	t.Cleanup(client.CloseIdle)
	return f, client
}

// An operator waits until a change is in force. One router's watch has gone
// silent, one does not follow at all, one is stopped and one hangs. Were the
// silent watch waited out, each change would cost seconds; were the others
// passed over, the operator would be told something untrue.
func TestFleetWaitNamesTheRoutersThatDoNotFollow(t *testing.T) {
	f, client := newFleet(t, 4, 5)
	silent, stuck := f.nodes[1], f.nodes[2]
	silent.version, stuck.version, stuck.stuck = 4, 4, true
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	f.nodes[0].vms = append(f.nodes[0].vms,
		platform.VM{ID: "stopped", Role: platform.RoleRouter, AdminAddr: closed.Addr().String()},
		platform.VM{ID: "hanging", Role: platform.RoleRouter, AdminAddr: hanging.Addr().String()},
		platform.VM{ID: "unlisted", Role: platform.RoleRouter},
		platform.VM{ID: "engine", Role: platform.RoleUpstream})
	for _, req := range []WaitRequest{{Objects: []ObjectVersion{{Ref: chat, Version: 5}}}, {Complete: 5}} {
		silent.version = 4
		req.WaitMillis = 700
		wait, err := client.FleetWait(context.Background(), req)
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
}

func TestTokenIsAskedFor(t *testing.T) {
	_, client := newFleet(t, 1, 5)
	client.token = "wrong"
	if _, err := client.Fleet(context.Background()); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("a wrong token is answered by %v", err)
	}
}

// BenchmarkFleetWait measures one wait of a fleet that is up to date: calls
// that all routers serve, and bytes with headers on all connections, both ways.
func BenchmarkFleetWait(b *testing.B) {
	for _, n := range []int{10, 100, 330} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f, client := newFleet(b, n, 5)
			req := WaitRequest{Objects: []ObjectVersion{{Ref: chat, Version: 5}}, WaitMillis: 1000}
			f.calls.Store(0)
			f.bytes.Store(0)
			for b.Loop() {
				if w, err := client.FleetWait(context.Background(), req); err != nil || len(w.Pending()) > 0 {
					b.Fatal(w.Pending(), err)
				}
			}
			b.ReportMetric(float64(f.calls.Load())/float64(b.N), "calls/op")
			b.ReportMetric(float64(f.bytes.Load())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(f.bytes.Load())/float64(b.N)/float64(n), "wire-B/router")
		})
	}
}
