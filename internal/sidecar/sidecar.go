package sidecar

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/follow"
	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/order"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Settings Settings
	Buffer   BufferLimits
	Upstream upstream.Upstream
	// Orders is the upstream as it takes orders; nil: it takes none.
	Orders order.Upstream
	// Token reads the controller's fencing token from the store; nil: there is
	// no store, and no order is taken.
	Token func(ctx context.Context) (wire.FencingToken, error)
	// VMs and Dial serve the handing over of cached prefixes when upstreams
	// leave and join. Without VMs nothing is handed over.
	VMs  topo.VMList
	Dial func(ctx context.Context, vm topo.VM) (net.Conn, error)
}

// Sidecar serves routers.
type Sidecar struct {
	config  Config
	loop    *loop.Loop[Event, Effect]
	ctx     context.Context
	exit    context.CancelFunc
	tickets atomic.Uint64
	out     atomic.Bool // no new work is taken; for Ready
	follow  follow.Runner
	timer   *time.Timer // posts Ticked; owned by the loop's goroutine
	answers *answers
	desk    *order.Handler // nil: the upstream takes no orders
	spans   spans

	peering sync.Mutex

	mu      sync.Mutex
	waiting map[Ticket]chan Effect
	calls   map[token.Nonce]context.CancelFunc
	conns   map[*wire.Conn]*routerConn
	peers   uint64 // connections so far
}

// routerConn is a connection of a router with the answers that it reads.
type routerConn struct {
	peer    config.Peer
	role    secure.Role // empty without TLS
	senders map[wire.StreamID]*sender
}

// New returns a Sidecar that works until its Serve returns.
func New(c Config) *Sidecar {
	s := &Sidecar{
		config:  c,
		answers: newAnswers(c.Buffer),
		spans:   spans{open: make(map[token.Nonce]telemetry.Span)},
		waiting: make(map[Ticket]chan Effect),
		calls:   make(map[token.Nonce]context.CancelFunc),
		conns:   make(map[*wire.Conn]*routerConn),
	}
	s.ctx, s.exit = context.WithCancel(context.Background())
	state := NewState(c.Settings)
	s.loop = loop.New(state, s.act, func() {
		state.gauge()
		usedBytes.Set(s.answers.used.Load())
		s.rearm(state.Wake())
	})
	s.timer = time.AfterFunc(0, s.tick) // the first probe is due at once
	s.follow = follow.Runner{SendQuery: s.askConfig, Post: func(e config.Event) { s.loop.Post(Configured{Now: time.Now(), Event: e}) }}
	s.desk = s.newDesk()
	go s.loop.Run(s.ctx)
	go s.follow.Run(s.ctx)
	return s
}

func (s *Sidecar) tick() {
	s.loop.Post(Ticked{Now: time.Now()})
}

func (s *Sidecar) rearm(at time.Time) {
	if !at.IsZero() {
		s.timer.Reset(max(0, time.Until(at)))
	}
}

// Serve accepts routers on l. When ctx ends it takes no new work, lets what is
// in flight finish, and returns.
func (s *Sidecar) Serve(ctx context.Context, l net.Listener) error {
	defer s.exit()
	defer context.AfterFunc(ctx, func() { s.loop.Post(Stopping{Now: time.Now()}) })()
	defer context.AfterFunc(s.ctx, func() { _ = l.Close() })()
	for {
		c, err := l.Accept()
		if s.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		s.accept(c)
	}
}

// act carries out an effect, on the loop's goroutine.
func (s *Sidecar) act(effect Effect) {
	switch e := effect.(type) {
	case Open:
		admittedRequests.Inc()
		s.answers.open(e.Nonce)
	case Start:
		s.start(e)
	case Abort:
		s.abort(e.Nonce)
	case Unhold:
		if a := s.answers.get(e.Nonce); a != nil {
			a.unhold()
		}
	case Finish:
		countFinish(e)
		s.spans.finish(e.Nonce, e.Error)
		s.answers.finish(e)
	case Drop:
		s.answers.drop(e.Nonce)
	case Reply:
		countReply(e)
		s.deliver(e.Ticket, e)
	case ReplyStatus:
		s.deliver(e.Ticket, e)
	case ReplyConfig:
		s.deliver(e.Ticket, e)
	case Follow:
		s.follow.Do(s.ctx, e.Effect)
	case Probe:
		go s.probe()
	case Export:
		go s.export(e.Sessions)
	case Welcome:
		go s.welcome(e)
	case Announce:
		go s.announce()
	case Crashed:
		crashes.Inc()
		slog.Error("the upstream has crashed", "vm", s.config.Settings.VM, "running", e.Running)
	case Turned:
		s.out.Store(e.Down || e.Leaving)
		slog.Info("the upstream's service has changed", "vm", s.config.Settings.VM, "down", e.Down, "leaving", e.Leaving)
	case Exit:
		s.exit()
	}
}

func (s *Sidecar) probe() {
	h := s.config.Upstream.Probe(s.ctx)
	s.loop.Post(Probed{Now: time.Now(), Health: h})
}

// ask posts the event that f makes of a ticket and waits for the reply.
func (s *Sidecar) ask(ctx context.Context, f func(Ticket) Event) (Effect, error) {
	t := Ticket(s.tickets.Add(1))
	reply := make(chan Effect, 1)
	s.mu.Lock()
	s.waiting[t] = reply
	s.mu.Unlock()
	if !s.loop.Post(f(t)) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonDraining, "the sidecar has stopped")
	}
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDraining, "the sidecar has stopped")
	}
}

// admission is ask for the events that a Reply answers.
func (s *Sidecar) admission(ctx context.Context, f func(Ticket) Event) (wire.Admission, error) {
	e, err := s.ask(ctx, f)
	if err != nil {
		return wire.Admission{}, err
	}
	return e.(Reply).Admission, nil
}

func (s *Sidecar) deliver(t Ticket, e Effect) {
	s.mu.Lock()
	reply := s.waiting[t]
	delete(s.waiting, t)
	s.mu.Unlock()
	if reply != nil {
		reply <- e
	}
}
