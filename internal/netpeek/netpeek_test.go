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

// waitForState waits until a connection is in a state: what the other side does takes
// the kernel a moment.
func waitForState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); Peek(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %d, want %d", Peek(c), want)
		}
	}
}

// A client gives up and closes while its request waits for the processor. Its
// request must not go on to a runner; the close is there to be seen before anyone
// reads from the connection.
func TestPeekReportsClose(t *testing.T) {
	near, far := tcpPair(t)
	waitForState(t, near, Idle)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitForState(t, near, Readable)
	waitForState(t, near, Readable) // looking takes nothing away
	var b [1]byte
	if _, err := near.Read(b[:]); err != nil || b[0] != 'x' {
		t.Fatalf("read %q, %v", b, err)
	}
	_ = far.Close()
	waitForState(t, near, Closed)
}

func TestPeekReportsReset(t *testing.T) {
	near, far := tcpPair(t)
	if err := far.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	waitForState(t, near, Closed)
}
