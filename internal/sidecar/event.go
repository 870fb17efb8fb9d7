package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is something that has happened to a sidecar.
type Event interface{ at() time.Time }

// Ticket names a caller who waits for the reply to what it asked.
type Ticket uint64

// Submitted is a request that a router has sent.
type Submitted struct {
	Now    time.Time
	Ticket Ticket
	Peer   config.Peer // the router
	Submit wire.Submit
}

// HelloReceived is a router that has connected.
type HelloReceived struct {
	Now    time.Time
	Ticket Ticket
}

// Attached is a router that asks for an answer.
type Attached struct {
	Now    time.Time
	Ticket Ticket
	Attach wire.Attach
}

// Cancelled is a router that asks to end a request.
type Cancelled struct {
	Now    time.Time
	Ticket Ticket
	Cancel wire.Cancel
}

// StatusRequested is a router that asks what became of a request.
type StatusRequested struct {
	Now    time.Time
	Ticket Ticket
	Status wire.StatusRequest
}

// ReadersChanged is how many routers read an answer. Seq orders the counts of one
// answer, since they come from different goroutines.
type ReadersChanged struct {
	Now       time.Time
	Nonce     token.Nonce
	Seq       uint64
	Count     int
	Delivered bool // some router has been sent the whole answer
}

// FirstByteReceived is an answer that has begun.
type FirstByteReceived struct {
	Now   time.Time
	Nonce token.Nonce
}

// CallEnded is a call of the upstream that is over. A nil Err means that the
// answer is whole.
type CallEnded struct {
	Now   time.Time
	Nonce token.Nonce
	Err   *verdict.Error
}

// Probed is the result of a probe of the upstream.
type Probed struct {
	Now    time.Time
	Health upstream.Health
}

// NoticeReceived is word that the VM is to leave or to stay.
type NoticeReceived struct {
	Now    time.Time
	Ticket Ticket
	Notice wire.Notice
}

// ReportReceived is a router's report of suspects.
type ReportReceived struct {
	Now    time.Time
	Ticket Ticket
	Report wire.Report
}

// ExportFinished is the end of the export of cached prefixes before leaving.
type ExportFinished struct {
	Now time.Time
}

// VMJoined is word that another upstream has joined the pool.
type VMJoined struct {
	Now time.Time
	VM  string
}

// PrefixImported is a cached prefix that another sidecar has handed over.
type PrefixImported struct {
	Now     time.Time
	Session uint64
}

// OrderDrainStarted is an order to take no new work until Refilled. The reply comes when
// nothing runs.
type OrderDrainStarted struct {
	Now    time.Time
	Ticket Ticket
}

// OrderDrainEnded ends Emptying.
type OrderDrainEnded struct {
	Now time.Time
}

// StopRequested is the order to end the process once nothing is in flight.
type StopRequested struct {
	Now time.Time
}

// Ticked is the passing of time. It is due at State.Wake.
type Ticked struct {
	Now time.Time
}

func (e Submitted) at() time.Time         { return e.Now }
func (e HelloReceived) at() time.Time     { return e.Now }
func (e Attached) at() time.Time          { return e.Now }
func (e Cancelled) at() time.Time         { return e.Now }
func (e StatusRequested) at() time.Time   { return e.Now }
func (e ReadersChanged) at() time.Time    { return e.Now }
func (e FirstByteReceived) at() time.Time { return e.Now }
func (e CallEnded) at() time.Time         { return e.Now }
func (e Probed) at() time.Time            { return e.Now }
func (e NoticeReceived) at() time.Time    { return e.Now }
func (e ReportReceived) at() time.Time    { return e.Now }
func (e ExportFinished) at() time.Time    { return e.Now }
func (e VMJoined) at() time.Time          { return e.Now }
func (e PrefixImported) at() time.Time    { return e.Now }
func (e OrderDrainStarted) at() time.Time { return e.Now }
func (e OrderDrainEnded) at() time.Time   { return e.Now }
func (e StopRequested) at() time.Time     { return e.Now }
func (e Ticked) at() time.Time            { return e.Now }

// Effect is something that a sidecar is to do.
type Effect interface{ isEffect() }

// Open makes room for the answer to a request that has been admitted.
type Open struct {
	Nonce token.Nonce
	Org   string
}

// Start makes the call of the upstream.
type Start struct {
	Submit   wire.Submit
	Deadline time.Time // zero: none
}

// Abort ends a call of the upstream; its Ended follows.
type Abort struct {
	Nonce token.Nonce
}

// DiscardOverflow lets a call go on whose answer nobody reads: what does not fit into
// the buffer is dropped, instead of being held back.
type DiscardOverflow struct {
	Nonce token.Nonce
}

// Finish ends an answer for those who read it. A nil Error means that it is whole.
type Finish struct {
	Nonce   token.Nonce
	Error   *verdict.Error
	Moved   *wire.Key // with an Error: the request goes on under this key
	Control wire.Control
}

// Drop forgets an answer.
type Drop struct {
	Nonce token.Nonce
}

// Reply answers a Submitted, Greeted, Attached, Cancelled, Noticed or Reported.
type Reply struct {
	Ticket    Ticket
	Admission wire.Admission
}

// ReplyStatus answers a StatusAsked. Who carries it out adds the length.
type ReplyStatus struct {
	Ticket Ticket
	Nonce  token.Nonce
	Status wire.Status
	Error  *verdict.Error
}

// Probe asks how the upstream is; Probed follows.
type Probe struct{}

// Export hands the cached prefixes of sessions, the latest first, to the VMs
// that serve them next; Exported follows.
type Export struct {
	Sessions []uint64
}

// ExportTo hands the cached prefixes of those of sessions that rank first at a
// VM that has joined to that VM.
type ExportTo struct {
	VM       string
	Sessions []uint64
}

// AnnounceJoin tells the other upstreams of the pool that this one has joined.
type AnnounceJoin struct{}

// ReportCrash tells operators of a crash of the upstream.
type ReportCrash struct {
	Running int // calls that were under way
}

// ReportAvailability tells operators that the upstream has begun or ceased to be served.
type ReportAvailability struct {
	Down     bool
	Draining bool
}

// Exit ends the process.
type Exit struct{}

func (Open) isEffect()               {}
func (Start) isEffect()              {}
func (Abort) isEffect()              {}
func (DiscardOverflow) isEffect()    {}
func (Finish) isEffect()             {}
func (Drop) isEffect()               {}
func (Reply) isEffect()              {}
func (ReplyStatus) isEffect()        {}
func (Probe) isEffect()              {}
func (Export) isEffect()             {}
func (ExportTo) isEffect()           {}
func (AnnounceJoin) isEffect()       {}
func (ReportCrash) isEffect()        {}
func (ReportAvailability) isEffect() {}
func (Exit) isEffect()               {}
