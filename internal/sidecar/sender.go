package sidecar

import (
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// maxFrameBytes limits the bytes of a response in one frame.
const maxFrameBytes = 16 << 10

// sender sends one response to one router, within the router's credit.
type sender struct {
	frames   frameWriter
	response *responseBuffer
	offset   int64 // of the next byte to send
	window   int64 // in bytes; how far the credit extends beyond acknowledgedUpTo

	mu      sync.Mutex
	upTo    int64         // offset up to which the router has granted credit
	changed chan struct{} // closed and replaced when upTo grows
	stopped chan struct{}
	once    sync.Once
}

// frameWriter writes the frames of one stream.
type frameWriter interface {
	head(h *responseHead) error
	data(offset int64, b []byte) error
	end(length int64, f Finish) error
}

func newSender(frames frameWriter, rb *responseBuffer, a wire.Attach) *sender {
	return &sender{
		frames: frames, response: rb,
		offset:  a.Offset,
		window:  int64(a.Window),
		upTo:    a.Offset + int64(a.Window),
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// grant records that the router accepts the response up to the offset upTo. An offset
// below an earlier one has no effect.
func (s *sender) grant(upTo int64) {
	s.mu.Lock()
	grown := upTo > s.upTo
	if grown {
		s.upTo = upTo
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if grown {
		s.response.wake()
	}
}

// acknowledgedUpTo returns the offset up to which the router has passed the response
// on. It is derived from the router's credit, which ends one window beyond it.
func (s *sender) acknowledgedUpTo() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upTo - s.window
}

func (s *sender) stop() {
	s.once.Do(func() { close(s.stopped) })
}

func (s *sender) credit() (upTo int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upTo, s.changed
}

// send sends the response until it ends, the stream is stopped or the connection
// fails. After a failure the router resumes on another connection. It reports
// whether the complete response was sent.
func (s *sender) send() (delivered bool) {
	headSent := false
	for {
		upTo, granted := s.credit()
		v := s.response.viewAt(s.offset, min(upTo-s.offset, maxFrameBytes))
		if v.discarded {
			err := verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, "the answer is no longer held from offset %d", s.offset)
			_ = s.frames.end(v.length, Finish{Error: err})
			return false
		}
		if v.head != nil && !headSent {
			headSent = true
			if s.frames.head(v.head) != nil {
				return false
			}
		}
		if len(v.bytes) > 0 {
			if s.frames.data(s.offset, v.bytes) != nil {
				return false
			}
			s.offset += int64(len(v.bytes))
			continue
		}
		if v.end != nil && s.offset >= v.length {
			return s.frames.end(v.length, *v.end) == nil
		}
		select {
		case <-v.changed:
		case <-granted:
		case <-s.stopped:
			return false
		}
	}
}
