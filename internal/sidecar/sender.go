package sidecar

import (
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// maxFrameBytes is the most bytes of an answer that one frame carries.
const maxFrameBytes = 16 << 10

// sender sends one answer to one router, no further than the router's credit.
type sender struct {
	out      frameWriter
	response *responseBuffer
	offset   int64 // of the next byte to send
	window   int64

	mu      sync.Mutex
	upTo    int64
	changed chan struct{} // closed and replaced when upTo grows
	stopped chan struct{}
	once    sync.Once
}

// frameWriter is where a sender's frameWriter go.
type frameWriter interface {
	head(h *responseHead) error
	data(offset int64, b []byte) error
	end(length int64, f Finish) error
}

func newSender(out frameWriter, resp *responseBuffer, a wire.Attach) *sender {
	return &sender{
		out: out, response: resp,
		offset:  a.Offset,
		window:  int64(a.Window),
		upTo:    a.Offset + int64(a.Window),
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// grant takes credit from the router.
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

// deliveredUpTo is the offset up to which the router has passed the answer on: it
// grants its window ahead of that.
func (s *sender) deliveredUpTo() int64 {
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

// send sends until the answer is over, the stream is stopped or the connection
// fails; the router resumes elsewhere after a failure. It reports whether the
// whole answer went out.
func (s *sender) send() (delivered bool) {
	headSent := false
	for {
		upTo, granted := s.credit()
		v := s.response.viewAt(s.offset, min(upTo-s.offset, maxFrameBytes))
		if v.gone {
			err := verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, "the answer is no longer held from offset %d", s.offset)
			_ = s.out.end(v.length, Finish{Error: err})
			return false
		}
		if v.head != nil && !headSent {
			headSent = true
			if s.out.head(v.head) != nil {
				return false
			}
		}
		if len(v.bytes) > 0 {
			if s.out.data(s.offset, v.bytes) != nil {
				return false
			}
			s.offset += int64(len(v.bytes))
			continue
		}
		if v.end != nil && s.offset >= v.length {
			return s.out.end(v.length, *v.end) == nil
		}
		select {
		case <-v.changed:
		case <-granted:
		case <-s.stopped:
			return false
		}
	}
}
