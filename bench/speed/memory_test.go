package speed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"testing"
	"time"
)

// openIdle opens a stream that sends one event and then stays idle. It uses a raw
// connection to avoid the memory overhead of an HTTP client.
func openIdle(base string) (net.Conn, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	c, err := net.Dial("tcp", u.Host)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", u.Path, u.Host, apiKey)
	if err != nil {
		return c, err
	}
	in := bufio.NewReaderSize(c, 1<<10)
	status, err := in.ReadString('\n')
	if err == nil && !strings.Contains(status, "200") {
		err = fmt.Errorf("%s", status)
	}
	for line := status; err == nil && !strings.HasPrefix(line, "data: "); {
		line, err = in.ReadString('\n')
	}
	return c, err
}

// BenchmarkIdleStreams measures the resident memory of an open, idle stream in the router
// and in the sidecars, in bytes.
func BenchmarkIdleStreams(b *testing.B) {
	for _, n := range []int{1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureIdleStreams(b, n)
			}
		})
	}
}

func measureIdleStreams(b *testing.B, n int) {
	addr := freeAddr(b)
	startStub(b, addr)
	f := newFleet(b, "fleet", daemonBin, "http://"+addr)
	router, sidecar := residentBytes(b, f.routerPID), residentBytes(b, f.sidecarPIDs...)
	for range n {
		c, err := openIdle(f.url + "/idle")
		if c != nil {
			defer func(c io.Closer) { _ = c.Close() }(c)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(settleDelay)
	b.ReportMetric(float64(residentBytes(b, f.routerPID)-router)/float64(n), "router-B/stream")
	b.ReportMetric(float64(residentBytes(b, f.sidecarPIDs...)-sidecar)/float64(n), "sidecar-B/stream")
}

// settleDelay is the idle time before the memory of processes is measured.
const settleDelay = 3 * time.Second
