package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// codeVerdict is the JSON-RPC error code of an error that carries a verdict.
	codeVerdict = 4000

	// writeTimeout limits a write to a peer that has stopped reading.
	writeTimeout = 3 * time.Second
)

// keepAlive makes the kernel detect idle connections whose peer is gone; a sidecar
// would otherwise keep them for ever. Idle exceeds the time after which a router
// closes an idle connection, so that a healthy one is never probed. With Go's
// default of fifteen seconds, a router with 2,900 sidecars would take part in some
// 400 probes a second, more than the limit for all its control traffic.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 11 * time.Minute, Interval: 30 * time.Second, Count: 3}

// Handler handles the calls and frames that a peer sends.
type Handler interface {
	// HandleCall serves a call in its own goroutine. Its context ends with the
	// connection.
	HandleCall(ctx context.Context, c *Conn, m Method, p Params) (any, error)
	// HandleFrame handles a frame. It is called for one frame at a time, in the
	// order of arrival, so it must not block.
	HandleFrame(c *Conn, f Frame)
}

// Conn is one connection between a router and a sidecar.
type Conn struct {
	rpc       *jsonrpc2.Conn
	transport *transport
	handler   Handler
	ctx       context.Context // ends with the connection
	replyMu   sync.Mutex      // held from setting transport.replyMethod until the reply is written
	pongMu    sync.Mutex      // held while a pong is written
	liveness  liveness

	mu             sync.Mutex
	pendingSubmits map[StreamID]chan submitReply // submits that wait for their reply
}

// NewConn runs the protocol over c until Close, until ctx ends or until c fails.
func NewConn(ctx context.Context, c net.Conn, h Handler) *Conn {
	return newConn(ctx, c, h, nil)
}

// newConn is NewConn with a function that is called once the connection has ended.
func newConn(ctx context.Context, c net.Conn, h Handler, onClose func(*Conn)) *Conn {
	conn := prepareConn(c, h)
	conn.run(ctx, onClose)
	return conn
}

// prepareConn returns a Conn that neither reads nor writes before run.
func prepareConn(c net.Conn, h Handler) *Conn {
	setKeepAlive(c)
	conn := &Conn{transport: newTransport(c, writeTimeout), handler: h, pendingSubmits: make(map[StreamID]chan submitReply)}
	conn.transport.onFrame = conn.handleFrame
	return conn
}

// run starts the protocol. onClose, which may be nil, is called once the connection has ended.
func (c *Conn) run(ctx context.Context, onClose func(*Conn)) {
	ctx, cancel := context.WithCancel(ctx)
	c.ctx = ctx
	c.transport.onClose = func() {
		openConnections.Add(-1)
		cancel()
		if onClose != nil {
			onClose(c)
		}
	}
	openConnections.Add(1)
	c.rpc = jsonrpc2.NewConn(ctx, c.transport, c,
		jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onReceive), jsonrpc2.SetLogger(discardLogger{}))
}

func setKeepAlive(c net.Conn) {
	if tcp, ok := unwrapConn(c).(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without it the connection still works
	}
}

// discardLogger drops what jsonrpc2 logs at the end of a connection, which the
// counters already show.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Handle implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	p := Params{}
	if req.Params != nil {
		p.json = *req.Params
	}
	go c.serveCall(ctx, rpc, req, p)
}

func (c *Conn) serveCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, p Params) {
	m := Method(req.Method)
	reply := &jsonrpc2.Response{ID: req.ID}
	result, err := c.handler.HandleCall(ctx, c, m, p)
	if err == nil {
		err = reply.SetResult(result)
	}
	if err != nil {
		reply.Error = encodeError(err)
	}
	if errors.Is(c.reply(rpc, m, reply), ErrTooLarge) {
		// Without this reply the caller would wait until its context ends.
		e := encodeError(verdict.New(verdict.MayHaveRun, verdict.ReasonTooLarge, "the reply is too large"))
		_ = c.reply(rpc, m, &jsonrpc2.Response{ID: req.ID, Error: e})
	}
}

func (c *Conn) reply(rpc *jsonrpc2.Conn, m Method, r *jsonrpc2.Response) error {
	c.replyMu.Lock()
	defer c.replyMu.Unlock()
	c.transport.replyMethod = m
	return rpc.SendResponse(context.Background(), r)
}

// onSend records the method of the message that is written next, for the counters.
// It is called before WriteObject, under the same lock.
func (c *Conn) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req != nil {
		c.transport.nextMethod = Method(req.Method)
		return
	}
	c.transport.nextMethod = c.transport.replyMethod
}

// onReceive counts the bytes of the call or reply that was read last, under the
// call's method. For a reply, jsonrpc2 passes the call that it belongs to as req.
func (c *Conn) onReceive(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req != nil {
		countFrame(Method(req.Method), c.transport.lastSize)
	}
}

func (c *Conn) handleFrame(f Frame) {
	switch f := f.(type) {
	case Submit:
		go c.serveSubmit(f)
	case submitReply:
		c.deliverReply(f)
	case ping:
		c.sendPong()
	case pong:
		c.onPong()
	default:
		c.handler.HandleFrame(c, f)
	}
}

// sendPong answers a ping in a separate goroutine, since a write can block the
// reading goroutine. While a pong is being written, further pings are not answered.
func (c *Conn) sendPong() {
	if !c.pongMu.TryLock() {
		return
	}
	go func() {
		defer c.pongMu.Unlock()
		_ = c.transport.writeFrame(pong{})
	}()
}

// Call makes a call and waits for its result. An error from the peer keeps its
// verdict. A call that was not completely sent fails with NotRun; one that got no
// reply because ctx or the connection ended fails with MayHaveRun.
func (c *Conn) Call(ctx context.Context, m Method, params, result any) error {
	if ctx.Err() != nil {
		return notSentError(ctx.Err())
	}
	call, err := c.rpc.DispatchCall(ctx, string(m), params)
	if err != nil {
		return notSentError(err)
	}
	return decodeError(call.Wait(ctx, result))
}

func notSentError(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the request is too large to be sent")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "not sent: %s", err)
}

// submit sends a Submit and waits for its reply. Errors are those of Call.
func (c *Conn) submit(ctx context.Context, s Submit) (Admission, error) {
	if ctx.Err() != nil {
		return Admission{}, notSentError(ctx.Err())
	}
	countControl(s.Control)
	reply := make(chan submitReply, 1)
	c.setWaiter(s.Stream, reply)
	defer c.setWaiter(s.Stream, nil)
	if err := c.transport.writeFrame(s); err != nil {
		return Admission{}, notSentError(err)
	}
	select {
	case r := <-reply:
		if r.Error != nil {
			return Admission{}, r.Error
		}
		return r.Admission, nil
	case <-ctx.Done():
		return Admission{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s", ctx.Err())
	case <-c.ctx.Done():
		return Admission{}, errConnectionLost()
	}
}

// setWaiter sets the channel for the reply to a Submit, or removes it if reply is nil.
func (c *Conn) setWaiter(id StreamID, reply chan submitReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply == nil {
		delete(c.pendingSubmits, id)
		return
	}
	c.pendingSubmits[id] = reply
}

// deliverReply sends a reply to the submit that waits for it, at most once.
func (c *Conn) deliverReply(a submitReply) {
	c.mu.Lock()
	reply := c.pendingSubmits[a.Stream]
	delete(c.pendingSubmits, a.Stream)
	c.mu.Unlock()
	if reply != nil {
		reply <- a // the channel's buffer holds one reply
	}
}

func (c *Conn) serveSubmit(s Submit) {
	countControl(s.Control)
	result, err := c.handler.HandleCall(c.ctx, c, MethodSubmit, Params{submit: &s})
	reply := submitReply{Stream: s.Stream, Error: verdict.From(err)}
	if admission, ok := result.(Admission); ok {
		countControl(admission.Control)
		reply.Admission = admission
	}
	_ = c.transport.writeFrame(reply)
}

// Send sends a frame. A frame that exceeds its size limit fails with ErrTooLarge and
// is not sent; after a failed write the connection has ended.
func (c *Conn) Send(f Frame) error {
	if end, ok := f.(End); ok {
		countControl(end.Control)
	}
	return c.transport.writeFrame(f)
}

// Close closes the connection.
func (c *Conn) Close() error {
	return c.rpc.Close()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

func (c *Conn) ended() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// lastRead returns when the last frame was received from the peer.
func (c *Conn) lastRead() time.Time {
	return time.Unix(0, c.transport.lastRead.Load())
}

// Params holds the encoded parameters of a call.
type Params struct {
	json   json.RawMessage
	submit *Submit // set instead of json for a submit
}

// Decode decodes the parameters into v. An error has the verdict NotRun, since the
// call cannot have had any effect.
func (p Params) Decode(v any) error {
	if s, ok := v.(*Submit); ok && p.submit != nil {
		*s = *p.submit
		return nil
	}
	return asBadRequest(json.Unmarshal(p.json, v))
}

func asBadRequest(err error) error {
	if err == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
}

func encodeError(err error) *jsonrpc2.Error {
	e := verdict.From(err)
	out := &jsonrpc2.Error{Code: codeVerdict, Message: e.Error()}
	out.SetError(e)
	return out
}

func decodeError(err error) error {
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) && remote.Code == codeVerdict && remote.Data != nil {
		e := new(verdict.Error)
		if json.Unmarshal(*remote.Data, e) == nil {
			return e
		}
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s", err)
}
