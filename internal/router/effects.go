package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// addAttempt adds an attempt at a VM.
func (resp *Response) addAttempt(vm topo.VM) *attempt {
	ctx, stop := context.WithCancel(resp.ctx)
	at := &attempt{ctx: ctx, stop: stop, caller: resp.caller, number: len(resp.attempts), vm: vm, call: resp.req.Call}
	resp.attempts = append(resp.attempts, at)
	return at
}

// breakSpread is how long after a stream broke off the connections to other upstreams that have ended at the
// same moment are found broken.
const breakSpread = 20 * time.Millisecond

// offer starts an attempt at the next upstream.
func (resp *Response) offer(e dispatch.Offer) {
	if e.Continue && resp.hasSeveralVersions() {
		sleep(resp.ctx, breakSpread)
	}
	to, ok := resp.transport.target(e)
	at := resp.addAttempt(to.vm)
	at.donor, at.tracker, at.shedder, at.continues = to.donor, to.tracker, to.shedder, resp.origin.known
	at.urgency = resp.basis.Urgency
	at.watch = balance.NewWatch(to.tracker, balance.Attempt{
		VM: load.Hash(to.vm.ID), Profile: resp.req.Profile.Name, Urgency: resp.basis.Urgency, Load: to.load, Deferred: resp.basis.Deferred,
	}, resp.req.Profile.Objective.Std())
	if e.Continue {
		resp.countContinued(ok)
		at.headSent = true
		at.lastEventID = resp.framer.LastID()
		if e.Takeover {
			resp.takeover = at
		} else {
			resp.awaitContinuation()
		}
	}
	if !ok && e.Continue {
		resp.launch(at, 0, nobodyContinues)
		return
	}
	if !ok {
		resp.launch(at, 0, noUpstreamLeft)
		return
	}
	resp.logOffer(at, e, to)
	at.hasPermit = resp.hasPermit
	if resp.req.Key != nil && e.Attempt == 0 {
		resp.launchWithKey(at, *resp.req.Key, resp.transport.submit)
		return
	}
	resp.launch(at, 0, resp.transport.submit)
}

// noUpstreamLeft returns the event for an attempt for which there is no upstream.
func noUpstreamLeft(at *attempt) dispatch.Event {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left that has not been tried")
	return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: err}
}

// nobodyContinues returns the event for an attempt to continue a stream for which there is no upstream.
// Further offers would find none either.
func nobodyContinues(at *attempt) dispatch.Event {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left that may continue the stream")
	return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: err, Final: true}
}

// followKey starts an attempt at the VM of the successor key under which the
// request goes on.
func (resp *Response) followKey(key wire.Key, effect effectFunc) {
	previous := resp.attempts[len(resp.attempts)-1]
	at := resp.addAttempt(resp.view.VMs[key.VM])
	at.chainIndex = previous.chainIndex + 1
	at.hasPermit, at.crashSite, at.permitNonce = previous.hasPermit, previous.crashSite, previous.permitNonce
	resp.launchWithKey(at, key, effect)
}

// reattach asks for the rest of an attempt's response. If there is no such attempt,
// it asks for the response to an earlier request, from resumeOffset on.
func (resp *Response) reattach(e dispatch.Attach) {
	if e.Attempt < len(resp.attempts) {
		resp.launch(resp.attempts[e.Attempt], e.Retry, resp.transport.attach)
		return
	}
	at := resp.addAttempt(resp.candidates[0])
	at.offset = resp.resumeOffset
	resp.launchWithKey(at, *resp.req.Key, resp.transport.attach)
}

// awaitContinuation makes the response wait for another attempt, without what has arrived of an event that
// is not complete.
func (resp *Response) awaitContinuation() {
	resp.winner = nil
	resp.framer.Discard()
}

// deliver makes an attempt's response the one that goes to the caller. If no other
// upstream may continue the response, it also drops the request's body, so that it
// is not kept in memory for the minutes that a response may take.
func (resp *Response) deliver(at *attempt, resumable bool) {
	if resp.winner != nil {
		resp.awaitContinuation() // the attempt takes over
	}
	resp.winner = at
	if resumable {
		if resp.framer == nil {
			resp.framer = &eventstream.Framer{}
		}
		return
	}
	at.call = wire.Call{}
	resp.req.Call = wire.Call{Method: resp.req.Call.Method}
}

// launchWithKey carries out an effect on an attempt under a key that may have been
// used before. If the VM of the key is not in the list, the outcome of an earlier
// use can't be determined, so the attempt ends with the verdict MayHaveRun.
func (resp *Response) launchWithKey(at *attempt, key wire.Key, effect effectFunc) {
	at.key = &key
	if at.vm.ID == "" {
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the VM of the key has left")
		resp.launch(at, 0, func(*attempt) dispatch.Event {
			return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: err}
		})
		return
	}
	resp.launch(at, 0, effect)
}

// effectFunc carries out an effect on an attempt and returns the outcome; nil if
// there is nothing to decide.
type effectFunc func(*attempt) dispatch.Event

// launch runs f for an attempt on a new goroutine, after the backoff for the
// given number of retries.
func (resp *Response) launch(at *attempt, retryNumber int, f effectFunc) {
	at.busy = true
	pause := retry.Backoff(retryNumber, rand.Float64())
	go func() {
		if pause > 0 {
			sleep(at.ctx, pause)
		}
		o := outcome{attempt: at, event: f(at), last: true}
		if !resp.post(o) {
			at.close()
		}
	}()
}

// drop cancels an attempt that lost to another one.
func (resp *Response) drop(at *attempt) {
	if !at.gate.seal() {
		resp.transport.cancel(at)
	}
	at.stop()
	if !at.busy {
		at.close()
	}
}
