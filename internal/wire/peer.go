package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Dialer opens a connection to a sidecar.
type Dialer func(ctx context.Context) (net.Conn, error)

// CallHandler serves the calls that a sidecar makes to a router.
type CallHandler func(ctx context.Context, m Method, p Params) (any, error)

// PeerConfig configures a Peer.
type PeerConfig struct {
	Dial        Dialer
	CallHandler CallHandler // nil: calls are refused
	Timing      Timing      // zero: DefaultTiming
}

// Peer is a router's client for one sidecar. It keeps at most one connection,
// opened on demand.
type Peer struct {
	config PeerConfig
	ctx    context.Context // ends on Close
	cancel context.CancelFunc

	mu            sync.Mutex
	link          *link
	dialing       *pendingDial
	lastDialError *verdict.Error // of the last dial; nil: it succeeded
	lastDialEnd   time.Time      // when the last dial ended
}

// pendingDial is an attempt to connect, shared by all callers that wait for it.
type pendingDial struct {
	done chan struct{}
	err  *verdict.Error // set before done is closed
}

// NewPeer returns a Peer that connects on first use.
func NewPeer(c PeerConfig) *Peer {
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Peer{config: c, ctx: ctx, cancel: cancel}
}

// Connect returns the sidecar's Hello, connecting first when there is no
// connection. An error has the verdict NotRun, since no request was sent.
func (p *Peer) Connect(ctx context.Context) (Hello, error) {
	l, err := p.acquire(ctx)
	if err != nil {
		return Hello{}, err
	}
	defer l.release()
	return l.hello, nil
}

// Submit asks the sidecar to run a request. The Stream carries its response. If the
// sidecar refuses the request, the error is that of the returned Admission. After any
// other error the Admission is zero; NotRun with ReasonNoUpstream then means that the
// request was not sent.
func (p *Peer) Submit(ctx context.Context, s Submit) (*Stream, Admission, error) {
	o := streamOptions{nonce: s.Key.Nonce, window: s.Window}
	return p.open(ctx, o, func(c *Conn, id StreamID) (Admission, error) {
		s.Stream = id
		return c.submit(ctx, s)
	})
}

// Attach requests the response to a submitted request, starting at an offset. It
// returns the same as Submit.
func (p *Peer) Attach(ctx context.Context, a Attach) (*Stream, Admission, error) {
	o := streamOptions{nonce: a.Key.Nonce, offset: a.Offset, window: a.Window, headSeen: a.HeadSeen}
	return p.open(ctx, o, func(c *Conn, id StreamID) (adm Admission, err error) {
		a.Stream = id
		err = c.Call(ctx, MethodAttach, a, &adm)
		return adm, err
	})
}

// streamOptions holds the initial parameters of a Stream.
type streamOptions struct {
	nonce    token.Nonce
	offset   int64
	window   int
	headSeen bool
}

// open opens a stream and starts it with call, which gets the stream's id.
func (p *Peer) open(ctx context.Context, o streamOptions, call func(*Conn, StreamID) (Admission, error)) (*Stream, Admission, error) {
	l, err := p.acquire(ctx)
	if err != nil {
		return nil, Admission{}, err
	}
	defer l.release()
	// Frames can arrive before the reply, so the stream is registered before the call.
	s := l.open(o)
	adm, err := call(l.conn, s.id)
	if err != nil {
		s.Close()
		return nil, Admission{}, err
	}
	countControl(adm.Control)
	if adm.Error != nil {
		l.remove(s)
		return nil, adm, adm.Error
	}
	return s, adm, nil
}

// Call makes a call to the sidecar, connecting first when there is no connection. If
// connecting fails, the error has the verdict NotRun; other errors are those of
// Conn.Call.
func (p *Peer) Call(ctx context.Context, m Method, params, result any) error {
	l, err := p.acquire(ctx)
	if err != nil {
		return err
	}
	defer l.release()
	return l.conn.Call(ctx, m, params, result)
}

// Close closes the connection and fails its streams. The Peer does not connect again.
func (p *Peer) Close() {
	p.cancel()
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil {
		_ = l.conn.Close()
	}
}

// Connected reports whether there is a connection.
func (p *Peer) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil && p.link.alive()
}

// acquire returns the connection for a call; the caller releases it after the call.
// It waits for a connection to be opened, unless the last attempt failed recently:
// then it returns that error while another attempt runs in the background, since
// trying another upstream beats waiting for one that is down.
func (p *Peer) acquire(ctx context.Context) (*link, error) {
	for {
		l, d, err := p.currentLink(time.Now())
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, unreachableError(ctx.Err())
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

// currentLink returns the connection, the pending dial, or the error of the last
// dial, whichever applies. It starts a dial if one is needed.
func (p *Peer) currentLink(now time.Time) (*link, *pendingDial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.link.acquire(now) {
		return p.link, nil, nil
	}
	p.link = nil
	sinceDial := now.Sub(p.lastDialEnd)
	t := p.config.Timing
	if p.dialing == nil && (p.lastDialError == nil || sinceDial >= t.RedialInterval) {
		p.dialing = &pendingDial{done: make(chan struct{})}
		go p.connect(p.dialing)
	}
	if p.lastDialError != nil && sinceDial < t.FailFastFor {
		return nil, nil, p.lastDialError
	}
	return nil, p.dialing, nil
}

func unreachableError(err error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "connect: %s", err)
}

// connect dials and completes d. It dials without holding p.mu, so that only
// callers that wait for d are delayed.
func (p *Peer) connect(d *pendingDial) {
	dials.Inc()
	l, err := p.openLink()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && !l.alive() {
		err = errConnectionLost()
	}
	if err != nil {
		dialFailures.Inc()
		d.err = unreachableError(err)
	} else {
		p.link = l
	}
	p.lastDialError, p.lastDialEnd, p.dialing = d.err, time.Now(), nil
	close(d.done)
}

// openLink opens a connection and waits for the sidecar's Hello.
func (p *Peer) openLink() (*link, error) {
	if err := p.ctx.Err(); err != nil {
		return nil, err
	}
	c, err := p.config.Dial(p.ctx)
	if err != nil {
		return nil, err
	}
	l := newLink(p, c)
	ctx, cancel := context.WithTimeout(p.ctx, p.config.Timing.HelloTimeout)
	defer cancel()
	if err := l.conn.Call(ctx, MethodHello, Empty{}, &l.hello); err != nil {
		_ = l.conn.Close()
		return nil, err
	}
	return l, nil
}

// dropLink stops using l for new calls.
func (p *Peer) dropLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
	}
}

// closeIfIdle closes l if it has been idle for IdleTimeout. It first removes l from
// the Peer, under the lock that acquire holds, so that no request is sent on a
// connection that is about to be closed.
func (p *Peer) closeIfIdle(l *link) {
	p.mu.Lock()
	idle := l.idle(time.Now())
	if idle && p.link == l {
		p.link = nil
	}
	p.mu.Unlock()
	if idle {
		_ = l.conn.Close()
	}
}
