package netpeek

import (
	"net"
	"testing"
	"time"
)

func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// waitForState waits for up to 10 s until c is in state want. The kernel takes a moment
// to deliver what the other side sends, and its close or reset.
func waitForState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); Peek(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %d, want %d", Peek(c), want)
		}
	}
}

// A client closes its connection while its request waits in the router. The request
// must not be sent to an upstream, so Peek must detect the close although no goroutine
// is reading from the connection.
func TestPeekReportsClose(t *testing.T) {
	near, far := tcpPair(t)
	waitForState(t, near, Idle)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitForState(t, near, Readable)
	waitForState(t, near, Readable) // the first call did not consume the byte
	var b [1]byte
	if _, err := near.Read(b[:]); err != nil || b[0] != 'x' {
		t.Fatalf("read %q, %v", b, err)
	}
	_ = far.Close()
	waitForState(t, near, Closed)
}

// A client's connection is reset instead of closed. Reading from it then returns an
// error instead of the end of the stream, and Peek must report it as closed, too.
func TestPeekReportsReset(t *testing.T) {
	near, far := tcpPair(t)
	if err := far.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	waitForState(t, near, Closed)
}
