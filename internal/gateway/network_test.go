package gateway_test

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// fault describes how one connection fails after a number of bytes.
type fault struct {
	toSidecar, toRouter int  // bytes delivered to the sidecar and to the router before the fault; negative: no fault
	stalls              bool // no more bytes are delivered, but the connection stays open
}

// network connects routers with sidecars in memory. Each new connection takes the
// next fault; once there are none left, connections don't fail.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	faults    []fault
	open      map[*faultyConn]bool
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), open: make(map[*faultyConn]bool)}
}

// listener implements net.Listener in memory.
type listener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *network) listen(addr string) *listener {
	l := &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

// dialer returns the dial function of one router.
func (n *network) dialer(router string) func(context.Context, topo.VM) (net.Conn, error) {
	return func(ctx context.Context, vm topo.VM) (net.Conn, error) {
		addr := vm.Addr
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("no route")
		}
		near, far := net.Pipe()
		select {
		case l.conns <- far:
			return n.wrap(router, addr, near, far), nil
		case <-l.closed:
			return nil, errors.New("refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *network) wrap(router, addr string, near, far net.Conn) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := fault{toSidecar: -1, toRouter: -1}
	if len(n.faults) > 0 {
		f, n.faults = n.faults[0], n.faults[1:]
	}
	c := &faultyConn{Conn: near, far: far, router: router, addr: addr, fault: f}
	n.open[c] = true
	return c
}

// cut closes the connections for which match returns true.
func (n *network) cut(match func(*faultyConn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if match(c) {
			delete(n.open, c)
			c.cut()
		}
	}
}

// faultyConn is the router's end of a connection.
type faultyConn struct {
	net.Conn
	far          net.Conn
	router, addr string
	once         sync.Once

	mu    sync.Mutex
	fault fault
}

func (c *faultyConn) cut() {
	c.once.Do(func() {
		_ = c.Conn.Close()
		_ = c.far.Close()
	})
}

func (c *faultyConn) Close() error {
	c.cut()
	return nil
}

// consume takes up to n bytes from the number of bytes that one direction still
// delivers. It returns how many it took and whether none are left.
func (c *faultyConn) consume(n int, remaining func(*fault) *int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := remaining(&c.fault)
	if *p < 0 {
		return n, false
	}
	n = min(n, *p)
	*p -= n
	return n, *p == 0
}

func toSidecar(f *fault) *int { return &f.toSidecar }
func toRouter(f *fault) *int  { return &f.toRouter }

func (c *faultyConn) Write(b []byte) (int, error) {
	n, exhausted := c.consume(len(b), toSidecar)
	if n > 0 {
		if n, err := c.Conn.Write(b[:n]); err != nil {
			return n, err
		}
	}
	if exhausted {
		return len(b), c.triggerFault()
	}
	return n, nil
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, exhausted := c.consume(len(b), toRouter)
	if exhausted && n == 0 {
		if err := c.triggerFault(); err != nil {
			return 0, err
		}
		// The bytes that the sidecar sends are read and lost, as in a socket's buffer.
		_, _ = io.Copy(io.Discard, c.Conn)
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b[:n])
}

// triggerFault cuts the connection, or returns nil if it stalls: then bytes that are
// written to it are dropped.
func (c *faultyConn) triggerFault() error {
	c.mu.Lock()
	stalls := c.fault.stalls
	c.mu.Unlock()
	if stalls {
		return nil
	}
	c.cut()
	return net.ErrClosed
}

func (c *faultyConn) SetWriteDeadline(time.Time) error { return nil }
