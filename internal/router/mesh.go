package router

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/follow"
	"github.com/parsleyfront/parsleyfront/internal/config/pack"
	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/register"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Mesh configures how the routers of a fleet communicate, and what they relay.
type Mesh struct {
	Self   relay.Router
	Timing relay.Timing
	// Packets carries messages between routers. Calls accepts connections of routers
	// that pull objects. Without them this router reads the store itself.
	Packets net.PacketConn
	Calls   net.Listener
	Dial    topo.DialFunc
	// SuspendedTime returns the total time for which the VM has been suspended; nil: it
	// is never suspended.
	SuspendedTime func() time.Duration
	// MemberDecoder decodes the entries of upstreams.
	MemberDecoder membership.Decoder
	MemberTiming  membership.Timing
}

var (
	meshBytes = telemetry.NewFamily[meshKind]("router_mesh_bytes_total", "kind",
		"Bytes of messages between routers, sent and received, by kind.")
	meshMalformed = telemetry.NewCounter("router_mesh_malformed_total",
		"Messages between routers that made no sense.", telemetry.Alert)
	readsStoreInfo = telemetry.NewGauge("router_reads_store_info",
		"1 while this router reads the platform's store itself, 0 while another does it for this one.")
)

// meshKind is a kind of message between routers.
type meshKind string

const (
	meshBeatSent          meshKind = "beat-sent"
	meshBeatReceived      meshKind = "beat-heard"
	meshSubscribeSent     meshKind = "subscribe-sent"
	meshSubscribeReceived meshKind = "subscribe-heard"
	meshShareSent         meshKind = "share-sent"
	meshShareReceived     meshKind = "share-heard"
	meshOriginsSent       meshKind = "origins-sent"
	meshOriginsReceived   meshKind = "origins-heard"
)

// mesh connects a router with the others: it carries out the relay's effects, and handles
// messages and calls. The router that this one follows instead of reading the store is its
// parent; those that follow this one are its subscribers.
type mesh struct {
	Mesh
	router     *Router
	members    *follow.Runner
	parent     relay.Router // owned by the control loop
	readsStore atomic.Bool  // this router reads the store
	storeFails atomic.Bool  // the store does not answer this router
	follows    atomic.Bool  // parent is set
	followed   atomic.Bool  // another router is subscribed to this one
	packer     *pack.Packer
	register   *register.Registrar

	// The control loop owns the fields below.
	lastReport   []byte        // latest report to the subscribers
	lastReportAt time.Time     // when lastReport was built
	lastDemand   [][]byte      // latest messages with the demand for pools to the subscribers
	lastDemandAt time.Time     // when lastDemand was built
	nextReportAt time.Time     // earliest time of the next report
	listVersion  int           // of the routers that are known, as passed on last
	nextPool     int           // first pool of the next report, in the order of names
	sharedAt     time.Time     // time of the latest report to the parent
	crashes      suspects.News // of the latest reports
	crashesAt    time.Time     // when crashes was built
}

func newMesh(r *Router, m Mesh) *mesh {
	out := &mesh{Mesh: m, router: r, packer: pack.New()}
	out.register = register.New(r.config.Store, m.Self, out.readsStore.Load, func(nodes []relay.Router) {
		r.loop.Post(RelayEvent{Event: relay.Registered{Now: time.Now(), Routers: nodes}})
	})
	out.members = &follow.Runner{
		Source:  follow.FromStore(r.config.Store, m.MemberDecoder.Kind()),
		Subject: "upstreams",
		SendQuery: func(ctx context.Context, peer config.Peer, q config.Query) (config.Delta, error) {
			return r.pull(ctx, peer, wire.MethodMembersSince, q)
		},
		Post: func(e config.Event) { r.loop.Post(MembersEvent{Event: e}) },
	}
	return out
}

// newRelay returns the relay of this router. A router that no other one can reach has nobody to
// wait for at its start.
func (m *mesh) newRelay() *relay.State {
	timing := m.Timing
	if m.Packets == nil {
		timing.StartWait = 0
	}
	return relay.New(m.Self, timing)
}

// run serves the other routers until ctx ends.
func (m *mesh) run(ctx context.Context) {
	m.setReading(m.Packets == nil)
	if m.Packets == nil {
		return
	}
	context.AfterFunc(ctx, func() {
		_ = m.Packets.Close()
		_ = m.Calls.Close()
	})
	go m.receiveMessages()
	go (&wire.Acceptor{Listener: m.Calls, Handler: meshCalls{m}, MaxConnections: MaxCalls, MaxContent: maxCallBytes}).Run(ctx)
	go m.register.Run(ctx)
	if m.SuspendedTime != nil {
		go m.watchSuspend(ctx)
	}
}

// receiveMessages handles the messages of other routers until the socket is closed.
func (m *mesh) receiveMessages() {
	buf := make([]byte, 2*relay.MaxMessageBytes)
	for {
		n, from, err := m.Packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(socketRetryDelay) // may be the delivery error of an earlier message
			continue
		}
		m.handleMessage(from, buf[:n])
	}
}

const (
	// MaxCalls is the maximum number of connections of other routers: each may pull from this one.
	MaxCalls = 512
	// maxCallBytes is the largest call of another router. A query takes some hundred bytes.
	maxCallBytes = 16 << 10
)

// socketRetryDelay is the pause after an error of a socket that may be temporary.
const socketRetryDelay = 100 * time.Millisecond

// handleMessage decodes and processes a message of another router.
func (m *mesh) handleMessage(from net.Addr, b []byte) {
	message, err := relay.Decode(b)
	if err != nil {
		meshMalformed.Inc()
		return
	}
	now := time.Now()
	switch e := message.(type) {
	case *relay.Heartbeat:
		meshBytes.Add(meshBeatReceived, int64(len(b)))
		m.router.loop.Post(RelayEvent{Event: relay.HeartbeatReceived{Now: now, Heartbeat: *e}})
	case *relay.Subscribe:
		meshBytes.Add(meshSubscribeReceived, int64(len(b)))
		m.router.loop.Post(RelayEvent{Event: relay.SubscribeReceived{Now: now, Subscribe: *e}})
	case *relay.Report:
		meshBytes.Add(meshShareReceived, int64(len(b)))
		source := fromSubscriber
		if e.IsSummary {
			source = fromParent
		}
		m.mergeSharing(now, e.From, e.Payload, source)
	case relay.Origins:
		meshBytes.Add(meshOriginsReceived, int64(len(b)))
		if err := m.router.origins.Handle(now, from.String(), e); err != nil {
			meshMalformed.Inc()
		}
	}
}

// execute carries out an effect, on the goroutine of the control loop.
func (m *mesh) execute(e relay.Effect) {
	switch e := e.(type) {
	case relay.SendHeartbeat:
		m.send(e.To, e, meshBeatSent)
	case relay.SendReport:
		m.sendShare(e)
	case relay.SendSubscribe:
		m.send(e.To, e, meshSubscribeSent)
	case relay.SetParent:
		m.setParent(e.Parent)
	case relay.SwitchStoreReading:
		m.setReading(e.On)
		slog.Info("reading of the platform's store changes", "reads", e.On)
	}
}

// sendShare sends a router the loads and outcomes of upstreams that this one knows.
func (m *mesh) sendShare(e relay.SendReport) {
	now := time.Now()
	var messages [][]byte
	if e.Report.IsSummary {
		messages = append(messages, m.reportForSubscribers(now))
		messages = append(messages, m.demandForSubscribers(now)...)
	} else {
		messages = append(m.reportsForParent(now), m.demandForParent(now)...)
	}
	for _, b := range messages {
		if b != nil {
			e.Report.Payload = b
			m.send(e.To, e, meshShareSent)
		}
	}
}

// setReading records whether this router reads the store.
func (m *mesh) setReading(reads bool) {
	if before := m.readsStore.Swap(reads); reads && !before {
		go m.router.readRestrictions(m.router.ctx)
		go m.router.originArchive.ReadStreams(m.router.ctx)
	}
	if reads {
		readsStoreInfo.Set(1)
	} else {
		readsStoreInfo.Set(0)
	}
}

// setParent sets and logs the router that reads the store for this one; zero: none.
func (m *mesh) setParent(node relay.Router) {
	if m.parent.Name != "" && node.Name == "" {
		slog.Warn("the router that read the store for this one is not relied on any more", "router", m.parent.Name)
	}
	if node.Name != "" {
		slog.Info("another router reads the store for this one", "router", node.Name, "addr", node.Addr)
	}
	m.parent = node
	m.follows.Store(node.Name != "")
	m.router.setParent(node)
}

// send sends a message. There are no retries: the next message replaces one that is lost.
func (m *mesh) send(to relay.Router, e relay.Effect, kind meshKind) {
	b, err := relay.Encode(e)
	if err != nil {
		slog.Error("a message to another router could not be encoded", "error", err)
		return
	}
	addr, err := netip.ParseAddrPort(to.Addr)
	if err != nil {
		slog.Error("a router has an invalid address", "router", to.Name, "error", err)
		return
	}
	if _, err := m.Packets.WriteTo(b, net.UDPAddrFromAddrPort(addr)); err == nil {
		meshBytes.Add(kind, int64(len(b)))
	}
}

// meshCalls handles the calls of other routers. It implements wire.Handler.
type meshCalls struct{ mesh *mesh }

// HandleCall implements wire.Handler.
func (c meshCalls) HandleCall(ctx context.Context, _ *wire.Conn, method wire.Method, p wire.Params) (any, error) {
	set := relay.SetConfig
	switch method {
	case wire.MethodHello:
		return wire.Hello{VM: c.mesh.Self.Name, Incarnation: 1}, nil
	case wire.MethodConfigSince:
	case wire.MethodMembersSince:
		set = relay.SetMembers
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", method)
	}
	var q config.Query
	if err := p.Decode(&q); err != nil {
		return nil, err
	}
	d, err := c.mesh.router.deltaSince(ctx, set, "", q)
	if err != nil {
		return nil, err
	}
	return c.mesh.packer.Pack(set, q, d)
}

// HandleFrame implements wire.Handler. Routers send each other none.
func (meshCalls) HandleFrame(*wire.Conn, wire.Frame) {}

// suspendSlack is the growth of SuspendedTime below which the VM does not count as having
// been suspended: the two clocks behind it may drift apart.
const suspendSlack = 200 * time.Millisecond

// watchSuspend posts an event when the VM was suspended, or this process was stopped for longer than ages are valid.
// The monotonic clock does not count the former, and messages from before either would seem to be recent.
func (m *mesh) watchSuspend(ctx context.Context) {
	tick := time.NewTicker(config.TickInterval)
	defer tick.Stop()
	suspended, ticked := m.SuspendedTime(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now, total := time.Now(), m.SuspendedTime()
		stopped := now.Sub(ticked)
		switch {
		case total > suspended+suspendSlack:
			slog.Warn("the VM was suspended", "for", total-suspended)
			m.router.loop.Post(RelayEvent{Event: relay.Resumed{Now: now}})
		case stopped > m.Timing.MaxAge:
			slog.Warn("the process was stopped", "for", stopped)
			m.router.loop.Post(RelayEvent{Event: relay.Resumed{Now: now}})
		}
		suspended, ticked = total, now
	}
}

// setParent sets the router that this one pulls objects from.
func (r *Router) setParent(n relay.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parent = n
}

// pull queries the parent for objects. It returns an error if peer is no longer the parent.
func (r *Router) pull(ctx context.Context, peer config.Peer, m wire.Method, q config.Query) (config.Delta, error) {
	r.mu.Lock()
	parent := r.parent
	r.mu.Unlock()
	if parent.Name != string(peer) {
		return config.Delta{}, errors.Errorf("router: %s is no longer the parent", peer)
	}
	var p pack.Delta
	if err := r.peer(topo.VM{ID: parent.Name, Addr: parent.Addr}).Call(ctx, m, q, &p); err != nil {
		return config.Delta{}, err
	}
	return r.mesh.packer.Unpack(p)
}
