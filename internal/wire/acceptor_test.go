package wire

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts connections in memory.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the near end of a new connection.
func (l pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l <- far
	return near
}

// helloHandler answers calls with its name.
type helloHandler struct{}

func (helloHandler) HandleCall(context.Context, *Conn, Method, Params) (any, error) {
	return Hello{VM: "vm"}, nil
}

func (helloHandler) HandleFrame(*Conn, Frame) {}

// startAcceptor starts an Acceptor in memory, which ends with the test.
func startAcceptor(t *testing.T, a *Acceptor) pipeListener {
	l := make(pipeListener)
	a.Listener, a.Handler = l, helloHandler{}
	ctx, cancel := context.WithCancel(t.Context())
	go a.Run(ctx)
	t.Cleanup(func() {
		cancel()
		close(l)
		synctest.Wait()
	})
	return l
}

// isClosed reports whether the far end of a connection has been closed.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Clients open more connections than a router has, and send nothing. Guards against routers that can't call each other
// any more, and against connections that are held for good.
func TestSilentConnectionsMakeRoomForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		a := &Acceptor{MaxConnections: most, MaxContent: 1 << 10}
		l := startAcceptor(t, a)
		var silent []net.Conn
		for range 2 * most {
			silent = append(silent, l.dial())
		}
		var peers []*Conn
		for range most {
			c := NewConn(t.Context(), l.dial(), helloHandler{})
			defer c.Close()
			peers = append(peers, c)
			var hello Hello
			if err := c.Call(t.Context(), MethodHello, Empty{}, &hello); err != nil || hello.VM != "vm" {
				t.Fatalf("a peer is not served: %v", err)
			}
		}
		for i, c := range silent {
			if !isClosed(c) {
				t.Errorf("silent connection %d has made no room", i)
			}
			_ = c.Close()
		}
		if c := l.dial(); !isClosed(c) {
			t.Error("a connection beyond the maximum is open")
		}
		time.Sleep(2 * silenceTimeout)
		for i, c := range peers {
			if err := c.Call(t.Context(), MethodHello, Empty{}, &Hello{}); err != nil {
				t.Errorf("peer %d has lost its connection: %v", i, err)
			}
		}
		_ = peers[0].Close()
		synctest.Wait()
		late := l.dial()
		defer late.Close()
		if time.Sleep(2 * silenceTimeout); !isClosed(late) {
			t.Error("a silent connection is still open")
		}
		if synctest.Wait(); a.open != most-1 || len(a.silent) > 0 {
			t.Errorf("%d connections count as open, %d as silent, want %d and none", a.open, len(a.silent), most-1)
		}
	})
}

// A client announces a frame that is larger than any call of a router. Guards against memory that is held for it.
func TestLargeFramesOfUnknownPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startAcceptor(t, &Acceptor{MaxConnections: 1, MaxContent: 1 << 10})
		c := l.dial()
		defer c.Close()
		frame := make([]byte, headerSize)
		binary.BigEndian.PutUint32(frame, 1<<10+1)
		frame[4], frame[8] = byte(kindRPC), 1
		if _, err := c.Write(frame); err != nil {
			t.Fatal(err)
		}
		if !isClosed(c) {
			t.Error("the connection is still open")
		}
	})
}
