package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is an input of a State.
type Event interface{ isEvent() }

// Tick reports the current time.
type Tick struct {
	Now         time.Time
	IsCandidate bool // this router is to compete for the lease
}

// GetResult is the result of a Get. Now is a time after the response arrived.
type GetResult struct {
	Now    time.Time
	Era    topo.Era // of the store
	Object topo.Object
	Err    error
}

// PutResult is the result of a Put. Now is a time after the response arrived.
type PutResult struct {
	Now    time.Time
	Object topo.Object
	Err    error
}

// Resign gives up the lease immediately, for a planned stop. A write then releases it in
// the store, so that the next holder need not wait; if that write is lost, the lease
// lapses.
type Resign struct{}

func (Tick) isEvent()      {}
func (GetResult) isEvent() {}
func (PutResult) isEvent() {}
func (Resign) isEvent()    {}

// Effect is a store call. A State has at most one in flight.
type Effect interface{ isEffect() }

// Get reads the lease object.
type Get struct{}

// Put writes the lease object if it is still at IfVersion.
type Put struct {
	Record    Record
	IfVersion topo.Version
}

func (Get) isEffect() {}
func (Put) isEffect() {}

// attempt is a write whose outcome may be unknown.
type attempt struct {
	id        string
	record    Record
	sent      time.Time // a time before it was sent
	ifVersion topo.Version
}

// State is a candidate's or holder's view of the lease. It does no I/O.
type State struct {
	self       string // unique to this process, so that a restarted process has another
	ttl        time.Duration
	writeCount uint64 // numbers the writes in their attempt ids

	callInFlight   bool
	isCandidate    bool
	resigned       bool
	releasePending bool      // the resignation is still to be written to the store
	nextCall       time.Time // a Tick before this time makes no call
	nextPut        time.Time // a GetResult before this time makes no write; see handleGetResult

	hasRead       bool // the object has been read
	record        Record
	version       topo.Version // zero: the object does not exist
	versionSeenAt time.Time    // when version was first seen
	era           topo.Era     // of the store
	eraSeenAt     time.Time    // when era was first seen; zero: no restore is known

	attempts []attempt
	token    wire.FencingToken // zero: not the holder
	deadline time.Time
}

// NewState returns the State of a candidate that acquires the lease for ttl at a
// time. self must be unique to the process.
func NewState(self string, ttl time.Duration) *State {
	return &State{self: self, ttl: ttl}
}

// callInterval returns the interval between a holder's renewals, and between a candidate's
// reads.
func (s *State) callInterval() time.Duration { return s.ttl / callDivisor }

// Held returns the fencing token, and whether the lease is held at now. It compares the
// monotonic clock only: before an effect, a holder must check Grant.Valid instead.
func (s *State) Held(now time.Time) (wire.FencingToken, bool) {
	return s.token, s.token != 0 && now.Before(s.deadline)
}

// Grant is an immutable snapshot of a held lease. Token is zero if it is not held.
type Grant struct {
	Token    wire.FencingToken
	Deadline time.Time
}

// Valid reports whether the lease is held at now. A holder must check it before
// each effect, since a paused process resumes with an outdated grant. The wall
// clock is compared too, because the monotonic clock stops while a VM is suspended.
func (g Grant) Valid(now time.Time) bool {
	return g.Token != 0 && now.Before(g.Deadline) && now.Round(0).Before(g.Deadline.Round(0))
}

// Grant returns the current grant, whether or not it is still valid.
func (s *State) Grant() Grant {
	return Grant{Token: s.token, Deadline: s.deadline}
}

// Step applies an event and returns the store calls to make.
func (s *State) Step(event Event) []Effect {
	effects := s.apply(event)
	if !s.releasePending || s.callInFlight {
		return effects
	}
	s.releasePending = false
	if s.record.Holder != s.self {
		return effects // another process has the lease, or it is released already
	}
	// The event may carry no time. The time of the release is not used: a State that has
	// resigned makes no call on a Tick, and does not hold a lease that it reads back.
	return append(effects, s.put(s.nextCall, Record{}, s.nextCall)...)
}

func (s *State) apply(event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		s.isCandidate = e.IsCandidate
		return s.tick(e.Now)
	case GetResult:
		s.callInFlight = false
		return s.handleGetResult(e)
	case PutResult:
		s.callInFlight = false
		return s.handlePutResult(e)
	case Resign:
		s.resigned, s.releasePending = true, s.token != 0
		s.token = 0
	}
	return nil
}

func (s *State) tick(now time.Time) []Effect {
	if s.callInFlight || s.resigned || now.Before(s.nextCall) {
		return nil
	}
	if s.token != 0 {
		return s.put(now, Record{Holder: s.self, Token: s.token}, now.Add(s.callInterval()))
	}
	if !s.isCandidate {
		return nil
	}
	return s.get(now.Add(s.callInterval()))
}

// get returns a read of the object. next is the time of the next call on a Tick.
func (s *State) get(next time.Time) []Effect {
	s.callInFlight, s.nextCall = true, next
	return []Effect{Get{}}
}

// put returns a write of r over the version that was last seen. sent is a time before the
// write is sent, next the time of the next call on a Tick.
func (s *State) put(sent time.Time, r Record, next time.Time) []Effect {
	s.writeCount++
	r.TTL = s.ttl
	r.Attempt = fmt.Sprintf("%s#%d", s.self, s.writeCount)
	s.callInFlight, s.nextCall, s.nextPut = true, next, sent.Add(s.callInterval())
	s.attempts = append(s.attempts, attempt{id: r.Attempt, record: r, sent: sent, ifVersion: s.version})
	return []Effect{Put{Record: r, IfVersion: s.version}}
}

func (s *State) handleGetResult(e GetResult) []Effect {
	if e.Era > s.era {
		s.era, s.eraSeenAt = e.Era, e.Now
	}
	switch {
	case errors.Is(e.Err, topo.ErrNotFound):
		s.observe(e.Now, Record{}, 0)
	case e.Err != nil:
		return nil
	default:
		var r Record
		if json.Unmarshal(e.Object.Value, &r) != nil {
			return nil
		}
		s.observe(e.Now, r, e.Object.Version)
	}
	// A lagging replica may show the lease as free repeatedly. Without this pause,
	// failing writes and reads would follow each other without delay.
	if s.resigned || s.token != 0 || !s.isCandidate || !s.isFree(e.Now) || e.Now.Before(s.nextPut) {
		return nil
	}
	return s.put(e.Now, Record{Holder: s.self}, e.Now.Add(s.callInterval()))
}

// observe records the lease object as read or written.
//
// A write whose response was lost may have made this process the holder, or may
// still take effect. The attempt id in the object decides: if it is one of this
// State's, that write took effect, and the lease counts from before it was sent.
//
// The lease is not held if that write released it or took effect in another era of the
// store, if the object names another holder, or if its token is not this State's.
func (s *State) observe(now time.Time, r Record, v topo.Version) {
	if v != 0 && v < s.version {
		return // a stale read
	}
	if !s.hasRead || v != s.version {
		s.versionSeenAt = now
	}
	s.hasRead, s.record, s.version = true, r, v
	i := slices.IndexFunc(s.attempts, func(a attempt) bool { return a.id == r.Attempt })
	switch {
	case i >= 0 && r.Holder == s.self && s.attempts[i].tookEffectInSameEra(v):
		s.setHeld(TokenOf(r, v), s.attempts[i].sent)
	case i >= 0 || r.Holder != s.self || TokenOf(r, v) != s.token:
		s.token = 0
	}
	// A write can take effect only while the object is at the version of its condition.
	s.attempts = slices.DeleteFunc(s.attempts, func(a attempt) bool { return a.ifVersion != v })
}

func (s *State) setHeld(t wire.FencingToken, sent time.Time) {
	if s.resigned {
		return
	}
	s.token = t
	s.deadline = sent.Add(s.ttl)
}

// tookEffectInSameEra reports whether a write that took effect at version v did so in the
// era of the store in which its condition was read. In a later era it has overwritten
// another writer's object that was given the same revision.
func (a attempt) tookEffectInSameEra(v topo.Version) bool {
	return a.ifVersion == 0 || a.ifVersion.Era() == v.Era()
}

// isFree reports whether the lease may be acquired. Its holder counts the TTL from
// before its write was sent. A candidate counts from after it saw that write, and
// for longer, so the holder has stopped by then. A store that was restored from an
// older copy may have lost the write of a holder that still relies on it, so no lease
// is free until the TTL and margin have passed since its new era was seen.
func (s *State) isFree(now time.Time) bool {
	if !s.eraSeenAt.IsZero() && !hasLapsed(now, s.eraSeenAt, s.ttl) {
		return false
	}
	return s.record.Holder == "" || hasLapsed(now, s.versionSeenAt, s.record.TTL)
}

// hasLapsed reports whether ttl and the margin have passed since a time.
func hasLapsed(now, since time.Time, ttl time.Duration) bool {
	return now.Sub(since) >= ttl+ttl/marginDivisor
}

func (s *State) handlePutResult(e PutResult) []Effect {
	last := s.attempts[len(s.attempts)-1] // of this Put: no other call was in flight meanwhile
	switch {
	case e.Err == nil:
		s.observe(e.Now, last.record, e.Object.Version)
		return nil
	case errors.Is(e.Err, topo.ErrRefused):
		s.forget(last)
		s.nextCall = e.Now.Add(time.Second) // nothing was written: try again soon
		return nil
	case errors.Is(e.Err, topo.ErrConflict), errors.Is(e.Err, topo.ErrNotFound):
		s.forget(last)
	}
	if s.resigned {
		return nil
	}
	// Another process wrote the object, or the outcome is unknown: read it back.
	return s.get(e.Now.Add(s.callInterval()))
}

// forget drops an attempt that certainly had no effect.
func (s *State) forget(a attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(o attempt) bool { return o == a })
}
