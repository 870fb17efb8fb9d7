package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// proxyMode is how a proxy treats the bytes that go through it.
type proxyMode int

const (
	passThrough    proxyMode = iota // at once
	resetting                       // connections are reset, those that are open too
	stalled                         // nothing goes either way, connections stay open
	requestsOnly                    // what the server says is lost
	delayed                         // everything comes late
	proxyModeCount                  // number of ways
)

func (w proxyMode) String() string {
	return [...]string{"through", "refused", "silent", "one-way", "delayed"}[w]
}

// forwardDelay is how late bytes come on a delayed way.
const forwardDelay = 150 * time.Millisecond

// proxy stands between a process and a server on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        proxyMode
	impairments []span // times in which the way was another than through; the last may have no end
	open        map[net.Conn]bool
	modeChanged chan struct{} // closed and replaced at each change of way
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: make(map[net.Conn]bool), modeChanged: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// setMode changes the way.
func (p *proxy) setMode(w proxyMode) {
	p.mu.Lock()
	if now := time.Now(); p.mode != passThrough {
		p.impairments[len(p.impairments)-1].to = now
	} else if w != passThrough {
		p.impairments = append(p.impairments, span{from: now})
	}
	p.mode = w
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	p.mu.Unlock()
	if w == resetting {
		p.resetAll()
	}
}

// impairedDuring reports whether the way was another than through in a time.
func (p *proxy) impairedDuring(s span) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.impairments, func(m span) bool {
		if m.to.IsZero() {
			m.to = time.Now()
		}
		return s.overlaps(m)
	})
}

// resetAll resets the connections that are open.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.open)
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *proxy) handle(client net.Conn) {
	if w, _ := p.currentMode(); w == resetting {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	go p.copy(server, client, false)
	p.copy(client, server, true)
}

func (p *proxy) currentMode() (proxyMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

// copy passes bytes on, as the way is at each moment.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer p.closePair(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, buf[:n], responses) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes bytes on when the way lets them, and reports whether the connection
// goes on.
func (p *proxy) forward(to net.Conn, b []byte, responses bool) bool {
	for {
		w, changed := p.currentMode()
		switch {
		case w == resetting:
			return false
		case w == stalled, w == requestsOnly && responses:
			<-changed // held back until the way is another one
			continue
		case w == delayed:
			time.Sleep(forwardDelay)
		}
		_, err := to.Write(b)
		return err == nil
	}
}

func (p *proxy) closePair(a, b net.Conn) {
	p.mu.Lock()
	delete(p.open, a)
	delete(p.open, b)
	p.mu.Unlock()
	_ = a.Close()
	_ = b.Close()
}
