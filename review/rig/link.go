package rig

import (
	"io"
	"net"
	"sync"
)

// Link forwards connections to a server. While it is silent it accepts connections and withholds all
// bytes in both directions; the connections of that time are reset when it ends.
type Link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
	change chan struct{} // closed and replaced when silent changes
}

// NewLink starts a Link on an address.
func NewLink(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, conns: make(map[net.Conn]bool), change: make(chan struct{})}
	go k.serve()
	return k, nil
}

// Addr returns the address of the Link.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Close ends the Link and its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.resetAll()
}

// SetSilent starts or ends the silence.
func (k *Link) SetSilent(silent bool) {
	k.mu.Lock()
	k.silent = silent
	close(k.change)
	k.change = make(chan struct{})
	k.mu.Unlock()
	if !silent {
		k.resetAll()
	}
}

func (k *Link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(k.conns)
}

func (k *Link) state() (bool, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent, k.change
}

func (k *Link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.handle(c)
	}
}

func (k *Link) handle(client net.Conn) {
	k.mu.Lock()
	k.conns[client] = true
	k.mu.Unlock()
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = client.Close()
		return
	}
	k.mu.Lock()
	k.conns[server] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.copy(server, client) })
	both.Go(func() { k.copy(client, server) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, client)
	delete(k.conns, server)
	k.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

func (k *Link) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for silent, change := k.state(); silent; silent, change = k.state() {
			<-change
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
