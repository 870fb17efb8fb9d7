package wire

import (
	"sync"
	"time"
)

// Timing is how a connection is watched.
type Timing struct {
	// PingAfter is how long a connection from which something is awaited may say
	// nothing before the peer is asked for a sign of life. It is also how
	// often that is looked at, twice over.
	PingAfter time.Duration

	// PongTimeout is how long the peer may leave that question unanswered before
	// the connection counts as lost. A connection that something in between
	// has forgotten neither delivers nor fails, so only silence shows it.
	PongTimeout time.Duration

	// StaleAfter is how long a connection may have been unused before a request
	// that takes it also asks for a sign of life at once, to be given within
	// StalePongTimeout: what stands in between forgets unused connections first.
	StaleAfter, StalePongTimeout time.Duration

	// IdleTimeout is how long a connection on which nothing is awaited is kept. At the
	// target's size a router comes back to a sidecar every two minutes on
	// average, and each new connection costs a handshake.
	IdleTimeout time.Duration

	// HelloTimeout bounds the introduction on a new connection.
	HelloTimeout time.Duration

	// RedialInterval is the least time from one failed try to reach a sidecar to the
	// next, and FailFastFor how long after it requests do not wait for the next.
	RedialInterval, FailFastFor time.Duration
}

// DefaultTiming returns the Timing of routers towards sidecars. A lost connection
// is found within two ticks, Quiet and Silent, three and a half seconds in all.
func DefaultTiming() Timing {
	return Timing{
		PingAfter:        time.Second,
		PongTimeout:      1500 * time.Millisecond,
		StaleAfter:       5 * time.Second,
		StalePongTimeout: time.Second,
		IdleTimeout:      10 * time.Minute,
		HelloTimeout:     time.Second,
		RedialInterval:   250 * time.Millisecond,
		FailFastFor:      5 * time.Second,
	}
}

// ReaderTiming returns the Timing of sidecars towards routers that read an
// answer. A router is only heard when it has read half a window, and a sidecar
// can wait for longer than a caller: what a reader that is gone holds is memory
// and, at a planned stop, time.
func ReaderTiming() Timing {
	return Timing{PingAfter: 30 * time.Second, PongTimeout: 15 * time.Second}
}

func (t Timing) checkInterval() time.Duration {
	return t.PingAfter / 2
}

// livenessAction is what a connection needs.
type livenessAction uint8

const (
	actionNone livenessAction = iota
	actionPing
	actionClose
)

// liveness decides when a connection is asked for a sign of life and when it
// counts as lost.
type liveness struct {
	mu          sync.Mutex    // held by those of a Conn
	pingSent    time.Time     // when the ping without an answer was sent; zero: none
	pongTimeout time.Duration // how long its answer is waited for
	lastPong    time.Time     // when the last answer came
	lastCheck   time.Time
}

// recordPing notes a ping.
func (p *liveness) recordPing(now time.Time, timeout time.Duration) {
	p.pingSent, p.pongTimeout = now, timeout
}

// recordPong notes a pong.
func (p *liveness) recordPong(now time.Time) {
	p.pingSent = time.Time{}
	p.lastPong = now
}

// check decides what a connection needs on which an answer is awaited. heard
// is when anything came in last. calls says that a reply is due as well: then
// frames that keep coming prove only one direction, so the sidecar is asked
// nevertheless.
func (p *liveness) check(t Timing, now, lastRead time.Time, replyDue bool) livenessAction {
	wasPaused := now.Sub(p.lastCheck) > t.checkInterval()+t.PingAfter
	p.lastCheck = now
	if wasPaused {
		// This process was paused. What the sidecar said meanwhile has not been
		// read yet, so its silence so far proves nothing.
		p.pingSent = time.Time{}
		return actionPing
	}
	if !p.pingSent.IsZero() {
		if now.Sub(p.pingSent) >= p.pongTimeout {
			return actionClose
		}
		return actionNone
	}
	if now.Sub(lastRead) >= t.PingAfter || (replyDue && now.Sub(p.lastPong) >= t.PingAfter) {
		return actionPing
	}
	return actionNone
}

// startMonitoring starts to watch the peer, from which something is awaited from now on.
// A connection that has not been used for long is probed at once.
func (c *Conn) startMonitoring(t Timing, now time.Time) {
	c.liveness.mu.Lock()
	defer c.liveness.mu.Unlock()
	c.liveness.pingSent, c.liveness.lastPong, c.liveness.lastCheck = time.Time{}, now, now
	if t.StaleAfter > 0 && now.Sub(c.lastRead()) >= t.StaleAfter {
		c.sendPing(now, t.StalePongTimeout)
	}
}

// checkPeer looks at the peer and reports whether it counts as lost.
func (c *Conn) checkPeer(t Timing, now time.Time, replyDue bool) (lost bool) {
	c.liveness.mu.Lock()
	defer c.liveness.mu.Unlock()
	switch c.liveness.check(t, now, c.lastRead(), replyDue) {
	case actionPing:
		c.sendPing(now, t.PongTimeout)
	case actionClose:
		silentConnections.Inc()
		return true
	}
	return false
}

// sendPing needs c.pulse.mu held. The write can block, so it has its own goroutine.
func (c *Conn) sendPing(now time.Time, timeout time.Duration) {
	c.liveness.recordPing(now, timeout)
	go func() { _ = c.Send(ping{}) }()
}

func (c *Conn) onPong() {
	c.liveness.mu.Lock()
	defer c.liveness.mu.Unlock()
	c.liveness.recordPong(time.Now())
}

// MonitorPeer ends the connection when its peer falls silent while awaited says that
// something is expected of it.
func (c *Conn) MonitorPeer(t Timing, isAwaiting func() bool) {
	monitoring := false
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(t.checkInterval(), func() {
		<-ready
		wasMonitoring, now := monitoring, time.Now()
		monitoring = isAwaiting()
		switch {
		case c.ended():
			return
		case monitoring && !wasMonitoring:
			c.startMonitoring(t, now)
		case monitoring && c.checkPeer(t, now, false):
			_ = c.Close()
			return
		}
		timer.Reset(t.checkInterval())
	})
	close(ready)
}
