// Package exchange calls upstreams that have no sidecar beside them, over
// HTTP/1.1 connections of its own.
//
// A router's attempt uses it. What it may assume: an error carries the verdict
// on the call, NotRun only where not a byte of it was sent or the upstream gave
// its word; an answer is handed out only if it names the call that it belongs
// to; a connection is used again only after a whole answer with nothing behind.
package exchange

import (
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Call is one request to an upstream.
type Call struct {
	wire.Call
	Host         string        // that the caller asked for
	ID           string        // of the caller's attempt, which the answer repeats
	Instance     string        // the one incarnation of the upstream that may run it
	Organisation string        // by which the upstream knows the caller; empty: none
	Urgency      int           // 0 is first; see DefaultUrgency
	TimeLeft     time.Duration // until the whole answer is due
	LastEventID  string        // id of the last event that the caller has; empty: none
	Donor        string        // address of an upstream that may hold the prompt's cached prefix; empty: none
}

// DefaultUrgency is the urgency of a call that says nothing of it.
const DefaultUrgency = 5

// Signal is what the headers of an answer say beside the answer itself.
type Signal struct {
	ID     string // of the call that is answered
	NotRun bool   // the upstream has not run the call and never will
	Load   *Load  // nil: the upstream does not tell
	// Leaving tells that the upstream takes nothing new for as long as it lives.
	Leaving bool
	// RetryAfter is for how long the upstream wants nothing from this router; zero: it asks for none.
	RetryAfter time.Duration
}

// Load is an upstream's own count of its requests.
type Load struct {
	Running, Waiting, Slots int
}

// Dialect spells the headers between a platform's routers and upstreams.
type Dialect interface {
	// Tell sets the headers of a call, and removes those that its caller may not
	// set.
	Tell(h http.Header, c Call)
	// Read returns what the headers of an answer say.
	Read(status int, h http.Header) Signal
}
