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

func (a *Answer) add(vm topo.VM) *attempt {
	ctx, stop := context.WithCancel(a.ctx)
	at := &attempt{ctx: ctx, stop: stop, number: len(a.attempts), vm: vm, call: a.req.Call}
	a.attempts = append(a.attempts, at)
	return at
}

func (a *Answer) offer(e dispatch.Offer) {
	to, ok := a.carrier.target(e)
	at := a.add(to.vm)
	at.donor, at.tracker = to.donor, to.tracker
	at.watch = balance.NewWatch(to.tracker, balance.Attempt{
		VM: load.Hash(to.vm.ID), Profile: a.req.Profile.Name, Urgency: a.basis.Urgency, Load: to.load, Deferred: a.basis.Deferred,
	}, a.req.Profile.Objective.Std())
	if e.Continue {
		a.winner = nil
		at.headed = true
		at.lastEvent = a.cutter.LastID()
	}
	if !ok {
		a.launch(at, 0, noneLeft)
		return
	}
	a.logOffer(at, e, to)
	at.leave = a.lent
	if a.req.Key != nil && e.Attempt == 0 {
		a.hold(at, *a.req.Key, a.carrier.submit)
		return
	}
	a.launch(at, 0, a.carrier.submit)
}

// noneLeft is the outcome of an attempt for which there is no upstream.
func noneLeft(at *attempt) dispatch.Event {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream is left that has not been tried")
	return dispatch.Unreachable{Now: time.Now(), Attempt: at.number, Err: err}
}

func (a *Answer) follow(key wire.Key, how effectFunc) {
	former := a.attempts[len(a.attempts)-1]
	at := a.add(a.view.VMs[key.VM])
	at.link = former.link + 1
	at.leave, at.site, at.given = former.leave, former.site, former.given
	a.hold(at, key, how)
}

// reattach asks for the rest of an attempt's answer, or for the answer to an
// earlier request if that is all that is wanted.
func (a *Answer) reattach(e dispatch.Attach) {
	if e.Attempt < len(a.attempts) {
		a.launch(a.attempts[e.Attempt], e.Retry, a.carrier.attach)
		return
	}
	at := a.add(a.candidates[0])
	at.offset = a.resumeAt
	a.hold(at, *a.req.Key, a.carrier.attach)
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

// hold submits an attempt under a key that others may have used before. Of a
// VM that the list does not know nothing can be learnt: what ran there may have
// run.
func (a *Answer) hold(at *attempt, key wire.Key, how effectFunc) {
	at.key = &key
	if at.vm.ID == "" {
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the VM of the key has left")
		a.launch(at, 0, func(*attempt) dispatch.Event {
			return dispatch.Refused{Now: time.Now(), Attempt: at.number, Err: err}
		})
		return
	}
	a.launch(at, 0, how)
}

// effectFunc carries out an effect on an attempt and returns what came of it.
type effectFunc func(*attempt) dispatch.Event

// launch runs f for an attempt on a goroutine, after the pause that the retryth
// reconnect asks for.
func (a *Answer) launch(at *attempt, retryth int, f effectFunc) {
	at.busy = true
	pause := retry.Backoff(retryth, rand.Float64())
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
		a.carrier.cancel(at)
	}
	at.stop()
	if !at.busy {
		at.close()
	}
}
