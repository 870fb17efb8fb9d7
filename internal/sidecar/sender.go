package sidecar

import (
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// frameSize is the most bytes of an answer that one frame carries.
const frameSize = 16 << 10

// sender sends one answer to one router, no further than the router's credit.
type sender struct {
	conn   *wire.Conn
	attach wire.Attach
	answer *answer

	mu      sync.Mutex
	upTo    int64
	changed chan struct{} // closed and replaced when upTo grows
	stopped chan struct{}
	once    sync.Once
}

func newSender(c *wire.Conn, a wire.Attach, ans *answer) *sender {
	return &sender{
		conn: c, attach: a, answer: ans,
		upTo:    a.Offset + int64(a.Window),
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

func (s *sender) grant(upTo int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if upTo > s.upTo {
		s.upTo = upTo
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *sender) stop() {
	s.once.Do(func() { close(s.stopped) })
}

func (s *sender) credit() (upTo int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upTo, s.changed
}

// send sends until the answer is over, the stream is stopped or the
// connection fails; the router resumes elsewhere after a failure.
func (s *sender) send() {
	offset, headSent := s.attach.Offset, false
	for {
		upTo, granted := s.credit()
		v := s.answer.from(offset, int(max(0, min(upTo-offset, frameSize))))
		if !headSent && v.head != nil {
			headSent = true
			if s.conn.Send(wire.Head{Stream: s.attach.Stream, Nonce: s.attach.Key.Nonce, Status: v.head.status, Header: v.head.header}) != nil {
				return
			}
		}
		if len(v.bytes) > 0 {
			if s.conn.Send(wire.Data{Stream: s.attach.Stream, Nonce: s.attach.Key.Nonce, Offset: offset, Bytes: v.bytes}) != nil {
				return
			}
			offset += int64(len(v.bytes))
			continue
		}
		if v.done && offset >= v.length {
			_ = s.conn.Send(wire.End{Stream: s.attach.Stream, Nonce: s.attach.Key.Nonce, Length: v.length, Error: v.err})
			return
		}
		select {
		case <-v.changed:
		case <-granted:
		case <-s.stopped:
			return
		}
	}
}
