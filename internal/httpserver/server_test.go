package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

var testLimits = Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: time.Minute}

// callersOf starts a server for so many connections whose requests to /held last until release is closed. dial opens a
// connection to it.
func callersOf(t *testing.T, connections int) (dial func() *bufio.ReadWriter, release chan struct{}) {
	release = make(chan struct{})
	server := New(Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
		_, _ = fmt.Fprint(w, "served")
	}), Connections: connections, Patience: time.Minute, Limits: func() Limits { return testLimits }, Memory: budget.NewMemory(0)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return func() *bufio.ReadWriter {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriter(c))
	}, release
}

func sendTo(c *bufio.ReadWriter, path string) {
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	_ = c.Flush()
}

func receiveFrom(c *bufio.ReadWriter) error {
	resp, err := http.ReadResponse(c.Reader, nil)
	if err == nil {
		_, err = bufio.NewReader(resp.Body).ReadString('d')
	}
	return err
}

// Callers keep as many connections as a router has, and use them no more. Guards against a router that says it is ready
// and reads nothing from others until the idle timeout.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	const connections = 4
	dial, release := callersOf(t, connections)
	defer close(release)
	held := dial()
	sendTo(held, "/held")
	var idle []*bufio.ReadWriter
	for i := range 3 * connections {
		c := dial()
		sendTo(c, "/")
		if err := receiveFrom(c); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		idle = append(idle, c)
	}
	newest := idle[len(idle)-1]
	sendTo(newest, "/")
	if err := receiveFrom(newest); err != nil {
		t.Errorf("the newest connection: %v", err)
	}
	sendTo(idle[0], "/")
	if err := receiveFrom(idle[0]); err == nil {
		t.Error("the connection that was idle for the longest time is open")
	}
}

// Guards against closing a connection whose request is being served to make room for another.
func TestBusyConnectionsStayOpen(t *testing.T) {
	const connections = 4
	dial, release := callersOf(t, connections)
	var busy []*bufio.ReadWriter
	for range connections {
		c := dial()
		sendTo(c, "/held")
		busy = append(busy, c)
	}
	waits := dial()
	sendTo(waits, "/")
	close(release)
	for i, c := range append(busy, waits) {
		if err := receiveFrom(c); err != nil {
			t.Errorf("connection %d: %v", i, err)
		}
	}
}

// Bodies that nobody wants take all connections. Guards against closing a caller that is about to send its request for
// them.
func TestUnwantedBodiesMakeRoomBeforeOthers(t *testing.T) {
	for _, h := range []http.Handler{http.NotFoundHandler(), WithoutBodies(http.NotFoundHandler())} {
		synctest.Test(t, func(t *testing.T) { testUnwantedBodiesMakeRoom(t, h) })
	}
}

// testUnwantedBodiesMakeRoom is the test with one handler.
func testUnwantedBodiesMakeRoom(t *testing.T, h http.Handler) {
	const connections, patience = 5, 10 * time.Millisecond
	l := start(t, Config{Connections: connections, Patience: patience, Handler: h})
	sound := l.dial()
	time.Sleep(patience)
	var others []net.Conn
	for range 3 * connections {
		c := l.dial()
		others = append(others, c)
		go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n") }()
		synctest.Wait()
	}
	go func() { _, _ = io.WriteString(sound, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
	if status, _ := readStatus(sound); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
	for _, c := range append(others, sound) {
		_ = c.Close()
	}
}

// A connection makes room while its handler is busy. Guards against a router that accepts connections faster than what
// they take is freed: it holds more of them than it counts.
func TestConnectionThatMakesRoomCountsUntilItsHandlerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections, patience, busy = 2, 10 * time.Millisecond, time.Second
		var handlers, most atomic.Int64
		l := start(t, Config{Connections: connections, Patience: patience, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			most.Store(max(most.Load(), handlers.Add(1)))
			defer handlers.Add(-1)
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Minute)) // as a handler that reads a body
			time.Sleep(busy)
		})})
		const callers = 4 * connections
		defer time.Sleep(callers * busy) // until all handlers have ended
		for range callers {
			c := l.dial()
			defer c.Close()
			go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n") }()
			time.Sleep(2 * patience)
		}
		if most.Load() != connections {
			t.Errorf("%d handlers at a time, want %d", most.Load(), connections)
		}
	})
}

// Silent connections take all that there may be. Guards against a sound caller that is not served then, and against a
// connection whose request is served being closed for it.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections, patience = 5, 100 * time.Millisecond
		release := make(chan struct{})
		l := start(t, Config{Connections: connections, Patience: patience, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-release
			}
		})})
		held := l.dial()
		_, _ = io.WriteString(held, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
		var silent []net.Conn
		for range 3 * connections {
			silent = append(silent, l.dial())
		}
		began := time.Now()
		sound := l.dial()
		go func() { _, _ = io.WriteString(sound, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		if status, _ := readStatus(sound); status != http.StatusOK || time.Since(began) > time.Second {
			t.Errorf("status %d after %v", status, time.Since(began))
		}
		close(release)
		if status, _ := readStatus(held); status != http.StatusOK {
			t.Errorf("status %d for the request that was served", status)
		}
		for _, c := range append(silent, held, sound) {
			_ = c.Close()
		}
	})
}
