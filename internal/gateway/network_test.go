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

// fault is what becomes of one connection after some bytes.
type fault struct {
	up, down int  // bytes that get through to the sidecar and back
	stalls   bool // nothing moves any more, in place of a cut
}

// network connects routers with sidecars in memory. Each connection that is
// opened takes the next fault; when there are none left, connections are whole.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	faults    []fault
	open      map[*faultyConn]bool
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), open: make(map[*faultyConn]bool)}
}

// listener implements net.Listener.
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

// dialer returns how one router dials.
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
	f := fault{up: -1, down: -1}
	if len(n.faults) > 0 {
		f, n.faults = n.faults[0], n.faults[1:]
	}
	c := &faultyConn{Conn: near, far: far, router: router, addr: addr, fault: f}
	n.open[c] = true
	return c
}

// cut breaks the connections that match.
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

// faultyConn is a router's end of a connection.
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

// consume takes up to n bytes from what a direction has left. The second
// result reports that it has nothing left after them.
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

func up(f *fault) *int   { return &f.up }
func down(f *fault) *int { return &f.down }

func (c *faultyConn) Write(b []byte) (int, error) {
	n, exhausted := c.consume(len(b), up)
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
	n, exhausted := c.consume(len(b), down)
	if exhausted && n == 0 {
		if err := c.triggerFault(); err != nil {
			return 0, err
		}
		// What the sidecar sends is taken and lost, like in a socket's buffer.
		_, _ = io.Copy(io.Discard, c.Conn)
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b[:n])
}

// triggerFault is the fault itself. A silent connection swallows what is written.
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
