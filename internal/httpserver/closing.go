package httpserver

import (
	"io"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

// lingerTime and lingerBytes bound how long a connection stays open after a response to a caller that may still send, and how
// much of what arrives is dropped.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Close implements net.Conn. net/http calls it when it has done with the connection. Where the caller may still send, what
// arrives is dropped for a while first, as a connection that is closed with unread bytes is reset, and the caller may lose
// the response.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.claim.Release()
		c.endTurn()
		c.endServed()
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
