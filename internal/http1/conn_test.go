package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

// scriptedConn is a connection whose reads and writes end with given errors.
type scriptedConn struct {
	net.Conn
	readErr, writeErr error
}

func (c *scriptedConn) Read([]byte) (int, error)  { return 0, c.readErr }
func (c *scriptedConn) Close() error              { return nil }
func (c *scriptedConn) Write([]byte) (int, error) { return 0, c.writeErr }

// A socket reports a reset to the goroutine that writes a request, and a regular end to the one that reads the response.
// Guards against taking that end for the end of the response.
func TestFailureOfAWriteEndsReading(t *testing.T) {
	c := NewConn(&scriptedConn{readErr: io.EOF, writeErr: syscall.ECONNRESET})
	_, _ = c.Write([]byte("x"))
	for range 2 {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("error %v", err)
		}
	}
}

// A reset is reported to one read, and the next would see a regular end. Guards against a body that looks complete after
// it has failed.
func TestReadRepeatsItsFirstError(t *testing.T) {
	raw := &scriptedConn{readErr: syscall.ECONNRESET}
	c := NewConn(raw)
	_, _ = c.Read(make([]byte, 1))
	raw.readErr = io.EOF
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v", err)
	}
}

// A call is aborted while the end of its response waits for that of the request. Guards against a response that is confirmed
// because its socket can't be looked at any more.
func TestClosedConnectionConfirmsNothing(t *testing.T) {
	request := NewUpload()
	request.End(1, nil)
	c := NewConn(&scriptedConn{})
	_ = c.Close()
	if err := c.ConfirmEnd(request, time.Now().Add(EndTimeout)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}

// An upstream reads a request to its end after it has ended its response, and closes the connection; its kernel resets it
// as the last bytes are repeated, whose acknowledgement is lost. Guards against a whole response that counts as broken, and
// against any other reset that does not.
func TestResetThatAnswersARepetitionEndsNothing(t *testing.T) {
	const segment = 65_483
	atEnd := netpeek.Transmission{Acknowledged: 200_000, Unacknowledged: 848_731, Unsent: 700_000, SegmentBytes: segment}
	for _, c := range []struct {
		name string
		now  netpeek.Transmission
		want bool
	}{
		{"all of a request of one segment was repeated, unread", netpeek.Transmission{Acknowledged: 1_000_000, Unacknowledged: 600_000, Retransmitted: 600_000, SegmentBytes: 400_000}, false},
		{"the last bytes were repeated", netpeek.Transmission{Acknowledged: 1_019_905, Unacknowledged: 28_826, Retransmitted: 28_826, SegmentBytes: segment}, true},
		{"nothing was repeated", netpeek.Transmission{Acknowledged: 1_019_905, Unacknowledged: 28_826, SegmentBytes: segment}, false},
		{"a part was repeated", netpeek.Transmission{Acknowledged: 1_019_905, Unacknowledged: 28_826, Retransmitted: 10_000, SegmentBytes: segment}, false},
		{"a part has not been sent", netpeek.Transmission{Acknowledged: 1_000_000, Unacknowledged: 48_731, Unsent: 10_000, Retransmitted: 50_000, SegmentBytes: segment}, false},
		{"more than the last bytes", netpeek.Transmission{Acknowledged: 200_000, Unacknowledged: 848_731, Retransmitted: 848_731, SegmentBytes: segment}, false},
		{"all was received, and not read", netpeek.Transmission{Acknowledged: 1_048_731, Retransmitted: 28_826, SegmentBytes: segment}, false},
	} {
		if got := isResetOfRepeat(atEnd, c.now, 1_048_731); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A response has ended with its connection before its request was written. Guards against a response that is confirmed
// without the end of the request, and against one that is never confirmed.
func TestConfirmEndAwaitsTheRequest(t *testing.T) {
	const written = time.Second
	for _, c := range []struct {
		name    string
		timeout time.Duration
		err     error // with which the writing ends
		want    error
		after   time.Duration
	}{
		{"written", 5 * written, nil, nil, written},
		{"reset", 5 * written, syscall.ECONNRESET, syscall.ECONNRESET, written},
		{"not in time", written / 2, nil, ErrUnfinished, written / 2},
		{"overdue before", -written, nil, ErrUnfinished, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				request := NewUpload()
				time.AfterFunc(written, func() { request.End(1, c.err) })
				began := time.Now()
				err := NewConn(&scriptedConn{}).ConfirmEnd(request, began.Add(c.timeout))
				if !errors.Is(err, c.want) {
					t.Errorf("error %v, want %v", err, c.want)
				}
				if took := time.Since(began); took != c.after {
					t.Errorf("after %v, want %v", took, c.after)
				}
			})
		})
	}
}
