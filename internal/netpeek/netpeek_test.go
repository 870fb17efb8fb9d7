package netpeek

import (
	"errors"
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

// A client sends a request and closes its connection, or resets it. HasHungUp must see that while the request is still
// unread, when Peek sees the request only.
func TestHasHungUpBesideUnreadBytes(t *testing.T) {
	for name, hangUp := range map[string]func(c *net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half-closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := tcpPair(t)
			if _, err := far.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			waitForState(t, near, Readable)
			if HasHungUp(near) {
				t.Fatal("an open connection is taken for one whose other side has hung up")
			}
			if err := hangUp(far); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the other side has hung up and is taken for one that has not", func() bool { return HasHungUp(near) })
		})
	}
}

// eventually waits for up to 10 s until f reports true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// The other side resets a connection after it has ended its sending side regularly. HasFailed must tell that from the
// regular end alone, and must not take the error from the next write.
func TestHasFailedAfterARegularEnd(t *testing.T) {
	near, far := tcpPair(t)
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end has not arrived", func() bool { return HasHungUp(near) })
	if HasFailed(near) {
		t.Fatal("a regular end is taken for a failure")
	}
	if err := errors.Join(far.SetLinger(0), far.Close()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the reset has not been noticed", func() bool { return HasFailed(near) })
	if _, err := near.Write([]byte("x")); err == nil {
		t.Error("a write after the reset succeeds")
	}
}

// Bytes are sent while the other side accepts no more. TransmissionOf must count them until it does.
func TestTransmissionCountsWhatHasNotArrived(t *testing.T) {
	near, far := tcpPair(t)
	sent := 0
	_ = near.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for piece := make([]byte, 64<<10); ; { // until the buffers of both sides are full
		n, err := near.Write(piece)
		if sent += n; err != nil {
			break
		}
	}
	before, known := TransmissionOf(near)
	if !known || before.Unacknowledged == 0 || before.Unsent == 0 {
		t.Fatalf("%+v, known %v", before, known)
	}
	go func() {
		b := make([]byte, 64<<10)
		for read := 0; read < sent; {
			n, err := far.Read(b)
			if read += n; err != nil {
				return
			}
		}
	}()
	eventually(t, "what was read is not acknowledged", func() bool {
		now, known := TransmissionOf(near)
		return known && now.Unacknowledged == 0 && now.Unsent == 0 && now.Acknowledged > before.Acknowledged
	})
}

// What each request of a caller pays for the question whether it has hung up.
func BenchmarkHasHungUp(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer near.Close()
	for b.Loop() {
		if HasHungUp(near) {
			b.Fatal("the other side has not hung up")
		}
	}
}
