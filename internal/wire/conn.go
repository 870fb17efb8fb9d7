package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// codeVerdict is the JSON-RPC error code of an error that carries a verdict.
const codeVerdict = 4000

// Handler serves what a peer sends. Calls run on a goroutine each;
// notifications run one after the other in the order of their arrival, so they
// must not block.
type Handler interface {
	HandleCall(ctx context.Context, c *Conn, m Method, params json.RawMessage) (any, error)
	HandleNotification(c *Conn, m Method, params json.RawMessage)
}

// Conn is one connection between a router and a sidecar.
type Conn struct {
	rpc     *jsonrpc2.Conn
	stream  *frameStream
	handler Handler
	active  atomic.Int64
}

// NewConn runs the protocol over c until Close or until c fails.
func NewConn(ctx context.Context, c net.Conn, h Handler) *Conn {
	conn := &Conn{stream: newFrameStream(c), handler: h}
	conn.rpc = jsonrpc2.NewConn(ctx, conn.stream, conn)
	return conn
}

// Handle implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		c.handler.HandleNotification(c, Method(req.Method), params)
		return
	}
	go c.serveCall(ctx, rpc, req, params)
}

func (c *Conn) serveCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	result, err := c.handler.HandleCall(ctx, c, Method(req.Method), params)
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

// Call makes a call and waits for its result. An error of the peer keeps its
// verdict; a failure of the connection is MayHaveRun.
func (c *Conn) Call(ctx context.Context, m Method, params, result any) error {
	err := c.rpc.Call(ctx, string(m), params, result)
	return decodeError(err)
}

// Notify sends a notification.
func (c *Conn) Notify(m Method, params any) error {
	return c.rpc.Notify(context.Background(), string(m), params)
}

// Close ends the connection.
func (c *Conn) Close() error {
	return c.rpc.Close()
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// LastRead is the time at which the peer was heard last.
func (c *Conn) LastRead() time.Time {
	return time.Unix(0, c.stream.lastRead.Load())
}

// Bytes returns how many bytes the connection has read and written.
func (c *Conn) Bytes() (read, written int64) {
	return c.stream.read.Load(), c.stream.written.Load()
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
