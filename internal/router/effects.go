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
func (a *Response) addAttempt(vm topo.VM) *attempt {
	ctx, stop := context.WithCancel(a.ctx)
	at := &attempt{ctx: ctx, stop: stop, number: len(a.attempts), vm: vm, call: a.req.Call}
	a.attempts = append(a.attempts, at)
	return at
}

// offer starts an attempt at the next upstream.
func (a *Response) offer(e dispatch.Offer) {
	to, ok := a.transport.target(e)
	at := a.addAttempt(to.vm)
	at.donor, at.tracker = to.donor, to.tracker
	at.watch = balance.NewWatch(to.tracker, balance.Attempt{
		VM: load.Hash(to.vm.ID), Profile: a.req.Profile.Name, Urgency: a.basis.Urgency, Load: to.load, Deferred: a.basis.Deferred,
	}, a.req.Profile.Objective.Std())
	if e.Continue {
		a.winner = nil
		at.headSent = true
		at.lastEventID = a.framer.LastID()
	}
	if !ok {
		a.launch(at, 0, noUpstreamLeft)
		return
	}
	a.logOffer(at, e, to)
	at.hasPermit = a.isolationGranted
	if a.req.Key != nil && e.Attempt == 0 {
		a.launchWithKey(at, *a.req.Key, a.transport.submit)
		return
	}
	a.launch(at, 0, a.transport.submit)
}

// noUpstreamLeft returns the event for an attempt for which there is no upstream.
func noUpstreamLeft(at *attempt) dispatch.Event {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left that has not been tried")
	return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: err}
}

// followKey starts an attempt at the VM of the successor key under which the
// request goes on.
func (a *Response) followKey(key wire.Key, effect effectFunc) {
	previous := a.attempts[len(a.attempts)-1]
	at := a.addAttempt(a.view.VMs[key.VM])
	at.chainIndex = previous.chainIndex + 1
	at.hasPermit, at.crashSite, at.permitNonce = previous.hasPermit, previous.crashSite, previous.permitNonce
	a.launchWithKey(at, key, effect)
}

// reattach asks for the rest of an attempt's answer. If there is no such attempt,
// it asks for the answer to an earlier request, from resumeOffset on.
func (a *Response) reattach(e dispatch.Attach) {
	if e.Attempt < len(a.attempts) {
		a.launch(a.attempts[e.Attempt], e.Retry, a.transport.attach)
		return
	}
	at := a.addAttempt(a.candidates[0])
	at.offset = a.resumeOffset
	a.launchWithKey(at, *a.req.Key, a.transport.attach)
}

// deliver makes an attempt's answer the one that goes to the caller. If no other
// upstream may continue the answer, it also drops the request's body, so that it
// is not kept in memory for the minutes that an answer may take.
func (a *Response) deliver(at *attempt, resumable bool) {
	a.winner = at
	if resumable {
		if a.framer == nil {
			a.framer = &eventstream.Framer{}
		}
		return
	}
	at.call = wire.Call{}
	a.req.Call = wire.Call{Method: a.req.Call.Method}
}

// launchWithKey carries out an effect on an attempt under a key that may have been
// used before. If the VM of the key is not in the list, the outcome of an earlier
// use can't be determined, so the attempt ends with the verdict MayHaveRun.
func (a *Response) launchWithKey(at *attempt, key wire.Key, effect effectFunc) {
	at.key = &key
	if at.vm.ID == "" {
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the VM of the key has left")
		a.launch(at, 0, func(*attempt) dispatch.Event {
			return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: err}
		})
		return
	}
	a.launch(at, 0, effect)
}

// effectFunc carries out an effect on an attempt and returns the outcome; nil if
// there is nothing to decide.
type effectFunc func(*attempt) dispatch.Event

// launch runs f for an attempt on a new goroutine, after the backoff for the
// given number of retries.
func (a *Response) launch(at *attempt, retryNumber int, f effectFunc) {
	at.busy = true
	pause := retry.Backoff(retryNumber, rand.Float64())
	go func() {
		if pause > 0 {
			sleep(at.ctx, pause)
		}
		o := outcome{attempt: at, event: f(at), last: true}
		if !a.post(o) {
			at.close()
		}
	}()
}

// drop cancels an attempt that lost to another one.
func (a *Response) drop(at *attempt) {
	if !at.gate.seal() {
		a.transport.cancel(at)
	}
	at.stop()
	if !at.busy {
		at.close()
	}
}
