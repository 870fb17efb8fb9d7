package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Answer is an upstream's answer on its way to the caller. It carries out what
// dispatch decides: the goroutine that calls Next owns it, and each effect that
// waits for a sidecar runs on a goroutine of its own until it has an outcome.
type Answer struct {
	router     *Router
	carrier    carrier
	req        Request
	plan       dispatch.Plan
	pool       *Pool
	poolName   string   // of direct upstreams
	targets    []target // the direct upstreams that were chosen last
	view       *View
	candidates []topo.VM
	home       string // VM that ranks first
	session    uint64
	share      float64 // of the pool's requests that the session has at least
	counted    bool    // towards that share
	print      uint64
	suspect    bool   // it may have crashed an upstream: it runs alone
	lent       bool   // it may run alone where it is offered
	resumeAt   int64  // offset from which an earlier answer is wanted
	release    func() // of the organisation's concurrency

	started  time.Time
	first    time.Duration // until the first piece went to the caller
	written  int64         // bytes that went to the caller
	logged   bool          // its end
	basis    placement.Basis
	caller   context.Context
	ctx      context.Context // ends at Close
	stop     context.CancelFunc
	state    *dispatch.State
	attempts []*attempt
	outcomes chan outcome
	winner   *attempt
	cutter   *eventstream.Cutter // of an answer that another upstream may go on with
	result   *verdict.Error      // once state is finished; nil: the answer is whole
	end      *wire.End
}

// outcome is an event with the attempt that it is about.
type outcome struct {
	attempt *attempt
	event   dispatch.Event // nil: nothing to decide
	last    bool           // the attempt's goroutine has ended
}

// post hands an outcome to the Answer, or reports false if the Answer was closed
// or the attempt dropped.
func (a *Answer) post(o outcome) bool {
	select {
	case a.outcomes <- o:
		return true
	case <-o.attempt.ctx.Done():
		return false
	}
}

// run carries the request up to its first piece or its final verdict.
func (a *Answer) run() error {
	a.step(dispatch.Began{Now: time.Now()})
	for a.winner == nil && !a.state.Finished() {
		if err := a.wait(); err != nil {
			return err
		}
	}
	if a.winner == nil {
		return a.result
	}
	return nil
}

// wait takes in the next thing that happens to the request.
func (a *Answer) wait() error {
	timer := time.NewTimer(untilWake(a.state.Wake()))
	defer timer.Stop()
	select {
	case o := <-a.outcomes:
		a.take(o)
	case <-timer.C:
		a.tick()
	case <-a.caller.Done():
		return a.caller.Err()
	}
	return nil
}

// farAway stands for never.
const farAway = 24 * time.Hour

func untilWake(at time.Time) time.Duration {
	if at.IsZero() {
		return farAway
	}
	return time.Until(at)
}

func (a *Answer) take(o outcome) {
	at := o.attempt
	if o.last {
		at.busy = false
		if at.ctx.Err() != nil {
			at.close() // dropped while it was busy
		}
	}
	if o.event != nil {
		a.step(o.event)
	}
}

// tick tells the state that time has passed. At a deadline the attempts that
// have not been sent are sealed first, so that the verdict on them is known.
func (a *Answer) tick() {
	now := time.Now()
	if a.overdue(now) {
		for _, at := range a.attempts {
			if at.gate.seal() {
				a.step(dispatch.Sealed{Attempt: at.number})
			}
		}
	}
	a.step(dispatch.Ticked{Now: now})
}

func (a *Answer) overdue(now time.Time) bool {
	return passed(a.plan.Deadline, now) || a.winner == nil && passed(a.plan.FirstByte, now)
}

func passed(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (a *Answer) step(e dispatch.Event) {
	effects := a.state.Step(e)
	a.logEvent(e, len(effects) > 0)
	for _, effect := range effects {
		a.act(effect)
	}
}

func (a *Answer) act(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Offer:
		a.offer(e)
	case dispatch.Follow:
		a.follow(e.Key, a.carrier.submit)
	case dispatch.FollowAttach:
		a.follow(e.Key, a.carrier.attach)
	case dispatch.Resubmit:
		a.launch(a.attempts[e.Attempt], e.Retry, a.carrier.submit)
	case dispatch.Attach:
		a.reattach(e)
	case dispatch.Deliver:
		a.deliver(a.attempts[e.Attempt], e.Resumable)
	case dispatch.Drop:
		a.drop(a.attempts[e.Attempt])
	case dispatch.Finish:
		a.result = e.Err
	}
}

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
	at.watch = &watch{tracker: to.tracker, vm: load.Hash(to.vm.ID), profile: a.req.Profile.Name, objective: a.req.Profile.Objective.Std()}
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
			a.cutter = &eventstream.Cutter{}
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

// Next returns the next piece of the answer. After an End there is nothing
// more; an error means that the answer stays incomplete.
func (a *Answer) Next() (wire.Piece, error) {
	for !a.state.Finished() {
		p, ok, err := a.read()
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

// read returns what the winner has to say next, if that is for the caller.
func (a *Answer) read() (wire.Piece, bool, error) {
	at := a.winner
	if at == nil { // another upstream is asked to go on
		return wire.Piece{}, false, a.wait()
	}
	if len(at.pieces) > 0 {
		p := at.pieces[0]
		at.pieces = at.pieces[1:]
		return a.forward(p)
	}
	if at.busy {
		return wire.Piece{}, false, a.wait()
	}
	p, err := a.nextPiece()
	switch {
	case err == nil:
		return a.forward(p)
	case a.caller.Err() != nil:
		return wire.Piece{}, false, a.caller.Err()
	case errors.Is(err, exchange.ErrSilent):
		a.silent(at)
	case passed(a.plan.Deadline, time.Now()):
		a.tick()
	default:
		at.stream.Close()
		at.stream = nil
		resumedStreams.Inc()
		if a.plan.Direct {
			at.watch.broke()
		}
		if a.cutter != nil && !a.cutter.Break() {
			a.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: errTorn})
			break
		}
		a.step(dispatch.Lost{Now: time.Now(), Attempt: at.number})
	}
	return wire.Piece{}, false, nil
}

// silent handles a stream that has paused for too long. It is given up only if
// another upstream goes on with it: silence alone is no reason to end an answer.
func (a *Answer) silent(at *attempt) {
	if a.cutter.Break() {
		a.step(dispatch.Silent{Now: time.Now(), Attempt: at.number})
	}
	if s, ok := at.stream.(directStream); ok && a.winner == at {
		s.Within(0)
	}
}

// errTorn ends a stream of which the caller has a part of an event.
var errTorn = verdict.New(verdict.Ran, verdict.ReasonCancelled, "the stream broke off within an event that is too long to hold back")

func (a *Answer) nextPiece() (wire.Piece, error) {
	if a.winner.stream == nil {
		return wire.Piece{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "not attached")
	}
	if a.plan.Deadline.IsZero() {
		return a.winner.stream.Next(a.caller)
	}
	ctx, done := context.WithDeadline(a.caller, a.plan.Deadline)
	defer done()
	return a.winner.stream.Next(ctx)
}

// forward takes note of a piece and reports whether the caller gets it. The
// head comes again with each attach, and goes out once.
func (a *Answer) forward(p wire.Piece) (wire.Piece, bool, error) {
	at := a.winner
	if a.first == 0 {
		a.first = time.Since(a.started)
	}
	switch {
	case p.End != nil:
		if a.cutter != nil && p.End.Error == nil && len(a.cutter.Rest()) > 0 {
			rest := a.cutter.Rest()
			a.cutter = nil
			at.pieces = append(at.pieces, p)
			return wire.Piece{Bytes: rest}, true, nil
		}
		a.end = p.End
		a.carrier.ended(at, p.End)
		a.step(dispatch.Ended{Now: time.Now(), Attempt: at.number, Err: p.End.Error})
		return p, false, nil
	case p.Head != nil:
		again := at.headed
		at.headed = true
		return p, !again, nil
	default:
		at.offset += int64(len(p.Bytes))
		if a.cutter != nil {
			p.Bytes = a.cutter.Feed(p.Bytes)
		}
		a.written += int64(len(p.Bytes))
		a.step(dispatch.Advanced{})
		return p, len(p.Bytes) > 0, nil
	}
}

// Close ends the caller's interest in the answer.
func (a *Answer) Close() {
	a.logEnd()
	if a.counted {
		a.pool.tracker.Took(a.req.Profile.Name, time.Since(a.started))
	}
	if a.state != nil && !a.state.Finished() { // nil: refused before it was offered
		a.leave()
	}
	a.stop()
	for _, at := range a.attempts {
		if !at.busy {
			at.close()
		}
	}
	a.release()
}

// leave handles a caller that is gone before its answer is complete. If it may
// come back for the answer, the request goes on: the caller holds the key, or
// has been told the request's id. A write goes on as well, because to break it
// off in the middle helps nobody.
func (a *Answer) leave() {
	mayReturn := a.req.Key != nil || a.winner != nil && !a.req.read()
	if mayReturn || !a.req.Profile.Idempotent {
		return
	}
	for _, at := range a.attempts {
		open := at.busy || at.stream != nil
		if open && !at.gate.seal() {
			a.carrier.cancel(at)
		}
	}
}
