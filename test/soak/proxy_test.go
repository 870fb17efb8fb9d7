package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// proxyMode is how a proxy treats the bytes that it forwards.
type proxyMode int

const (
	passThrough    proxyMode = iota // forwards at once
	resetting                       // resets new and open connections
	stalled                         // withholds bytes in both directions until the mode changes
	requestsOnly                    // withholds bytes from the server until the mode changes
	delayed                         // forwards after forwardDelay
	proxyModeCount                  // number of modes
)

func (m proxyMode) String() string {
	return [...]string{"through", "refused", "silent", "one-way", "delayed"}[m]
}

// forwardDelay is the delay of bytes in mode delayed.
const forwardDelay = 150 * time.Millisecond

// proxy forwards connections between a process and a server on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        proxyMode
	impairments []span // periods in modes other than passThrough; the last may be open-ended
	open        map[net.Conn]bool
	modeChanged chan struct{} // closed and replaced at each change of mode
	dark        chan struct{} // closed when the server is no longer reached, for good
}

// anyAddr is the address of a listener that gets a free port.
const anyAddr = "127.0.0.1:0"

// newProxy starts a proxy that listens at an address.
func newProxy(addr, target string) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: make(map[net.Conn]bool), modeChanged: make(chan struct{}), dark: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// setMode changes the mode, also of open connections.
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

// impairedDuring reports whether the mode was other than passThrough at any time in a span.
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

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
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
		select {
		case <-p.dark:
			p.mu.Lock()
			p.open[c] = true // it is taken, and nothing is heard on it
			p.mu.Unlock()
			return
		default:
			go p.handle(c)
		}
	}
}

// goDark makes the server fall silent for good, as a machine that loses its power: nothing is forwarded,
// refused or reset any more. Connections that are opened time out, but for the few that fill the
// listener's queue.
func (p *proxy) goDark() {
	close(p.dark)
	p.setMode(stalled)
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
}

// retarget makes new connections go to another server.
func (p *proxy) retarget(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = server
}

func (p *proxy) handle(client net.Conn) {
	if w, _ := p.currentMode(); w == resetting {
		reset(client)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, false) })
	directions.Go(func() { p.copy(client, server, true) })
	directions.Wait()
	p.closePair(client, server)
}

func (p *proxy) currentMode() (proxyMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

// copy forwards bytes of one direction, each according to the mode at that moment, and then the end
// of that direction alone, as a network does. A connection that is reset on one side is reset on the other. The flag responses says that the bytes come from the
// server.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, buf[:n], responses) {
			p.resetPair(to, from)
			return
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			p.resetPair(to, from)
			return
		}
	}
}

// forward writes bytes when the mode permits it, and reports whether the connection continues.
func (p *proxy) forward(to net.Conn, b []byte, responses bool) bool {
	for {
		w, changed := p.currentMode()
		switch {
		case w == resetting:
			return false
		case w == stalled, w == requestsOnly && responses:
			<-changed // withheld until the mode changes
			continue
		case w == delayed:
			time.Sleep(forwardDelay)
		}
		_, err := to.Write(b)
		return err == nil
	}
}

func (p *proxy) resetPair(a, b net.Conn) {
	reset(a)
	reset(b)
	p.closePair(a, b)
}

func (p *proxy) closePair(a, b net.Conn) {
	p.mu.Lock()
	delete(p.open, a)
	delete(p.open, b)
	p.mu.Unlock()
	_ = a.Close()
	_ = b.Close()
}
