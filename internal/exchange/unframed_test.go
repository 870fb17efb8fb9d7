package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// plainDialect is a Dialect whose only header is the id.
type plainDialect struct{}

func (plainDialect) SetHeaders(h http.Header, c exchange.Call) { h.Set("Id", c.ID) }
func (plainDialect) Read(_ int, h http.Header) exchange.Signal {
	return exchange.Signal{ID: h.Get("Id")}
}

// upstreamOnce serves one call on a socket of its own: it writes the text, without a length or chunks, and
// ends the connection when resume is closed.
func upstreamOnce(t *testing.T, text string, reset bool, resume <-chan struct{}) topo.VM {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", req.Header.Get("Id"), text)
		<-resume
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	return topo.VM{ID: "vm", Addr: l.Addr().String()}
}

// read reads a response to its end, and calls waits once the given number of bytes of its body have arrived.
func read(s *exchange.Stream, bytes int, waits func()) error {
	n := 0
	for {
		p, err := s.Next()
		if err != nil {
			return err
		}
		if p.End != nil {
			return nil
		}
		if n += len(p.Bytes); n == bytes && p.Head == nil {
			waits()
		}
	}
}

// A connection ends while the next piece of a response is awaited. Guards against taking a reset for the
// end of a response that ends with its connection: a socket tells of a reset once.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n\r\n"
	const event = "id: 1\ndata: x\n\n"
	for _, c := range []struct {
		name, head, body string
		reset, whole     bool
	}{
		{"plain, closed", "\r\n", "text", false, true},
		{"plain, reset", "\r\n", "text", true, false},
		{"stream closed after an event", events, event, false, true},
		{"stream reset after an event", events, event, true, false},
		{"stream closed in an event", events, event + "id: 2\n", false, false},
		{"stream reset in an event", events, event + "id: 2\n", true, false},
	} {
		for _, stallTimeout := range []time.Duration{0, time.Minute} {
			t.Run(fmt.Sprint(c.name, ", stall timeout ", stallTimeout), func(t *testing.T) {
				resume := make(chan struct{})
				vm := upstreamOnce(t, c.head+c.body, c.reset, resume)
				client := exchange.NewClient(plainDialect{}, exchange.Dialer())
				call := exchange.Call{Call: wire.Call{Method: http.MethodGet, Path: "/"}, Host: "host", ID: "a"}
				s, err := client.Do(context.Background(), vm, call, func(time.Time) bool { return true })
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				s.SetStallTimeout(stallTimeout)
				err = read(s, len(c.body), func() { close(resume) })
				if whole := err == nil; whole != c.whole {
					t.Errorf("whole %v, error %v", whole, err)
				}
			})
		}
	}
}
