// Package sidecar is the one small process beside an upstream. It is the only
// way into its upstream and the point at which everything about it is decided
// in order: which requests run, how many at a time, and that each runs once.
package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is something that has happened to a sidecar.
type Event interface{ isEvent() }

// Submitted is a request that a router has sent.
type Submitted struct {
	Now    time.Time
	Ticket uint64 // of the caller who waits for the Reply
	Submit wire.Submit
}

// Ended is a request that has ended at the upstream.
type Ended struct {
	Now   time.Time
	Nonce token.Nonce
}

func (Submitted) isEvent() {}
func (Ended) isEvent()     {}

// Effect is something that a sidecar is to do.
type Effect interface{ isEffect() }

// Start runs a request at the upstream.
type Start struct {
	Submit wire.Submit
}

// Reply tells a router whether its request was accepted.
type Reply struct {
	Ticket    uint64
	Admission wire.Admission
}

func (Start) isEffect() {}
func (Reply) isEffect() {}

// State is a sidecar's control state.
type State struct {
	incarnation uint64
	known       map[token.Nonce]bool
	running     int
}

// NewState returns the State of a sidecar that has just started.
func NewState(incarnation uint64) *State {
	return &State{incarnation: incarnation, known: make(map[token.Nonce]bool)}
}

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case Submitted:
		return s.submitted(e)
	case Ended:
		s.running--
	}
	return nil
}

func (s *State) submitted(e Submitted) []Effect {
	key := e.Submit.Key
	if key.Incarnation != s.incarnation {
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the sidecar has restarted since the key was made")
		return []Effect{Reply{Ticket: e.Ticket, Admission: wire.Admission{Error: err, Control: s.control()}}}
	}
	if s.known[key.Nonce] {
		return []Effect{Reply{Ticket: e.Ticket, Admission: wire.Admission{Joined: true, Control: s.control()}}}
	}
	s.known[key.Nonce] = true
	s.running++
	return []Effect{
		Start{Submit: e.Submit},
		Reply{Ticket: e.Ticket, Admission: wire.Admission{Control: s.control()}},
	}
}

func (s *State) control() wire.Control {
	return wire.Control{Load: s.running, Running: s.running}
}
