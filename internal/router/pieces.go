package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Next returns the next piece of the answer. A piece with an End is the last
// one; an error means that the answer is incomplete and stays so.
func (a *Response) Next() (wire.Piece, error) {
	for !a.state.Finished() {
		p, ok, err := a.readNext()
		if err != nil {
			return wire.Piece{}, err
		}
		if ok {
			return p, nil
		}
	}
	if a.result != nil {
		return wire.Piece{}, a.result
	}
	return wire.Piece{End: a.end}, nil
}

// readNext returns the next piece of the answer that is being delivered, or
// processes an event. It reports whether there is a piece for the caller.
func (a *Response) readNext() (wire.Piece, bool, error) {
	at := a.winner
	if at == nil { // an attempt at another upstream is to continue the answer
		return wire.Piece{}, false, a.waitForEvent()
	}
	if len(at.readAhead) > 0 {
		p := at.readAhead[0]
		at.readAhead = at.readAhead[1:]
		return a.forward(p)
	}
	if at.busy {
		return wire.Piece{}, false, a.waitForEvent()
	}
	p, err := a.nextPiece()
	switch {
	case err == nil:
		return a.forward(p)
	case a.caller.Err() != nil:
		return wire.Piece{}, false, a.caller.Err()
	case errors.Is(err, exchange.ErrStalled):
		a.handleSilence(at)
	case isPast(a.plan.Deadline, time.Now()):
		a.tick()
	default:
		at.stream.Close()
		at.stream = nil
		resumedStreams.Inc()
		if a.plan.Direct {
			at.watch.RecordFailure()
		}
		if a.framer != nil && !a.framer.Discard() {
			a.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: errPartialEvent})
			break
		}
		a.step(dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number})
	}
	return wire.Piece{}, false, nil
}

// handleSilence handles a stream that has paused for too long. The stream is abandoned
// only if another upstream continues it: a pause alone is no reason to end an answer.
func (a *Response) handleSilence(at *attempt) {
	if a.framer.Discard() {
		a.step(dispatch.Stalled{Now: time.Now(), Attempt: at.number})
	}
	if s, ok := at.stream.(*directStream); ok && a.winner == at {
		s.SetStallTimeout(0)
	}
}

// errPartialEvent ends a stream that broke off after a part of an event was sent to
// the caller, so that no other upstream can continue it.
var errPartialEvent = verdict.New(verdict.Ran, verdict.ReasonCancelled, "the stream broke off within an event that is too long to hold back")

// nextPiece reads the next piece from the upstream, until the request's deadline.
func (a *Response) nextPiece() (wire.Piece, error) {
	if a.winner.stream == nil {
		return wire.Piece{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "not attached")
	}
	if a.plan.Deadline.IsZero() {
		return a.winner.stream.Next(a.caller)
	}
	ctx, cancel := context.WithDeadline(a.caller, a.plan.Deadline)
	defer cancel()
	return a.winner.stream.Next(ctx)
}

// forward accounts for a piece and reports whether it goes to the caller. The
// head arrives again with each attach, but is sent to the caller only once.
func (a *Response) forward(p wire.Piece) (wire.Piece, bool, error) {
	at := a.winner
	if a.timeToFirstByte == 0 {
		a.timeToFirstByte = time.Since(a.started)
	}
	switch {
	case p.End != nil:
		if a.framer != nil && p.End.Error == nil && len(a.framer.Pending()) > 0 {
			rest := a.framer.Pending()
			a.framer = nil
			at.readAhead = append(at.readAhead, p)
			return wire.Piece{Bytes: rest}, true, nil
		}
		a.end = p.End
		a.transport.handleEnd(at, p.End)
		a.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: p.End.Error})
		return p, false, nil
	case p.Head != nil:
		duplicate := at.headSent
		at.headSent = true
		return p, !duplicate, nil
	default:
		at.offset += int64(len(p.Bytes))
		if a.framer != nil {
			p.Bytes = a.framer.Feed(p.Bytes)
		}
		a.bytesSent += int64(len(p.Bytes))
		a.step(dispatch.PieceDelivered{})
		return p, len(p.Bytes) > 0, nil
	}
}
