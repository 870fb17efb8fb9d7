package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// link is one connection of a Peer with the streams that are read over it. It
// implements Handler.
type link struct {
	peer  *Peer
	conn  *Conn
	hello Hello

	mu      sync.Mutex
	ended   bool
	streams map[StreamID]*Stream
	newest  StreamID
	calls   int // under way
	used    time.Time
	timer   *time.Timer // set while the connection lives
}

func newLink(p *Peer, c net.Conn) *link {
	l := &link{peer: p, streams: make(map[StreamID]*Stream)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = newConn(context.Background(), c, l, func(*Conn) { l.end() })
	l.used = time.Now()
	l.timer = time.AfterFunc(p.config.Timing.IdleTimeout, l.check)
	return l
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended
}

// acquire notes a call that is about to be made. It reports false when the
// connection has ended.
func (l *link) acquire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	t := l.peer.config.Timing
	if l.calls == 0 && len(l.streams) == 0 {
		l.conn.begin(t, now)
		l.timer.Reset(t.tick())
	}
	l.calls++
	l.used = now
	return true
}

// release notes the end of a call.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.used = time.Now()
}

func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls == 0 && len(l.streams) == 0 && now.Sub(l.used) >= l.peer.config.Timing.IdleTimeout
}

// open adds a stream. It needs a call acquired.
func (l *link) open(o opening) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest++
	s := newStream(l, l.newest, o)
	if l.ended {
		s.fail(errLost())
		return s
	}
	l.streams[s.id] = s
	openStreams.Add(1)
	return s
}

// forget removes a stream.
func (l *link) forget(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.id] == s {
		delete(l.streams, s.id)
		openStreams.Add(-1)
		l.used = time.Now()
	}
}

// check runs on the link's timer: often while something is awaited, else when
// the connection may have been idle for long enough.
func (l *link) check() {
	now := time.Now()
	t := l.peer.config.Timing
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	if l.calls == 0 && len(l.streams) == 0 {
		l.timer.Reset(max(t.tick(), t.IdleTimeout-now.Sub(l.used)))
		l.mu.Unlock()
		l.peer.retire(l)
		return
	}
	calls := l.calls > 0
	l.timer.Reset(t.tick())
	l.mu.Unlock()
	if l.conn.beat(t, now, calls) {
		_ = l.conn.Close()
	}
}

func errLost() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "connection lost")
}

// end breaks what is still awaited when the connection has ended.
func (l *link) end() {
	l.mu.Lock()
	l.ended = true
	l.timer.Stop()
	streams := l.streams
	l.streams = nil
	l.mu.Unlock()
	l.peer.lost(l)
	openStreams.Add(-int64(len(streams)))
	for _, s := range streams {
		s.fail(errLost())
	}
}

// HandleCall implements Handler.
func (l *link) HandleCall(ctx context.Context, _ *Conn, m Method, p Params) (any, error) {
	if l.peer.config.Calls == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "this router serves no calls")
	}
	return l.peer.config.Calls(ctx, m, p)
}

// HandleFrame implements Handler.
func (l *link) HandleFrame(_ *Conn, f Frame) {
	switch f := f.(type) {
	case Head:
		if s := l.find(f.Stream); s != nil {
			s.onHead(f)
		}
	case Data:
		if s := l.find(f.Stream); s != nil {
			s.onData(f)
		}
	case End:
		countControl(f.Control)
		if s := l.find(f.Stream); s != nil {
			s.onEnd(f)
		}
	}
}

// find returns the stream that a frame belongs to. A frame for a stream that
// nobody reads is late: the sidecar is told again to send no more of it, for
// it may have started to send after it was told first.
func (l *link) find(id StreamID) *Stream {
	l.mu.Lock()
	s := l.streams[id]
	l.mu.Unlock()
	if s == nil {
		strayFrames.Inc()
		l.detach(id)
	}
	return s
}

func (l *link) detach(id StreamID) {
	go func() { _ = l.conn.Send(Detach{Stream: id}) }()
}
