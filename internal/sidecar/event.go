package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Event is an input of State.Step.
type Event interface{ at() time.Time }

// Ticket identifies a pending call that waits for its reply.
type Ticket uint64

// Submitted is posted when a router submits a request.
type Submitted struct {
	Now    time.Time
	Ticket Ticket
	Peer   config.Peer // the router
	Submit wire.Submit
}

// HelloReceived is posted when a peer greets the sidecar with MethodHello.
type HelloReceived struct {
	Now    time.Time
	Ticket Ticket
}

// Attached is posted when a router asks for the response of a submitted request.
type Attached struct {
	Now    time.Time
	Ticket Ticket
	Attach wire.Attach
}

// Cancelled is posted when a router cancels a request.
type Cancelled struct {
	Now    time.Time
	Ticket Ticket
	Cancel wire.Cancel
}

// StatusRequested is posted when a router asks for the status of a request.
type StatusRequested struct {
	Now    time.Time
	Ticket Ticket
	Status wire.StatusRequest
}

// ReadersChanged is posted when a router starts or stops reading a response. Count is
// the number of routers that read it. Seq orders the events of one response, since
// they are posted by different goroutines.
type ReadersChanged struct {
	Now       time.Time
	Nonce     token.Nonce
	Seq       uint64
	Count     int
	Delivered bool // a router has been sent the complete response
}

// FirstByteReceived is posted when the first byte of a response body arrives.
type FirstByteReceived struct {
	Now   time.Time
	Nonce token.Nonce
}

// CallEnded is posted when a call to the upstream has ended. A nil Err means
// that the response is complete.
type CallEnded struct {
	Now   time.Time
	Nonce token.Nonce
	Err   *verdict.Error
}

// Probed is posted with the result of a health probe of the upstream.
type Probed struct {
	Now    time.Time
	Health upstream.Health
}

// NoticeReceived is posted when a router sends a notice that the VM is to leave or to
// stay.
type NoticeReceived struct {
	Now    time.Time
	Ticket Ticket
	Notice wire.Notice
}

// ReportReceived is a router's report on suspects or on an unused permit to run alone.
type ReportReceived struct {
	Now    time.Time
	Ticket Ticket
	Report wire.Report
}

// ExportFinished is posted when an Export has ended.
type ExportFinished struct {
	Now time.Time
}

// VMJoined is posted when another upstream announces that it has joined the pool.
type VMJoined struct {
	Now time.Time
	VM  string
}

// OrderDrainStarted stops the admission of new requests until OrderDrainEnded,
// for an order of the controller. The reply is sent when no request runs and the
// export of cached prefixes has finished or timed out.
type OrderDrainStarted struct {
	Now    time.Time
	Ticket Ticket
}

// OrderDrainEnded resumes the admission of requests after OrderDrainStarted.
type OrderDrainEnded struct {
	Now time.Time
}

// StopRequested makes the process exit when no request is in flight.
type StopRequested struct {
	Now time.Time
}

// Ticked is posted when a timer is due, at the time that State.Wake returns.
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
func (e OrderDrainStarted) at() time.Time { return e.Now }
func (e OrderDrainEnded) at() time.Time   { return e.Now }
func (e StopRequested) at() time.Time     { return e.Now }
func (e Ticked) at() time.Time            { return e.Now }

// Effect is an action that State.Step returns for the Sidecar to execute.
type Effect interface{ isEffect() }

// Open creates the response buffer of an admitted request.
type Open struct {
	Nonce token.Nonce
	Org   string
}

// Start starts the call to the upstream.
type Start struct {
	Submit   wire.Submit
	Deadline time.Time // zero: none
}

// Abort aborts a call to the upstream; its CallEnded follows.
type Abort struct {
	Nonce token.Nonce
}

// DiscardOverflow lets a call continue while nobody reads its response: when the
// buffer is full, the oldest bytes are discarded, instead of blocking the upstream.
type DiscardOverflow struct {
	Nonce token.Nonce
}

// Finish ends a response. A nil Error means that it is complete.
type Finish struct {
	Nonce   token.Nonce
	Error   *verdict.Error
	Moved   *wire.Key // with an Error: the request continues under this key
	Control wire.Control
}

// Drop removes a retained response.
type Drop struct {
	Nonce token.Nonce
}

// Reply answers a Submitted, HelloReceived, Attached, Cancelled, NoticeReceived,
// ReportReceived or OrderDrainStarted.
type Reply struct {
	Ticket    Ticket
	Admission wire.Admission
}

// ReplyStatus answers a StatusRequested. Sidecar.status fills in the length of
// the response.
type ReplyStatus struct {
	Ticket Ticket
	Nonce  token.Nonce
	Status wire.Status
	Error  *verdict.Error
}

// Probe probes the health of the upstream; Probed follows.
type Probe struct{}

// Export transfers the cached prefixes of sessions, most recent first, to the VMs
// that serve these sessions next; ExportFinished follows.
type Export struct {
	Sessions []uint64
}

// ExportTo transfers cached prefixes to VMs that have joined: those of the given sessions
// for which one of them ranks first.
type ExportTo struct {
	VMs      []string
	Sessions []uint64
}

// AnnounceJoin announces to the other upstreams of the pool that this one has
// joined.
type AnnounceJoin struct{}

// ReportCrash reports a crash of the upstream in logs and metrics.
type ReportCrash struct {
	Running int // calls in progress at the crash
	Imports int // prefixes that the upstream was importing or had just imported
}

// ReportAvailability logs a change in whether the upstream is down or draining
// and updates readiness.
type ReportAvailability struct {
	Down     bool
	Draining bool
}

// Exit makes Serve return.
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
