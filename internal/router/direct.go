package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// directTransport carries attempts to upstreams that have no sidecar. Nothing remembers a
// request there, so what was sent and lost may have run.
type directTransport struct{ *Answer }

// directStream is an answer of a direct upstream. Its attempt's context ends the
// reading.
type directStream struct {
	*exchange.Stream
	tracker      *balance.Tracker
	vm           load.VM
	profile      string
	firstBytesAt time.Time // when its first bytes came
	lastEventAt  time.Time // when the newest event did
}

// Next implements stream.
func (s *directStream) Next(context.Context) (wire.Piece, error) {
	p, err := s.Stream.Next()
	if err == nil && p.Head == nil && s.IsEventStream() {
		s.observeTiming(time.Now(), p)
	}
	return p, err
}

// observeTiming takes in when a piece of a stream of events came.
func (s *directStream) observeTiming(now time.Time, p wire.Piece) {
	switch n := bytes.Count(p.Bytes, eventEnd); {
	case s.firstBytesAt.IsZero():
		s.firstBytesAt, s.lastEventAt = now, now
	case p.End != nil:
		s.tracker.RecordAnswerTime(now, s.vm, s.profile, now.Sub(s.firstBytesAt))
	case n > 0:
		s.tracker.RecordEvents(now, s.vm, s.profile, n, now.Sub(s.lastEventAt))
		s.lastEventAt = now
	}
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// submit implements carrier.
func (a directTransport) submit(at *attempt) dispatch.Event {
	at.span = telemetry.Start(telemetry.HopRouter, telemetry.Traceparent(a.req.Trace))
	at.span.Set(telemetry.AttrVM, at.vm.ID)
	id := load.Hash(at.vm.ID)
	at.tracker.BeginAttempt(id)
	context.AfterFunc(at.ctx, func() {
		at.tracker.EndAttempt(id)
		at.watch.Abandon()
	})
	s, err := a.router.config.Direct.Do(at.ctx, at.vm, a.exchangeCall(at), func() bool { return a.admitAttempt(at) })
	if err != nil {
		at.span.Fail(string(verdict.From(err).Reason))
		return a.failureEvent(at, verdict.From(err))
	}
	at.stream = &directStream{Stream: s, tracker: at.tracker, vm: id, profile: a.req.Profile.Name}
	a.handleSignal(at, s.Signal)
	if s.Signal.NotRun {
		s.Drain()
		at.stream = nil
		if s.Status() == http.StatusMisdirectedRequest {
			// Another one has its address: it is gone, though its entry is still there, or
			// was written again by a heartbeat that came late. Each further request would
			// be refused in the same way for as long.
			a.router.markUnreachable(at.vm.ID)
		} else {
			// An upstream that turns requests away while others take theirs comes last, like
			// one that fails them: a request that may be sent once cannot go on to the next.
			// With half of the upstreams turning half of their requests away, .7% of all
			// were told to come back, .2% with this; in a surge beside slow ones .16, .11%.
			at.watch.RecordOutcome(false)
		}
		return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: refusedError(s.Status())}
	}
	if at.headSent && s.Status() != http.StatusOK {
		err := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "the upstream did not go on with the stream: status %d", s.Status())
		s.Close()
		at.stream = nil
		return dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: err}
	}
	return a.awaitFirstByte(at, s)
}

// admitAttempt reports whether the attempt may be sent now. A caller that has closed its
// connection while its request waited for this router's processor is gone, though
// nobody has read that from the connection yet: its runner would work for nobody.
func (a directTransport) admitAttempt(at *attempt) bool {
	if a.req.CallerGone != nil && a.req.CallerGone() {
		at.gate.seal()
		return false
	}
	if at.withheldErr = a.router.admitSend(time.Now(), a.poolName, at.vm); at.withheldErr != nil {
		return false
	}
	if !at.gate.markSent() {
		return false
	}
	at.watch.Start()
	return true
}

// exchangeCall returns what is sent to the upstream of an attempt.
func (a directTransport) exchangeCall(at *attempt) exchange.Call {
	now := time.Now()
	c := exchange.Call{
		Call:        at.call,
		Host:        a.req.Host,
		ID:          a.req.ID,
		Instance:    at.vm.Name(),
		Urgency:     a.basis.Urgency,
		TimeLeft:    sidecarTimeLeft(a.plan.Deadline, now, a.plan.Deadline.Sub(a.started)),
		LastEventID: a.req.LastEvent,
		Donor:       at.donor.Addr,
	}
	if at.lastEventID != "" {
		c.LastEventID = at.lastEventID
	}
	if a.req.Org != nil {
		c.Organisation = upstreamOrgName(a.req.Org)
	}
	return c
}

// failureEvent turns a call without an answer into an event.
func (a directTransport) failureEvent(at *attempt, err *verdict.Error) dispatch.Event {
	now := time.Now()
	switch {
	case err.Verdict != verdict.NotRun:
		a.recordLostAnswer(at)
		return dispatch.ConnectionLost{Now: now, Attempt: at.number}
	case err.Reason == verdict.ReasonNoUpstream:
		a.router.markUnreachable(at.vm.ID)
		at.watch.RecordFailure()
		return dispatch.Unreachable{Now: now, Attempt: at.number, Err: err}
	case at.withheldErr != nil:
		return dispatch.Unreachable{Now: now, Attempt: at.number, Err: at.withheldErr}
	default:
		return dispatch.NotSent{Attempt: at.number}
	}
}

// refusedError is an upstream's word that it has not run a request.
func refusedError(status int) *verdict.Error {
	reason := verdict.ReasonQueueFull
	if status == http.StatusMisdirectedRequest {
		reason = verdict.ReasonUpstreamDown // another one has its address
	}
	return verdict.New(verdict.NotRun, reason, "the upstream refused with status %d", status)
}

// awaitFirstByte waits for the first byte of an answer.
func (a directTransport) awaitFirstByte(at *attempt, s *exchange.Stream) dispatch.Event {
	at.readAhead = nil
	status := s.Status()
	for {
		p, err := at.stream.Next(at.ctx)
		if err != nil {
			return a.lostEvent(at)
		}
		at.readAhead = append(at.readAhead, p)
		if p.Head != nil {
			continue
		}
		at.watch.EndWait()
		if countsAsOutcome(status) {
			at.watch.RecordOutcome(status < http.StatusInternalServerError)
		}
		if status >= http.StatusInternalServerError {
			err := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "the upstream answered with status %d", status)
			return dispatch.ErrorResponse{Now: time.Now(), Attempt: at.number, Err: err}
		}
		if s.IsEventStream() && a.plan.Resumable {
			s.SetStallTimeout(time.Duration(pauseFraction * float64(a.req.Profile.MaxPause.Std())))
		}
		if a.session != 0 {
			a.router.holders.Record(a.session, at.vm)
		}
		a.router.retries.Answered(time.Now(), a.poolName)
		return dispatch.ResponseStarted{Now: time.Now(), Attempt: at.number, Resumable: s.IsEventStream()}
	}
}

func (a directTransport) lostEvent(at *attempt) dispatch.Event {
	if at.ctx.Err() != nil {
		return nil
	}
	a.recordLostAnswer(at)
	at.stream.Close()
	at.stream = nil
	return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
}

// recordLostAnswer speaks against the upstream of an attempt whose connection broke, unless
// this router has broken it.
func (a directTransport) recordLostAnswer(at *attempt) {
	if at.ctx.Err() == nil {
		at.watch.RecordOutcome(false)
	}
}

// attach implements carrier. dispatch asks nobody to attach to what has no
// sidecar.
func (a directTransport) attach(at *attempt) dispatch.Event {
	return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
}

// cancel implements carrier: an upstream drops a request whose connection is
// closed, and the attempt's end closes it.
func (a directTransport) cancel(*attempt) {}

// handleEnd implements carrier.
func (a directTransport) handleEnd(*attempt, *wire.End) {}
