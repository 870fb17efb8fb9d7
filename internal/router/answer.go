package router

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Answer is an upstream's answer on its way to the caller. It carries out what
// dispatch decides: the goroutine that calls Next owns it, and each effect that
// waits for a sidecar runs on a goroutine of its own until it has an outcome.
type Answer struct {
	router           *Router
	transport        transport
	req              Request
	plan             dispatch.Plan
	pool             *Pool
	poolName         string   // of direct upstreams
	targets          []target // the direct upstreams that were chosen last
	view             *View
	candidates       []topo.VM
	home             string // VM that ranks first
	session          uint64
	sessionShare     float64 // of the pool's requests that the session has at least
	shareCounted     bool    // towards that share
	returning        bool    // its caller was turned away before, as far as can be told
	fingerprint      uint64
	suspect          bool   // it may have crashed an upstream: it runs alone
	isolationGranted bool   // it may run alone where it is offered
	resumeOffset     int64  // offset from which an earlier answer is wanted
	release          func() // of the organisation's concurrency

	started         time.Time
	timeToFirstByte time.Duration // until the first piece went to the caller
	bytesSent       int64         // bytes that went to the caller
	endLogged       bool          // its end
	basis           placement.Basis
	caller          context.Context
	ctx             context.Context // ends at Close
	stop            context.CancelFunc
	state           *dispatch.State
	attempts        []*attempt
	outcomes        chan outcome
	winner          *attempt
	cutter          *eventstream.Framer // of an answer that another upstream may go on with
	result          *verdict.Error      // once state is finished; nil: the answer is whole
	end             *wire.End
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
		if err := a.waitForEvent(); err != nil {
			return err
		}
	}
	if a.winner == nil {
		return a.result
	}
	return nil
}

// waitForEvent takes in the next thing that happens to the request.
func (a *Answer) waitForEvent() error {
	timer := time.NewTimer(wakeDelay(a.state.Wake()))
	defer timer.Stop()
	select {
	case o := <-a.outcomes:
		a.handleOutcome(o)
	case <-timer.C:
		a.tick()
	case <-a.caller.Done():
		return a.caller.Err()
	}
	return nil
}

// noWakeDelay stands for never.
const noWakeDelay = 24 * time.Hour

func wakeDelay(at time.Time) time.Duration {
	if at.IsZero() {
		return noWakeDelay
	}
	return time.Until(at)
}

func (a *Answer) handleOutcome(o outcome) {
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
	if a.isOverdue(now) {
		for _, at := range a.attempts {
			if at.gate.seal() {
				a.step(dispatch.NotSent{Attempt: at.number})
			}
		}
	}
	a.step(dispatch.Ticked{Now: now})
}

func (a *Answer) isOverdue(now time.Time) bool {
	return isPast(a.plan.Deadline, now) || a.winner == nil && isPast(a.plan.FirstByte, now)
}

func isPast(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (a *Answer) step(e dispatch.Event) {
	effects := a.state.Step(e)
	a.logEvent(e, len(effects) > 0)
	for _, effect := range effects {
		a.execute(effect)
	}
}

func (a *Answer) execute(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Offer:
		a.offer(e)
	case dispatch.Follow:
		a.followKey(e.Key, a.transport.submit)
	case dispatch.FollowAttach:
		a.followKey(e.Key, a.transport.attach)
	case dispatch.Resubmit:
		a.launch(a.attempts[e.Attempt], e.Retry, a.transport.submit)
	case dispatch.Attach:
		a.reattach(e)
	case dispatch.Deliver:
		a.deliver(a.attempts[e.Attempt], e.Resumable)
	case dispatch.Cancel:
		a.drop(a.attempts[e.Attempt])
	case dispatch.Finish:
		a.result = e.Err
	}
}

// Close ends the caller's interest in the answer.
func (a *Answer) Close() {
	a.logEnd()
	if a.shareCounted && a.state != nil { // one that was turned away tells nothing of how long its kind takes
		a.pool.tracker.RecordDuration(a.req.Profile.Name, time.Since(a.started))
	}
	if a.state != nil && !a.state.Finished() { // nil: refused before it was offered
		a.handleCallerGone()
	}
	a.stop()
	for _, at := range a.attempts {
		if !at.busy {
			at.close()
		}
	}
	a.release()
}

// handleCallerGone handles a caller that is gone before its answer is complete. If it may
// come back for the answer, the request goes on: the caller holds the key, or
// has been told the request's id. A write goes on as well, because to break it
// off in the middle helps nobody.
func (a *Answer) handleCallerGone() {
	mayReturn := a.req.Key != nil || a.winner != nil && !a.req.isRead()
	if mayReturn || !a.req.Profile.Idempotent {
		return
	}
	for _, at := range a.attempts {
		active := at.busy || at.stream != nil
		if active && !at.gate.seal() {
			a.transport.cancel(at)
		}
	}
}
