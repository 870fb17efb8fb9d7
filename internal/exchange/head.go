package exchange

import (
	"io"
	"math"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// maxHeadBytes bounds the head of a response. http.ReadResponse has no bound of its own: it would keep the bytes
	// of an upstream that sends a line without end until the router exceeds its memory.
	maxHeadBytes = http1.MaxHeadBytes
	// maxStrayResponses is the number of interim responses and of responses to other calls that are skipped for one
	// call.
	maxStrayResponses = 2
	// maxStrayBodyBytes bounds the body of a response that is skipped.
	maxStrayBodyBytes = 64 << 10
	// maxErrorBytes bounds what a message repeats of a malformed response.
	maxErrorBytes = 200

	// protocolName begins each response. http.ReadResponse looks at it once it has a whole line, which may never come.
	protocolName = "HTTP/"

	// unlimited is the allowance of a connection on which a body is read, whose bytes are not kept.
	unlimited = math.MaxInt64
)

// errTooLong reports that a head, or a body that is skipped, exceeds its bound.
var errTooLong = errors.New("exchange: the answer does not end within its bound")

var malformedResponses = telemetry.NewFamily[malformation]("exchange_malformed_answers_total", "fault",
	"Answers of upstreams without a sidecar that were given up as no answer of the protocol, by what was wrong.")

// malformation is why bytes of an upstream were not taken for a response.
type malformation string

const (
	headMalformed malformation = "malformed" // its head is no HTTP
	headTooLong   malformation = "too-long"  // its head, or a skipped body, exceeds its bound
)

// readResponse reads the head of the response to call id. Interim responses, and late responses to earlier
// calls on the same connection, are skipped, and the signals of the latter passed to stray. It reads no more than
// maxStrayResponses+1 heads and the skipped bodies, each within its bound.
func (c *conn) readResponse(method, id string, d Dialect, stray func(Signal)) (*http.Response, Signal, error) {
	for range maxStrayResponses + 1 {
		resp, err := c.readHead(method)
		if err != nil {
			return nil, Signal{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response, which has no body
		}
		signal := d.Read(resp.StatusCode, resp.Header)
		c.proven = c.proven || signal.ID == id && !signal.NotRun
		signal.Proven = c.proven && !signal.Misdirected
		if signal.ID == id {
			return resp, signal, nil
		}
		strayAnswers.Inc()
		stray(signal)
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // the body ends where the connection is closed, so no response follows it
		}
		if err := c.skipBody(resp); err != nil {
			return nil, Signal{}, err
		}
	}
	return nil, Signal{}, errors.New("exchange: the answer belongs to another call")
}

// readHead reads the head of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	defer c.limit(maxHeadBytes)()
	if err := c.beginHead(); err != nil {
		malformedResponses.Inc(headMalformed)
		return nil, err
	}
	if begin, err := c.r.Peek(len(protocolName)); err == nil && string(begin) != protocolName {
		malformedResponses.Inc(headMalformed)
		return nil, errors.Errorf("exchange: the answer begins with %q", begin)
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err == nil {
		return resp, nil
	}
	switch {
	case errors.Is(err, errTooLong):
		malformedResponses.Inc(headTooLong)
	case !isReadError(err):
		malformedResponses.Inc(headMalformed)
		return nil, errors.Errorf("exchange: %.*s", maxErrorBytes, err)
	}
	return nil, errors.WithStack(err)
}

// beginHead checks the bytes of a head that are buffered. Read checks those that still arrive.
func (c *conn) beginHead() error {
	c.head.Reset()
	buffered, _ := c.r.Peek(c.r.Buffered()) // as many bytes as are buffered
	_, err := c.head.Check(buffered)
	return err
}

// isReadError reports whether http.ReadResponse failed because no more bytes could be read, and not because of those
// that were.
func isReadError(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

// skipBody reads the body of a response that belongs to another call.
func (c *conn) skipBody(resp *http.Response) error {
	defer c.limit(maxStrayBodyBytes)()
	_, err := io.Copy(io.Discard, resp.Body)
	if errors.Is(err, errTooLong) {
		malformedResponses.Inc(headTooLong)
	}
	return errors.WithStack(err)
}

// limit bounds the bytes that are read from the socket until end is called. What is buffered already does not count.
func (c *conn) limit(bytes int64) (end func()) {
	c.allowance = bytes
	return func() { c.allowance = unlimited }
}
