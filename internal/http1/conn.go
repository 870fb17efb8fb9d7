// Package http1 decides which HTTP/1.1 responses are valid and whole: what a head may hold (HeadChecker), and when a body is
// whole whose end is marked by the end of its connection alone (Conn.ConfirmEnd). Each client of the module that reads
// responses uses it: package exchange on connections of its own, the others through Transport.
package http1

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

const (
	// EndTimeout bounds how long the end of a request is awaited once the response has ended with the connection.
	EndTimeout = 5 * time.Second

	// minAckPause and maxAckPause are the first and the longest pause between two looks at what the other side has
	// acknowledged.
	minAckPause = time.Millisecond
	maxAckPause = 20 * time.Millisecond
)

// Conn is a connection that remembers its first failure. A socket reports a reset once, to whoever reads or writes next,
// so that the other direction would see a regular end. One goroutine reads at a time, and one writes.
type Conn struct {
	net.Conn
	failure atomic.Pointer[error] // first error of either direction, other than a timeout or a regular end
	ended   bool                  // Read has met a regular end
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NetConn returns the connection that c was made of.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. It repeats the first error, and returns io.EOF only if neither direction has failed.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		c.ended = true
		if failure := c.failed(); failure != nil {
			err = failure
		}
		return n, err
	}
	c.Fail(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Fail(err)
	return n, err
}

// Close implements net.Conn. An end that was not confirmed before is not confirmed any more.
func (c *Conn) Close() error {
	c.Fail(net.ErrClosed)
	return c.Conn.Close()
}

// Fail records an error that ends the use of the connection, unless there was one before. Nil and timeouts are none.
func (c *Conn) Fail(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// failed returns the first failure of either direction; nil: there was none.
func (c *Conn) failed() error {
	if err := c.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// ConfirmEnd returns nil if a body that has ended with the connection is whole: the request was written, the other
// side has received it, and neither direction has failed. A connection whose other side has closed it with a part of the
// request unread is reset, which shows up only after the regular end that it has sent before. ConfirmEnd waits at most
// until the given time for the end of the request.
func (c *Conn) ConfirmEnd(request *Upload, until time.Time) error {
	socket := netpeek.Socket(c.Conn)
	atEnd, _ := netpeek.TransmissionOf(socket)
	if err := request.wait(until); err != nil {
		return err
	}
	for pause := minAckPause; ; pause = min(2*pause, maxAckPause) {
		received, err := c.hasReceived(socket, request, atEnd)
		if received || err != nil {
			return err
		}
		if !time.Now().Before(until) {
			return ErrUnfinished
		}
		time.Sleep(pause)
	}
}

// hasReceived reports whether the other side has received a request that was written, and returns an error if either direction
// has failed. A socket that can't be inspected counts as one that has. atEnd is the state at the end of the response.
func (c *Conn) hasReceived(socket net.Conn, request *Upload, atEnd netpeek.Transmission) (bool, error) {
	// Failures are looked for after this, so that a reset that comes between is seen.
	sent, known := netpeek.TransmissionOf(socket)
	if err := c.failed(); err != nil {
		return false, err
	}
	if !netpeek.HasFailed(socket) {
		return !known || sent.Unacknowledged == 0, nil
	}
	if sent, known = netpeek.TransmissionOf(socket); known && isResetOfRepeat(atEnd, sent, request.bytes) {
		return true, nil
	}
	return false, errReset
}

// isResetOfRepeat reports whether a reset after the regular end of a response has answered a repetition of the last bytes of
// a request of requestBytes, which had been received. A process that has read all of it and closes the connection may do so
// before these bytes, less than two segments, are acknowledged. If its kernel remembers nothing of the connection then, it
// answers their repetition with a reset. Bytes that arrive after a close with a part unread are answered with a reset the
// first time, unless the machine is so busy that they are repeated before. A process that answers and closes at once has
// read less than half of a long request.
func isResetOfRepeat(atEnd, now netpeek.Transmission, requestBytes uint64) bool {
	isTail := now.Unsent == 0 && now.Unacknowledged > 0 && now.Unacknowledged < 2*now.SegmentBytes && 2*now.Unacknowledged < requestBytes
	return isTail && now.Retransmitted-atEnd.Retransmitted >= now.Unacknowledged
}

// errReset reports that the other side has reset the connection after it had ended its sending side.
var errReset = errors.New("http1: the connection was reset after the end of the response")
