package httpserver

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

// longAgo is a deadline that ends all reading.
var longAgo = time.Unix(1, 0)

// conn is a connection of a caller. It lets net/http read the head of a request once all of it has arrived, and
// replaces the timeouts of the server by those of the limits.
type conn struct {
	net.Conn
	server  *Server
	claim   *budget.Claim
	closing sync.Once

	served atomic.Pointer[string] // party of the request that is served; nil: none is admitted

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

// raw returns the connection below TLS.
func (c *conn) raw() net.Conn {
	return netpeek.Socket(c.Conn)
}

// isHungUp reports whether nobody waits for a response any more, where the server drops such requests.
func (c *conn) isHungUp() bool {
	return c.server.config.DropsHungUp && netpeek.HasHungUp(c.raw())
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

// admit counts the request that is served for a party.
func (c *conn) admit(party string) error {
	if err := c.server.requests.Begin(party); err != nil {
		return err
	}
	c.served.Store(&party)
	return nil
}

// endServed ends what admit began.
func (c *conn) endServed() {
	if party := c.served.Swap(nil); party != nil {
		c.server.requests.End(*party)
	}
}

// endRequest releases what a request has held, once its response has been written.
func (c *conn) endRequest() {
	c.endServed()
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
