package test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tcpProxy forwards connections between routers and a sidecar. Its open connections can be cut or
// blackholed; new ones work.
type tcpProxy struct {
	addr   string
	target string

	mu       sync.Mutex
	conns    []*proxiedConn
	accepted int // number of connections so far
}

// proxiedConn is one connection through a tcpProxy.
type proxiedConn struct {
	client, server net.Conn
	blackholed     chan struct{} // closed: bytes are discarded from now on
}

// newTCPProxy starts a proxy to target.
func newTCPProxy(target string) *tcpProxy {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &tcpProxy{addr: l.Addr().String(), target: target}
	DeferCleanup(func() {
		_ = l.Close()
		m.cut()
	})
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			m.handle(client)
		}
	}()
	return m
}

func (m *tcpProxy) handle(client net.Conn) {
	server, err := net.Dial("tcp", m.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, server: server, blackholed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, c)
	m.accepted++
	go c.forward(server, client)
	go c.forward(client, server)
}

// forward copies from one side to the other. When the connection is blackholed, it keeps reading,
// so that neither side can detect it by its own writes, and does not close the other side at the
// end.
func (c *proxiedConn) forward(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.blackholed:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// takeConns returns the open connections and removes them from the proxy.
func (m *tcpProxy) takeConns() []*proxiedConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := m.conns
	m.conns = nil
	return conns
}

// blackhole discards all bytes on the open connections from now on.
func (m *tcpProxy) blackhole() {
	for _, c := range m.takeConns() {
		close(c.blackholed)
	}
}

// cut closes the open connections.
func (m *tcpProxy) cut() {
	for _, c := range m.takeConns() {
		_, _ = c.client.Close(), c.server.Close()
	}
}

// connections returns the number of connections accepted so far.
func (m *tcpProxy) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted
}
