package wire

import (
	"context"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Stream is a router's reading of one answer over one connection.
type Stream struct {
	link   *link
	id     StreamID
	nonce  token.Nonce
	window int64

	mu            sync.Mutex
	wake          chan struct{} // holds one token when there is something new
	headReceived  bool          // the Head has come
	skipHead      bool          // the reader has the Head from an earlier Stream
	head          *Head         // not yet taken
	buf           []byte        // not yet taken
	nextOffset    int64         // offset of the next byte to arrive
	readOffset    int64         // offset of the next byte to be read
	creditLimit   int64         // offset up to which the sidecar may send
	end           *End
	err           *verdict.Error
	creditPending bool // a credit is being sent
}

func newStream(l *link, id StreamID, o streamOptions) *Stream {
	return &Stream{
		link: l, id: id, nonce: o.nonce, window: int64(o.window),
		wake: make(chan struct{}, 1), skipHead: o.headSeen,
		nextOffset: o.offset, readOffset: o.offset, creditLimit: o.offset + int64(o.window),
	}
}

// Piece is what a Stream has to say next. Exactly one field is set.
type Piece struct {
	Head  *Head
	Bytes []byte
	End   *End
}

// Next waits for the next piece: the Head, unless it was seen before, then the
// bytes in order, then the End. An error means that the stream is broken at
// Offset; the answer can be attached to again from there.
func (s *Stream) Next(ctx context.Context) (Piece, error) {
	for {
		piece, ok, err := s.takePiece()
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

// takePiece returns what has arrived already. It grants new credit once half of the
// window has been read.
func (s *Stream) takePiece() (Piece, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.head != nil:
		head := s.head
		s.head = nil
		return Piece{Head: head}, true, nil
	case len(s.buf) > 0:
		b := s.buf
		s.buf = nil
		s.readOffset += int64(len(b))
		s.grantCredit()
		return Piece{Bytes: b}, true, nil
	case s.end != nil:
		return Piece{End: s.end}, true, nil
	case s.err != nil:
		return Piece{}, false, s.err
	}
	return Piece{}, false, nil
}

// grantCredit sends new credit, away from the reader since a write can block. It
// needs s.mu held.
func (s *Stream) grantCredit() {
	if s.creditPending || s.end != nil || s.err != nil || s.readOffset+s.window-s.creditLimit < s.window/2 {
		return
	}
	s.creditPending = true
	go s.sendCredit()
}

func (s *Stream) sendCredit() {
	s.mu.Lock()
	s.creditPending = false
	s.creditLimit = s.readOffset + s.window
	upTo := s.creditLimit
	s.mu.Unlock()
	_ = s.link.conn.Send(Credit{Stream: s.id, UpTo: upTo})
}

// Offset is the offset of the next byte that Next will return.
func (s *Stream) Offset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readOffset
}

// Close ends the stream on this side. The request goes on at the sidecar.
func (s *Stream) Close() {
	s.link.remove(s)
	s.mu.Lock()
	complete := s.end != nil
	s.mu.Unlock()
	s.fail(verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the reader has gone"))
	if !complete {
		s.link.detach(s.id)
	}
}

func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// accepts reports whether a frame is for this stream. A frame that names another
// request is crossed: it must not reach this reader in any way.
func (s *Stream) accepts(nonce token.Nonce) bool {
	if nonce == s.nonce {
		return s.end == nil && s.err == nil
	}
	crossedFrames.Inc()
	return false
}

// onHead takes the Head. There is one: a second one is dropped, since the
// caller has been told its status and headers already.
func (s *Stream) onHead(h Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepts(h.Nonce) || s.headReceived {
		return
	}
	s.headReceived = true
	if !s.skipHead {
		s.head = &h
	}
	s.signal()
}

// onData takes the part of a frame that comes next in the answer. What was
// seen before is dropped. A gap, bytes ahead of the Head or bytes beyond the
// credit break the stream: the answer is then attached to anew from what has
// been read, so no byte is missed, repeated or given to the reader out of order.
func (s *Stream) onData(d Data) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepts(d.Nonce) {
		return
	}
	received := s.nextOffset - d.Offset
	switch {
	case !s.headReceived:
		s.breakOff("bytes ahead of the head")
	case received < 0:
		s.breakOff("a gap")
	case received >= int64(len(d.Bytes)):
	case d.Offset+int64(len(d.Bytes)) > s.creditLimit:
		s.breakOff("bytes beyond the credit")
	default:
		s.push(d.Bytes[received:])
	}
}

// push needs s.mu held.
func (s *Stream) push(b []byte) {
	s.nextOffset += int64(len(b))
	if len(s.buf) == 0 {
		s.buf = b
	} else {
		s.buf = append(s.buf, b...)
	}
	s.signal()
}

// onEnd ends the stream, unless something is missing before the end.
func (s *Stream) onEnd(e End) {
	s.mu.Lock()
	accepted := s.accepts(e.Nonce)
	switch {
	case !accepted:
	case e.Length != s.nextOffset:
		s.breakOff("an end with bytes missing")
	case !s.headReceived && e.Error == nil:
		s.breakOff("an end without a head")
	default:
		s.end = &e
		s.signal()
	}
	s.mu.Unlock()
	if accepted {
		s.link.remove(s)
	}
}

// breakOff needs s.mu held.
func (s *Stream) breakOff(reason string) {
	brokenStreams.Inc()
	s.err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s at offset %d", reason, s.nextOffset)
	s.signal()
}

func (s *Stream) fail(err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil && s.err == nil {
		s.err = err
		s.signal()
	}
}
