package secure

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// cpuTime returns the CPU time used by this process in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkHandshake measures the cost of a connection from a router to a sidecar:
// CPU time of both sides together, and the bytes of the handshake.
func BenchmarkHandshake(b *testing.B) {
	ca := newCA(b)
	server, _ := newTestMutualTLS(b, ca, sidecar)
	addr := serve(b, server)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, plain, err)
	defer plain.Close()
	go echo(plain)
	r, _ := newTestMutualTLS(b, ca, router)
	run := func(name string, dial func() error) {
		b.Run(name, func(b *testing.B) {
			bytes, cpu := telemetry.ControlBytes.Value(telemetry.ControlHandshake), cpuTime(b)
			for b.Loop() {
				if err := dial(); err != nil {
					b.Fatal(err)
				}
			}
			n := float64(b.N)
			b.ReportMetric(float64(cpuTime(b)-cpu)/n/1e3, "cpu-µs/op")
			// Both sides run in this process and count the same bytes.
			b.ReportMetric(float64(telemetry.ControlBytes.Value(telemetry.ControlHandshake)-bytes)/2/n, "handshake-B/op")
		})
	}
	run("none", func() error { return roundTripAndClose(net.Dial("tcp", plain.Addr().String())) })
	run("resumed", func() error {
		_, err := dialAndEcho(r, addr)
		return err
	})
	run("full", func() error {
		r.credentials.Load().sessions = tls.NewLRUClientSessionCache(1)
		_, err := dialAndEcho(r, addr)
		return err
	})
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.CopyN(c, c, 1)
			_ = c.Close()
		}()
	}
}

func roundTripAndClose(c net.Conn, err error) error {
	if err != nil {
		return err
	}
	defer c.Close()
	return roundTrip(c)
}
