package router

import (
	"context"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// streamWindow is how many bytes a sidecar may send ahead of the caller. It
// bounds the router's memory for a caller that reads slowly.
const streamWindow = 16 << 10

// sendGate records whether an attempt has been sent. At a deadline the router
// seals the gates of attempts that are still connecting, and can then report
// them as not run.
type sendGate struct{ v atomic.Int32 }

const (
	gateUnsent int32 = iota
	gateSent
	gateSealed
)

// markSent marks the attempt as sent. It returns false if the gate was sealed
// before.
func (g *sendGate) markSent() bool {
	return g.v.CompareAndSwap(gateUnsent, gateSent) || g.v.Load() == gateSent
}

// seal prevents the attempt from being sent. It returns false if the attempt
// was sent before or the gate is sealed already.
func (g *sendGate) seal() bool {
	return g.v.CompareAndSwap(gateUnsent, gateSealed)
}

// transport is how the attempts of a request reach their upstreams.
type transport interface {
	// target returns the upstream for an offer, or false if none is left.
	target(e dispatch.Offer) (target, bool)
	// submit sends an attempt, for the first time or again, and returns the
	// outcome, or nil if there is nothing to decide.
	submit(at *attempt) dispatch.Event
	// attach asks for the rest of an attempt's response.
	attach(at *attempt) dispatch.Event
	// cancel ends the work that an attempt may have started at its upstream.
	cancel(at *attempt)
	// handleEnd processes the end of an attempt's response.
	handleEnd(at *attempt, end *wire.End)
}

// target is an upstream that an attempt goes to.
type target struct {
	vm      topo.VM
	donor   topo.VM          // direct upstreams only: may hold the cached prompt
	load    float64          // direct upstreams only: estimated load
	despite string           // direct upstreams only: what speaks against it; empty: nothing
	tracker *balance.Tracker // direct upstreams only: tracker of their pool
	shedder *shedding.Pool   // direct upstreams only: of their pool; nil: nothing is shed
}

// hasFreePlace reports whether the upstream is expected to run a request at once. One that does not
// say how many it runs at a time is.
func (t target) hasFreePlace() bool {
	return t.vm.Slots == 0 || t.load < float64(t.vm.Slots)
}

// stream is the response to an attempt, read piece by piece.
type stream interface {
	Next(ctx context.Context) (wire.Piece, error)
	Close()
}

// attempt is one attempt to have an upstream run a request. While busy, its fields
// other than gate are owned by the goroutine that carries out an effect, else by
// the Response.
type attempt struct {
	ctx         context.Context
	stop        context.CancelFunc
	caller      context.Context // ends when the caller has left
	busy        bool            // a goroutine is carrying out an effect; owned by the Response
	number      int
	vm          topo.VM
	donor       topo.VM
	tracker     *balance.Tracker // direct upstreams only: counts the attempt
	timedOut    bool             // direct upstreams only: answered that the deadline has passed, which shows no run to its end
	shedder     *shedding.Pool   // direct upstreams only: records how the attempt goes; nil: nothing is shed
	watch       *balance.Watch   // direct upstreams only: records how the attempt goes
	urgency     int              // direct upstreams only: rank in the upstream's queue, as chosen with the upstream
	call        wire.Call
	chainIndex  int       // position in the chain of successor keys
	key         *wire.Key // nil until generated
	hasPermit   bool      // the crash site permits the request to run alone at another VM
	crashSite   topo.VM
	permitNonce token.Nonce // nonce of the key that the permit is for
	gate        sendGate
	sent        atomic.Pointer[quarantine.Sent] // direct upstreams only: its record of what became of it; nil: not sent
	withheldErr *verdict.Error                  // direct upstreams only: why it was not sent
	reported    *exchange.Load                  // direct upstreams only: load in the head of its response; nil: none
	resends     int                             // how often it was submitted again because it had not been sent
	stream      stream
	readAhead   []wire.Piece // pieces that were read before the response is delivered
	offset      int64        // offset in the response of the next byte for the caller
	headSent    bool         // the head has been sent to the caller
	continues   bool         // direct upstreams only: it goes on with a stream that began elsewhere
	lastEventID string       // direct upstreams only: id of the last event that the caller has received
	span        telemetry.Span
}

// close cancels the attempt's context and closes its stream.
func (at *attempt) close() {
	at.stop()
	at.span.End()
	if at.stream != nil {
		at.stream.Close()
		at.stream = nil
	}
}
