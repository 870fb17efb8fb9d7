package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// lingerTimeout is how long the head of a response is still read after its call was left, if the
	// call has no deadline.
	lingerTimeout = time.Second
	// lingerMargin is how long after a call was due the answer of an upstream may arrive that rejects
	// it then.
	lingerMargin = 500 * time.Millisecond
	// maxLingerTimeout bounds the time for a call with a deadline.
	maxLingerTimeout = 15 * time.Second
	// maxLingering bounds the calls that were left and whose heads are still read. There is no bound
	// for each upstream: if one holds all requests that it gets, each of its answers may ask for a
	// longer pause.
	maxLingering = 512
)

var (
	leftCalls = telemetry.NewFamily[leftOutcome]("exchange_left_calls_total", "outcome",
		"Calls of upstreams that were left before their answer began, by whether its head was still read.")
	lingeringCalls = telemetry.NewGauge("exchange_lingering_connections",
		"Connections to upstreams of calls that were left, on which the head of an answer is still awaited.")
)

// leftOutcome is what became of the answer to a call that was left.
type leftOutcome string

const (
	leftAnswered   leftOutcome = "answered"   // its head arrived and was read
	leftUnanswered leftOutcome = "unanswered" // none came in time, or the connection ended
	leftClosed     leftOutcome = "closed"     // the connection was closed at once
)

// leave ends a call that nobody waits for any more. An upstream drops a request when the bytes from
// its router end.
//
// While the head of the response has not been read, only the sending side is closed, and the reader
// goes on until the call is due: an upstream works no longer. It may still answer that it leaves or wants
// a pause; if the connection were closed, nothing would read that, and the upstream would get further
// requests.
func (c *Client) leave(conn *conn, due time.Time) {
	if !c.beginLinger(conn) || closeWrite(conn) != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(lingerUntil(time.Now(), due)) // fails only on a closed connection
}

// lingerUntil returns until when the head of the response to a call that is left now is read. A zero
// due means that the call has no deadline.
func lingerUntil(now, due time.Time) time.Time {
	if due.IsZero() {
		return now.Add(lingerTimeout)
	}
	return now.Add(min(max(due.Sub(now), 0)+lingerMargin, maxLingerTimeout))
}

// closeWrite closes the sending side of a connection, or all of it if it has no such operation.
func closeWrite(c *conn) error {
	if half, ok := c.NetConn().(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// awaitResponse reads the head of the response to a call that was sent. If the call is left
// meanwhile, it passes the signal of a head that still arrives to the handler of late signals, and
// returns an error.
func (c *Client) awaitResponse(ctx context.Context, vm topo.VM, conn *conn, call Call) (*http.Response, Signal, error) {
	c.setAwaitsHead(conn, true)
	stray := func(s Signal) { c.handleLateSignal(vm, s) }
	resp, signal, err := conn.readResponse(call.Method, call.ID, c.dialect, stray)
	c.setAwaitsHead(conn, false)
	if ctx.Err() == nil {
		return resp, signal, err
	}
	lingered := c.endLinger(conn)
	switch {
	case err == nil:
		leftCalls.Inc(leftAnswered)
		c.handleLateSignal(vm, signal)
	case lingered:
		leftCalls.Inc(leftUnanswered)
	default:
		leftCalls.Inc(leftClosed)
	}
	runsOn := err == nil && !signal.NotRun && eventstream.IsStream(resp.Header)
	if end, heard := leftEnd(signal, err); heard && !runsOn && (lingered || err == nil) && call.AfterLeft != nil {
		call.AfterLeft(end)
	}
	return nil, Signal{}, ctx.Err()
}

// leftEnd returns what the head of a response, or the error with which it was awaited, says of a call that
// was left, and whether it says anything: the wait ends without a word when the call is due.
func leftEnd(head Signal, err error) (end LeftEnd, heard bool) {
	switch {
	case err == nil && head.NotRun:
		return LeftRejected, true
	case err == nil:
		return LeftAnswered, true
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return 0, false
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return LeftClosed, true
	}
	return LeftReset, true
}

func (c *Client) setAwaitsHead(conn *conn, awaits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.awaitsHead = awaits
}

// beginLinger reports whether the call on a connection lingers from now on.
func (c *Client) beginLinger(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.awaitsHead || c.lingering >= maxLingering {
		return false
	}
	conn.lingers = true
	c.lingering++
	lingeringCalls.Set(int64(c.lingering))
	return true
}

// endLinger reports whether the call on a connection has lingered, and ends that.
func (c *Client) endLinger(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.lingers {
		return false
	}
	conn.lingers = false
	c.lingering--
	lingeringCalls.Set(int64(c.lingering))
	return true
}

// handleLateSignal passes on what an upstream says of itself in an answer that no call waits for.
func (c *Client) handleLateSignal(vm topo.VM, signal Signal) {
	if c.lateSignal != nil {
		c.lateSignal(vm, signal)
	}
}
