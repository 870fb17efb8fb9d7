package wire

import "time"

// Timing is how a router watches its connections to sidecars.
type Timing struct {
	// Quiet is how long a connection from which something is awaited may say
	// nothing before the sidecar is asked for a sign of life. It is also how
	// often that is looked at, twice over.
	Quiet time.Duration

	// Silent is how long a sidecar may leave that question unanswered before
	// the connection counts as lost. A connection that something in between
	// has forgotten neither delivers nor fails, so only silence shows it.
	Silent time.Duration

	// Stale is how long a connection may have been unused before a request
	// that takes it also asks for a sign of life at once, to be given within
	// Probe: what stands in between forgets unused connections first.
	Stale, Probe time.Duration

	// Idle is how long a connection on which nothing is awaited is kept.
	Idle time.Duration

	// Hello bounds the introduction on a new connection.
	Hello time.Duration

	// Redial is the least time from one failed try to reach a sidecar to the
	// next, and FailFast how long after it requests do not wait for the next.
	Redial, FailFast time.Duration
}

// DefaultTiming returns the Timing of a router in service. A lost connection
// is found within two ticks, Quiet and Silent, three and a half seconds in all.
func DefaultTiming() Timing {
	return Timing{
		Quiet:    time.Second,
		Silent:   1500 * time.Millisecond,
		Stale:    5 * time.Second,
		Probe:    time.Second,
		Idle:     30 * time.Second,
		Hello:    time.Second,
		Redial:   250 * time.Millisecond,
		FailFast: 5 * time.Second,
	}
}

func (t Timing) tick() time.Duration {
	return t.Quiet / 2
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
	late := now.Sub(p.checked) > t.tick()+t.Quiet
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
	if now.Sub(heard) >= t.Quiet || (calls && now.Sub(p.settled) >= t.Quiet) {
		return carePing
	}
	return careNone
}
