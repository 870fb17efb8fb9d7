package router

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// originBatchInterval is how long records of streams wait for others to the same router.
	originBatchInterval = 20 * time.Millisecond
	// originAskInterval is after which time a question that was not answered is sent again, and
	// originAskTimeout how long answers are waited for in all.
	originAskInterval = 50 * time.Millisecond
	originAskTimeout  = 150 * time.Millisecond
	// maxWaitingAnswers bounds the answers to one question that have not been looked at.
	maxWaitingAnswers = 64
)

var originRecords = telemetry.NewGauge("router_stream_origins_entries",
	"Streams of which this router knows at which software version they began.")

// originExchange tells other routers where streams began, and asks them. It is safe for concurrent use.
type originExchange struct {
	table   *origins.Table
	peers   *origins.Peers
	packets net.PacketConn // nil: there are no other routers

	mu      sync.Mutex
	pending map[string]*origins.Message // for the next batch, by address
	waiting map[origins.Stream][]chan originAnswer
}

// originAnswer is what a router has answered.
type originAnswer struct {
	from    string
	version origins.Version
}

func newOriginExchange(domain string, packets net.PacketConn) *originExchange {
	return &originExchange{
		table: origins.NewTable(), peers: origins.NewPeers(domain), packets: packets,
		pending: make(map[string]*origins.Message), waiting: make(map[origins.Stream][]chan originAnswer),
	}
}

// setRouters sets the other routers of the region.
func (x *originExchange) setRouters(routers []relay.Router) {
	peers := make([]origins.Peer, len(routers))
	for i, r := range routers {
		peers[i] = origins.Peer{Name: r.Name, Addr: r.Addr, Domain: r.Domain}
	}
	x.peers.Set(peers)
}

// expire drops old records.
func (x *originExchange) expire(now time.Time) {
	x.table.Expire(now)
	originRecords.Set(int64(x.table.Len()))
}

// tell keeps a record and tells it to the holders of its stream, with others of the next moment.
func (x *originExchange) tell(now time.Time, r origins.Record) {
	x.table.Add(now, r)
	if x.packets == nil {
		return
	}
	for addr, wantsReply := range x.peers.Tell(now, r.Stream) {
		x.enqueue(addr, r, wantsReply)
	}
}

// enqueue adds a record to the next message to a router.
func (x *originExchange) enqueue(addr string, r origins.Record, wantsReply bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.pending[addr]
	if m == nil {
		m = &origins.Message{}
		x.pending[addr] = m
		time.AfterFunc(originBatchInterval, func() { x.flush(addr) })
	}
	m.Records, m.WantsReply = append(m.Records, r), m.WantsReply || wantsReply
}

// flush sends the records that wait for a router.
func (x *originExchange) flush(addr string) {
	x.mu.Lock()
	m := x.pending[addr]
	delete(x.pending, addr)
	x.mu.Unlock()
	for len(m.Records) > origins.MaxRecords {
		x.send(addr, origins.Message{Records: m.Records[:origins.MaxRecords]})
		m.Records = m.Records[origins.MaxRecords:]
	}
	x.send(addr, *m)
}

// lookup returns at which version a stream began, according to this router or to those that it asks.
// It returns origins.Unknown if none of them knows, or answers in time.
func (x *originExchange) lookup(ctx context.Context, s origins.Stream) (v origins.Version, asked bool) {
	if v := x.table.Lookup(time.Now(), s); v != origins.Unknown || x.packets == nil {
		return v, false
	}
	answers := make(chan originAnswer, maxWaitingAnswers)
	x.addWaiting(s, answers)
	defer x.removeWaiting(s, answers)
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	return x.ask(ctx, s, answers), true
}

// ask asks other routers for a stream until one knows it, all have answered that they don't, or ctx ends.
func (x *originExchange) ask(ctx context.Context, s origins.Stream, answers <-chan originAnswer) origins.Version {
	unanswered := make(map[string]bool)
	for _, addr := range x.peers.Ask(time.Now(), s) {
		unanswered[addr] = true
	}
	again := time.NewTicker(originAskInterval)
	defer again.Stop()
	x.sendQuestion(unanswered, s)
	for len(unanswered) > 0 {
		select {
		case a := <-answers:
			if a.version != origins.Unknown {
				return a.version
			}
			delete(unanswered, a.from)
		case <-again.C:
			x.sendQuestion(unanswered, s)
		case <-ctx.Done():
			return origins.Unknown
		}
	}
	return origins.Unknown
}

func (x *originExchange) sendQuestion(to map[string]bool, s origins.Stream) {
	for addr := range to {
		x.send(addr, origins.Message{Asked: []origins.Stream{s}})
	}
}

func (x *originExchange) addWaiting(s origins.Stream, answers chan originAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waiting[s] = append(x.waiting[s], answers)
}

func (x *originExchange) removeWaiting(s origins.Stream, answers chan originAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var others []chan originAnswer
	for _, c := range x.waiting[s] {
		if c != answers {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		delete(x.waiting, s)
	} else {
		x.waiting[s] = others
	}
}

// handle handles a message of the router at an address.
func (x *originExchange) handle(now time.Time, from string, b []byte) error {
	m, err := origins.Decode(b)
	if err != nil {
		return err
	}
	x.peers.Heard(now, from)
	for _, r := range m.Records {
		x.table.Add(now, r)
	}
	for _, r := range m.Answers {
		x.deliver(from, r)
	}
	if len(m.Asked) == 0 && !m.WantsReply {
		return nil
	}
	var reply origins.Message
	for _, s := range m.Asked[:min(len(m.Asked), origins.MaxRecords)] {
		reply.Answers = append(reply.Answers, origins.Record{Stream: s, Version: x.table.Lookup(now, s)})
	}
	x.send(from, reply)
	return nil
}

// deliver passes an answer to those that wait for it.
func (x *originExchange) deliver(from string, r origins.Record) {
	x.mu.Lock()
	waiting := x.waiting[r.Stream]
	x.mu.Unlock()
	for _, c := range waiting {
		select {
		case c <- originAnswer{from: from, version: r.Version}:
		default: // more than all routers that were asked have answered
		}
	}
}

// send sends a message. A record that is lost costs one of its copies, a question is asked again.
func (x *originExchange) send(addr string, m origins.Message) {
	b, err := m.Encode()
	if err == nil {
		b, err = relay.EncodeOrigins(b)
	}
	if err != nil {
		slog.Error("a message about streams could not be encoded", "error", err)
		return
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		slog.Error("a router has an invalid address", "addr", addr, "error", err)
		return
	}
	if _, err := x.packets.WriteTo(b, net.UDPAddrFromAddrPort(to)); err == nil {
		meshBytes.Add(meshOriginsSent, int64(len(b)))
	}
}
