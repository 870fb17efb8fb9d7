package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// directTransport sends attempts to upstreams that have no sidecar. These keep no record of
// requests, so a request whose connection is lost after it was sent may have run.
type directTransport struct{ *Response }

// directStream is the response of a direct upstream. Reading ends with the context of its
// attempt.
type directStream struct {
	*exchange.Stream
	router       *Router
	attempt      *attempt
	tracker      *balance.Tracker
	shedder      *shedding.Pool // nil: nothing is shed
	vm           load.VM
	profile      string
	firstBytesAt time.Time // arrival of the first bytes
	lastEventAt  time.Time // arrival of the newest event
	lastPieceAt  time.Time // arrival of the newest piece
	sentAt       time.Time
	position     eventstream.Position
	events       int           // that have arrived
	maxPause     time.Duration // after which the stream may go on elsewhere; zero: never
	nextPause    time.Duration // after which a pause that lasts is looked at again
	endsBy       time.Time     // when a response without an end is ended; zero: never
	resumed      bool          // it goes on with a stream that began elsewhere
	eventSeen    bool          // a whole event has arrived
}

// overdueGrace is how long after a request's deadline, or after the piece before it if that is later, the
// next piece of its response is awaited. An upstream knows the deadline and stops then, so that what
// still comes is on its way; while it comes, nothing of it is thrown away.
const overdueGrace = 200 * time.Millisecond

// Next implements stream. The deadline of ctx is that of the request.
func (s *directStream) Next(ctx context.Context) (wire.Piece, error) {
	if deadline, ok := ctx.Deadline(); ok {
		s.SetOverdueAt(s.overdueAt(deadline))
	}
	p, err := s.Stream.Next()
	if err != nil || p.Head != nil {
		return p, err
	}
	now := time.Now()
	s.lastPieceAt = now
	s.setMaxPause(s.maxPause) // the timeout may have been extended, or shortened during a takeover
	if s.IsEventStream() {
		s.observeTiming(now, p)
		s.observeFirstEvent(p)
	}
	if p.End != nil {
		s.router.recordAnswered(s.attempt)
		if s.Status() < http.StatusInternalServerError {
			s.router.recordPartsServed(s.attempt)
		}
	} else {
		s.router.recordSign(s.attempt.vm, signPiece)
	}
	return p, nil
}

// setMaxPause sets the pause after which the stream may go on elsewhere; zero: it may not.
func (s *directStream) setMaxPause(d time.Duration) {
	s.maxPause, s.nextPause = d, d
	s.SetStallTimeout(d)
}

// extendStallTimeout doubles the time after which a pause that lasts is looked at again.
func (s *directStream) extendStallTimeout() {
	s.nextPause *= 2
	s.SetStallTimeout(s.nextPause)
}

// overdueAt returns until when the next piece is awaited if the request has a deadline.
func (s *directStream) overdueAt(deadline time.Time) time.Time {
	if s.lastPieceAt.After(deadline) {
		deadline = s.lastPieceAt
	}
	at := deadline.Add(overdueGrace)
	if !s.endsBy.IsZero() && s.endsBy.Before(at) {
		return s.endsBy
	}
	return at
}

// observeFirstEvent records the first whole event of an event stream: the upstream has written on the parts of the
// prompt.
func (s *directStream) observeFirstEvent(p wire.Piece) {
	if !s.eventSeen && s.position.Advance(p.Bytes) > 0 {
		s.eventSeen = true
		s.router.recordPartsServed(s.attempt)
	}
}

// observeTiming records the arrival of a piece of an event stream.
func (s *directStream) observeTiming(now time.Time, p wire.Piece) {
	switch n := bytes.Count(p.Bytes, eventEnd); {
	case s.firstBytesAt.IsZero():
		s.firstBytesAt, s.lastEventAt = now, now
	case p.End != nil:
		s.tracker.RecordAnswerTime(now, s.vm, s.profile, now.Sub(s.firstBytesAt))
		s.observeAnswer(now)
	case n > 0:
		s.tracker.RecordEvents(now, s.vm, s.profile, n, now.Sub(s.lastEventAt))
		s.observePace(now, n)
		s.lastEventAt = now
	}
}

// eventEnd terminates each event of an event stream.
var eventEnd = []byte("\n\n")

// submit implements transport.
func (d directTransport) submit(at *attempt) dispatch.Event {
	at.span = telemetry.Start(telemetry.HopRouter, telemetry.Traceparent(d.req.Trace))
	at.span.Set(telemetry.AttrVM, at.vm.ID)
	id := load.Hash(at.vm.ID)
	at.tracker.BeginAttempt(id)
	context.AfterFunc(at.ctx, func() {
		at.tracker.EndAttempt(id)
		at.watch.Abandon()
		d.router.recordLeft(at)
	})
	call := d.exchangeCall(at)
	at.call.Body = nil // the call may linger after the request has ended
	sentAt := time.Now()
	s, err := d.router.config.Direct.Do(at.ctx, at.vm, call, func(opened time.Time) bool { return d.admitAttempt(at, opened) })
	if err != nil {
		at.span.Fail(string(verdict.From(err).Reason))
		return d.failureEvent(at, verdict.From(err))
	}
	d.router.recordResponded(at, s.Signal)
	d.recordAccepted(at, s.Signal)
	at.stream = &directStream{
		Stream: s, router: d.router, attempt: at, tracker: at.tracker, shedder: at.shedder, vm: id, profile: d.req.Profile.Name,
		sentAt: sentAt, endsBy: d.endsBy(), resumed: at.headSent || d.req.resumesStream(),
	}
	d.handleSignal(at, s.Signal)
	if s.Signal.NotRun {
		d.router.recordRejected(at)
		at.stream = nil
		if s.Signal.Misdirected {
			s.Close()
			d.router.recordReplaced(at.vm)
		} else {
			// An upstream that rejects requests while others accept theirs is chosen last,
			// like one that fails them: a request that may be sent only once cannot try
			// another upstream. With half of the upstreams rejecting half of their requests,
			// .7% of all requests were rejected without this and .2% with it; in a surge
			// with slow upstreams, .16 and .11%.
			s.Drain()
			at.watch.RecordOutcome(false)
		}
		return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: refusedError(s), Misdirected: s.Signal.Misdirected}
	}
	if at.headSent && s.Status() != http.StatusOK {
		d.router.recordAnswered(at)
		err := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "the upstream did not go on with the stream: status %d", s.Status())
		s.Close()
		at.stream = nil
		return dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: err}
	}
	return d.awaitFirstByte(at, s)
}

// admitAttempt reports whether the attempt may be sent now, and marks it as sent if so. It
// checks the caller's connection, because a caller may have closed it while its request waited
// for the processor of this router: the upstream would work for nobody. opened is when the connection was opened.
func (d directTransport) admitAttempt(at *attempt, opened time.Time) bool {
	if d.req.CallerGone != nil && d.req.CallerGone() {
		at.gate.seal()
		return false
	}
	if at.withheldErr = d.admitIncarnation(at, opened); at.withheldErr != nil {
		return false
	}
	if at.withheldErr = d.router.admitSend(time.Now(), d.poolName, at.vm); at.withheldErr != nil {
		return false
	}
	if !at.gate.markSent() {
		return false
	}
	at.watch.Start()
	sent := quarantine.Copy{Fingerprint: d.prints[0], Parts: d.prints[1:], Due: d.upstreamDue(), Tried: d.tried}
	at.sent.Store(d.router.suspects.Send(time.Now(), at.vm.ID, sent))
	if at.ctx.Err() != nil { // it may have ended before there was a record
		d.router.recordLeft(at)
	}
	return true
}

// admitIncarnation returns why the attempt may not be sent to its upstream if that may be another incarnation than the
// one in the list; nil: it may be sent. Only the rest of a stream depends on it; else the answer is for those that follow.
func (d directTransport) admitIncarnation(at *attempt, opened time.Time) *verdict.Error {
	now := time.Now()
	if at.continues {
		if d.router.mayContinueAt(at.ctx, now, at.vm, opened) {
			return nil
		}
		return verdict.New(verdict.NotRun, verdict.ReasonVersionGone, "upstream %s may have started again with another version", at.vm.ID)
	}
	pool := d.router.View().Pools[d.poolName]
	switch {
	case d.plan.Resumable:
		d.router.resolve(d.router.doubtAt(now, at.vm, opened), at.vm)
	case pool != nil && pool.warmupRate > 0 && d.router.doubt(now, at.vm) == isDoubted:
		d.router.resolve(isDoubted, at.vm) // until then it gets what a cold one bears
	}
	return nil
}

// upstreamDue returns when upstreams are to stop working on the request.
func (d directTransport) upstreamDue() time.Time {
	return upstreamDue(d.plan.Deadline, d.plan.Deadline.Sub(d.started))
}

// exchangeCall returns the call to the upstream of an attempt.
func (d directTransport) exchangeCall(at *attempt) exchange.Call {
	c := exchange.Call{
		Call:        at.call,
		Host:        d.req.Host,
		ID:          d.req.ID,
		Instance:    at.vm.Name(),
		Urgency:     at.urgency,
		Due:         d.upstreamDue(),
		LastEventID: d.req.LastEventID,
		Donor:       at.donor.Addr,
		AfterLeft:   func(end exchange.LeftEnd) { d.router.handleLeftEnd(at, end) },
	}
	if at.lastEventID != "" {
		c.LastEventID = at.lastEventID
	}
	if d.req.Org != nil {
		c.Organisation = upstreamOrgName(d.req.Org)
	}
	return c
}

// failureEvent returns the event for a call that failed without a response.
func (d directTransport) failureEvent(at *attempt, err *verdict.Error) dispatch.Event {
	now := time.Now()
	switch {
	case err.Verdict != verdict.NotRun:
		d.recordLostResponse(at)
		return dispatch.ConnectionLost{Now: now, Attempt: at.number}
	case err.Reason == verdict.ReasonNoUpstream:
		d.router.markUnreachable(at.vm.ID)
		d.router.checkEnded(at.vm)
		at.watch.RecordFailure()
		return dispatch.Unreachable{Now: now, Attempt: at.number, Err: err}
	case at.withheldErr != nil:
		return dispatch.Unreachable{Now: now, Attempt: at.number, Err: at.withheldErr}
	default:
		return dispatch.NotSent{Attempt: at.number}
	}
}

// refusedError returns the error for a request that an upstream has rejected without running
// it.
func refusedError(s *exchange.Stream) *verdict.Error {
	reason := verdict.ReasonQueueFull
	if s.Signal.Misdirected {
		reason = verdict.ReasonUpstreamDown // another upstream has its address
	}
	return verdict.New(verdict.NotRun, reason, "the upstream refused with status %d", s.Status())
}

// awaitFirstByte waits for the first byte of a response, which counts as an outcome of the
// attempt, and returns the event for it.
func (d directTransport) awaitFirstByte(at *attempt, s *exchange.Stream) dispatch.Event {
	at.readAhead = nil
	status := s.Status()
	for {
		p, err := at.stream.Next(at.ctx)
		if err != nil {
			return d.lostEvent(at)
		}
		at.readAhead = append(at.readAhead, p)
		if p.Head != nil {
			continue
		}
		at.watch.EndWait()
		if countsAsOutcome(status) {
			at.watch.RecordOutcome(status < http.StatusInternalServerError)
		} else {
			at.timedOut = true
		}
		if status >= http.StatusInternalServerError {
			d.router.recordAnswered(at)
			err := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "the upstream answered with status %d", status)
			return dispatch.ErrorResponse{Now: time.Now(), Attempt: at.number, Err: err}
		}
		if at.continues && d.isVersionInDoubt(time.Now(), at.vm) {
			d.router.recordAnswered(at)
			s.Close()
			at.stream = nil
			return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
		}
		if s.IsEventStream() && d.plan.Resumable {
			at.stream.(*directStream).setMaxPause(time.Duration(pauseFraction * float64(d.req.Profile.MaxPause.Std())))
		}
		if d.session != 0 {
			d.router.lastServed.Record(d.session, at.vm)
		}
		d.router.retries.Answered(time.Now(), d.poolName)
		return dispatch.ResponseStarted{Now: time.Now(), Attempt: at.number, Resumable: s.IsEventStream()}
	}
}

// lostEvent returns the event for a response whose connection broke before its first byte; nil
// if this router closed it.
func (d directTransport) lostEvent(at *attempt) dispatch.Event {
	if at.ctx.Err() != nil {
		return nil
	}
	d.recordLostResponse(at)
	at.stream.Close()
	at.stream = nil
	return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
}

// recordLostResponse counts a connection that broke as a failure of the upstream, unless this
// router closed it.
func (d directTransport) recordLostResponse(at *attempt) {
	if at.ctx.Err() == nil {
		at.watch.RecordOutcome(false)
		d.router.recordLost(at)
	}
}

// attach implements transport. Package dispatch never attaches to upstreams without a sidecar.
func (d directTransport) attach(at *attempt) dispatch.Event {
	return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
}

// cancel implements transport. It does nothing: the end of the attempt closes the connection,
// and an upstream drops a request whose connection is closed.
func (d directTransport) cancel(*attempt) {}

// handleEnd implements transport.
func (d directTransport) handleEnd(*attempt, *wire.End) {}
