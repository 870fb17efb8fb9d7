package sidecar

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	VM          string
	Incarnation uint64
	Upstream    upstream.Upstream
}

// Sidecar serves routers.
type Sidecar struct {
	config  Config
	loop    *loop.Loop[Event, Effect]
	ctx     context.Context
	tickets atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan wire.Admission
	answers map[token.Nonce]*held
	conns   map[*wire.Conn]map[wire.StreamID]*sender
}

// held is an answer with the organisation that may read it.
type held struct {
	org    string
	answer *answer
}

// New returns a Sidecar that works until ctx ends.
func New(ctx context.Context, c Config) *Sidecar {
	s := &Sidecar{
		config:  c,
		ctx:     ctx,
		waiting: make(map[uint64]chan wire.Admission),
		answers: make(map[token.Nonce]*held),
		conns:   make(map[*wire.Conn]map[wire.StreamID]*sender),
	}
	s.loop = loop.New(NewState(c.Incarnation), s.act, func() {})
	go s.loop.Run(ctx)
	return s
}

// Serve accepts routers on l until l fails or the context of New ends.
func (s *Sidecar) Serve(l net.Listener) error {
	stop := context.AfterFunc(s.ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.accept(c)
	}
}

func (s *Sidecar) accept(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := wire.NewConn(s.ctx, c, s)
	s.conns[conn] = make(map[wire.StreamID]*sender)
	go func() {
		<-conn.Done()
		s.drop(conn)
	}()
}

func (s *Sidecar) drop(conn *wire.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sender := range s.conns[conn] {
		sender.stop()
	}
	delete(s.conns, conn)
}

// act carries out an effect, on the loop's goroutine.
func (s *Sidecar) act(effect Effect) {
	switch e := effect.(type) {
	case Start:
		s.start(e.Submit)
	case Reply:
		s.decide(e.Ticket, e.Admission)
	}
}

func (s *Sidecar) decide(ticket uint64, a wire.Admission) {
	s.mu.Lock()
	ch := s.waiting[ticket]
	delete(s.waiting, ticket)
	s.mu.Unlock()
	if ch != nil {
		ch <- a
	}
}

func (s *Sidecar) start(sub wire.Submit) {
	h := &held{org: sub.Org, answer: newAnswer()}
	s.mu.Lock()
	s.answers[sub.Key.Nonce] = h
	s.mu.Unlock()
	go s.run(sub, h.answer)
}

// HandleCall implements wire.Handler.
func (s *Sidecar) HandleCall(ctx context.Context, c *wire.Conn, m wire.Method, params wire.Params) (any, error) {
	switch m {
	case wire.MethodHello:
		return wire.Hello{VM: s.config.VM, Incarnation: s.config.Incarnation}, nil
	case wire.MethodSubmit:
		return serve(params, func(sub wire.Submit) (any, error) { return s.submit(ctx, c, sub) })
	case wire.MethodAttach:
		return serve(params, func(a wire.Attach) (any, error) { return s.attach(c, a) })
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", m)
}

// serve decodes the parameters of a call for f.
func serve[P any](params wire.Params, f func(P) (any, error)) (any, error) {
	var p P
	if err := params.Decode(&p); err != nil {
		return nil, err
	}
	return f(p)
}

// HandleFrame implements wire.Handler.
func (s *Sidecar) HandleFrame(c *wire.Conn, f wire.Frame) {
	switch f := f.(type) {
	case wire.Credit:
		if out := s.sender(c, f.Stream); out != nil {
			out.grant(f.UpTo)
		}
	case wire.Detach:
		if out := s.sender(c, f.Stream); out != nil {
			out.stop()
		}
	}
}

func (s *Sidecar) sender(c *wire.Conn, id wire.StreamID) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c][id]
}

func (s *Sidecar) submit(ctx context.Context, c *wire.Conn, sub wire.Submit) (any, error) {
	ticket := s.tickets.Add(1)
	decided := make(chan wire.Admission, 1)
	s.mu.Lock()
	s.waiting[ticket] = decided
	s.mu.Unlock()
	if !s.loop.Post(Submitted{Now: time.Now(), Ticket: ticket, Submit: sub}) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonDraining, "the sidecar is stopping")
	}
	var a wire.Admission
	select {
	case a = <-decided:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if a.Error != nil {
		return a, nil
	}
	att := wire.Attach{Key: sub.Key, Org: sub.Org, Stream: sub.Stream, Window: sub.Window}
	if _, err := s.attach(c, att); err != nil {
		return nil, err
	}
	return a, nil
}

// attach starts sending an answer. Another organisation's request is answered
// like one that does not exist.
func (s *Sidecar) attach(c *wire.Conn, a wire.Attach) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.answers[a.Key.Nonce]
	if a.Key.Incarnation != s.config.Incarnation || h == nil || h.org != a.Org {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest, "no such request here")
	}
	senders := s.conns[c]
	if senders == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the connection has ended")
	}
	out := newSender(c, a, h.answer)
	senders[a.Stream] = out
	go func() {
		out.send()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns[c][a.Stream] == out {
			delete(s.conns[c], a.Stream)
		}
	}()
	return wire.Admission{Joined: true}, nil
}
