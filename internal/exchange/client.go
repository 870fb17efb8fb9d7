package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// dialTimeout bounds the opening of a connection within a region, where a
	// round trip takes a few milliseconds. Nothing has been sent, so the call goes
	// to another upstream.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle and the two after it find a connection that has gone silent
	// for good: after two unanswered probes, 3 s in all.
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

type dialOutcome string

const (
	dialOpened dialOutcome = "opened"
	dialFailed dialOutcome = "failed"
)

// Client keeps the connections of one router to upstreams.
type Client struct {
	dialect Dialect
	dial    DialFunc

	mu    sync.Mutex
	idle  map[endpoint][]*conn // unused connections, the one used last at the end
	inUse map[*conn]endpoint   // on which calls are under way
}

// endpoint is one incarnation of an upstream. Another one may get its address.
type endpoint struct {
	instance, addr string
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns how connections to upstreams are opened.
func Dialer() DialFunc {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return d.DialContext
}

// NewClient returns a Client that speaks d over connections that dial opens.
func NewClient(d Dialect, dial DialFunc) *Client {
	return &Client{dialect: d, dial: dial, idle: make(map[endpoint][]*conn), inUse: make(map[*conn]endpoint)}
}

// Do makes a call of the upstream on vm and returns when the head of the answer
// is there. pass is asked once, before the first byte is sent, and may forbid
// it. The end of ctx breaks the call off, also after Do has returned.
func (c *Client) Do(ctx context.Context, vm topo.VM, call Call, maySend func() bool) (*Stream, error) {
	at := endpoint{instance: vm.ID, addr: vm.Addr}
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	conn, err := c.getConn(ctx, at)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "%s", err)
	}
	if !maySend() {
		c.putIdle(at, conn)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "given up before it was sent")
	}
	release := c.markInUse(ctx, at, conn)
	c.dialect.Tell(header, call)
	if err := conn.send(call, header); err != nil {
		release()
		_ = conn.Close()
		return nil, lostError(ctx, err)
	}
	resp, signal, err := conn.readResponse(call.Method, call.ID, c.dialect)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, lostError(ctx, err)
	}
	return &Stream{client: c, at: at, conn: conn, resp: resp, eventStream: ofEvents(resp), Signal: signal, release: release}, nil
}

// markInUse marks a connection as busy with a call that the end of ctx breaks off, until
// release is called. It reports whether the call was not broken off.
func (c *Client) markInUse(ctx context.Context, at endpoint, conn *conn) (release func() bool) {
	c.mu.Lock()
	c.inUse[conn] = at
	c.mu.Unlock()
	stop := conn.closeOnDone(ctx)
	return func() bool {
		c.mu.Lock()
		delete(c.inUse, conn)
		c.mu.Unlock()
		return stop()
	}
}

// AbortCalls breaks off the calls of an upstream that has started again. It does not work
// on them any more; if it lost its power or its network, nothing else tells until the
// probes of keepAliveIdle and after have failed, and callers wait for 3 s more for an
// answer that cannot come.
func (c *Client) AbortCalls(vm topo.VM) {
	restarted := endpoint{instance: vm.ID, addr: vm.Addr}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, at := range c.inUse {
		if at == restarted {
			abortedCalls.Inc()
			_ = conn.Close() // the call's own goroutine finds it closed
		}
	}
}

// lostError is the error of a call that was sent, in whole or in part, and got no
// answer.
func lostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", ctx.Err())
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s", err)
}

// getConn returns an unused connection, the one used last first, or a new one.
func (c *Client) getConn(ctx context.Context, at endpoint) (*conn, error) {
	now := time.Now()
	for {
		conn := c.takeIdle(at)
		if conn == nil {
			break
		}
		if now.Before(conn.expires) && conn.reusable() {
			reuses.Inc()
			return conn, nil
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", at.addr)
	if err != nil {
		dials.Inc(dialFailed)
		return nil, errors.WithStack(err)
	}
	dials.Inc(dialOpened)
	return newConn(raw), nil
}

func (c *Client) takeIdle(at endpoint) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[at]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[at] = conns[:len(conns)-1]
	return last
}

func (c *Client) putIdle(at endpoint, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	c.idle[at] = append(c.idle[at], conn)
}

// CloseIdle closes the unused connections that have expired, or whose upstream is
// not among vms any more.
func (c *Client) CloseIdle(now time.Time, vms map[string]topo.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, conns := range c.idle {
		vm, listed := vms[at.instance]
		removed := !listed || vm.Addr != at.addr
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
			delete(c.idle, at)
		} else {
			c.idle[at] = remaining
		}
	}
}
