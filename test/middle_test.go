package test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// middle is what stands between routers and a sidecar. It passes bytes on until
// it is told to lose track of the connections that are open; new ones work.
type middle struct {
	addr   string
	target string

	mu    sync.Mutex
	conns []*crossing
	all   int // connections so far
}

// crossing is one connection through a middle.
type crossing struct {
	near, far net.Conn
	silent    chan struct{} // closed: bytes are swallowed from now on
}

// newMiddle starts a middle before target.
func newMiddle(target string) *middle {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &middle{addr: l.Addr().String(), target: target}
	DeferCleanup(func() {
		_ = l.Close()
		m.cut()
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			m.open(near)
		}
	}()
	return m
}

func (m *middle) open(near net.Conn) {
	far, err := net.Dial("tcp", m.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &crossing{near: near, far: far, silent: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, c)
	m.all++
	go c.pass(far, near)
	go c.pass(near, far)
}

// pass copies from one side to the other. In silence it goes on reading, so
// that neither side can tell by its own writes, and says nothing of the end.
func (c *crossing) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
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

// take returns the open connections, which are forgotten.
func (m *middle) take() []*crossing {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := m.conns
	m.conns = nil
	return conns
}

// silence swallows what the open connections carry from now on.
func (m *middle) silence() {
	for _, c := range m.take() {
		close(c.silent)
	}
}

// cut breaks the open connections.
func (m *middle) cut() {
	for _, c := range m.take() {
		_, _ = c.near.Close(), c.far.Close()
	}
}

// connections returns how many connections there have been.
func (m *middle) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}
