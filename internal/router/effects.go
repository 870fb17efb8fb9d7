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

func (a *Answer) addAttempt(vm topo.VM) *attempt {
	ctx, stop := context.WithCancel(a.ctx)
	at := &attempt{ctx: ctx, stop: stop, number: len(a.attempts), vm: vm, call: a.req.Call}
	a.attempts = append(a.attempts, at)
	return at
}

func (a *Answer) offer(e dispatch.Offer) {
	to, ok := a.transport.target(e)
	at := a.addAttempt(to.vm)
	at.donor, at.tracker = to.donor, to.tracker
	at.watch = balance.NewWatch(to.tracker, balance.Attempt{
		VM: load.Hash(to.vm.ID), Profile: a.req.Profile.Name, Urgency: a.basis.Urgency, Load: to.load, Deferred: a.basis.Deferred,
	}, a.req.Profile.Objective.Std())
	if e.Continue {
		a.winner = nil
		at.headSent = true
		at.lastEventID = a.cutter.LastID()
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

// noUpstreamLeft is the outcome of an attempt for which there is no upstream.
func noUpstreamLeft(at *attempt) dispatch.Event {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left that has not been tried")
	return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: err}
}

func (a *Answer) followKey(key wire.Key, effect effectFunc) {
	previous := a.attempts[len(a.attempts)-1]
	at := a.addAttempt(a.view.VMs[key.VM])
	at.chainIndex = previous.chainIndex + 1
	at.hasPermit, at.crashSite, at.permitNonce = previous.hasPermit, previous.crashSite, previous.permitNonce
	a.launchWithKey(at, key, effect)
}

// reattach asks for the rest of an attempt's answer, or for the answer to an
// earlier request if that is all that is wanted.
func (a *Answer) reattach(e dispatch.Attach) {
	if e.Attempt < len(a.attempts) {
		a.launch(a.attempts[e.Attempt], e.Retry, a.transport.attach)
		return
	}
	at := a.addAttempt(a.candidates[0])
	at.offset = a.resumeOffset
	a.launchWithKey(at, *a.req.Key, a.transport.attach)
}

// deliver makes an attempt's answer the caller's. From here on the request
// itself is not needed any more: an answer that goes on for minutes does not
// hold the body that asked for it.
func (a *Answer) deliver(at *attempt, resumable bool) {
	a.winner = at
	if resumable {
		if a.cutter == nil {
			a.cutter = &eventstream.Framer{}
		}
		return
	}
	at.call = wire.Call{}
	a.req.Call = wire.Call{Method: a.req.Call.Method}
}

// launchWithKey submits an attempt under a key that others may have used before. Of a
// VM that the list does not know nothing can be learnt: what ran there may have
// run.
func (a *Answer) launchWithKey(at *attempt, key wire.Key, effect effectFunc) {
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

// effectFunc carries out an effect on an attempt and returns what came of it.
type effectFunc func(*attempt) dispatch.Event

// launch runs f for an attempt on a goroutine, after the pause that the retryth
// reconnect asks for.
func (a *Answer) launch(at *attempt, retryNumber int, f effectFunc) {
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

// drop cancels the loser of two hedged attempts.
func (a *Answer) drop(at *attempt) {
	if !at.gate.seal() {
		a.transport.cancel(at)
	}
	at.stop()
	if !at.busy {
		at.close()
	}
}
