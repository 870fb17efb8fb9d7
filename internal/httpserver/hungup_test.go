package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

// hangUpListener accepts connections whose callers have hung up by the time at which they are accepted, or read.
type hangUpListener struct {
	net.Listener
	beforeAccept bool
}

func (l hangUpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.beforeAccept {
		awaitHangUp(c)
	}
	return hangUpConn{c}, err
}

// hangUpConn is a connection that is read once its caller has hung up.
type hangUpConn struct{ net.Conn }

func (c hangUpConn) NetConn() net.Conn { return c.Conn }

func (c hangUpConn) Read(p []byte) (int, error) {
	awaitHangUp(c.Conn)
	return c.Conn.Read(p)
}

// awaitHangUp waits for up to 5 s until the other side of c has hung up.
func awaitHangUp(c net.Conn) {
	for end := time.Now().Add(5 * time.Second); !netpeek.HasHungUp(c) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Callers send a request and hang up. Guards against a process that spends its time on requests whose responses nobody
// awaits, and against servers that drop requests of callers who only half-close their connections where they must not.
func TestRequestsOfCallersThatHungUpAreDropped(t *testing.T) {
	for _, c := range []struct {
		name                      string
		beforeAccept, dropsHungUp bool
		served                    int64
	}{
		{"before the connection is accepted", true, true, 0},
		{"before the request is read", false, true, 0},
		{"where half-closed connections are served", false, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served atomic.Int64
			server := New(Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				fmt.Fprint(w, "served")
			}), Connections: 1, Patience: time.Minute, Limits: func() Limits { return testLimits }, Memory: budget.NewMemory(0), DropsHungUp: c.dropsHungUp})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(hangUpListener{l, c.beforeAccept}) }()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.ReadAll(caller); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("the connection does not end: %v", err)
			}
			if got := served.Load(); got != c.served {
				t.Fatalf("%d requests are served, want %d", got, c.served)
			}
		})
	}
}
