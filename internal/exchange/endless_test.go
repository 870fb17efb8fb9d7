package exchange_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// endlessBytes is where an endless response of the tests stops, so that a client without a limit fails the
	// test and does not hang.
	endlessBytes = 8 << 20
	// acceptedBytes is how much of a response without an end a client may read: heads, skipped responses and buffers.
	acceptedBytes = 512 << 10
)

// endlessUpstream answers each call with begin and then with rest over and over until the client closes the
// connection. Its address is a pipe of the process, so that no socket buffer hides what is read.
type endlessUpstream struct {
	begin, rest string
	read        atomic.Int64  // bytes of the response that the client has read
	closed      chan struct{} // closed when the response has ended
}

func newEndlessUpstream(begin, rest string) *endlessUpstream {
	return &endlessUpstream{begin: begin, rest: rest, closed: make(chan struct{})}
}

// dial implements exchange.DialFunc.
func (u *endlessUpstream) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go u.serve(server)
	return halfClosable{client}, nil
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer close(u.closed)
	defer c.Close()
	if _, err := c.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	piece := []byte(u.begin)
	rest := []byte(strings.Repeat(u.rest, 1+(4<<10)/len(u.rest)))
	for u.read.Load() < endlessBytes {
		n, err := c.Write(piece)
		u.read.Add(int64(n))
		if err != nil {
			return
		}
		piece = rest
	}
}

// halfClosable is a connection whose upstream goes on writing after the client has closed its sending side.
type halfClosable struct{ net.Conn }

func (halfClosable) CloseWrite() error { return nil }

var endlessVM = topo.VM{ID: "vm", Addr: "192.0.2.1:80"}

func endlessCall() exchange.Call {
	return exchange.Call{Call: wire.Call{Method: http.MethodPost, Path: "/"}, ID: "call"}
}

// endlessHeads are responses whose head does not end, as the bytes before and those that repeat.
var endlessHeads = map[string]struct{ begin, rest string }{
	"no status line":            {"", "weights\x00"},
	"status line without end":   {"HTTP/1.1 200 ", "OK "},
	"header without end":        {"HTTP/1.1 200 OK\r\nId: call\r\nX: ", "y"},
	"headers without end":       {"HTTP/1.1 200 OK\r\nId: call\r\n", "X: y\r\n"},
	"continued header":          {"HTTP/1.1 200 OK\r\nId: call\r\nX: y\r\n", " y\r\n"},
	"interim responses":         {"", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"},
	"interim head without end":  {"HTTP/1.1 103 Early Hints\r\n", "Link: <a>\r\n"},
	"body of another call":      {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9999999999\r\n\r\n", "z"},
	"chunks of another call":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n"},
	"responses to other calls":  {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nz"},
	"unframed, of another call": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "z"},
}

// Guards against a router that exceeds its memory: an upstream sends bytes that are no response, or a head, without
// end, and all of them were kept until the connection closed.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			u := newEndlessUpstream(c.begin, c.rest)
			_, err := exchange.NewClient(plainDialect{}, u.dial).Do(context.Background(), endlessVM, endlessCall(), func(time.Time) bool { return true })
			if err == nil {
				t.Fatal("it is a response")
			}
			<-u.closed
			if read := u.read.Load(); read > acceptedBytes {
				t.Errorf("%d bytes were read, then: %v", read, err)
			}
		})
	}
}

// Guards against a router that reads on without a limit once nobody waits for the response: only the sending side of
// the connection is closed when a call is left.
func TestHeadWithoutEndIsBoundedAfterCallIsLeft(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				resume := make(chan struct{})
				u := newEndlessUpstream(c.begin, c.rest)
				ctx, cancel := context.WithCancel(context.Background())
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := u.dial(ctx, network, addr)
					return pausedConn{conn, resume}, err
				}
				call := endlessCall()
				call.Due = time.Now().Add(time.Minute)
				ended := make(chan error, 1)
				go func() {
					_, err := exchange.NewClient(plainDialect{}, dial).Do(ctx, endlessVM, call, func(time.Time) bool { return true })
					ended <- err
				}()
				synctest.Wait()
				cancel()
				synctest.Wait()
				close(resume)
				if err := <-ended; err == nil {
					t.Fatal("the call was left, and has a response")
				}
				<-u.closed
				if read := u.read.Load(); read > acceptedBytes {
					t.Errorf("%d bytes were read", read)
				}
			})
		})
	}
}

// pausedConn is a connection on which nothing arrives until resume is closed.
type pausedConn struct {
	net.Conn
	resume <-chan struct{}
}

func (c pausedConn) Read(b []byte) (int, error) {
	<-c.resume
	return c.Conn.Read(b)
}

func (c pausedConn) CloseWrite() error { return nil }

// Guards against trailers, and lines of chunk sizes, that a router keeps without a limit.
func TestFramingWithoutEndIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: call\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ begin, rest string }{
		"trailers without end":    {chunked + "1\r\nz\r\n0\r\n", "X: y\r\n"},
		"trailer without end":     {chunked + "1\r\nz\r\n0\r\nX: ", "y"},
		"chunk size without end":  {chunked + "1\r\nz\r\n", "0"},
		"chunk extension":         {chunked + "1\r\nz\r\n1;x=", "y"},
		"chunk of a false length": {chunked + "1\r\nz\r\n", "weights\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newEndlessUpstream(c.begin, c.rest)
			s, err := exchange.NewClient(plainDialect{}, u.dial).Do(context.Background(), endlessVM, endlessCall(), func(time.Time) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if err := read(s, 1<<30, func() {}); err == nil || errors.Is(err, exchange.ErrStalled) {
				t.Errorf("the response is complete: %v", err)
			}
			s.Close()
			<-u.closed
			if read := u.read.Load(); read > acceptedBytes {
				t.Errorf("%d bytes were read", read)
			}
		})
	}
}

// Guards against a caller who waits until its deadline for an upstream that has sent bytes which begin no response,
// and then nothing more.
func TestCallEndsWithTheFirstBytesThatAreNoResponse(t *testing.T) {
	for _, begin := range []string{"weights\x00", "HTTQ/1.1 200 OK", "\r\n\r\nHT", "http/1.1"} {
		t.Run(begin, func(t *testing.T) { expectEndAfter(t, begin) })
	}
}

// expectEndAfter checks that a call ends without a response once an upstream has sent begin, though it sends nothing more.
func expectEndAfter(t *testing.T, begin string) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 64<<10))
			_, _ = server.Write([]byte(begin))
		}()
		dial := func(context.Context, string, string) (net.Conn, error) { return client, nil }
		_, err := exchange.NewClient(plainDialect{}, dial).Do(context.Background(), endlessVM, endlessCall(), func(time.Time) bool { return true })
		if err == nil {
			t.Fatal("it is a response")
		}
	})
}
