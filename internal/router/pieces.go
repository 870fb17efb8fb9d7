package router

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

var overdueResponses = telemetry.NewCounter("router_overdue_responses_total",
	"Responses of upstreams without a sidecar that were ended because they went on after the timeout of their route.")

// Next returns the next piece of the response. A piece with an End is the last
// one; an error means that the response is incomplete and stays so.
func (resp *Response) Next() (wire.Piece, error) {
	for !resp.state.Finished() {
		p, ok, err := resp.nextPieceOrEvent()
		if err != nil {
			return wire.Piece{}, err
		}
		if ok {
			return p, nil
		}
	}
	if resp.result != nil {
		return wire.Piece{}, resp.result
	}
	return wire.Piece{End: resp.end}, nil
}

// nextPieceOrEvent returns the next piece of the response that is being delivered, or
// processes an event. It reports whether there is a piece for the caller.
func (resp *Response) nextPieceOrEvent() (wire.Piece, bool, error) {
	at := resp.winner
	if at == nil { // an attempt at another upstream is to continue the response
		return wire.Piece{}, false, resp.waitForEvent()
	}
	if len(at.readAhead) > 0 {
		p := at.readAhead[0]
		at.readAhead = at.readAhead[1:]
		return resp.forward(p)
	}
	if at.busy {
		return wire.Piece{}, false, resp.waitForEvent()
	}
	if isPast(resp.endsBy(), time.Now()) {
		resp.endOverdue(at)
		return wire.Piece{}, false, nil
	}
	p, err := resp.readPiece()
	switch {
	case err == nil:
		return resp.forward(p)
	case resp.caller.Err() != nil:
		return wire.Piece{}, false, resp.caller.Err()
	case errors.Is(err, exchange.ErrStalled):
		resp.handleStall(at)
	case isPast(resp.plan.Deadline, time.Now()):
		resp.endOverdue(at)
	default:
		at.stream.Close()
		at.stream = nil
		resumedStreams.Inc()
		if resp.plan.Direct {
			at.watch.RecordFailure()
			resp.router.recordLost(at)
		}
		if resp.framer != nil && !resp.framer.MayContinue() {
			resp.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: errPartialEvent})
			break
		}
		resp.step(dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number})
		if resp.winner == at && resp.isBeingTakenOver() {
			resp.awaitContinuation()
		}
	}
	return wire.Piece{}, false, nil
}

// maxOverdue is how long after the timeout of its profile a response is ended even if its pieces
// still come. An upstream in trouble may send bytes without end, and each piece extends the wait
// for the next one by overdueGrace.
const maxOverdue = 400 * time.Millisecond

// endsBy returns when a response without an end is ended; zero: never, since the request has no
// deadline. It goes by the timeout of the profile: until then, a caller that sets a shorter one
// decides for itself how long it waits.
func (resp *Response) endsBy() time.Time {
	if resp.plan.Deadline.IsZero() {
		return time.Time{}
	}
	timeout := cmp.Or(resp.req.Profile.Deadline.Std(), resp.req.CallerTimeout)
	return resp.started.Add(timeout + maxOverdue)
}

// endOverdue ends a response after its deadline. An upstream that still sends at endsBy keeps to no deadline, and is
// chosen last like one that fails.
func (resp *Response) endOverdue(at *attempt) {
	if resp.plan.Direct && isPast(resp.endsBy(), time.Now()) {
		overdueResponses.Inc()
		at.watch.RecordFailure()
	}
	resp.tick()
}

// takeoverPoll is how often the outcome of an attempt is looked at that is to take over a paused
// response, while the next piece of that response is awaited.
const takeoverPoll = 20 * time.Millisecond

// handleStall handles a stream that has paused for longer than its stall timeout. The rest of it is
// offered to another upstream, if there is one with a free place. Meanwhile the stream is still read,
// and goes on if it sends anything first: a pause alone is no reason to end a response. If nobody
// takes over, that is tried again after a longer pause.
func (resp *Response) handleStall(at *attempt) {
	s, ok := at.stream.(*directStream)
	if !ok {
		return
	}
	if resp.isBeingTakenOver() {
		resp.handleReadyOutcome()
		if resp.winner == at && !resp.isBeingTakenOver() {
			s.extendStallTimeout()
		}
		return
	}
	t, found := resp.transport.target(dispatch.Offer{Attempt: len(resp.attempts), Continue: true})
	if found && t.hasFreePlace() && resp.framer.MayContinue() {
		resp.step(dispatch.Stalled{Now: time.Now(), Attempt: at.number})
	}
	if resp.isBeingTakenOver() {
		s.SetStallTimeout(takeoverPoll)
	} else {
		s.extendStallTimeout()
	}
}

// isBeingTakenOver reports whether an attempt is under way that may take over the winner's response.
func (resp *Response) isBeingTakenOver() bool {
	return resp.takeover != nil && resp.takeover.busy
}

// handleReadyOutcome processes an outcome of an attempt if there is one.
func (resp *Response) handleReadyOutcome() {
	select {
	case o := <-resp.outcomes:
		resp.handleOutcome(o)
	default:
	}
}

// errPartialEvent ends a stream that broke off after a part of an event was sent to
// the caller, so that no other upstream can continue it.
var errPartialEvent = verdict.New(verdict.Ran, verdict.ReasonCancelled, "the stream broke off within an event that is too long to hold back")

// readPiece reads the next piece from the stream of the winning attempt, until the request's
// deadline.
func (resp *Response) readPiece() (wire.Piece, error) {
	if resp.winner.stream == nil {
		return wire.Piece{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "not attached")
	}
	if resp.plan.Deadline.IsZero() {
		return resp.winner.stream.Next(resp.caller)
	}
	ctx, cancel := context.WithDeadline(resp.caller, resp.plan.Deadline)
	defer cancel()
	return resp.winner.stream.Next(ctx)
}

// forward accounts for a piece and reports whether it goes to the caller. The
// head arrives again with each attach, but is sent to the caller only once. A stream that
// another upstream may continue is forwarded in whole events, unless one is too long; bytes
// that are still buffered at its regular end are sent before the End.
func (resp *Response) forward(p wire.Piece) (wire.Piece, bool, error) {
	at := resp.winner
	if resp.timeToFirstByte == 0 {
		resp.timeToFirstByte = time.Since(resp.started)
	}
	switch {
	case p.End != nil:
		if resp.framer != nil && p.End.Error == nil && len(resp.framer.Pending()) > 0 {
			rest := resp.framer.Pending()
			resp.framer = nil
			at.readAhead = append(at.readAhead, p)
			return wire.Piece{Bytes: rest}, true, nil
		}
		resp.end = p.End
		resp.transport.handleEnd(at, p.End)
		resp.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: p.End.Error})
		return p, false, nil
	case p.Head != nil:
		duplicate := at.headSent
		at.headSent = true
		return p, !duplicate, nil
	default:
		at.offset += int64(len(p.Bytes))
		if resp.framer != nil {
			p.Bytes = resp.framer.Feed(p.Bytes)
		}
		resp.bytesSent += int64(len(p.Bytes))
		if resp.framer != nil && len(p.Bytes) > 0 {
			resp.recordOrigin(at.vm)
		}
		resp.step(dispatch.PieceDelivered{})
		return p, len(p.Bytes) > 0, nil
	}
}
