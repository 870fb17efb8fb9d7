package wire

import (
	"context"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Stream is a router's view of one answer.
type Stream struct {
	peer   *Peer
	conn   *Conn
	id     token.Nonce
	window int

	mu     sync.Mutex
	wake   chan struct{} // holds one token when there is something new
	head   *Head
	buf    []byte
	next   int64 // offset of the next byte to arrive
	taken  int64 // offset of the next byte to be read
	credit int64 // offset up to which the sidecar may send
	end    *End
	err    *verdict.Error
}

func newStream(p *Peer, c *Conn, id token.Nonce, offset int64, window int) *Stream {
	return &Stream{
		peer: p, conn: c, id: id, window: window,
		wake: make(chan struct{}, 1),
		next: offset, taken: offset, credit: offset + int64(window),
	}
}

// Piece is what a Stream has to say next. Exactly one field is set.
type Piece struct {
	Head  *Head
	Bytes []byte
	End   *End
}

// Next waits for the next piece. An error means that the stream is broken at
// Offset; the answer can be attached to again from there.
func (s *Stream) Next(ctx context.Context) (Piece, error) {
	for {
		piece, ok, err := s.take()
		if err != nil {
			return Piece{}, err
		}
		if ok {
			return piece, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

// take returns what has arrived already. It grants new credit once half of the
// window has been read.
func (s *Stream) take() (Piece, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head != nil {
		head := s.head
		s.head = nil
		return Piece{Head: head}, true, nil
	}
	if len(s.buf) > 0 {
		b := s.buf
		s.buf = nil
		s.taken += int64(len(b))
		s.grant()
		return Piece{Bytes: b}, true, nil
	}
	if s.end != nil {
		return Piece{End: s.end}, true, nil
	}
	if s.err != nil {
		return Piece{}, false, s.err
	}
	return Piece{}, false, nil
}

func (s *Stream) grant() {
	upTo := s.taken + int64(s.window)
	if s.end != nil || upTo-s.credit < int64(s.window)/2 {
		return
	}
	s.credit = upTo
	go func() { _ = s.conn.Notify(MethodCredit, Credit{Stream: s.id, UpTo: upTo}) }()
}

// Offset is the offset of the next byte that Next will return.
func (s *Stream) Offset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken
}

// Close ends the stream on this side. The request goes on at the sidecar.
func (s *Stream) Close() {
	s.peer.forget(s)
	s.mu.Lock()
	over := s.end != nil || s.err != nil
	s.mu.Unlock()
	if !over {
		go func() { _ = s.conn.Notify(MethodDetach, Detach{Stream: s.id}) }()
	}
}

func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Stream) onHead(h Head) {
	s.mu.Lock()
	s.head = &h
	s.mu.Unlock()
	s.signal()
}

// onData takes the part of a frame that comes next in the answer. What was
// seen before is dropped. A gap means that a frame was lost, which a TCP
// connection does not do unless something in between is broken: the stream
// fails there and the answer is attached to anew.
func (s *Stream) onData(d Data) {
	s.mu.Lock()
	skip := s.next - d.Offset
	switch {
	case s.err != nil || s.end != nil || skip >= int64(len(d.Bytes)):
	case skip < 0:
		s.err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "gap at offset %d", s.next)
	default:
		fresh := d.Bytes[skip:]
		s.buf = append(s.buf, fresh...)
		s.next += int64(len(fresh))
	}
	s.mu.Unlock()
	s.signal()
}

// onEnd ends the stream, unless bytes are missing before the end.
func (s *Stream) onEnd(e End) {
	s.mu.Lock()
	switch {
	case s.err != nil || s.end != nil:
	case e.Error == nil && e.Length != s.next:
		s.err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "end at %d of %d", s.next, e.Length)
	default:
		s.end = &e
	}
	s.mu.Unlock()
	s.signal()
	s.peer.forget(s)
}

func (s *Stream) fail(err *verdict.Error) {
	s.mu.Lock()
	if s.end == nil && s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.signal()
}
