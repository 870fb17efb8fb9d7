package budget

import "time"

// Phase is what a connection of a caller does.
type Phase uint8

// Phases of a connection.
const (
	// PhaseSilent is before the first byte of the first request.
	PhaseSilent Phase = iota
	// PhaseHead is from the first byte of a request to the end of its head.
	PhaseHead
	// PhaseBody is while the body of a request is read.
	PhaseBody
	// PhaseWork is while a request is served.
	PhaseWork
	// PhaseWrite is while a piece of the response waits for the caller to read.
	PhaseWrite
	// PhaseIdle is between two requests.
	PhaseIdle
	// PhaseClosing is after a refusal, while the rest of what the caller sends is dropped.
	PhaseClosing
)

// Connection is the state of one connection of a caller.
type Connection struct {
	Phase Phase
	Age   time.Duration // of its phase
}

// rank returns the place of a connection in the order in which connections make room for others, from zero. Lower ones
// go first, and the ones of the highest age among equals. ok is false if it makes room for nobody.
func (c Connection) rank() (rank int, ok bool) {
	switch {
	case c.Phase == PhaseClosing:
		return 0, true
	case c.Phase == PhaseIdle:
		return 1, true
	}
	return 0, false
}

// MakesRoomBefore reports whether c makes room for a new connection, and does so before another one.
// Connections whose request is served do not.
func (c Connection) MakesRoomBefore(other Connection) bool {
	rank, ok := c.rank()
	if !ok {
		return false
	}
	otherRank, otherOK := other.rank()
	if !otherOK || rank != otherRank {
		return !otherOK || rank < otherRank
	}
	return c.Age > other.Age
}

// MakesRoom reports whether a connection makes room for a new one.
func (c Connection) MakesRoom() bool {
	_, ok := c.rank()
	return ok
}
