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
	// PhaseClosing is while what the caller still sends is dropped: a body that nobody wants, or all after a refusal.
	PhaseClosing
)

// String returns the name of a phase that is shown to operators.
func (p Phase) String() string {
	names := [...]string{PhaseSilent: "silent", PhaseHead: "head", PhaseBody: "body", PhaseWork: "work", PhaseWrite: "write", PhaseIdle: "idle", PhaseClosing: "closing"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// writePatience is how long a response waits for a caller to read before its connection makes room for others, as a
// multiple of the time that a new connection has to send its request.
const writePatience = 20

// Connection is the state of one connection of a caller.
type Connection struct {
	Phase Phase
	Age   time.Duration // of its phase
}

// rank returns the place of a connection in the order in which connections make room for others, from zero: those that
// cost their callers nothing, that are slow, that are unused, and those that have just begun. Lower ones go first, and
// the ones of the highest age among equals. ok is false if it makes room for nobody.
func (c Connection) rank(patience time.Duration) (rank int, ok bool) {
	slow := c.Age >= patience
	switch {
	case c.Phase == PhaseClosing:
		return 0, true
	case slow && (c.Phase == PhaseSilent || c.Phase == PhaseHead):
		return 1, true
	case slow && c.Phase == PhaseBody:
		return 2, true
	case c.Phase == PhaseIdle:
		return 3, true
	case c.Phase == PhaseWrite && c.Age >= writePatience*patience:
		return 4, true
	}
	return 0, false
}

// MakesRoomBefore reports whether c makes room for a new connection, and does so before another one. Connections that
// have not sent a whole request yet do so once they are patience old; connections whose request is served do not.
func (c Connection) MakesRoomBefore(other Connection, patience time.Duration) bool {
	rank, ok := c.rank(patience)
	if !ok {
		return false
	}
	otherRank, otherOK := other.rank(patience)
	if !otherOK || rank != otherRank {
		return !otherOK || rank < otherRank
	}
	return c.Age > other.Age
}

// MakesRoom reports whether a connection makes room for a new one.
func (c Connection) MakesRoom(patience time.Duration) bool {
	_, ok := c.rank(patience)
	return ok
}
