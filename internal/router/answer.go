package router

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Response is a request that is dispatched to upstreams, and the response of one of
// them on its way to the caller. It carries out the effects that package dispatch
// decides on. The goroutine that calls Next owns it; each effect that waits for an
// upstream runs on a goroutine of its own until it has an outcome.
type Response struct {
	router        *Router
	transport     transport
	req           Request
	plan          dispatch.Plan
	pool          *Pool
	poolName      string   // direct upstreams only
	targets       []target // direct upstreams only: the latest choice, best first
	view          *View
	candidates    []topo.VM
	home          string                   // id of the upstream that ranks first
	session       uint64                   // hash of the session; zero: none
	sessionShare  float64                  // lower estimate of the session's fraction of the pool's requests
	shareCounted  bool                     // the request was counted in sessionShare
	isLikelyRetry bool                     // the request is probably the retry of a rejected one
	fingerprint   uint64                   // hash of the content; zero: not known
	prints        []quarantine.Fingerprint // direct upstreams only: of the content and of the shared parts of the prompt
	tried         bool                     // direct upstreams only: it is sent alone to see whether it crashes its upstream
	suspect       bool                     // the request may have crashed an upstream and runs alone
	origin        origin                   // direct upstreams only: where the stream began
	originTold    bool                     // other routers have been told of it
	lostAt        []string                 // direct upstreams only: upstreams at which attempts were lost
	hasPermit     bool                     // the suspect may run alone at a VM other than the crash site
	resumeOffset  int64                    // offset in an earlier response to resume from
	release       func()                   // ends its count against the organisation's concurrency limit

	started         time.Time
	timeToFirstByte time.Duration   // from started to the first piece for the caller; zero: none yet
	bytesSent       int64           // to the caller
	endLogged       bool            // the end of the request is logged
	basis           placement.Basis // direct upstreams only: the values behind the latest choice
	caller          context.Context
	ctx             context.Context // ends at Close
	stop            context.CancelFunc
	state           *dispatch.State
	attempts        []*attempt
	outcomes        chan outcome
	winner          *attempt
	takeover        *attempt            // is to continue the paused response of the winner; nil: none
	framer          *eventstream.Framer // of a response that another upstream may continue
	result          *verdict.Error      // once state is finished; nil: the response is complete
	end             *wire.End           // the last piece; nil: not received yet
}

// outcome is an event of an attempt.
type outcome struct {
	attempt *attempt
	event   dispatch.Event // nil: nothing to decide
	last    bool           // the attempt's goroutine has ended
}

// post passes an outcome to the Response. It returns false if the Response was closed
// or the attempt dropped.
func (resp *Response) post(o outcome) bool {
	select {
	case resp.outcomes <- o:
		return true
	case <-o.attempt.ctx.Done():
		return false
	}
}

// run processes the request until its response starts or it fails for good.
func (resp *Response) run() error {
	resp.step(dispatch.Began{Now: time.Now()})
	for resp.winner == nil && !resp.state.Finished() {
		if err := resp.waitForEvent(); err != nil {
			return err
		}
	}
	if resp.winner == nil {
		return resp.result
	}
	return nil
}

// waitForEvent waits for the next outcome or timer of the request and processes
// it. It returns an error if the caller is gone.
func (resp *Response) waitForEvent() error {
	timer := time.NewTimer(wakeDelay(resp.state.Wake()))
	defer timer.Stop()
	select {
	case o := <-resp.outcomes:
		resp.handleOutcome(o)
	case <-timer.C:
		resp.tick()
	case <-resp.caller.Done():
		return resp.caller.Err()
	}
	return nil
}

// noWakeDelay is the timer's delay where no wake-up is due.
const noWakeDelay = 24 * time.Hour

// wakeDelay returns the time until at, or noWakeDelay if at is zero.
func wakeDelay(at time.Time) time.Duration {
	if at.IsZero() {
		return noWakeDelay
	}
	return time.Until(at)
}

// handleOutcome processes an outcome of an attempt.
func (resp *Response) handleOutcome(o outcome) {
	at := o.attempt
	if o.last {
		at.busy = false
		if at.ctx.Err() != nil {
			at.close() // dropped while it was busy
		}
	}
	if o.event != nil {
		resp.step(o.event)
	}
}

// tick passes the present time to the state. At a deadline it first seals the
// attempts that have not been sent, so that the state can report them as not run.
func (resp *Response) tick() {
	now := time.Now()
	if resp.isOverdue(now) {
		for _, at := range resp.attempts {
			if at.gate.seal() {
				resp.step(dispatch.NotSent{Attempt: at.number})
			}
		}
	}
	resp.step(dispatch.Ticked{Now: now})
}

// isOverdue reports whether the deadline, or that of the first byte, has passed.
func (resp *Response) isOverdue(now time.Time) bool {
	return isPast(resp.plan.Deadline, now) || resp.winner == nil && isPast(resp.plan.FirstByte, now)
}

// isPast reports whether a deadline has passed. A zero deadline never passes.
func isPast(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

// step passes an event to the state and carries out the effects.
func (resp *Response) step(e dispatch.Event) {
	if lost, ok := e.(dispatch.ConnectionLost); ok && resp.plan.Direct {
		resp.lostAt = append(resp.lostAt, resp.attempts[lost.Attempt].vm.ID)
	}
	effects := resp.state.Step(e)
	resp.logEvent(e, len(effects) > 0)
	for _, effect := range effects {
		resp.execute(effect)
	}
}

// execute carries out an effect.
func (resp *Response) execute(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Offer:
		resp.offer(e)
	case dispatch.Follow:
		resp.followKey(e.Key, resp.transport.submit)
	case dispatch.FollowAttach:
		resp.followKey(e.Key, resp.transport.attach)
	case dispatch.Resubmit:
		resp.launch(resp.attempts[e.Attempt], e.Retry, resp.transport.submit)
	case dispatch.Attach:
		resp.reattach(e)
	case dispatch.Deliver:
		resp.deliver(resp.attempts[e.Attempt], e.Resumable)
	case dispatch.Cancel:
		resp.drop(resp.attempts[e.Attempt])
	case dispatch.Finish:
		resp.result = e.Err
	}
}

// Close releases the response and its attempts. If the response is incomplete, the
// request is cancelled unless it may go on without its caller.
func (resp *Response) Close() {
	resp.logEnd()
	if resp.shareCounted && resp.state != nil { // the duration of a rejected request says nothing about others of its profile
		resp.pool.tracker.RecordDuration(resp.req.Profile.Name, time.Since(resp.started))
	}
	if resp.state != nil && !resp.state.Finished() { // nil: rejected before it was offered to an upstream
		resp.handleCallerGone()
	}
	resp.req.Call.Body = nil
	resp.stop()
	for _, at := range resp.attempts {
		if !at.busy {
			at.close()
		}
	}
	resp.release()
}

// handleCallerGone cancels the request of a caller that left before its response
// was complete. The request goes on if the caller may come back for the response,
// because it holds the key or has received the request's id. A write goes on as
// well: an interrupted write is of no use to anybody.
func (resp *Response) handleCallerGone() {
	mayReturn := resp.req.Key != nil || resp.winner != nil && !resp.req.isRead()
	if mayReturn || !resp.req.Profile.Idempotent {
		return
	}
	for _, at := range resp.attempts {
		active := at.busy || at.stream != nil
		if active && !at.gate.seal() {
			resp.transport.cancel(at)
		}
	}
}
