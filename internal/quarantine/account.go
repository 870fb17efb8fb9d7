package quarantine

import (
	"slices"
	"time"
)

// Account relates the requests that a router has sent to upstreams without a sidecar to the crashes of
// these upstreams. A request stays in it until its answer or the end of its upstream is known, or it is
// too old to be running, whether or not anybody still waits for it: an upstream may crash after the
// caller has left, or fall silent. It is pure: it reads no clock.
//
// Invariant: size is the number of requests in the ended lists of all records, and ended holds those with each
// fingerprint, in no order. A request is asked for by each of its fingerprints, so that a search of all requests
// would cost the square of what callers write in their prompts.
type Account struct {
	upstreams map[string]*record
	size      int
	ended     map[Fingerprint][]*Sent
}

// record is what an Account holds of one incarnation of an upstream.
type record struct {
	lastSign   time.Time // when something of it arrived last
	acceptedAt time.Time // when it accepted a connection last that was opened to see whether it does
	crashedAt  time.Time // when it was found to have crashed; zero: it was not
	waiting    []*Sent   // requests whose answers are awaited
	ended      []*Sent   // requests that were lost or left, and of which nothing more is known
	lostAt     time.Time // when a connection broke last while an answer was awaited; zero: none did
	lostBefore time.Time // the same of the connection before that one
	begunSent  time.Time // when the latest request was sent whose response has begun; zero: none has
}

// Sent is a request that was sent to an upstream. The Account that returned it owns its fields.
type Sent struct {
	upstream   string
	copy       Copy
	started    time.Time
	state      sentState
	endedAt    time.Time // when it was lost or left
	until      time.Time // lost or left: it does not run after this time
	survived   bool      // left: it was reported as survived
	begun      bool      // its response has begun
	mayHaveRun bool      // left: it may have run by then, unlike one that its upstream has dropped from a queue
}

// sentState is what is known of a request that was sent.
type sentState uint8

const (
	waiting  sentState = iota // its answer is awaited
	lost                      // its connection broke while the answer was awaited
	left                      // nobody awaits its answer any more
	answered                  // its answer has arrived, or its crash is recorded
)

const (
	// evidenceWindow is how long after a request can have run the evidence of a crash may come, and how
	// long after a crash a request that was running may be lost or left. An upstream that does not
	// start again is found by the end of its entry.
	evidenceWindow = 15 * time.Second
	// dueMargin is how much longer than its deadline a request may run, and defaultRunTime how long one
	// without a deadline.
	dueMargin      = 500 * time.Millisecond
	defaultRunTime = 15 * time.Second
	// SignMargin is how long after an upstream has sent something it may be read. A request that had
	// ended longer before the latest sign of life was not running at a crash.
	SignMargin = time.Second
	// maxEnded bounds the requests that are kept after they were lost or left. The oldest ones are
	// dropped first: when all upstreams crash at once, a router loses all requests in flight, and none
	// of them is the cause.
	maxEnded = 4096
)

// NewAccount returns an empty Account.
func NewAccount() *Account {
	return &Account{upstreams: make(map[string]*record), ended: make(map[Fingerprint][]*Sent)}
}

// Copy is a copy of a request that is sent to an upstream.
type Copy struct {
	Fingerprint Fingerprint
	Parts       []Fingerprint // of the parts of its prompt that other requests may share
	Due         time.Time     // when its upstream is to stop; zero: not known
	Tried       bool          // it is sent alone, to see whether it crashes its upstream
}

// has reports whether a fingerprint is one of the request's.
func (c Copy) has(p Fingerprint) bool {
	return c.Fingerprint == p || slices.Contains(c.Parts, p)
}

// prints returns the fingerprints of the request.
func (c Copy) prints() []Fingerprint {
	return append([]Fingerprint{c.Fingerprint}, c.Parts...)
}

// Send records that a copy of a request is being sent to an upstream.
func (a *Account) Send(now time.Time, upstream string, c Copy) *Sent {
	r := a.upstreams[upstream]
	if r == nil {
		r = &record{}
		a.upstreams[upstream] = r
	}
	s := &Sent{upstream: upstream, copy: c, started: now}
	r.waiting = append(r.waiting, s)
	return s
}

// Sign records that something of an upstream has arrived. It returns the requests that were left there and
// that the upstream has survived so far, each once. One that may still run stays in the account: it counts
// at a crash all the same.
//
// One that was given up counts as survived only if its upstream had begun to respond to it, or to one that was sent after
// it. It was given up because nothing had come of it: a slow upstream drops it from its queue, which shows nothing of
// what happens when it runs.
func (a *Account) Sign(now time.Time, upstream string) (survived []RunningRequest) {
	r := a.upstreams[upstream]
	if r == nil {
		return nil
	}
	r.lastSign = now
	if now.Sub(r.crashedAt) > SignMargin {
		r.crashedAt = time.Time{} // it has not crashed
	}
	for _, s := range r.ended {
		if s.state == left && s.mayHaveRun && !s.survived && now.After(s.endedAt.Add(SignMargin)) {
			s.survived = true
			survived = append(survived, s.Running())
		}
	}
	return survived
}

// Begun records that the response to a request has begun.
func (a *Account) Begun(s *Sent) {
	s.begun = true
	if r := a.upstreams[s.upstream]; r != nil {
		r.begunSent = latest(r.begunSent, s.started)
	}
}

// Answered records that the answer to a request has arrived, or as much of it as shows that it did not
// crash its upstream. It reports whether the request was left and has been survived thereby.
func (a *Account) Answered(s *Sent) (survived bool) {
	survived = s.state == left
	switch s.state {
	case waiting:
		a.upstreams[s.upstream].stopWaiting(s)
	case lost, left:
		a.remove(s)
	}
	s.state = answered
	return survived
}

// Lost records that the connection of a request broke while its answer was awaited. It reports whether
// the upstream is known to have crashed while the request may have run.
func (a *Account) Lost(now time.Time, s *Sent) (crashed bool) {
	if s.state == waiting {
		r := a.upstreams[s.upstream]
		r.lostBefore, r.lostAt = r.lostAt, now
	}
	return a.end(now, s, lost, now)
}

// Left records that the caller of a request has left, so that nobody awaits the answer any more. Its upstream may go on
// with it until it is due, or has closed the connection. Left reports the same as Lost. It does nothing if the request
// has ended before.
func (a *Account) Left(now time.Time, s *Sent) (crashed bool) {
	return a.leave(now, s, true)
}

// GivenUp records that a request was given up since nothing of its response had come in time, and is the same as Left
// otherwise.
func (a *Account) GivenUp(now time.Time, s *Sent) (crashed bool) {
	r := a.upstreams[s.upstream]
	return a.leave(now, s, s.begun || r != nil && r.begunSent.After(s.started))
}

func (a *Account) leave(now time.Time, s *Sent, mayHaveRun bool) (crashed bool) {
	if s.state == waiting {
		s.mayHaveRun = mayHaveRun
	}
	until := now.Add(dueMargin)
	switch {
	case s.copy.Due.IsZero():
		until = now.Add(defaultRunTime)
	case s.copy.Due.After(now):
		until = s.copy.Due.Add(dueMargin)
	}
	return a.end(now, s, left, until)
}

func (a *Account) end(now time.Time, s *Sent, state sentState, until time.Time) (crashed bool) {
	if s.state != waiting {
		return false
	}
	r := a.upstreams[s.upstream]
	r.stopWaiting(s)
	s.state, s.endedAt, s.until = state, now, until
	if r.hasCrashed(now) && s.started.Before(r.crashedAt) {
		s.state = answered
		return true
	}
	r.ended = append(r.ended, s)
	a.index(s)
	if a.size > maxEnded {
		a.dropOldest()
	}
	return false
}

// index adds a request to the ended ones with its fingerprints.
func (a *Account) index(s *Sent) {
	a.size++
	for _, p := range s.copy.prints() {
		if all := a.ended[p]; len(all) == 0 || all[len(all)-1] != s { // a prompt may have a part twice
			a.ended[p] = append(all, s)
		}
	}
}

// unindex takes a request from the ended ones with its fingerprints.
func (a *Account) unindex(s *Sent) {
	a.size--
	for _, p := range s.copy.prints() {
		all := a.ended[p]
		if i := slices.Index(all, s); i >= 0 {
			all[i] = all[len(all)-1]
			all[len(all)-1] = nil
			all = all[:len(all)-1]
		}
		if len(all) == 0 {
			delete(a.ended, p)
			continue
		}
		a.ended[p] = all
	}
}

// Closed records that an upstream has closed the connection of a request that was left, so that it does
// not run any more: the upstream has dropped it, or has crashed. It returns how long before it was left.
func (a *Account) Closed(now time.Time, s *Sent) time.Duration {
	if s.state != left {
		return 0
	}
	if now.Before(s.until) {
		s.until = now
	}
	return now.Sub(s.endedAt)
}

// Upstream returns the id of the incarnation of the upstream.
func (s *Sent) Upstream() string { return s.upstream }

// Fingerprints returns the fingerprints of the request.
func (s *Sent) Fingerprints() []Fingerprint { return s.copy.prints() }

// Parts returns the fingerprints of the shared parts of the request's prompt.
func (s *Sent) Parts() []Fingerprint { return s.copy.Parts }

// Started returns when the request was sent.
func (s *Sent) Started() time.Time { return s.started }

// Running returns the request, which was lost or left, as one that was running at a crash.
func (s *Sent) Running() RunningRequest {
	return RunningRequest{Fingerprint: s.copy.Fingerprint, Parts: s.copy.Parts, Started: s.started, Awaited: max(0, s.endedAt.Sub(s.started)), Tried: s.copy.Tried}
}

// CrashedRequests is what an Account knows of the requests at a crash.
type CrashedRequests struct {
	LastSign time.Time        // when something of the upstream arrived last; zero: nothing did
	Lost     []RunningRequest // whose connections broke
	Left     []RunningRequest // that were left before, and may have been running
}

// Crashed records that an upstream has crashed, and returns the requests that it may have been running.
// Those whose answers are still awaited will be lost or left.
func (a *Account) Crashed(now time.Time, upstream string) CrashedRequests {
	r := a.upstreams[upstream]
	if r == nil {
		return CrashedRequests{}
	}
	r.crashedAt = now
	out := CrashedRequests{LastSign: r.lastSign}
	for _, s := range r.ended {
		switch {
		case s.state == lost && now.Sub(s.endedAt) < evidenceWindow:
			out.Lost = append(out.Lost, s.Running())
		case s.state == left && now.Sub(s.until) < evidenceWindow && s.until.Add(SignMargin).After(r.lastSign):
			out.Left = append(out.Left, s.Running())
		}
		s.state = answered
		a.unindex(s)
	}
	r.ended = nil
	return out
}

// Outlived records that an upstream accepts connections after it has closed that of a request which was
// left. It reports whether the request has been survived thereby. The request stays in the account: the
// upstream may be another incarnation at the same address, of which the list does not tell yet.
func (a *Account) Outlived(s *Sent) (survived bool) {
	survived = s.state == left && s.mayHaveRun && !s.survived
	s.survived = s.survived || survived
	return survived
}

// HasWaiting reports whether the answer to a request with a fingerprint is awaited. Of requests with a part of
// prompts, those count whose answers have not begun.
func (a *Account) HasWaiting(p Fingerprint) bool {
	for _, r := range a.upstreams {
		if slices.ContainsFunc(r.waiting, func(s *Sent) bool { return s.copy.has(p) && !(p.IsPart() && s.begun) }) {
			return true
		}
	}
	return false
}

// IsAwaited reports whether the answer to a request is awaited.
func (a *Account) IsAwaited(s *Sent) bool { return s.state == waiting }

// AwaitsAny reports whether the answer to any request is awaited at an upstream.
func (a *Account) AwaitsAny(upstream string) bool {
	r := a.upstreams[upstream]
	return r != nil && len(r.waiting) > 0
}

// WaitingAt returns the fingerprints of the requests whose answers are awaited at an upstream.
func (a *Account) WaitingAt(upstream string) []Fingerprint {
	var out []Fingerprint
	if r := a.upstreams[upstream]; r != nil {
		for _, s := range r.waiting {
			out = append(out, s.copy.prints()...)
		}
	}
	return out
}

// HasEnded reports whether requests were lost or left at an upstream of which nothing more is known.
func (a *Account) HasEnded(upstream string) bool {
	r := a.upstreams[upstream]
	return r != nil && len(r.ended) > 0
}

// Expire drops what lies too far back to be related, and the requests that can't run any more at
// upstreams that live.
func (a *Account) Expire(now time.Time) {
	for upstream, r := range a.upstreams {
		r.ended = slices.DeleteFunc(r.ended, func(s *Sent) bool {
			isOver := s.state == left && r.lastSign.After(s.until.Add(SignMargin)) || now.Sub(s.until) >= evidenceWindow
			if isOver {
				a.unindex(s)
			}
			return isOver
		})
		if len(r.waiting) == 0 && len(r.ended) == 0 && !r.hasCrashed(now) {
			delete(a.upstreams, upstream)
		}
	}
}

// hasCrashed reports whether the upstream was found to have crashed lately.
func (r *record) hasCrashed(now time.Time) bool {
	return !r.crashedAt.IsZero() && now.Sub(r.crashedAt) < evidenceWindow
}

// stopWaiting removes a request from those whose answers are awaited.
func (r *record) stopWaiting(s *Sent) {
	if i := slices.Index(r.waiting, s); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// remove removes a request from the ended ones.
func (a *Account) remove(s *Sent) {
	r := a.upstreams[s.upstream]
	if r == nil {
		return
	}
	if i := slices.Index(r.ended, s); i >= 0 {
		r.ended = slices.Delete(r.ended, i, i+1)
		a.unindex(s)
	}
}

// dropOldest drops the request that ended first.
func (a *Account) dropOldest() {
	var oldest *Sent
	for _, r := range a.upstreams {
		if len(r.ended) > 0 && (oldest == nil || r.ended[0].endedAt.Before(oldest.endedAt)) {
			oldest = r.ended[0]
		}
	}
	a.remove(oldest)
}
