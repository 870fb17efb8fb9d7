package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// link is one connection of a Peer with its open streams. It implements Handler.
type link struct {
	peer  *Peer
	conn  *Conn
	hello Hello

	mu           sync.Mutex
	ended        bool
	streams      map[StreamID]*Stream
	lastStreamID StreamID
	activeCalls  int // in progress
	lastUsed     time.Time
	timer        *time.Timer // runs onTimer; stopped when the connection ends
}

func newLink(p *Peer, c net.Conn) *link {
	l := &link{peer: p, streams: make(map[StreamID]*Stream)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = newConn(context.Background(), c, l, func(*Conn) { l.onClose() })
	l.lastUsed = time.Now()
	l.timer = time.AfterFunc(p.config.Timing.IdleTimeout, l.onTimer)
	return l
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended
}

// acquire registers a call that is about to be made. It reports whether the
// connection is usable; false means that it has ended.
func (l *link) acquire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	t := l.peer.config.Timing
	if l.activeCalls == 0 && len(l.streams) == 0 {
		l.conn.startMonitoring(t, now)
		l.timer.Reset(t.checkInterval())
	}
	l.activeCalls++
	l.lastUsed = now
	return true
}

// release records the end of a call.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeCalls--
	l.lastUsed = time.Now()
}

// idle reports whether l has had no calls and streams for IdleTimeout.
func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeCalls == 0 && len(l.streams) == 0 && now.Sub(l.lastUsed) >= l.peer.config.Timing.IdleTimeout
}

// open adds a stream. The caller must have acquired l for a call.
func (l *link) open(o streamOptions) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastStreamID++
	s := newStream(l, l.lastStreamID, o)
	if l.ended {
		s.fail(errConnectionLost())
		return s
	}
	l.streams[s.id] = s
	openStreams.Add(1)
	return s
}

// remove removes a stream if it is still open.
func (l *link) remove(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.id] == s {
		delete(l.streams, s.id)
		openStreams.Add(-1)
		l.lastUsed = time.Now()
	}
}

// onTimer checks the peer while calls or streams are active, and otherwise closes
// the connection once it has been idle for IdleTimeout.
func (l *link) onTimer() {
	now := time.Now()
	t := l.peer.config.Timing
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	if l.activeCalls == 0 && len(l.streams) == 0 {
		l.timer.Reset(max(t.checkInterval(), t.IdleTimeout-now.Sub(l.lastUsed)))
		l.mu.Unlock()
		l.peer.closeIfIdle(l)
		return
	}
	replyDue := l.activeCalls > 0
	l.timer.Reset(t.checkInterval())
	l.mu.Unlock()
	if l.conn.checkPeer(t, now, replyDue) {
		_ = l.conn.Close()
	}
}

func errConnectionLost() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "connection lost")
}

// onClose fails all open streams after the connection has ended.
func (l *link) onClose() {
	l.mu.Lock()
	l.ended = true
	l.timer.Stop()
	streams := l.streams
	l.streams = nil
	l.mu.Unlock()
	l.peer.dropLink(l)
	openStreams.Add(-int64(len(streams)))
	for _, s := range streams {
		s.fail(errConnectionLost())
	}
}

// HandleCall implements Handler.
func (l *link) HandleCall(ctx context.Context, _ *Conn, m Method, p Params) (any, error) {
	if l.peer.config.CallHandler == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "this router serves no calls")
	}
	return l.peer.config.CallHandler(ctx, m, p)
}

// HandleFrame implements Handler.
func (l *link) HandleFrame(_ *Conn, f Frame) {
	switch f := f.(type) {
	case Head:
		if s := l.streamOrDetach(f.Stream); s != nil {
			s.onHead(f)
		}
	case Data:
		if s := l.streamOrDetach(f.Stream); s != nil {
			s.onData(f)
		}
	case End:
		countControl(f.Control)
		if s := l.streamOrDetach(f.Stream); s != nil {
			s.onEnd(f)
		}
	}
}

// streamOrDetach returns the stream that a frame belongs to. If the stream is closed,
// it returns nil and sends another Detach, since the sidecar may have started to send
// after it received the first one.
func (l *link) streamOrDetach(id StreamID) *Stream {
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
