package wire

import (
	"context"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Stream reads one response over one connection on behalf of a router.
type Stream struct {
	link   *link
	id     StreamID
	nonce  token.Nonce
	window int64 // bytes that the sidecar may send ahead of the reader

	mu            sync.Mutex
	wake          chan struct{} // buffer of one; filled when there is something new to read
	headReceived  bool          // the Head has arrived
	skipHead      bool          // the reader has already received the Head from an earlier Stream
	head          *Head         // not yet returned by Next
	buf           []byte        // received, not yet returned by Next
	nextOffset    int64         // offset of the next byte to arrive
	readOffset    int64         // offset of the next byte that Next returns
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

// Piece is one item read from a Stream. Exactly one field is set.
type Piece struct {
	Head  *Head
	Bytes []byte
	End   *End
}

// Next waits for the next piece: the Head, unless the reader already has it, then
// the bytes in order, then the End. An error other than that of ctx means that the
// stream broke at Offset; the reader can attach to the response again from there.
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

// takePiece returns the next piece that has arrived and whether there is one. It
// grants new credit once half of the window has been read.
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

// grantCredit sends new credit if due, in a separate goroutine since a write can
// block. The caller holds s.mu.
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

// Offset returns the offset of the next byte that Next will return.
func (s *Stream) Offset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readOffset
}

// Close closes the stream on this side. The request continues at the sidecar.
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

// notifyReader wakes Next if it waits.
func (s *Stream) notifyReader() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// accepts reports whether a frame with nonce belongs to this stream and the stream
// is still open. It counts frames of another request, which must never reach this
// reader. The caller holds s.mu.
func (s *Stream) accepts(nonce token.Nonce) bool {
	if nonce == s.nonce {
		return s.end == nil && s.err == nil
	}
	crossedFrames.Inc()
	return false
}

// onHead handles a Head. A second one is dropped, since the caller already has the
// status and header.
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
	s.notifyReader()
}

// onData appends the new part of a frame's bytes and drops bytes that were received
// before. A gap, bytes before the Head or bytes beyond the credit break the stream.
// The reader then attaches again at its offset, so no byte is lost, repeated or
// delivered out of order.
func (s *Stream) onData(d Data) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepts(d.Nonce) {
		return
	}
	received := s.nextOffset - d.Offset
	switch {
	case !s.headReceived:
		s.failInconsistent("bytes ahead of the head")
	case received < 0:
		s.failInconsistent("a gap")
	case received >= int64(len(d.Bytes)):
	case d.Offset+int64(len(d.Bytes)) > s.creditLimit:
		s.failInconsistent("bytes beyond the credit")
	default:
		s.push(d.Bytes[received:])
	}
}

// push appends received bytes. The caller holds s.mu.
func (s *Stream) push(b []byte) {
	s.nextOffset += int64(len(b))
	if len(s.buf) == 0 {
		s.buf = b
	} else {
		s.buf = append(s.buf, b...)
	}
	s.notifyReader()
}

// onEnd ends the stream, or breaks it if the Head or bytes are missing.
func (s *Stream) onEnd(e End) {
	s.mu.Lock()
	accepted := s.accepts(e.Nonce)
	switch {
	case !accepted:
	case e.Length != s.nextOffset:
		s.failInconsistent("an end with bytes missing")
	case !s.headReceived && e.Error == nil:
		s.failInconsistent("an end without a head")
	default:
		s.end = &e
		s.notifyReader()
	}
	s.mu.Unlock()
	if accepted {
		s.link.remove(s)
	}
}

// failInconsistent counts the stream as broken by inconsistent frames and makes Next
// return an error with the reason and the offset. The caller holds s.mu.
func (s *Stream) failInconsistent(reason string) {
	brokenStreams.Inc()
	s.err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "%s at offset %d", reason, s.nextOffset)
	s.notifyReader()
}

// fail makes Next return err once it has returned what arrived before, unless the
// stream has already ended or failed.
func (s *Stream) fail(err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil && s.err == nil {
		s.err = err
		s.notifyReader()
	}
}
