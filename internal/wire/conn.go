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

	// writeTimeout bounds a write to a peer that has stopped reading.
	writeTimeout = 3 * time.Second
)

// keepAlive lets the kernel find idle connections whose other end is gone, which
// a sidecar would keep for ever. It begins later than a router closes an idle
// connection, so that a healthy one is never probed: by Go's default of fifteen
// seconds a router before 2,900 sidecars would take part in some 400 probes a
// second, which is more than all its control traffic may come to.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 11 * time.Minute, Interval: 30 * time.Second, Count: 3}

// Handler serves what a peer sends.
type Handler interface {
	// HandleCall serves a call, on a goroutine of its own. Its context ends
	// with the connection.
	HandleCall(ctx context.Context, c *Conn, m Method, p Params) (any, error)
	// HandleFrame takes a frame. Frames come one after the other in the order
	// of their arrival, so it must not block.
	HandleFrame(c *Conn, f Frame)
}

// Conn is one connection between a router and a sidecar.
type Conn struct {
	rpc     *jsonrpc2.Conn
	link    *transport
	handler Handler
	submit  *Submit    // waits for its call; used by the reading goroutine alone
	submits sync.Mutex // keeps a Submit and its call together
	replies sync.Mutex // keeps link.method right for a reply
	ponging sync.Mutex // held while a pong is written
	pulse   pulse
}

// NewConn runs the protocol over c until Close, until ctx ends or until c fails.
func NewConn(ctx context.Context, c net.Conn, h Handler) *Conn {
	return newConn(ctx, c, h, nil)
}

// newConn calls onClose once the connection has ended.
func newConn(ctx context.Context, c net.Conn, h Handler, onClose func(*Conn)) *Conn {
	setKeepAlive(c)
	conn := &Conn{link: newTransport(c, writeTimeout), handler: h}
	conn.link.onFrame = conn.handleFrame
	if onClose != nil {
		conn.link.onClose = func() { onClose(conn) }
	}
	openConnections.Add(1)
	conn.rpc = jsonrpc2.NewConn(ctx, conn.link, conn,
		jsonrpc2.OnSend(conn.onSend), jsonrpc2.OnRecv(conn.onReceive), jsonrpc2.SetLogger(quiet{}))
	return conn
}

func setKeepAlive(c net.Conn) {
	if tcp, ok := innermost(c).(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without it the connection still works
	}
}

// quiet drops what jsonrpc2 would log at the end of a connection: the counters
// tell of it.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Handle implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	p := Params{}
	if req.Params != nil {
		p.json = *req.Params
	}
	if Method(req.Method) == MethodSubmit {
		p.submit, c.submit = c.submit, nil
	}
	go c.serveCall(ctx, rpc, req, p)
}

func (c *Conn) serveCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, p Params) {
	m := Method(req.Method)
	reply := &jsonrpc2.Response{ID: req.ID}
	result, err := c.handler.HandleCall(ctx, c, m, p)
	if adm, ok := result.(Admission); ok {
		countControl(adm.Control)
	}
	if err == nil {
		err = reply.SetResult(result)
	}
	if err != nil {
		reply.Error = encodeError(err)
	}
	if errors.Is(c.reply(rpc, m, reply), ErrTooLarge) {
		// Without this the caller would wait for a reply that never comes.
		e := encodeError(verdict.New(verdict.MayHaveRun, verdict.ReasonTooLarge, "the reply is too large"))
		_ = c.reply(rpc, m, &jsonrpc2.Response{ID: req.ID, Error: e})
	}
}

func (c *Conn) reply(rpc *jsonrpc2.Conn, m Method, r *jsonrpc2.Response) error {
	c.replies.Lock()
	defer c.replies.Unlock()
	c.link.replying = m
	return rpc.SendResponse(context.Background(), r)
}

// onSend notes what is written next. It is called in front of WriteObject
// under the same lock.
func (c *Conn) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req != nil {
		c.link.method = Method(req.Method)
		return
	}
	c.link.method = c.link.replying
}

// onReceive counts what was read last.
func (c *Conn) onReceive(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req != nil {
		count(Method(req.Method), c.link.size)
	}
}

func (c *Conn) handleFrame(f Frame) {
	switch f := f.(type) {
	case Submit:
		c.submit = &f
	case ping:
		c.pong()
	case pong:
		c.ponged()
	default:
		c.handler.HandleFrame(c, f)
	}
}

// pong answers a ping, away from the reading goroutine since a write can
// block. While one is under way, more pings need no more answers.
func (c *Conn) pong() {
	if !c.ponging.TryLock() {
		return
	}
	go func() {
		defer c.ponging.Unlock()
		_ = c.link.writeFrame(pong{})
	}()
}

// Call makes a call and waits for its result. An error of the peer keeps its
// verdict. A call that was never wholly sent is NotRun; one whose reply did
// not come, because ctx or the connection ended, is MayHaveRun.
func (c *Conn) Call(ctx context.Context, m Method, params, result any) error {
	if ctx.Err() != nil {
		return notSent(ctx.Err())
	}
	waiter, err := c.dispatch(ctx, m, params)
	if err != nil {
		return notSent(err)
	}
	return decodeError(waiter.Wait(ctx, result))
}

func notSent(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the request is too large to be sent")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "not sent: %s", err)
}

func (c *Conn) dispatch(ctx context.Context, m Method, params any) (jsonrpc2.Waiter, error) {
	s, ok := params.(Submit)
	if !ok {
		return c.rpc.DispatchCall(ctx, string(m), params)
	}
	countControl(s.Control)
	c.submits.Lock()
	defer c.submits.Unlock()
	if err := c.link.writeFrame(s); err != nil {
		return jsonrpc2.Waiter{}, err
	}
	return c.rpc.DispatchCall(ctx, string(m), submitRef{Stream: s.Stream})
}

// Send sends a frame. After an error other than ErrTooLarge the connection has
// ended.
func (c *Conn) Send(f Frame) error {
	if end, ok := f.(End); ok {
		countControl(end.Control)
	}
	return c.link.writeFrame(f)
}

// Close ends the connection.
func (c *Conn) Close() error {
	return c.rpc.Close()
}

// Done is closed when the connection has ended.
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

// lastRead is the time at which the peer was heard last.
func (c *Conn) lastRead() time.Time {
	return time.Unix(0, c.link.lastRead.Load())
}

// Params is the content of a call.
type Params struct {
	json   json.RawMessage
	submit *Submit // that came ahead of a submit call
}

// Decode decodes the content into v. An error is NotRun: nobody can have acted
// on the call.
func (p Params) Decode(v any) error {
	s, isSubmit := v.(*Submit)
	if !isSubmit {
		return unreadable(json.Unmarshal(p.json, v))
	}
	var ref submitRef
	if err := json.Unmarshal(p.json, &ref); err != nil {
		return unreadable(err)
	}
	if p.submit == nil || p.submit.Stream != ref.Stream {
		return unreadable(errors.New("the submit did not come with its call"))
	}
	countControl(p.submit.Control)
	*s = *p.submit
	return nil
}

func unreadable(err error) error {
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
