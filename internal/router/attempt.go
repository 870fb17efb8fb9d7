package router

import (
	"context"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// streamWindow is how far a sidecar may send ahead of the caller, in bytes. It
// bounds what a caller that reads slowly holds in the router.
const streamWindow = 16 << 10

// sendGate says whether an attempt has been sent. At a deadline the router closes
// the gates of attempts that are still connecting, and may then say not-run.
type sendGate struct{ v atomic.Int32 }

const (
	gateUnsent int32 = iota
	gateSent
	gateSealed
)

// markSent opens the gate for good, or reports false if it was sealed before.
func (g *sendGate) markSent() bool {
	return g.v.CompareAndSwap(gateUnsent, gateSent) || g.v.Load() == gateSent
}

// seal closes the gate, or reports false if something was sent before.
func (g *sendGate) seal() bool {
	return g.v.CompareAndSwap(gateUnsent, gateSealed)
}

// transport is how the attempts of a request reach their upstreams.
type transport interface {
	// target returns the upstream of an offer; false: there is none any more.
	target(e dispatch.Offer) (target, bool)
	// submit sends an attempt, for the first time or again, and returns what came
	// of it; nil if there is nothing to decide.
	submit(at *attempt) dispatch.Event
	// attach asks for the rest of an attempt's answer.
	attach(at *attempt) dispatch.Event
	// cancel ends what an attempt may have started.
	cancel(at *attempt)
	// handleEnd takes in what came with the end of an attempt's answer.
	handleEnd(at *attempt, end *wire.End)
}

// target is an upstream that an attempt goes to.
type target struct {
	vm      topo.VM
	donor   topo.VM          // of direct upstreams: where it may get the cached prompt from
	load    float64          // of direct upstreams: as it is believed
	tracker *balance.Tracker // of direct upstreams: of their pool
}

// stream is the answer to an attempt, read piece by piece.
type stream interface {
	Next(ctx context.Context) (wire.Piece, error)
	Close()
}

// attempt is one attempt of a request. While busy, its fields other than gate
// belong to the goroutine that carries out an effect, else to the Answer.
type attempt struct {
	ctx         context.Context
	stop        context.CancelFunc
	busy        bool // a goroutine is carrying out an effect; owned by the Answer
	number      int
	vm          topo.VM
	donor       topo.VM
	tracker     *balance.Tracker // of direct upstreams: counts the attempt
	watch       *balance.Watch   // of direct upstreams
	call        wire.Call
	chainIndex  int       // place in the chain of the caller's key
	key         *wire.Key // nil until drawn
	hasPermit   bool      // word of the site of a crash, for Submit
	crashSite   topo.VM
	permitNonce token.Nonce // of the key to which the site gave leave
	gate        sendGate
	withheldErr *verdict.Error // of direct upstreams: why it may not be sent
	resends     int            // how often it was written again, since it had not been sent
	stream      stream
	readAhead   []wire.Piece // read ahead of delivery
	offset      int64        // of the next byte for the caller
	headSent    bool         // the head has gone to the caller
	lastEventID string       // of direct upstreams: id of the last event that the caller has
	span        telemetry.Span
}

// close ends the router's interest in the attempt.
func (at *attempt) close() {
	at.stop()
	at.span.End()
	if at.stream != nil {
		at.stream.Close()
		at.stream = nil
	}
}
