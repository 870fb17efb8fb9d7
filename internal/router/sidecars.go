package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// sidecarTransport sends attempts to the sidecars of upstreams. A sidecar records each
// request by its key, so a request or a response that was lost can be sent or asked for
// again.
type sidecarTransport struct{ *Response }

// target implements transport.
func (s sidecarTransport) target(e dispatch.Offer) (target, bool) {
	vm := s.candidates[e.Candidate]
	if e.Attempt > 0 {
		vm = s.reassign(vm)
	}
	return target{vm: vm}, true
}

// submit implements transport.
func (s sidecarTransport) submit(at *attempt) dispatch.Event {
	at.span.End() // of an earlier submission
	at.span = telemetry.Start(telemetry.HopRouter, telemetry.Traceparent(s.req.Trace))
	at.span.Set(telemetry.AttrVM, at.vm.ID)
	peer, err := s.connect(at)
	if err != nil {
		return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: verdict.From(err)}
	}
	successor := s.successor(at)
	if !at.gate.markSent() {
		return nil
	}
	now := time.Now()
	stream, adm, err := peer.Submit(at.ctx, wire.Submit{
		Key:         *at.key,
		Successor:   successor,
		Home:        s.home,
		Org:         s.req.Org.Name,
		Session:     s.session,
		Fingerprint: s.fingerprint,
		Policy:      s.req.treatment(now, s.plan),
		Call:        at.call,
		Window:      streamWindow,
		Trace:       string(at.span.Traceparent()),
		Control:     s.router.control(now, at.vm.ID, s.pool, s.fingerprint),
		HasPermit:   at.hasPermit,
	})
	if isUnsent(adm, err) && at.resends < maxResends {
		at.resends++
		sleep(at.ctx, retry.Backoff(at.resends+1, rand.Float64()))
		return s.submit(at)
	}
	if err != nil {
		at.span.Fail(string(verdict.From(err).Reason))
		return s.refusalEvent(at, adm, err)
	}
	return s.awaitFirstPiece(at, stream, adm)
}

// attach implements transport.
func (s sidecarTransport) attach(at *attempt) dispatch.Event {
	peer, err := s.connect(at)
	if err != nil {
		return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: verdict.From(err)}
	}
	stream, adm, err := peer.Attach(at.ctx, wire.Attach{
		Key:      *at.key,
		Org:      s.req.Org.Name,
		Offset:   at.offset,
		Window:   streamWindow,
		HeadSeen: at.headSent,
	})
	if err != nil {
		return s.refusalEvent(at, adm, err)
	}
	return s.awaitFirstPiece(at, stream, adm)
}

// connect returns the peer of the attempt's sidecar, connected, and generates
// the attempt's key if it has none.
func (s sidecarTransport) connect(at *attempt) (*wire.Peer, error) {
	peer := s.router.peer(at.vm)
	hello, err := peer.Connect(at.ctx)
	if err != nil {
		s.router.markUnreachable(at.vm.ID)
		return nil, err
	}
	if at.key == nil {
		key := newKey(at.vm.ID, hello.Incarnation, time.Now())
		at.key = &key
	}
	return peer, nil
}

// successor returns the key under which the request goes on if the sidecar
// refuses it; nil if it needs none or there is no further candidate. A request
// whose key the caller holds needs one: copies of it may arrive through other
// routers, and all must go to the same upstreams in the same order. A suspect
// needs one because the site of its crash may send it on. A key names the
// incarnation of its sidecar, so this connects to the next sidecar first.
func (s sidecarTransport) successor(at *attempt) *wire.Key {
	if s.req.Key == nil && !s.suspect || at.chainIndex+1 >= dispatch.MaxKeyChain || at.chainIndex+1 >= len(s.candidates) {
		return nil
	}
	for _, vm := range s.candidates[at.chainIndex+1:] {
		if vm.ID == at.vm.ID {
			continue
		}
		hello, err := s.router.peer(vm).Connect(at.ctx)
		if err == nil {
			key := newKey(vm.ID, hello.Incarnation, time.Now())
			return &key
		}
		s.router.markUnreachable(vm.ID)
	}
	return nil
}

// maxResends is how often an attempt is submitted again that was not sent. One
// would not do: it may use the same broken connection if its end has not been
// noticed yet.
const maxResends = 2

// isUnsent reports whether a call failed before any of it was sent. In most cases
// an established connection was closed, for example after a change of
// certificates, and a new connection works. Without another submission, the
// request would fail needlessly where a pool has no other upstream.
func isUnsent(adm wire.Admission, err error) bool {
	return err != nil && adm.Error == nil && verdict.From(err).Reason == verdict.ReasonNoUpstream
}

// refusalEvent returns the event for a failed call. A response of the sidecar has
// an error in its admission or a reason other than ReasonConnection; everything
// else is a lost connection.
func (s sidecarTransport) refusalEvent(at *attempt, adm wire.Admission, err error) dispatch.Event {
	now := time.Now()
	e := verdict.From(err)
	if adm.Error == nil && e.Reason == verdict.ReasonConnection {
		return dispatch.ConnectionLost{Now: now, Attempt: at.number}
	}
	if isUnsent(adm, err) {
		return dispatch.Unreachable{Now: now, Attempt: at.number, Err: e}
	}
	s.router.handleControl(now, at.vm, adm.Control)
	if adm.HasPermit && !at.hasPermit {
		at.hasPermit, at.crashSite, at.permitNonce = true, at.vm, at.key.Nonce
	}
	if adm.Moved == nil && e.Verdict == verdict.NotRun {
		s.returnPermit(at)
	}
	return dispatch.Refused{Now: now, Attempt: at.number, Err: e, Successor: adm.Moved, Final: s.isStranded(at, e)}
}

// isStranded reports whether a suspect was refused by the only VM where it may
// run.
func (s sidecarTransport) isStranded(at *attempt, err *verdict.Error) bool {
	return err.Reason == verdict.ReasonSuspect && s.reassign(at.vm).ID == at.vm.ID
}

// awaitFirstPiece waits for the first piece after the head of an admitted
// attempt's response, and returns the event for it. Until then nothing is sent to
// the caller, so that an idempotent request can still be tried at another
// upstream.
func (s sidecarTransport) awaitFirstPiece(at *attempt, stream *wire.Stream, adm wire.Admission) dispatch.Event {
	at.stream = stream
	s.router.handleControl(time.Now(), at.vm, adm.Control)
	s.post(outcome{attempt: at, event: dispatch.Admitted{Attempt: at.number}})
	if at.headSent {
		return nil // Response.Next reads the rest
	}
	at.readAhead = nil
	for {
		p, err := stream.Next(at.ctx)
		if err != nil {
			return s.closeBroken(at)
		}
		if p.End != nil && p.End.Error != nil {
			s.router.handleControl(time.Now(), at.vm, p.End.Control)
			s.reportCrash(at, p.End.Error)
			if p.End.Moved != nil { // it waited there and was moved to another upstream
				return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: p.End.Error, Successor: p.End.Moved}
			}
			if p.End.Error.Verdict == verdict.NotRun {
				s.returnPermit(at)
			}
			return dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: p.End.Error}
		}
		at.readAhead = append(at.readAhead, p)
		if p.Head == nil {
			return dispatch.ResponseStarted{Now: time.Now(), Attempt: at.number}
		}
	}
}

// closeBroken closes a stream that has failed and returns the event for it; nil if
// the attempt's own context has ended, which is no failure of the stream.
func (s sidecarTransport) closeBroken(at *attempt) dispatch.Event {
	if at.ctx.Err() != nil {
		return nil
	}
	at.stream.Close()
	at.stream = nil
	return dispatch.ConnectionLost{Now: time.Now(), Attempt: at.number}
}

// cancelTimeout bounds the call that cancels a request which nobody waits for. If
// the call fails, the request runs to its own deadline.
const cancelTimeout = 3 * time.Second

// cancel implements transport.
func (s sidecarTransport) cancel(at *attempt) {
	s.router.cancel(at.vm, s.req.Org.Name, *at.key)
}

// handleEnd implements transport.
func (s sidecarTransport) handleEnd(at *attempt, end *wire.End) {
	s.router.handleControl(time.Now(), at.vm, end.Control)
	if end.Error != nil {
		s.reportCrash(at, end.Error)
	}
}

// cancel asks a sidecar to end a request, in the background.
func (r *Router) cancel(vm topo.VM, org string, key wire.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.peer(vm).Call(ctx, wire.MethodCancel, wire.Cancel{Key: key, Org: org}, nil)
	}()
}
