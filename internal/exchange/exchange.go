// Package exchange is the HTTP/1.1 client with which a router calls upstreams that
// have no sidecar. It manages its own connections.
//
// It guarantees three things. An error of a call carries a verdict, which is NotRun
// only if no byte of the call was sent or the upstream said that it has not run it. A
// response is returned only if it carries the id of the call. A connection is reused
// only after a complete response that no further bytes have followed.
package exchange

import (
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Call is one request to an upstream.
type Call struct {
	wire.Call
	Host         string        // Host header of the caller's request
	ID           string        // request id of the caller's attempt, which the response repeats
	Instance     string        // the only incarnation of the upstream that may run the call
	Organisation string        // the upstream's name for the caller's organisation; empty: none
	Urgency      int           // from 0, the most urgent, to 9; see DefaultUrgency
	Due          time.Time     // when the whole response is due; zero: no deadline
	TimeLeft     time.Duration // until Due, set when the call is sent; zero: no deadline
	LastEventID  string        // id of the last event that the caller received; empty: none
	Donor        string        // address of an upstream that may hold the prompt's cached prefix; empty: none
	// AfterLeft is called at most once, if the call was left before the head of its response had
	// arrived and its end was heard of then; nil: not needed.
	AfterLeft func(LeftEnd)
}

// LeftEnd is how a call ended after it was left.
type LeftEnd int

const (
	LeftAnswered LeftEnd = iota // the head of a response that is no stream arrived
	LeftRejected                // it was rejected, and has not run
	LeftClosed                  // the upstream closed the connection
	LeftReset                   // the connection broke
)

// DefaultUrgency is the urgency that upstreams assume for a call without an urgency
// header.
const DefaultUrgency = 5

// Signal is what the status and headers of a response say about the call and its upstream.
type Signal struct {
	ID     string // id of the call that the response belongs to
	NotRun bool   // the upstream has not run the call and never will
	// Misdirected reports that the response is from another incarnation, which has the address of the one
	// that was called. The fields below are not set then.
	Misdirected bool
	Load        *Load // nil: the upstream does not report its load
	// Leaving reports that this incarnation of the upstream accepts no new requests.
	Leaving bool
	// Proven reports that the incarnation that was called has sent the response. A rejection on a new
	// connection may come from another one at its address. Set by the Client.
	Proven bool
	// RetryAfter is for how long this router should send nothing to the upstream;
	// zero: the upstream gave no time.
	RetryAfter time.Duration
}

// Load is what an upstream reports of its load: its own count of its requests and slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream's machine at this moment, as a multiple
	// of the usual time; zero: not reported.
	Slowdown float64
}

// Dialect encodes and decodes the headers that a platform's routers and upstreams exchange.
type Dialect interface {
	// SetHeaders sets the headers that carry the fields of c, and removes headers that
	// a caller is not allowed to set.
	SetHeaders(h http.Header, c Call)
	// Read parses the status and headers of a response.
	Read(status int, h http.Header) Signal
}
