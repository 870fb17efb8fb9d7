package exchange

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// pieceBytes is the size of a piece of an answer, in bytes. An event of a stream
// is a tenth of it.
const pieceBytes = 2 << 10

// Stream is the answer to a call.
type Stream struct {
	Signal Signal // of the head

	client       *Client
	at           endpoint
	conn         *conn
	resp         *http.Response
	eventStream  bool // it is a stream of events; asked at each of them
	release      func() bool
	headReturned bool
	buf          []byte
	atEOF        bool // the body has ended, though its last bytes had yet to be handed out
	closed       bool
	stallTimeout time.Duration // that the next piece may take; zero: any
}

// ErrStalled is an answer that has paused for longer than Within allows. It goes on
// with the next call of Next.
var ErrStalled = errors.New("exchange: the answer has paused for too long")

// stalled waits for the next bytes of the answer and reports whether they did not
// come in time. It only looks at them: a read that ran out of time within the
// framing of a body could not be gone on with. The framing alone is no answer: an
// upstream that falls stalled after the end of a chunk, sent by itself, would have the read
// that follows wait without a bound, and the caller with it.
func (s *Stream) stalled() bool {
	if s.bodyBuffered() {
		return false
	}
	// Setting a deadline fails only on a closed connection, as the read will.
	_ = s.conn.SetReadDeadline(time.Now().Add(s.stallTimeout))
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	for !s.bodyBuffered() {
		if _, err := s.conn.r.Peek(s.conn.r.Buffered() + 1); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

// bodyBuffered reports whether something of the body has come that was not read yet.
func (s *Stream) bodyBuffered() bool {
	buffered, _ := s.conn.r.Peek(s.conn.r.Buffered()) // that many are there
	return len(buffered) > 0 && !(s.chunked() && isFraming(buffered))
}

// chunked reports whether the body comes in chunks.
func (s *Stream) chunked() bool {
	return slices.Contains(s.resp.TransferEncoding, "chunked")
}

// finalChunk begins the end of a body that comes in chunks.
var finalChunk = []byte("0\r\n")

// isFraming reports whether bytes may be nothing but the end of a chunk and the beginning of
// the size of the next one.
func isFraming(b []byte) bool {
	b = bytes.TrimPrefix(b, []byte("\r\n"))
	if bytes.HasPrefix(b, finalChunk) {
		return false
	}
	return len(bytes.Trim(b, "0123456789abcdefABCDEF\r\n")) == 0
}

// SetStallTimeout bounds the time that each further piece may take.
func (s *Stream) SetStallTimeout(timeout time.Duration) {
	s.stallTimeout = timeout
}

// Status returns the status of the answer.
func (s *Stream) Status() int {
	return s.resp.StatusCode
}

// IsEventStream reports whether the answer is a stream of events.
func (s *Stream) IsEventStream() bool {
	return s.eventStream
}

func ofEvents(resp *http.Response) bool {
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return mediaType == eventstream.MediaType
}

// Next waits for the next piece: the head, the bytes in order, then the end. The
// bytes are valid until the next call. An error means that the answer is broken.
// The context that was given to Do ends the wait.
func (s *Stream) Next() (wire.Piece, error) {
	if !s.headReturned {
		s.headReturned = true
		return wire.Piece{Head: &wire.Head{Status: s.resp.StatusCode, Header: s.resp.Header}}, nil
	}
	if s.buf == nil {
		s.buf = make([]byte, pieceBytes)
	}
	if !s.atEOF && s.stallTimeout > 0 && s.stalled() {
		return wire.Piece{}, ErrStalled
	}
	for {
		n, err := s.resp.Body.Read(s.buf)
		switch {
		case n > 0:
			// The end comes with the last bytes if it was in one packet with them.
			// Nothing follows then, which is not to be taken for a pause.
			s.atEOF = errors.Is(err, io.EOF)
			return wire.Piece{Bytes: s.buf[:n]}, nil
		case errors.Is(err, io.EOF):
			s.finish()
			return wire.Piece{End: &wire.End{}}, nil
		case err != nil:
			return wire.Piece{}, verdict.New(verdict.Ran, verdict.ReasonConnection, "%s", err)
		}
	}
}

// finish gives the connection back after a whole answer.
func (s *Stream) finish() {
	s.closed = true
	idleTimeout := keepFor(s.resp.Header)
	usable := s.release() && s.conn.allSent() && !s.resp.Close && idleTimeout > 0 && s.conn.r.Buffered() == 0
	if !usable {
		_ = s.conn.Close()
		return
	}
	s.conn.expires = time.Now().Add(idleTimeout)
	s.client.putIdle(s.at, s.conn)
}

// Close gives the answer up, unless it has ended: the upstream sees the
// connection close and drops the request.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.release()
	_ = s.conn.Close()
}

// Drain reads the rest of a short answer that nobody needs, to keep the
// connection. A long one, or one that does not come, is not worth it.
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
