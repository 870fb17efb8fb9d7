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

// Config configures a Sidecar.
type Config struct {
	Settings Settings
	Buffer   BufferLimits
	Upstream upstream.Upstream
	// Orders executes the controller's orders on the upstream; nil if the
	// upstream does not support orders.
	Orders order.Upstream
	// Token reads the controller's fencing token from the store. Without a store
	// it is nil, and no order is accepted.
	Token func(ctx context.Context) (wire.FencingToken, error)
	// VMs and Dial are used to transfer cached prefixes when upstreams leave or
	// join. If VMs is nil, no prefixes are transferred.
	VMs  topo.VMList
	Dial func(ctx context.Context, vm topo.VM) (net.Conn, error)
}

// Sidecar serves the requests of routers and forwards them to its upstream.
type Sidecar struct {
	config       Config
	loop         *loop.Loop[Event, Effect]
	ctx          context.Context
	cancel       context.CancelFunc
	tickets      atomic.Uint64
	unavailable  atomic.Bool // the upstream is down or draining; read by Ready
	follower     follow.Runner
	timer        *time.Timer // posts Ticked; owned by the loop's goroutine
	responses    *responseStore
	orderHandler *order.Handler // nil if the upstream does not support orders
	spans        spans

	peersMu sync.Mutex // serializes postPeers

	rankedMu sync.Mutex // held while the list of VMs is read
	ranked   successors // of rankedAt
	rankedAt time.Time

	mu        sync.Mutex
	waiting   map[Ticket]chan Effect
	calls     map[token.Nonce]context.CancelFunc
	conns     map[*wire.Conn]*peerConn
	connCount uint64 // connections accepted so far
}

// peerConn is a connection from a router or another peer, and the responses being
// sent on it.
type peerConn struct {
	peer    config.Peer
	role    secure.Role // empty without TLS
	senders map[wire.StreamID]*sender
}

// New starts a Sidecar. It runs until Serve returns.
func New(c Config) *Sidecar {
	s := &Sidecar{
		config:    c,
		responses: newResponseStore(c.Buffer),
		spans:     spans{open: make(map[token.Nonce]telemetry.Span)},
		waiting:   make(map[Ticket]chan Effect),
		calls:     make(map[token.Nonce]context.CancelFunc),
		conns:     make(map[*wire.Conn]*peerConn),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	state := NewState(c.Settings)
	s.loop = loop.New(state, s.execute, func() {
		state.updateGauges()
		responseBytes.Set(s.responses.used.Load())
		s.resetTimer(state.Wake())
	})
	s.timer = time.AfterFunc(0, s.tick) // probe the upstream immediately
	s.follower = follow.Runner{SendQuery: s.queryConfig, Post: func(e config.Event) { s.loop.Post(ConfigEvent{Now: time.Now(), Event: e}) }}
	s.orderHandler = s.newOrderHandler()
	go func() {
		defer telemetry.LogPanic("control loop")
		s.loop.Run(s.ctx)
	}()
	go s.follower.Run(s.ctx)
	return s
}

func (s *Sidecar) tick() {
	s.loop.Post(Ticked{Now: time.Now()})
}

func (s *Sidecar) resetTimer(at time.Time) {
	if !at.IsZero() {
		s.timer.Reset(max(0, time.Until(at)))
	}
}

// Serve accepts connections from routers on l. When ctx ends, it admits no new
// requests, waits for those in flight, and returns.
func (s *Sidecar) Serve(ctx context.Context, l net.Listener) error {
	defer s.cancel()
	defer context.AfterFunc(ctx, func() { s.loop.Post(StopRequested{Now: time.Now()}) })()
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

// execute carries out an effect. It runs on the loop's goroutine.
func (s *Sidecar) execute(effect Effect) {
	switch e := effect.(type) {
	case Open:
		admittedRequests.Inc()
		s.responses.open(e.Nonce)
	case Start:
		s.startCall(e)
	case Abort:
		s.abortCall(e.Nonce)
	case DiscardOverflow:
		if rb := s.responses.get(e.Nonce); rb != nil {
			rb.setDiscardUnread()
		}
	case Finish:
		countFinish(e)
		s.spans.finish(e.Nonce, e.Error)
		s.responses.finish(e)
	case Drop:
		s.responses.drop(e.Nonce)
	case Reply:
		countReply(e)
		s.deliver(e.Ticket, e)
	case ReplyStatus:
		s.deliver(e.Ticket, e)
	case ReplyConfig:
		s.deliver(e.Ticket, e)
	case ReplyTransfer:
		s.deliver(e.Ticket, e)
	case ConfigEffect:
		s.follower.Do(s.ctx, e.Effect)
	case Probe:
		go s.probe()
	case Export:
		go s.export(e.Sessions)
	case ExportTo:
		go s.exportTo(e)
	case AnnounceJoin:
		go s.announceJoin()
	case ReportCrash:
		crashes.Inc()
		slog.Error("upstream crashed", "vm", s.config.Settings.VM, "running", e.Running, "imports", e.Imports)
	case ReportAvailability:
		s.unavailable.Store(e.Down || e.Draining)
		slog.Info("upstream availability changed", "vm", s.config.Settings.VM, "down", e.Down, "leaving", e.Draining)
	case Exit:
		s.cancel()
	}
}

func (s *Sidecar) probe() {
	h := s.config.Upstream.Probe(s.ctx)
	s.loop.Post(Probed{Now: time.Now(), Health: h})
}

// ask posts the event that f returns for a new ticket and waits for its reply.
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

// admission is like ask, for events that are answered by a Reply.
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
