package exchange

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// dialTimeout bounds the opening of a connection. Within a region a round trip
	// takes a few milliseconds. After a timeout nothing has been sent, so the call
	// can go to another upstream.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection
	// after two unanswered probes, 3 s in all.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var (
	strayAnswers = telemetry.NewCounter("exchange_stray_answers_total",
		"Answers of upstreams that were dropped because they belong to another call.")
	dials = telemetry.NewFamily[dialOutcome]("exchange_dials_total", "outcome",
		"Connections opened to upstreams without a sidecar, by what came of it.")
	abortedCalls = telemetry.NewCounter("exchange_abandoned_calls_total",
		"Calls of upstreams that were broken off since their upstream had started again.")
	reuses = telemetry.NewCounter("exchange_reuses_total",
		"Calls of upstreams over a connection that had served another.")
)

// dialOutcome is the result of opening a connection.
type dialOutcome string

const (
	dialOpened dialOutcome = "opened"
	dialFailed dialOutcome = "failed"
)

// Client calls upstreams and keeps the connections of one router to them. It is safe
// for concurrent use.
type Client struct {
	dialect Dialect
	dial    DialFunc

	// lateSignal handles what an upstream says in an answer that no call waits for; nil: dropped.
	lateSignal func(vm topo.VM, signal Signal)
	// idleClosed handles that an upstream has closed an idle connection before it announced to; nil: not needed.
	idleClosed func(vm topo.VM)

	mu        sync.Mutex
	idle      map[endpoint][]*conn // least recently used first
	inUse     map[*conn]endpoint   // connections with a call in progress
	lingering int                  // calls that were left and whose heads are still read
	checking  map[endpoint]bool    // upstreams that Refuses is checking
}

// endpoint identifies one incarnation of an upstream by the id of its VM entry, which is
// new for each incarnation, and its address. The address alone does not identify it:
// another incarnation may get it later.
type endpoint struct {
	instance, addr string
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns the DialFunc for upstreams, with TCP keep-alive probes.
func Dialer() DialFunc {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return d.DialContext
}

// NewClient returns a Client that uses the headers of d, over connections that dial opens.
func NewClient(d Dialect, dial DialFunc) *Client {
	return &Client{
		dialect: d, dial: dial, idle: make(map[endpoint][]*conn), inUse: make(map[*conn]endpoint),
		checking: make(map[endpoint]bool),
	}
}

// HandleLateSignals sets the function that handles what an upstream says of itself in an answer to a
// call that was left, or that was answered before. It must be set before the first call.
func (c *Client) HandleLateSignals(handle func(vm topo.VM, signal Signal)) {
	c.lateSignal = handle
}

// HandleIdleClosed sets the function that is called when an upstream has closed an idle connection before the time that
// it had named, which it does if it ends. It must be set before the first call.
func (c *Client) HandleIdleClosed(handle func(vm topo.VM)) {
	c.idleClosed = handle
}

// HasOpenSince reports whether a connection to an incarnation of an upstream that was opened before a time is idle, and
// still open: the upstream has not ended since.
func (c *Client) HasOpenSince(vm topo.VM, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[endpoint{instance: vm.ID, addr: vm.Addr}], func(conn *conn) bool {
		return conn.opened.Before(at) && netpeek.Peek(conn.NetConn()) == netpeek.Idle
	})
}

// Do calls the upstream on vm and returns once the head of the response has arrived.
// maySend is called once, before the first byte is sent, with the time at which the connection was opened; if it
// returns false, nothing is sent. The end of ctx aborts the call, also after Do has returned; Do itself may then
// return only when the call is due, see leave. An error is a *verdict.Error.
func (c *Client) Do(ctx context.Context, vm topo.VM, call Call, maySend func(opened time.Time) bool) (*Stream, error) {
	ep := endpoint{instance: vm.ID, addr: vm.Addr}
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	conn, err := c.getConn(ctx, vm, ep)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "%s", err)
	}
	if !maySend(conn.opened) {
		c.putIdle(ep, conn)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the call was cancelled before it was sent")
	}
	release := c.markInUse(ctx, ep, conn, call.Due)
	if !call.Due.IsZero() {
		call.TimeLeft = max(time.Until(call.Due), time.Millisecond)
	}
	c.dialect.SetHeaders(header, call)
	if err := conn.send(call, header); err != nil {
		release()
		_ = conn.Close()
		return nil, lostError(ctx, err)
	}
	resp, signal, err := c.awaitResponse(ctx, vm, conn, call)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, lostError(ctx, err)
	}
	resp.Body = eventstream.Body(resp)
	return &Stream{client: c, endpoint: ep, conn: conn, resp: resp, eventStream: eventstream.IsStream(resp.Header), Signal: signal, release: release}, nil
}

// markInUse records that a connection has a call in progress, until release is called.
// The end of ctx aborts the call, which is due at a time. release returns false if ctx has ended, so that the
// connection is closed or about to be, or if release was called before.
func (c *Client) markInUse(ctx context.Context, ep endpoint, conn *conn, due time.Time) (release func() bool) {
	c.mu.Lock()
	c.inUse[conn] = ep
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { c.leave(conn, due) })
	return func() bool {
		c.mu.Lock()
		delete(c.inUse, conn)
		c.mu.Unlock()
		return stop()
	}
}

// AbortCalls aborts the calls in progress to the incarnation vm of an upstream, after
// another incarnation has replaced it. The upstream no longer works on these calls. If it
// lost its power or its network, the router would otherwise notice only when the
// keep-alive probes have failed, and callers would wait 3 s longer for a response that
// cannot come.
func (c *Client) AbortCalls(vm topo.VM) {
	former := endpoint{instance: vm.ID, addr: vm.Addr}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, ep := range c.inUse {
		if ep == former {
			abortedCalls.Inc()
			_ = conn.Close() // the goroutine of the call gets the error
		}
	}
}

// lostError returns the error of a call that was sent, in whole or in part, and got no
// response.
func lostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", ctx.Err())
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s", err)
}

// getConn returns the most recently used idle connection that is still usable, or a
// new one.
func (c *Client) getConn(ctx context.Context, vm topo.VM, ep endpoint) (*conn, error) {
	now := time.Now()
	for {
		conn := c.takeIdle(ep)
		if conn == nil {
			break
		}
		if now.Before(conn.expires) && conn.reusable() {
			reuses.Inc()
			return conn, nil
		}
		if now.Before(conn.expires) && c.idleClosed != nil && netpeek.Peek(conn.NetConn()) == netpeek.Closed {
			c.idleClosed(vm)
		}
		_ = conn.Close()
	}
	return c.openConn(ctx, ep)
}

// openConn opens a connection.
func (c *Client) openConn(ctx context.Context, ep endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", ep.addr)
	if err != nil {
		dials.Inc(dialFailed)
		return nil, errors.WithStack(err)
	}
	dials.Inc(dialOpened)
	return newConn(raw), nil
}

// takeIdle removes and returns the most recently used idle connection; nil: there is none.
func (c *Client) takeIdle(ep endpoint) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[ep]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[ep] = conns[:len(conns)-1]
	return last
}

// putIdle keeps a connection for the next call.
func (c *Client) putIdle(ep endpoint, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	c.idle[ep] = append(c.idle[ep], conn)
}

// CloseIdle closes the idle connections that have expired, or whose upstream is no
// longer among vms.
func (c *Client) CloseIdle(now time.Time, vms map[string]topo.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, conns := range c.idle {
		vm, listed := vms[ep.instance]
		removed := !listed || vm.Addr != ep.addr
		remaining := conns[:0]
		for _, conn := range conns {
			if removed || !now.Before(conn.expires) {
				_ = conn.Close()
			} else {
				remaining = append(remaining, conn)
			}
		}
		clear(conns[len(remaining):])
		if len(remaining) == 0 {
			delete(c.idle, ep)
		} else {
			c.idle[ep] = remaining
		}
	}
}
