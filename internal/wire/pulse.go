package wire

import (
	"sync"
	"time"
)

// Timing holds the timeouts and intervals of a connection.
type Timing struct {
	// PingAfter is how long an active connection may receive nothing before the
	// peer is pinged. The connection is checked twice in each such period.
	PingAfter time.Duration

	// PongTimeout is how long the peer may take to answer a ping before the
	// connection counts as lost. A connection that a NAT or firewall in between has
	// dropped neither delivers nor fails, so only a timeout detects it.
	PongTimeout time.Duration

	// StaleAfter is how long a connection may be unused before the next request on
	// it is accompanied by a ping, to be answered within StalePongTimeout: a NAT or
	// firewall in between drops unused connections first.
	StaleAfter, StalePongTimeout time.Duration

	// IdleTimeout is how long a connection without calls or streams is kept. At the
	// target fleet size a router uses the same sidecar every two minutes on average,
	// and each new connection costs a handshake.
	IdleTimeout time.Duration

	// HelloTimeout limits the wait for Hello on a new connection.
	HelloTimeout time.Duration

	// RedialInterval is the minimum time between a failed dial and the next one.
	// FailFastFor is how long after a failed dial requests fail at once instead of
	// waiting for the next one.
	RedialInterval, FailFastFor time.Duration
}

// DefaultTiming returns the Timing of a router's connections to sidecars. A lost
// connection is detected within two check intervals, PingAfter and PongTimeout,
// three and a half seconds in all.
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

// ReaderTiming returns the Timing of a sidecar's connections to routers that read a
// response. Such a router sends something only after it has read half a window. A
// sidecar can wait longer than a caller: a reader that is gone costs only memory
// and, at a planned stop, time.
func ReaderTiming() Timing {
	return Timing{PingAfter: 30 * time.Second, PongTimeout: 15 * time.Second}
}

func (t Timing) checkInterval() time.Duration {
	return t.PingAfter / 2
}

// livenessAction is the result of a liveness check.
type livenessAction uint8

const (
	actionNone livenessAction = iota
	actionPing
	actionClose
)

// liveness decides when the peer of a connection is pinged and when the connection
// counts as lost.
type liveness struct {
	mu          sync.Mutex    // held by the methods of Conn
	pingSent    time.Time     // when the unanswered ping was sent; zero: none
	pongTimeout time.Duration // how long to wait for the pong
	lastPong    time.Time     // when the last pong arrived or monitoring started
	lastCheck   time.Time
}

// recordPing records that a ping is sent, to be answered within timeout.
func (p *liveness) recordPing(now time.Time, timeout time.Duration) {
	p.pingSent, p.pongTimeout = now, timeout
}

// recordPong records that a pong has arrived.
func (p *liveness) recordPong(now time.Time) {
	p.pingSent = time.Time{}
	p.lastPong = now
}

// check returns what to do with a connection that has calls or streams. lastRead is
// when the last frame arrived. replyDue reports whether a call waits for its reply. In
// that case the peer is pinged even while frames keep arriving: those frames belong to
// streams, and show only that the direction from the peer works, not that the peer
// has received the call.
func (p *liveness) check(t Timing, now, lastRead time.Time, replyDue bool) livenessAction {
	wasPaused := now.Sub(p.lastCheck) > t.checkInterval()+t.PingAfter
	p.lastCheck = now
	if wasPaused {
		// This process was paused and has not yet read what the peer sent
		// meanwhile, so the time without frames says nothing about the peer.
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

// startMonitoring resets the liveness state of a connection that becomes active. A
// stale connection is pinged at once.
func (c *Conn) startMonitoring(t Timing, now time.Time) {
	c.liveness.mu.Lock()
	defer c.liveness.mu.Unlock()
	c.liveness.pingSent, c.liveness.lastPong, c.liveness.lastCheck = time.Time{}, now, now
	if t.StaleAfter > 0 && now.Sub(c.lastRead()) >= t.StaleAfter {
		c.sendPing(now, t.StalePongTimeout)
	}
}

// checkPeer pings the peer if due and reports whether the connection counts as lost.
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

// sendPing sends a ping in a separate goroutine, since the write can block. The
// caller holds c.liveness.mu.
func (c *Conn) sendPing(now time.Time, timeout time.Duration) {
	c.liveness.recordPing(now, timeout)
	go func() { _ = c.Send(ping{}) }()
}

func (c *Conn) onPong() {
	c.liveness.mu.Lock()
	defer c.liveness.mu.Unlock()
	c.liveness.recordPong(time.Now())
}

// MonitorPeer starts to check the peer periodically and closes the connection when
// the peer stops responding. The peer is only checked while isAwaiting reports that
// something is expected from it.
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
