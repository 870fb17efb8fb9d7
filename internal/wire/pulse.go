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

func (t Timing) tick() time.Duration {
	return t.PingAfter / 2
}

// care is what a connection needs.
type care uint8

const (
	careNone care = iota
	carePing
	careLost
)

// pulse decides when a connection is asked for a sign of life and when it
// counts as lost.
type pulse struct {
	mu      sync.Mutex    // held by those of a Conn
	asked   time.Time     // when the ping without an answer was sent; zero: none
	patient time.Duration // how long its answer is waited for
	settled time.Time     // when the last answer came
	checked time.Time
}

// ask notes a ping.
func (p *pulse) ask(now time.Time, patient time.Duration) {
	p.asked, p.patient = now, patient
}

// answered notes a pong.
func (p *pulse) answered(now time.Time) {
	p.asked = time.Time{}
	p.settled = now
}

// check decides what a connection needs on which an answer is awaited. heard
// is when anything came in last. calls says that a reply is due as well: then
// frames that keep coming prove only one direction, so the sidecar is asked
// nevertheless.
func (p *pulse) check(t Timing, now, heard time.Time, calls bool) care {
	late := now.Sub(p.checked) > t.tick()+t.PingAfter
	p.checked = now
	if late {
		// This process was paused. What the sidecar said meanwhile has not been
		// read yet, so its silence so far proves nothing.
		p.asked = time.Time{}
		return carePing
	}
	if !p.asked.IsZero() {
		if now.Sub(p.asked) >= p.patient {
			return careLost
		}
		return careNone
	}
	if now.Sub(heard) >= t.PingAfter || (calls && now.Sub(p.settled) >= t.PingAfter) {
		return carePing
	}
	return careNone
}

// begin starts to watch the peer, from which something is awaited from now on.
// A connection that has not been used for long is probed at once.
func (c *Conn) begin(t Timing, now time.Time) {
	c.pulse.mu.Lock()
	defer c.pulse.mu.Unlock()
	c.pulse.asked, c.pulse.settled, c.pulse.checked = time.Time{}, now, now
	if t.StaleAfter > 0 && now.Sub(c.lastRead()) >= t.StaleAfter {
		c.ping(now, t.StalePongTimeout)
	}
}

// beat looks at the peer and reports whether it counts as lost.
func (c *Conn) beat(t Timing, now time.Time, calls bool) (lost bool) {
	c.pulse.mu.Lock()
	defer c.pulse.mu.Unlock()
	switch c.pulse.check(t, now, c.lastRead(), calls) {
	case carePing:
		c.ping(now, t.PongTimeout)
	case careLost:
		silentConnections.Inc()
		return true
	}
	return false
}

// ping needs c.pulse.mu held. The write can block, so it has its own goroutine.
func (c *Conn) ping(now time.Time, patient time.Duration) {
	c.pulse.ask(now, patient)
	go func() { _ = c.Send(ping{}) }()
}

func (c *Conn) ponged() {
	c.pulse.mu.Lock()
	defer c.pulse.mu.Unlock()
	c.pulse.answered(time.Now())
}

// MonitorPeer ends the connection when its peer falls silent while awaited says that
// something is expected of it.
func (c *Conn) MonitorPeer(t Timing, awaited func() bool) {
	active := false
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(t.tick(), func() {
		<-ready
		was, now := active, time.Now()
		active = awaited()
		switch {
		case c.ended():
			return
		case active && !was:
			c.begin(t, now)
		case active && c.beat(t, now, false):
			_ = c.Close()
			return
		}
		timer.Reset(t.tick())
	})
	close(ready)
}
