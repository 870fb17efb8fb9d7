package exchange

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

var (
	bodyEnds = telemetry.NewFamily[bodyEnd]("exchange_body_ends_total", "end",
		"Bodies of answers of upstreams without a sidecar, by how they ended.")
	waitErrors = telemetry.NewCounter("exchange_wait_errors_total",
		"Connections found broken while the next piece of an answer was awaited.")
)

// bodyEnd is how the body of a response ended.
type bodyEnd string

const (
	endFramed     bodyEnd = "framed"     // where its length or its last chunk says
	endConnection bodyEnd = "connection" // with its connection; a stream after a whole event
	endInEvent    bodyEnd = "in_event"   // with its connection, within an event or before the first
	endLost       bodyEnd = "lost"       // with an error
	endOverdue    bodyEnd = "overdue"    // it did not: nothing arrived until it was overdue
)

// pieceBytes is the size of the largest piece of a response. An event of a stream is
// typically a tenth of it.
const pieceBytes = 2 << 10

// Stream is the response to a call.
type Stream struct {
	Signal Signal // from the status and headers

	client       *Client
	endpoint     endpoint
	conn         *conn
	resp         *http.Response
	eventStream  bool // cached for IsEventStream, which is called for each event
	release      func() bool
	headReturned bool // Next has returned the head
	buf          []byte
	atEnd        bool          // reading ended with the bytes that Next returned last
	closed       bool          // the connection was closed or given back
	stallTimeout time.Duration // longest wait for the next piece; zero: no limit
	overdueAt    time.Time     // end of the wait for the next piece; zero: no limit
}

// ErrStalled reports that a response has paused for longer than SetStallTimeout allows.
// Reading continues with the next call of Next.
var ErrStalled = errors.New("exchange: the answer has paused for too long")

// ErrOverdue reports that nothing has arrived of a response until SetOverdueAt. Reading can't be continued.
var ErrOverdue = errors.New("exchange: the answer is overdue")

// stalled waits until bytes of the body have arrived, at most for the stall timeout, and
// reports whether the timeout passed.
//
// It only peeks at the bytes, because a read that times out within the chunk framing
// could not be resumed. Framing alone does not count as bytes of the body: an upstream
// may send the CRLF at the end of a chunk by itself and then stall, and the read that
// follows would block without a limit, and the caller with it.
func (s *Stream) stalled() bool {
	if s.bodyBuffered() {
		return false
	}
	stalledAt := time.Now().Add(s.stallTimeout)
	if !s.overdueAt.IsZero() && s.overdueAt.Before(stalledAt) {
		return false // the read that follows ends in time
	}
	// Setting a deadline fails only on a closed connection, where the read fails too.
	_ = s.conn.SetReadDeadline(stalledAt)
	defer func() { _ = s.conn.SetReadDeadline(s.overdueAt) }()
	for !s.bodyBuffered() {
		if _, err := s.conn.r.Peek(s.conn.r.Buffered() + 1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return true
			}
			if !errors.Is(err, io.EOF) {
				waitErrors.Inc()
			}
			return false
		}
	}
	return false
}

// bodyBuffered reports whether unread bytes of the body have arrived.
func (s *Stream) bodyBuffered() bool {
	buffered, _ := s.conn.r.Peek(s.conn.r.Buffered()) // as many bytes as are buffered
	return len(buffered) > 0 && !(s.chunked() && isFraming(buffered))
}

// chunked reports whether the body has the chunked transfer encoding.
func (s *Stream) chunked() bool {
	return slices.Contains(s.resp.TransferEncoding, "chunked")
}

// finalChunk is the start of the last chunk of a chunked body.
var finalChunk = []byte("0\r\n")

// isFraming reports whether b may consist only of the end of a chunk and the start of
// the next chunk's size.
func isFraming(b []byte) bool {
	b = bytes.TrimPrefix(b, []byte("\r\n"))
	if bytes.HasPrefix(b, finalChunk) {
		return false
	}
	return len(bytes.Trim(b, "0123456789abcdefABCDEF\r\n")) == 0
}

// SetStallTimeout bounds the wait for each further piece; zero: no limit.
func (s *Stream) SetStallTimeout(timeout time.Duration) {
	s.stallTimeout = timeout
}

// SetOverdueAt sets until when the next pieces are awaited. What has arrived by then is still returned.
func (s *Stream) SetOverdueAt(at time.Time) {
	if !at.Equal(s.overdueAt) {
		s.overdueAt = at
		_ = s.conn.SetReadDeadline(at) // fails only on a closed connection, where the read fails too
	}
}

// Status returns the HTTP status of the response.
func (s *Stream) Status() int {
	return s.resp.StatusCode
}

// IsEventStream reports whether the response is a stream of server-sent events.
func (s *Stream) IsEventStream() bool {
	return s.eventStream
}

// Next waits for the next piece: the head, the bytes in order, then the end. The bytes
// are valid until the next call. An error other than ErrStalled means that the response
// is incomplete. The end of the context that was passed to Do ends the wait.
func (s *Stream) Next() (wire.Piece, error) {
	if !s.headReturned {
		s.headReturned = true
		return wire.Piece{Head: &wire.Head{Status: s.resp.StatusCode, Header: s.resp.Header}}, nil
	}
	if s.buf == nil {
		s.buf = make([]byte, pieceBytes)
	}
	if !s.atEnd && s.stallTimeout > 0 && s.stalled() {
		return wire.Piece{}, ErrStalled
	}
	for {
		n, err := s.resp.Body.Read(s.buf)
		switch {
		case n > 0:
			// Read returns the end with the last bytes if both came in one packet. Nothing
			// follows then, which must not count as a pause.
			s.atEnd = err != nil
			return wire.Piece{Bytes: s.buf[:n]}, nil
		case errors.Is(err, io.EOF):
			return s.end()
		case errors.Is(err, os.ErrDeadlineExceeded):
			bodyEnds.Inc(endOverdue)
			return wire.Piece{}, ErrOverdue
		case err != nil:
			bodyEnds.Inc(brokenEnd(err))
			return wire.Piece{}, verdict.New(verdict.Ran, verdict.ReasonConnection, "%s", err)
		}
	}
}

// end ends a response whose body has been read to its end. Where only the end of the connection marks that, the body is
// whole only if the call was sent and received as a whole.
func (s *Stream) end() (wire.Piece, error) {
	end := endFramed
	if !eventstream.IsFramed(s.resp) {
		end = endConnection
		if err := s.conn.ConfirmEnd(s.conn.upload, s.confirmUntil()); err != nil {
			bodyEnds.Inc(endLost)
			return wire.Piece{}, verdict.New(verdict.Ran, verdict.ReasonConnection, "%s", err)
		}
	}
	bodyEnds.Inc(end)
	s.finish()
	return wire.Piece{End: &wire.End{}}, nil
}

// confirmUntil returns until when the end of the call is awaited after that of its response.
func (s *Stream) confirmUntil() time.Time {
	until := time.Now().Add(http1.EndTimeout)
	if !s.overdueAt.IsZero() && s.overdueAt.Before(until) {
		return s.overdueAt
	}
	return until
}

// brokenEnd returns how a body ended that is incomplete, from the error of its reader.
func brokenEnd(err error) bodyEnd {
	if errors.Is(err, eventstream.ErrInEvent) {
		return endInEvent
	}
	return endLost
}

// finish gives the connection back to the client after a complete response, or closes
// it if it cannot be reused.
func (s *Stream) finish() {
	s.closed = true
	idleTimeout := keepFor(s.resp.Header)
	usable := s.release() && s.conn.upload.Succeeded() && !s.resp.Close && idleTimeout > 0 && s.conn.r.Buffered() == 0
	if !usable {
		_ = s.conn.Close()
		return
	}
	s.SetOverdueAt(time.Time{})
	s.conn.expires = time.Now().Add(idleTimeout)
	s.client.putIdle(s.endpoint, s.conn)
}

// Close aborts the response unless it has ended. It closes the connection, on which
// the upstream drops the request.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.release()
	_ = s.conn.Close()
}

// Drain reads the rest of a short response that is not needed, so that the connection
// can be reused. If the body is longer than maxBytes or of unknown length, or does not
// arrive within timeout, it closes the connection.
func (s *Stream) Drain() {
	const maxBytes, timeout = 4 << 10, 50 * time.Millisecond
	if s.resp.ContentLength < 0 || s.resp.ContentLength > maxBytes {
		s.Close()
		return
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.Copy(io.Discard, s.resp.Body)
	_ = s.conn.SetReadDeadline(time.Time{})
	if err != nil {
		s.Close()
		return
	}
	s.finish()
}
