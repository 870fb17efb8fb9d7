package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// heartbeatEvery is how long a connection with open streams may be quiet
	// before the router asks whether the sidecar is still there.
	heartbeatEvery = time.Second

	// silentAfter is how long such a connection may stay quiet before it counts
	// as lost. A connection that something in between has forgotten neither
	// delivers nor fails, so only silence shows it; streams then resume on a
	// new one.
	silentAfter = 3 * time.Second

	// idleAfter is how long a connection without streams is kept. A router
	// serves a sliver of the traffic before thousands of sidecars, so keeping
	// them all would cost more memory than the answers in flight.
	idleAfter = 30 * time.Second
)

// Dialer opens a connection to a sidecar.
type Dialer func(ctx context.Context) (net.Conn, error)

// Peer is a router's side of the protocol with one sidecar. It keeps at most
// one connection, opened when needed.
type Peer struct {
	dial Dialer

	mu      sync.Mutex
	conn    *Conn
	hello   Hello
	streams map[token.Nonce]*Stream
	stray   int64 // frames for no stream
}

// NewPeer returns a Peer that connects with dial.
func NewPeer(dial Dialer) *Peer {
	return &Peer{dial: dial, streams: make(map[token.Nonce]*Stream)}
}

// Connect returns the sidecar's introduction, connecting first when there is
// no connection. An error is NotRun: nothing has been asked of the sidecar.
func (p *Peer) Connect(ctx context.Context) (Hello, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, hello, err := p.connect(ctx)
	return hello, err
}

// connect needs p.mu held. It holds it while dialling, so that callers share
// one connection.
func (p *Peer) connect(ctx context.Context) (*Conn, Hello, error) {
	if p.conn != nil {
		return p.conn, p.hello, nil
	}
	nc, err := p.dial(ctx)
	if err != nil {
		return nil, Hello{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "connect: %s", err)
	}
	conn := NewConn(context.Background(), nc, (*peerHandler)(p))
	var hello Hello
	if err := conn.Call(ctx, MethodHello, Empty{}, &hello); err != nil {
		_ = conn.Close()
		return nil, Hello{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "hello: %s", err)
	}
	p.conn, p.hello = conn, hello
	go p.watch(conn)
	return conn, hello, nil
}

// Submit asks the sidecar to run a request. The Stream carries its answer. A
// refusal is an error together with the Admission that explains it.
func (p *Peer) Submit(ctx context.Context, s Submit) (*Stream, Admission, error) {
	return p.open(ctx, s.Key.Nonce, 0, s.Window, MethodSubmit, s)
}

// Attach asks for the answer to a request from an offset on.
func (p *Peer) Attach(ctx context.Context, a Attach) (*Stream, Admission, error) {
	return p.open(ctx, a.Key.Nonce, a.Offset, a.Window, MethodAttach, a)
}

func (p *Peer) open(ctx context.Context, id token.Nonce, offset int64, window int, m Method, params any) (*Stream, Admission, error) {
	p.mu.Lock()
	conn, _, err := p.connect(ctx)
	if err != nil {
		p.mu.Unlock()
		return nil, Admission{}, err
	}
	if _, busy := p.streams[id]; busy {
		p.mu.Unlock()
		return nil, Admission{}, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyReused, "the request is being served already")
	}
	s := newStream(p, conn, id, offset, window)
	p.streams[id] = s
	conn.active.Add(1)
	p.mu.Unlock()
	var adm Admission
	if err := conn.Call(ctx, m, params, &adm); err != nil {
		p.forget(s)
		return nil, Admission{}, err
	}
	if adm.Error != nil {
		p.forget(s)
		return nil, adm, adm.Error
	}
	return s, adm, nil
}

// Call makes a call of the sidecar, connecting first when there is no connection.
func (p *Peer) Call(ctx context.Context, m Method, params, result any) error {
	p.mu.Lock()
	conn, _, err := p.connect(ctx)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	conn.active.Add(1)
	defer conn.active.Add(-1)
	return conn.Call(ctx, m, params, result)
}

// Close ends the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

func (p *Peer) forget(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[s.id] == s {
		delete(p.streams, s.id)
		s.conn.active.Add(-1)
	}
}

// watch ends conn when it has gone silent or has long been idle, and breaks
// its streams when it has ended.
func (p *Peer) watch(conn *Conn) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-conn.Done():
			p.lost(conn)
			return
		case now := <-tick.C:
			if conn.active.Load() > 0 {
				idleSince = now
			}
			p.check(conn, now, idleSince)
		}
	}
}

func (p *Peer) check(conn *Conn, now, idleSince time.Time) {
	if now.Sub(idleSince) > idleAfter {
		_ = conn.Close()
		return
	}
	if conn.active.Load() == 0 {
		return
	}
	quiet := now.Sub(conn.LastRead())
	switch {
	case quiet > silentAfter:
		_ = conn.Close()
	case quiet > heartbeatEvery:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
			defer cancel()
			_ = conn.Call(ctx, MethodPing, Empty{}, nil)
		}()
	}
}

func (p *Peer) lost(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	for id, s := range p.streams {
		if s.conn == conn {
			delete(p.streams, id)
			s.fail(verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "connection lost"))
		}
	}
}

// peerHandler is the Peer as the receiver of frames.
type peerHandler Peer

// HandleCall implements Handler: sidecars make no calls.
func (h *peerHandler) HandleCall(context.Context, *Conn, Method, json.RawMessage) (any, error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "routers serve no calls")
}

// HandleNotification implements Handler.
func (h *peerHandler) HandleNotification(conn *Conn, m Method, params json.RawMessage) {
	switch m {
	case MethodHead:
		deliver(h, conn, params, func(f Head) token.Nonce { return f.Stream }, (*Stream).onHead)
	case MethodData:
		deliver(h, conn, params, func(f Data) token.Nonce { return f.Stream }, (*Stream).onData)
	case MethodEnd:
		deliver(h, conn, params, func(f End) token.Nonce { return f.Stream }, (*Stream).onEnd)
	}
}

// deliver hands a frame to its stream. A frame whose stream is not open on
// this connection is late or crossed: it is dropped and counted.
func deliver[F any](h *peerHandler, conn *Conn, params json.RawMessage, id func(F) token.Nonce, on func(*Stream, F)) {
	var frame F
	if json.Unmarshal(params, &frame) != nil {
		return
	}
	h.mu.Lock()
	s := h.streams[id(frame)]
	if s == nil || s.conn != conn {
		h.stray++
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	on(s, frame)
}
