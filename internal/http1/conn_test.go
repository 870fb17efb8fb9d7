package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
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
	request.End(nil)
	c := NewConn(&scriptedConn{})
	_ = c.Close()
	if err := c.ConfirmEnd(request, time.Now().Add(EndTimeout)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
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
				time.AfterFunc(written, func() { request.End(c.err) })
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
