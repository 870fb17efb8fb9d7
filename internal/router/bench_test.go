package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// heapBytes returns the memory in use by live objects and stacks, in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func benchOrg(i int) *profile.Organisation {
	name := fmt.Sprint("org-", i)
	return &profile.Organisation{Name: name, Weight: 1, Profiles: []string{"chat"}, Keys: []profile.APIKey{
		{ID: "a", SHA256: profile.HashKey(name + "a")}, {ID: "b", SHA256: profile.HashKey(name + "b")},
	}}
}

func object(v profile.Object, version int) topo.Object {
	spec, _ := json.Marshal(v)
	value, _ := config.Revision{Change: config.Change{ID: "c"}, Spec: spec}.Encode()
	return topo.Object{Ref: v.Ref(), Version: topo.Version(version), Value: value}
}

// benchState returns a state with a number of organisations and one pool of upstreams.
func benchState(orgs, upstreams int) *State {
	s := NewState("router", placement.Locality{}, config.DefaultTiming(), 1)
	p := profile.New(topo.KindProfile).(*profile.Profile)
	p.Name, p.Model, p.Pool, p.Deadline = "chat", "m", "p", profile.Duration(time.Minute)
	objects := []topo.Object{object(p, 1)}
	for i := range orgs {
		objects = append(objects, object(benchOrg(i), i+2))
	}
	s.Step(ConfigEvent{Event: config.Listed{Now: time.Unix(1, 0), Objects: objects, Version: topo.Version(orgs + 2)}})
	var vms topo.VMs
	for i := range upstreams {
		vms.Entries = append(vms.Entries, topo.VM{ID: fmt.Sprint("engine-", i), Role: topo.RoleUpstream, Addr: "10.0.0.1:1", Pool: "p"})
	}
	s.Step(VMsChanged{Now: time.Unix(1, 0), VMs: vms})
	s.View()
	return s
}

// BenchmarkStateBytes measures the memory of a router's control state and its View.
func BenchmarkStateBytes(b *testing.B) {
	sizes := []struct{ orgs, upstreams int }{{0, 0}, {1000, 0}, {4000, 0}, {14000, 0}, {0, 130}, {0, 1000}, {0, 2900}}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("orgs=%d/upstreams=%d", n.orgs, n.upstreams), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				s := benchState(n.orgs, n.upstreams)
				b.ReportMetric(float64(heapBytes()-before), "bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}

// BenchmarkView measures building a view after one organisation has changed.
func BenchmarkView(b *testing.B) {
	for _, orgs := range []int{1000, 4000, 14000} {
		s := benchState(orgs, 0)
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				s.orgs["org-0"], s.stale.orgs = benchOrg(0), true
				s.View()
			}
		})
	}
}

// BenchmarkDecision measures what a router computes for one request before it sends
// it (fingerprint and candidates), and the dispatch steps of a request without failure.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{130, 1000, 2900} {
		ring, _ := token.NewKeyring(token.Secret{ID: 1, Value: make([]byte, 16)})
		r := &Router{config: Config{Ring: ring}, limits: newLimits(), suspects: suspects.NewRegistry(), conditions: condition.NewObservations()}
		v := benchState(1, upstreams).View()
		r.view.Store(v)
		req := Request{Org: benchOrg(0), Profile: v.Profiles["chat"], Session: "s", Call: wire.Call{Method: "POST", Path: "/", Body: make([]byte, 1024)}}
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				resp := r.newResponse(b.Context(), v, req)
				_ = resp.applyQuarantine(time.Now())
				resp.stop()
			}
		})
	}
	b.Run("dispatch", func(b *testing.B) {
		b.ReportAllocs()
		now := time.Unix(1, 0)
		for range b.N {
			s := dispatch.New(dispatch.Plan{MaxOffers: 4, Deadline: now.Add(time.Minute)}, &retry.Budget{})
			for _, e := range []dispatch.Event{dispatch.Began{Now: now}, dispatch.Admitted{}, dispatch.ResponseStarted{}, dispatch.Ended{}} {
				s.Step(e)
			}
		}
	})
}

// idleSidecar admits every request, sends a head and one byte, and then nothing.
type idleSidecar struct{}

func (idleSidecar) HandleCall(_ context.Context, c *wire.Conn, m wire.Method, p wire.Params) (any, error) {
	if m == wire.MethodHello {
		return wire.Hello{VM: "engine-0", Incarnation: 1}, nil
	}
	var sub wire.Submit
	if err := p.Decode(&sub); err != nil {
		return nil, err
	}
	_ = c.Send(wire.Head{Stream: sub.Stream, Nonce: sub.Key.Nonce, Status: 200})
	_ = c.Send(wire.Data{Stream: sub.Stream, Nonce: sub.Key.Nonce, Bytes: []byte("x")})
	return wire.Admission{}, nil
}

func (idleSidecar) HandleFrame(*wire.Conn, wire.Frame) {}

// BenchmarkOpenAnswer measures the memory of a response that waits for its next piece,
// with the goroutine that reads it, without the caller's HTTP connection.
func BenchmarkOpenAnswer(b *testing.B) {
	for _, streams := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(openAnswers(b, streams))/float64(streams), "bytes/stream")
			}
		})
	}
}

func openAnswers(b *testing.B, n int) int64 {
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	ring, _ := token.NewKeyring(token.Secret{ID: 1, Value: make([]byte, 16)})
	dial := func(context.Context, topo.VM) (net.Conn, error) {
		near, far := net.Pipe()
		wire.NewConn(ctx, far, idleSidecar{})
		return near, nil
	}
	r := &Router{config: Config{Ring: ring, Dial: dial}, ctx: ctx, limits: newLimits(), suspects: suspects.NewRegistry(),
		peers: make(map[endpoint]*wire.Peer), conditions: condition.NewObservations()}
	v := benchState(1, 1).View()
	r.view.Store(v)
	body := bytes.Repeat([]byte("b"), 1024)
	before := heapBytes()
	ready, done := make(chan error), make(chan struct{})
	for range n {
		go func() {
			req := Request{Org: benchOrg(0), Profile: v.Profiles["chat"], Session: "s", Call: wire.Call{Method: "POST", Path: "/", Body: bytes.Clone(body)}}
			resp, err := r.Dispatch(ctx, req)
			if err == nil {
				defer resp.Close()
				_, _ = resp.Next()
				_, err = resp.Next()
			}
			ready <- err
			if err == nil {
				_, _ = resp.Next()
			}
			done <- struct{}{}
		}()
	}
	for range n {
		if err := <-ready; err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond) // until all readers wait
	used := heapBytes() - before
	stop()
	for range n {
		<-done
	}
	r.closePeers()
	return used
}
