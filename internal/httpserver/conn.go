package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// minHeadBuffer is the size in bytes of the first buffer for a head that does not arrive at once. Each further
	// one is twice as large.
	minHeadBuffer = 2 << 10
	// lingerTime and lingerBytes bound how long a connection stays open after a refusal, and how much of what still
	// arrives is dropped. A connection that is closed while bytes arrive is reset, and the caller may lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
	// manyFields is the number of header fields from which on requests take turns to have their heads parsed, and
	// turnTimeout how long one waits for its turn. The field of three bytes takes as long to parse as any other.
	manyFields  = 128
	turnTimeout = time.Second
	// memoryRetryAfter is when a caller may return for whose head there is no memory, in seconds. What takes the memory
	// are requests that are served, for some seconds.
	memoryRetryAfter = 1
)

// refusal is why a head is refused.
type refusal string

// Reasons of refusals.
const (
	refusedTooLarge refusal = "header-too-large"
	refusedTimeout  refusal = "request-timeout"
	refusedMemory   refusal = "queue-full"
)

// longAgo is a deadline that ends all reading.
var longAgo = time.Unix(1, 0)

// statuses holds the statuses of refusals. 408 and 503 promise that the request has not run and never will.
var statuses = map[refusal]int{
	refusedTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	refusedTimeout:  http.StatusRequestTimeout,
	refusedMemory:   http.StatusServiceUnavailable,
}

var refusedHeads = telemetry.NewFamily[refusal]("httpserver_refused_heads_total", "reason",
	"Requests that were refused before their heads were parsed: too large, too slow, or without memory for them.", telemetry.Alert)

// conn is a connection of a caller. It lets net/http read the head of a request once all of it has arrived, and
// replaces the timeouts of the server by those of the limits.
type conn struct {
	net.Conn
	server  *Server
	claim   *budget.Claim
	closing sync.Once

	lingers atomic.Bool   // the caller may still send when net/http closes the connection
	aborted chan struct{} // closed when the connection is closed to make room
	hasTurn atomic.Bool   // to have a costly head parsed

	phase   atomic.Uint32 // a budget.Phase
	since   atomic.Int64  // when it began, in nanoseconds since the server began
	writing atomic.Int64  // when the write began that has not returned, likewise; zero: none

	// The goroutine that reads owns the fields below. net/http lets one at a time read.
	buffer    []byte // received, and not read by net/http
	claimed   int64  // of claim, for buffer
	headLeft  int    // bytes of buffer that are a head, or the rest of one
	body      int64  // length of the request's body as headScan found it
	bodyLeft  int64  // bytes of the request's body that net/http has not read
	afterHead bool   // the head of a request has been read, and no new one has begun
	noMore    bool   // no further request is read
}

func newConn(c net.Conn, s *Server) *conn {
	out := &conn{Conn: c, server: s, aborted: make(chan struct{})}
	out.claim = s.config.Memory.NewClaim(func() { _ = c.SetReadDeadline(longAgo) })
	out.enter(budget.PhaseSilent)
	return out
}

// enter begins a phase.
func (c *conn) enter(p budget.Phase) {
	c.since.Store(int64(c.server.age()))
	c.phase.Store(uint32(p))
}

// age returns how long the server has been there.
func (s *Server) age() time.Duration { return time.Since(s.began) }

// state returns the state of the connection. Another goroutine may change it meanwhile.
func (c *conn) state() budget.Connection {
	now := c.server.age()
	if began := c.writing.Load(); began > 0 {
		return budget.Connection{Phase: budget.PhaseWrite, Age: now - time.Duration(began)}
	}
	return budget.Connection{Phase: budget.Phase(c.phase.Load()), Age: now - time.Duration(c.since.Load())}
}

// Close implements net.Conn. net/http calls it when it has done with the connection. Where the caller may still send, what
// arrives is dropped for a while first, as a connection that is closed with unread bytes is reset, and the caller may lose
// the response.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.claim.Release()
		c.endTurn()
		if !c.lingers.Load() || c.isAborted() {
			c.finish()
			return
		}
		c.enter(budget.PhaseClosing)
		go func() {
			c.drain()
			c.finish()
		}()
	})
	return nil
}

// finish closes the connection, which no longer counts as open then.
func (c *conn) finish() {
	if c.isAborted() {
		_ = c.raw().Close() // it is closed
	} else {
		_ = c.Conn.Close() // fails only on a closed connection
	}
	c.server.remove(c)
}

// drain ends the sending side, and drops what arrives within lingerTime and lingerBytes.
func (c *conn) drain() {
	raw := c.raw()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || raw.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, raw, lingerBytes) // ends with an error unless all of it comes
}

// CloseWrite ends the connection as Close does. net/http calls it if it has left a part of a body unread, and waits for a
// while before it calls Close.
func (c *conn) CloseWrite() error {
	c.lingers.Store(true)
	return c.Close()
}

// abort closes the connection to make room for another, without waiting for the caller: a TLS connection would write a last
// message first. It counts as open until net/http has done with it, and takes memory until then.
func (c *conn) abort() {
	close(c.aborted)
	_ = c.raw().Close() // fails only on a closed connection
}

// isAborted reports whether the connection is closed to make room.
func (c *conn) isAborted() bool {
	select {
	case <-c.aborted:
		return true
	default:
		return false
	}
}

// raw returns the connection below TLS.
func (c *conn) raw() net.Conn {
	if wrapped, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return c.Conn
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Store(int64(c.server.age()))
	defer c.writing.Store(0)
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. It replaces a deadline that the server derived from a sentinel by that of the
// limit, and takes from it what the server reads next.
func (c *conn) SetReadDeadline(at time.Time) error {
	now := time.Now()
	switch remaining := at.Sub(now); {
	case at.IsZero():
		switch budget.Phase(c.phase.Load()) {
		case budget.PhaseHead: // net/http has parsed all of it
			c.afterHead = true
			c.endTurn()
			if c.bodyLeft == 0 {
				c.enter(budget.PhaseWork)
				break
			}
			// net/http may wait for the body by itself, for as long as the caller likes. A handler that reads it sets
			// another deadline.
			c.enter(budget.PhaseBody)
			at = now.Add(c.server.config.Limits().HeadTime)
		case budget.PhaseBody, budget.PhaseClosing:
			c.enter(budget.PhaseWork)
		}
	case remaining > idleTimeoutSentinel-sentinelSlack:
		c.beginHead(budget.PhaseIdle)
		at = now.Add(c.server.config.Limits().IdleTime)
	case remaining > headTimeoutSentinel-sentinelSlack:
		if phase := budget.Phase(c.phase.Load()); phase == budget.PhaseHead || phase == budget.PhaseIdle {
			return nil // the deadline was set at the first byte
		}
		c.beginHead(budget.PhaseSilent)
		at = now.Add(c.server.config.Limits().HeadTime)
	case remaining > 0:
		c.enter(budget.PhaseBody)
	}
	return c.Conn.SetReadDeadline(at)
}

// endBody records that all of the body has been read.
func (c *conn) endBody() {
	if budget.Phase(c.phase.Load()) != budget.PhaseBody {
		return
	}
	c.enter(budget.PhaseWork)
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// beginHead prepares for the head of a request.
func (c *conn) beginHead(p budget.Phase) {
	c.afterHead = false
	c.enter(p)
}

// endRequest releases what a request has held, once its response has been written.
func (c *conn) endRequest() {
	c.claim.Release()
	c.claimed = 0
	if len(c.buffer) > 0 { // what the caller has sent ahead
		c.claimed = int64(cap(c.buffer))
		if c.claim.Grow(time.Now(), c.claimed) != nil {
			c.noMore = true
			c.drop()
		}
	}
}

// Read implements net.Conn. While net/http expects the head of a request, Read returns when all of it has arrived.
// After that it returns no more than the request's body, so that the head of the next request is not parsed while it
// arrives.
func (c *conn) Read(p []byte) (int, error) {
	if c.afterHead {
		return c.readBody(p)
	}
	if c.headLeft == 0 {
		if n, err := c.receiveHead(p); n > 0 || err != nil {
			return n, err
		}
	}
	n := copy(p[:min(len(p), c.headLeft)], c.buffer)
	c.headLeft -= n
	c.discard(n)
	return n, nil
}

// readBody reads the body of a request, or what arrives while it is served.
func (c *conn) readBody(p []byte) (int, error) {
	p = p[:min(int64(len(p)), max(c.bodyLeft, 1))]
	if len(p) == 0 {
		return 0, nil
	}
	n, err := 0, error(nil)
	if len(c.buffer) > 0 {
		n = copy(p, c.buffer)
		c.discard(n)
	} else {
		n, err = c.Conn.Read(p)
		if n == len(p) && n > 1 {
			runtime.Gosched() // more has arrived: others take turns with callers that send faster than can be read
		}
	}
	if c.bodyLeft != unknownLength && c.bodyLeft > 0 {
		if c.bodyLeft -= int64(n); c.bodyLeft <= 0 {
			c.bodyLeft = 0
			c.endBody()
		}
	}
	return n, err
}

// discard removes n bytes from the beginning of the buffer, which net/http has read.
func (c *conn) discard(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.drop()
	}
}

// drop frees the buffer.
func (c *conn) drop() {
	c.buffer = nil
	c.claim.Shrink(c.claimed)
	c.claimed = 0
}

// receiveHead receives the head of a request. It returns the number of bytes in p if all of the head has arrived there,
// with no more than its body. Otherwise it returns zero, and the head is the first headLeft bytes of the buffer.
func (c *conn) receiveHead(p []byte) (int, error) {
	if c.noMore {
		return 0, io.EOF
	}
	var scan headScan
	limit := c.server.config.Limits()
	if len(c.buffer) > 0 {
		c.beginsToArrive(limit)
		c.claim.SetIncomplete(time.Now())
		c.awaitPause()
		c.headLeft = scan.feed(c.buffer)
	} else {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		c.beginsToArrive(limit)
		end := scan.feed(p[:n])
		if scan.ended && int64(n-end) <= scan.body {
			if err := c.endHead(&scan, limit, int64(n-end)); err != nil {
				return 0, err
			}
			return n, nil
		}
		if err := c.keep(p[:n]); err != nil {
			return 0, c.refuse(refusedMemory)
		}
		c.headLeft = end
	}
	for !scan.ended {
		if scan.size() > limit.HeadBytes+maxIgnoredBytes {
			return 0, c.refuse(refusedTooLarge)
		}
		arrived := len(c.buffer)
		if err := c.receiveMore(limit.HeadBytes); err != nil {
			return 0, c.refuseReading(err)
		}
		c.headLeft += scan.feed(c.buffer[arrived:])
	}
	return 0, c.endHead(&scan, limit, 0)
}

// awaitPause waits until a request that was sent ahead may be read, or the connection is closed to make room. Otherwise
// callers that send requests as fast as they are answered, and read no answers, would take the processor from those that
// wait for theirs.
func (c *conn) awaitPause() {
	select {
	case c.server.ahead <- struct{}{}:
		time.Sleep(aheadPause)
		<-c.server.ahead
	case <-c.aborted:
	}
}

// awaitTurn waits until a head of many fields may be parsed, and reports whether that was within turnTimeout. The turn ends
// when net/http has parsed it. Otherwise callers that send such heads would take the processor from all others.
func (c *conn) awaitTurn() bool {
	if c.hasTurn.Load() {
		return true
	}
	timer := time.NewTimer(turnTimeout)
	defer timer.Stop()
	select {
	case c.server.costly <- struct{}{}:
		c.hasTurn.Store(true)
		return true
	case <-timer.C:
	case <-c.aborted:
	}
	return false
}

// endTurn ends the turn of the connection, if it has one.
func (c *conn) endTurn() {
	if c.hasTurn.Swap(false) {
		<-c.server.costly
	}
}

// beginsToArrive records that the first bytes of a head have arrived.
func (c *conn) beginsToArrive(limit Limits) {
	if c.phase.Load() == uint32(budget.PhaseIdle) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(limit.HeadTime)) // fails only on a closed connection
	}
	c.enter(budget.PhaseHead)
}

// endHead claims the memory that a complete head takes once it is parsed. inBody is how many bytes of the body net/http
// reads with it.
func (c *conn) endHead(scan *headScan, limit Limits, inBody int64) error {
	if scan.size() > limit.HeadBytes+maxIgnoredBytes {
		return c.refuse(refusedTooLarge)
	}
	if scan.lines > manyFields && !c.awaitTurn() {
		return c.refuse(refusedMemory)
	}
	if err := c.claim.Grow(time.Now(), scan.parsedBytes()); err != nil {
		return c.refuse(refusedMemory)
	}
	if c.claim.SetComplete() != nil {
		return c.refuse(refusedMemory)
	}
	c.body, c.bodyLeft = scan.body, scan.body
	if scan.body == unknownLength {
		c.noMore = true // where it ends is known to net/http only
	} else {
		c.bodyLeft -= inBody
	}
	return nil
}

// knowsBody reports whether the request's body ends where headScan says, given its length according to net/http. It must
// be called before the body is read. If it does not, because the length stands in a line that is folded or padded, where
// the body ends is known to net/http only.
func (c *conn) knowsBody(length int64) bool {
	if c.body == length {
		return true
	}
	if length != 0 { // otherwise net/http may be reading already
		c.bodyLeft, c.noMore = unknownLength, true
	}
	return false
}

// keep puts received bytes into a new buffer, in which the rest of their request is awaited.
func (c *conn) keep(b []byte) error {
	size, now := max(minHeadBuffer, len(b)), time.Now()
	c.claim.SetIncomplete(now)
	if err := c.claim.Grow(now, int64(size)); err != nil {
		return err
	}
	c.buffer = append(make([]byte, 0, size), b...)
	c.claimed = int64(size)
	return nil
}

// receiveMore receives more of a head of at most limit bytes into the buffer.
func (c *conn) receiveMore(limit int) error {
	if len(c.buffer) == cap(c.buffer) {
		if err := c.growBuffer(min(2*len(c.buffer), limit) + minHeadBuffer); err != nil {
			return err
		}
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}

// growBuffer moves the buffer to one of size bytes, which is larger.
func (c *conn) growBuffer(size int) error {
	if err := c.claim.Grow(time.Now(), int64(size)); err != nil {
		return err
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	c.claim.Shrink(c.claimed)
	c.claimed = int64(size)
	return nil
}

// refuseReading ends a connection on which a head could not be received.
func (c *conn) refuseReading(err error) error {
	switch {
	case c.claim.SetComplete() != nil, errors.Is(err, budget.ErrNoMemory), errors.Is(err, budget.ErrNoShare), errors.Is(err, budget.ErrReclaimed):
		return c.refuse(refusedMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(refusedTimeout)
	}
	return err
}

// refuse answers a request whose head was not parsed, and returns io.EOF, after which net/http closes the connection
// without an answer of its own.
func (c *conn) refuse(reason refusal) error {
	refusedHeads.Inc(reason)
	c.enter(budget.PhaseClosing)
	c.noMore = true
	c.drop()
	c.claim.Release()
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := io.WriteString(c.Conn, refusalText(reason))
	c.lingers.Store(err == nil)
	return io.EOF
}

// refusalText returns the response to a refused request.
func refusalText(reason refusal) string {
	var b strings.Builder
	status := statuses[reason]
	body := fmt.Sprintf("{\"title\":%q,\"verdict\":\"not-run\"}\n", reason)
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n", status, http.StatusText(status), len(body))
	if reason == refusedMemory {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", memoryRetryAfter)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	return b.String()
}
