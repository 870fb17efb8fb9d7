package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// helloHandler answers every call with a sidecar's hello and ignores frames.
type helloHandler struct{}

func (helloHandler) HandleCall(context.Context, *wire.Conn, wire.Method, wire.Params) (any, error) {
	return wire.Hello{VM: "vm-1", Incarnation: 1}, nil
}

func (helloHandler) HandleFrame(*wire.Conn, wire.Frame) {}

// BenchmarkIdlePeers measures the memory of idle connections from a router to sidecars,
// including the state that package wire keeps for them. Both ends are in this process.
func BenchmarkIdlePeers(b *testing.B) {
	ca, err := securetest.NewCA("fleet")
	if err != nil {
		b.Fatal(err)
	}
	sidecarTLS := newMutualTLS(b, ca, secure.Identity{Role: secure.RoleSidecar, VM: "vm-1"})
	routerTLS := newMutualTLS(b, ca, secure.Identity{Role: secure.RoleRouter, VM: "entry-1"})
	for _, transport := range []struct {
		name     string
		from, to secure.Transport
	}{{"plain", secure.Plain{}, secure.Plain{}}, {"tls", routerTLS, sidecarTLS}} {
		for _, n := range []int{100, 1000, 2900} {
			b.Run(fmt.Sprintf("%s/%d", transport.name, n), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(peerMemory(b, transport.from, transport.to, n)/float64(n), "B/pair")
				}
			})
		}
	}
}

// peerMemory returns by how many bytes the memory in use grows when n peers connect through
// the transport from to a server that accepts through the transport to.
func peerMemory(b *testing.B, from, to secure.Transport, n int) float64 {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := to.Listen(raw)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wire.NewConn(b.Context(), c, helloHandler{})
		}
	}()
	before := memoryInUse()
	peers := make([]*wire.Peer, n)
	for i := range peers {
		peers[i] = wire.NewPeer(wire.PeerConfig{Dial: func(ctx context.Context) (net.Conn, error) {
			return from.Dial(ctx, "vm-1", raw.Addr().String())
		}})
		defer peers[i].Close()
		if _, err := peers[i].Connect(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	return memoryInUse() - before
}

// memoryInUse returns the memory of heap and stacks in use, in bytes, after a collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
