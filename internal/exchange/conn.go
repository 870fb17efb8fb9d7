package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

const (
	// readBufferBytes is the size of a connection's buffer, in bytes: the head of an
	// answer and a few events.
	readBufferBytes = 4 << 10
	// concurrentBodyBytes is the size from which a body is written while the answer
	// is awaited, in bytes. An upstream may refuse a long request before it has
	// read it, and a smaller one fits into the socket's buffer.
	concurrentBodyBytes = 8 << 10
	// defaultIdleTimeout is how long an unused connection is kept where the upstream
	// does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the upstream an unused connection is
	// given up: a call that crosses the upstream's close may have run.
	idleMargin = 500 * time.Millisecond
)

// conn is a connection to an upstream. One call uses it at a time.
type conn struct {
	net.Conn
	r           *bufio.Reader
	reused      bool
	expires     time.Time // while it is unused
	bodyWritten chan error
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferBytes)}
}

// reusable reports whether an unused connection is open and has nothing to read.
// Bytes behind a whole answer belong to no call, and the next one would take
// them for its own.
func (c *conn) reusable() bool {
	state := netpeek.Look(c.Conn)
	return c.r.Buffered() == 0 && (state == netpeek.Quiet || state == netpeek.Unknown)
}

// send writes a call. A long body goes on being written on another goroutine
// after send has returned; sent tells when it is through.
func (c *conn) send(call Call, header http.Header) error {
	var b bytes.Buffer
	b.Grow(readBufferBytes)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	if len(call.Body) > 0 || !omitsEmptyBody(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	_ = header.Write(&b) // a Buffer takes everything
	b.WriteString("\r\n")
	if len(call.Body) < concurrentBodyBytes {
		b.Write(call.Body)
		_, err := c.Write(b.Bytes())
		return err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	written := make(chan error, 1)
	c.bodyWritten = written
	go func() {
		_, err := c.Write(call.Body)
		written <- err
	}()
	return nil
}

// omitsEmptyBody reports whether a request of a method has no body unless it says so.
func omitsEmptyBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// allSent reports whether all of the call has been written, without waiting.
func (c *conn) allSent() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		c.bodyWritten = nil
		return err == nil
	default:
		return false
	}
}

// maxStrayResponses is how many answers to other calls are passed over for one call.
const maxStrayResponses = 2

// readResponse reads the head of the readResponse to call id. Answers to earlier calls of
// the same connection, which come late, are passed over.
func (c *conn) readResponse(method, id string, d Dialect) (*http.Response, Signal, error) {
	for range maxStrayResponses + 1 {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, Signal{}, errors.WithStack(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response; it has no body
		}
		signal := d.Read(resp.StatusCode, resp.Header)
		if signal.ID == id {
			return resp, signal, nil
		}
		strayAnswers.Inc()
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // nobody can say where it ends
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, Signal{}, errors.WithStack(err)
		}
	}
	return nil, Signal{}, errors.New("exchange: the answer belongs to another call")
}

// keepFor returns how long a connection may stay unused after an answer.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// closeOnDone closes the connection when ctx ends, which wakes who reads from it.
// An upstream drops a request whose connection is closed.
func (c *conn) closeOnDone(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}
