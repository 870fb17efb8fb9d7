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

// Event is something that has happened to a candidate.
type Event interface{ isEvent() }

// Tick is the passing of time.
type Tick struct {
	Now         time.Time
	IsCandidate bool // this router is to stand for the lease
}

// GetResult is the end of a Get. Now is a time after the answer has come.
type GetResult struct {
	Now    time.Time
	Era    topo.Era // of the store
	Object topo.Object
	Err    error
}

// PutResult is the end of a Put.
type PutResult struct {
	Now    time.Time
	Object topo.Object
	Err    error
}

// Resign gives the lease up, for a planned stop. The holding ends at once; the
// store is told, so that the next holder need not wait. If that write is lost,
// the lease lapses.
type Resign struct{}

func (Tick) isEvent()      {}
func (GetResult) isEvent() {}
func (PutResult) isEvent() {}
func (Resign) isEvent()    {}

// Effect is a call of the store. A State has one out at a time.
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

// attempt is a write whose outcome may not be known.
type attempt struct {
	id        string
	record    Record
	sent      time.Time // before it was sent
	ifVersion topo.Version
}

// State is a candidate's or holder's view of the lease.
type State struct {
	self       string // unique to this process, so that a restarted one is another
	ttl        time.Duration
	writeCount uint64

	callInFlight   bool // a call is out
	isCandidate    bool
	resigned       bool
	releasePending bool      // the store is to hear of the resignation
	nextCall       time.Time // of the next call
	nextPut        time.Time // of the next write that follows a read

	hasRead       bool // the object has been read
	record        Record
	version       topo.Version // zero: there is no object
	versionSeenAt time.Time    // when version was seen first
	era           topo.Era     // of the store
	eraSeenAt     time.Time    // when it was seen to be in it; zero: it never came back from a copy

	attempts []attempt
	token    wire.FencingToken // zero: not the holder
	deadline time.Time
}

// NewState returns the State of a candidate that takes the lease for ttl at a
// time. self must be unique to the process.
func NewState(self string, ttl time.Duration) *State {
	return &State{self: self, ttl: ttl}
}

// callInterval is the pause between calls of the store.
func (s *State) callInterval() time.Duration { return s.ttl / callDivisor }

// Held returns the fencing token while the lease is held.
func (s *State) Held(now time.Time) (wire.FencingToken, bool) {
	return s.token, s.token != 0 && now.Before(s.deadline)
}

// Grant is an immutable picture of the lease for those that act under it.
type Grant struct {
	Token    wire.FencingToken
	Deadline time.Time
}

// Valid reports whether the lease is held at now. A holder asks before each
// effect: one that was paused wakes up with the belief of the time before. The
// wall clock counts as well, since the monotonic one stands still while a VM
// is suspended.
func (g Grant) Valid(now time.Time) bool {
	return g.Token != 0 && now.Before(g.Deadline) && now.Round(0).Before(g.Deadline.Round(0))
}

// Grant returns the present picture.
func (s *State) Grant() Grant {
	return Grant{Token: s.token, Deadline: s.deadline}
}

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	effects := s.apply(event)
	if !s.releasePending || s.callInFlight {
		return effects
	}
	s.releasePending = false
	if s.record.Holder != s.self {
		return effects
	}
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

func (s *State) get(next time.Time) []Effect {
	s.callInFlight, s.nextCall = true, next
	return []Effect{Get{}}
}

func (s *State) put(now time.Time, r Record, next time.Time) []Effect {
	s.writeCount++
	r.TTL = s.ttl
	r.Attempt = fmt.Sprintf("%s#%d", s.self, s.writeCount)
	s.callInFlight, s.nextCall, s.nextPut = true, next, now.Add(s.callInterval())
	s.attempts = append(s.attempts, attempt{id: r.Attempt, record: r, sent: now, ifVersion: s.version})
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
	// A read from a replica that lags may show a lease as free again and again;
	// without the pause, failing writes and reads would chase each other.
	if s.resigned || s.token != 0 || !s.isCandidate || !s.isFree(e.Now) || e.Now.Before(s.nextPut) {
		return nil
	}
	return s.put(e.Now, Record{Holder: s.self}, e.Now.Add(s.callInterval()))
}

// observe takes in the object as it was read.
//
// A write whose answer was lost may have made this process the holder, or may
// still be on its way. The attempt id in the object tells: if it is one of
// ours, that write took effect, and the lease counts from before it was sent.
func (s *State) observe(now time.Time, r Record, v topo.Version) {
	if v != 0 && v < s.version {
		return // a read that lags
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
	// A write takes effect only while the object is at the version it names.
	s.attempts = slices.DeleteFunc(s.attempts, func(a attempt) bool { return a.ifVersion != v })
}

func (s *State) setHeld(t wire.FencingToken, sent time.Time) {
	if s.resigned {
		return
	}
	s.token = t
	s.deadline = sent.Add(s.ttl)
}

// tookEffectInSameEra reports whether a write that took effect at a version did so in the era of the store
// in which its condition was read. In another one it has replaced what another has written.
func (a attempt) tookEffectInSameEra(v topo.Version) bool {
	return a.ifVersion == 0 || a.ifVersion.Era() == v.Era()
}

// isFree reports whether the lease may be taken. Its holder counts TTL from
// before its write was sent; this counts from after that write was seen, and
// longer, so the holder has stopped by then. A store that has come back from an
// older copy may have lost the write of a holder that goes by it still.
func (s *State) isFree(now time.Time) bool {
	if !s.eraSeenAt.IsZero() && !hasLapsed(now, s.eraSeenAt, s.ttl) {
		return false
	}
	return s.record.Holder == "" || hasLapsed(now, s.versionSeenAt, s.record.TTL)
}

func hasLapsed(now, since time.Time, ttl time.Duration) bool {
	return now.Sub(since) >= ttl+ttl/marginDivisor
}

func (s *State) handlePutResult(e PutResult) []Effect {
	last := s.attempts[len(s.attempts)-1]
	switch {
	case e.Err == nil:
		s.observe(e.Now, last.record, e.Object.Version)
		return nil
	case errors.Is(e.Err, topo.ErrRefused):
		s.forget(last)
		s.nextCall = e.Now.Add(time.Second)
		return nil
	case errors.Is(e.Err, topo.ErrConflict), errors.Is(e.Err, topo.ErrNotFound):
		s.forget(last)
	}
	if s.resigned {
		return nil
	}
	// Another wrote, or the outcome is unknown: read back.
	return s.get(e.Now.Add(s.callInterval()))
}

// forget forgets a write that certainly had no effect.
func (s *State) forget(a attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(o attempt) bool { return o == a })
}
