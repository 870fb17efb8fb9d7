package speed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// helloHandler answers only the handshake of a sidecar.
type helloHandler struct{}

func (helloHandler) HandleCall(context.Context, *wire.Conn, wire.Method, wire.Params) (any, error) {
	return wire.Hello{VM: "vm-1"}, nil
}

func (helloHandler) HandleFrame(*wire.Conn, wire.Frame) {}

var (
	routerID  = secure.Identity{Role: secure.RoleRouter, VM: "vm-r"}
	sidecarID = secure.Identity{Role: secure.RoleSidecar, VM: "vm-1"}
)

// transport returns a transport with mutual TLS from the files in dir, or a plain one if
// dir is empty.
func transport(id secure.Identity, dir string) secure.Transport {
	if dir == "" {
		return secure.Plain{}
	}
	m, err := secure.NewMutualTLS(id, "speed", certPaths(id, dir))
	if err != nil {
		panic(err)
	}
	return m
}

// certPaths returns the paths of an identity's certificate files in dir.
func certPaths(id secure.Identity, dir string) secure.Paths {
	base := filepath.Join(dir, id.VM)
	return secure.Paths{Cert: base + ".crt", Key: base + ".key", CA: filepath.Join(dir, "ca")}
}

// issueCertificates writes certificates for router and sidecar and returns their directory.
func issueCertificates(b *testing.B) (dir string) {
	dir = b.TempDir()
	write := func(name string, content []byte) {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			b.Fatal(err)
		}
	}
	ca, err := securetest.NewCA("speed")
	if err != nil {
		b.Fatal(err)
	}
	for _, id := range []secure.Identity{routerID, sidecarID} {
		cert, key, err := ca.Issue(id.URI("speed"))
		if err != nil {
			b.Fatal(err)
		}
		p := certPaths(id, dir)
		write(p.Cert, cert)
		write(p.Key, key)
		write(p.CA, ca.PEM)
	}
	return dir
}

// serveHello accepts connections on an address and answers their handshakes. Its argument
// is the address, a space and the directory of certificates, which is empty without TLS.
func serveHello(args string) {
	addr, dir, _ := strings.Cut(args, " ")
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	l = transport(sidecarID, dir).Listen(l)
	for {
		c, err := l.Accept()
		if err != nil {
			panic(err)
		}
		wire.NewConn(context.Background(), c, helloHandler{})
	}
}

// BenchmarkConnections measures the memory of an idle connection to a sidecar at each end,
// in bytes, for several numbers of connections. One process serves all sidecars.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{100, 1000, 2900} {
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			for range b.N {
				measureConnections(b, n, "")
			}
		})
		b.Run(fmt.Sprintf("tls/%d", n), func(b *testing.B) {
			for range b.N {
				measureConnections(b, n, issueCertificates(b))
			}
		})
	}
}

func measureConnections(b *testing.B, n int, dir string) {
	addr := freeAddr(b)
	pid := runSelf(b, addr, helloEnv+"="+addr+" "+dir)
	timing := wire.DefaultTiming()
	timing.IdleTimeout = time.Hour
	t := transport(routerID, dir)
	dial := func(ctx context.Context) (net.Conn, error) { return t.Dial(ctx, sidecarID.VM, addr) }
	connect := func() *wire.Peer {
		p := wire.NewPeer(wire.PeerConfig{Dial: dial, Timing: timing})
		if _, err := p.Connect(context.Background()); err != nil {
			b.Fatal(err)
		}
		return p
	}
	defer connect().Close() // excludes the one-time memory of the first connection
	routerBytes, sidecarBytes := memoryInUse(), residentBytes(b, pid)
	for range n {
		defer connect().Close()
	}
	time.Sleep(settleDelay)
	b.ReportMetric(float64(memoryInUse()-routerBytes)/float64(n), "router-B/conn")
	b.ReportMetric(float64(residentBytes(b, pid)-sidecarBytes)/float64(n), "sidecar-B/conn")
}

// memoryInUse returns the size of this process's heap and stacks in bytes, after a garbage
// collection.
func memoryInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapInuse + m.StackInuse)
}

// frameBytes returns a router's counters of bytes by frame type.
func frameBytes(b *testing.B, p path) map[string]float64 {
	resp, err := http.Get("http://" + p.admin + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Bytes map[string]float64 `json:"wire_frame_bytes_total"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		b.Fatal(err)
	}
	return vars.Bytes
}

// BenchmarkBytes measures the bytes on the wire between router and sidecar, first for
// streams of tokens, then for the heartbeats during an idle stream.
func BenchmarkBytes(b *testing.B) {
	const streams, tokens, quiet = 20, 200, 10 * time.Second
	addr := freeAddr(b)
	startStub(b, addr)
	f := newFleet(b, "fleet", daemonBin, "http://"+addr)
	for range b.N {
		before := frameBytes(b, f)
		for range streams {
			stream(b, fmt.Sprintf("%s/stream?n=%d&gap=1ms", f.url, tokens))
		}
		after := frameBytes(b, f)
		for frame, n := range after {
			divisor, unit := float64(streams), frame+"-B/req"
			if frame == "data" {
				divisor, unit = streams*tokens, "data-B/token"
			}
			if n -= before[frame]; n > 0 {
				b.ReportMetric(n/divisor, unit)
			}
		}
		c, err := openIdle(f.url + "/idle")
		if err != nil {
			b.Fatal(err)
		}
		before = frameBytes(b, f)
		time.Sleep(quiet)
		after = frameBytes(b, f)
		heartbeat := after["ping"] + after["pong"] - before["ping"] - before["pong"]
		b.ReportMetric(heartbeat/quiet.Seconds(), "heartbeat-B/s")
		_ = c.Close()
	}
}

// runHelperProcess runs a helper of a benchmark and does not return, if the environment
// selects one.
func runHelperProcess() {
	if addr := os.Getenv(stubEnv); addr != "" {
		panic(http.ListenAndServe(addr, stub()))
	}
	if addrs := os.Getenv(relayEnv); addrs != "" {
		relay(addrs)
	}
	if addr := os.Getenv(helloEnv); addr != "" {
		serveHello(addr)
	}
}
