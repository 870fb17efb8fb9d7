package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// way is how a proxy treats the bytes that go through it.
type way int

const (
	through  way = iota // at once
	refused             // connections are reset, those that are open too
	silent              // nothing goes either way, connections stay open
	oneWay              // what the server says is lost
	delayed             // everything comes late
	wayCount            // number of ways
)

func (w way) String() string {
	return [...]string{"through", "refused", "silent", "one-way", "delayed"}[w]
}

// delay is how late bytes come on a delayed way.
const delay = 150 * time.Millisecond

// proxy stands between a process and a server on loopback.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	way   way
	moved []span // times in which the way was another than through; the last may have no end
	open  map[net.Conn]bool
	turns chan struct{} // closed and replaced at each change of way
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: make(map[net.Conn]bool), turns: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// turn changes the way.
func (p *proxy) turn(w way) {
	p.mu.Lock()
	if now := time.Now(); p.way != through {
		p.moved[len(p.moved)-1].to = now
	} else if w != through {
		p.moved = append(p.moved, span{from: now})
	}
	p.way = w
	close(p.turns)
	p.turns = make(chan struct{})
	p.mu.Unlock()
	if w == refused {
		p.resetAll()
	}
}

// harmed reports whether the way was another than through in a time.
func (p *proxy) harmed(s span) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.moved, func(m span) bool {
		if m.to.IsZero() {
			m.to = time.Now()
		}
		return s.meets(m)
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
		go p.join(c)
	}
}

func (p *proxy) join(near net.Conn) {
	if w, _ := p.now(); w == refused {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	go p.copy(far, near, false)
	p.copy(near, far, true)
}

func (p *proxy) now() (way, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way, p.turns
}

// copy passes bytes on, as the way is at each moment.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer p.forget(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(to, buf[:n], answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes bytes on when the way lets them, and reports whether the connection
// goes on.
func (p *proxy) pass(to net.Conn, b []byte, answers bool) bool {
	for {
		w, turned := p.now()
		switch {
		case w == refused:
			return false
		case w == silent, w == oneWay && answers:
			<-turned // held back until the way is another one
			continue
		case w == delayed:
			time.Sleep(delay)
		}
		_, err := to.Write(b)
		return err == nil
	}
}

func (p *proxy) forget(a, b net.Conn) {
	p.mu.Lock()
	delete(p.open, a)
	delete(p.open, b)
	p.mu.Unlock()
	_ = a.Close()
	_ = b.Close()
}
