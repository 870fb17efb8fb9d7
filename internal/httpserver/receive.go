package httpserver

import (
	"io"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

const (
	// minHeadBuffer is the size in bytes of the first buffer for a head that does not arrive at once. Each further
	// one is twice as large.
	minHeadBuffer = 2 << 10
	// manyLines is the number of lines beyond which heads take turns to be parsed, and turnTimeout how long one waits
	// for its turn. A field of three bytes takes as long to parse as any other.
	manyLines   = 128
	turnTimeout = time.Second
)

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

// awaitTurn waits until a head of many lines may be parsed, and reports whether that was within turnTimeout. The turn ends
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

// endTurn lets another head of many lines be parsed, if the connection has a turn.
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
	if c.isHungUp() {
		hungUpConns.Inc()
		return io.EOF
	}
	if scan.lines > manyLines && !c.awaitTurn() {
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
