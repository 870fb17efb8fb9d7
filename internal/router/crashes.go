package router

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	observedCrashes = telemetry.NewFamily[crashEvidence]("router_upstream_crashes_total", "evidence",
		"Upstreams without a sidecar that have crashed under requests of this router, by what shows it.")
	lostAttempts = telemetry.NewCounter("router_lost_attempts_total",
		"Attempts at upstreams without a sidecar whose connection broke after they were sent.")
	leftAtCrashes = telemetry.NewCounter("router_left_at_crashes_total",
		"Attempts that nobody awaited any more, and that an upstream without a sidecar may have been running when it crashed.")
	heldCopies = telemetry.NewCounter("router_held_copies_total",
		"Requests that were turned away for a moment because copies of them are at upstreams that are not heard of any more.")
	retractedCrashes = telemetry.NewCounter("router_retracted_crashes_total",
		"Upstreams without a sidecar that were found to have crashed, and answered again.")
	retractingSigns = telemetry.NewFamily[sign]("router_retracting_signs_total", "sign",
		"Upstreams without a sidecar that were found to have crashed, by what they have sent that shows they have not.")
	refusedParts = telemetry.NewCounter("router_refused_parts_total",
		"Requests answered at once because upstreams have crashed under others with a part of their prompts.", telemetry.Alert)
	triedRequests = telemetry.NewCounter("router_tried_requests_total",
		"Requests that were sent alone although as many upstreams have crashed under them as convict, since other requests may be the cause.")
	crashNewsDelay = telemetry.NewHistogram("router_crash_news_seconds",
		"Time from a crash of an upstream without a sidecar, or from the begin of a restriction, to when this router was told of it, if that changed a decision on a request.")
	suspectRefusals = telemetry.NewCounter("router_suspect_refusals_total",
		"Requests that were turned away for a moment because a copy of them that may crash its upstream was under way.")
)

// crashEvidence is what shows that an upstream has crashed.
type crashEvidence string

const (
	crashRefused  crashEvidence = "refused"  // connections to it are refused after requests were lost
	crashReplaced crashEvidence = "replaced" // another incarnation is in its place
	crashGone     crashEvidence = "gone"     // its entry has ended, though it had not said that it leaves
)

// sign is what has arrived of an upstream, and shows that it lives.
type sign string

const (
	signAnswer     sign = "answer"    // the head of an answer
	signRejection  sign = "rejection" // a rejection of a request that was not run
	signPiece      sign = "piece"     // a piece of the body of an answer
	signLateAnswer sign = "late"      // an answer that no attempt waits for
)

// applyObservedCrashes returns an error if the request, or others with a part of its prompt, have crashed so many
// upstreams that it is refused, if such requests are at as many of which nothing is heard any more, or if it is
// suspected and another one is under way, or another router is to try it. Suspected requests that run one by
// one cost one upstream until they are convicted or cleared, and not one each.
func (resp *Response) applyObservedCrashes() *verdict.Error {
	resp.prints = resp.req.directFingerprints(resp.poolName)
	j := resp.judge()
	now := time.Now()
	part := resp.req.partOf(j.Fingerprint, resp.prints)
	if part != "" && j.Action != quarantine.Allow {
		resp.router.suspects.NamePart(j.Fingerprint, part)
	}
	switch {
	case j.Action == quarantine.Refuse:
		quarantinedRequests.Inc()
		return refusedForCrashes(j, part).WithRetryAfter(j.Until.Sub(now))
	case j.IsHeld:
		heldCopies.Inc()
		err := verdict.New(verdict.NotRun, verdict.ReasonSuspect, "copies of this request, or requests with a part of its prompt, are at %d upstreams that have not been heard of since", len(j.Silent))
		return err.WithRetryAfter(quarantine.RetryAfter)
	case j.Action != quarantine.Allow:
		if err := resp.runAlone(now, j, part); err != nil {
			return err
		}
	}
	resp.logSuspectSent(j)
	return nil
}

// refusedForCrashes returns the error of a request that is refused for what it, or others with a part of its
// prompt, have crashed.
func refusedForCrashes(j suspects.Judgement, part string) *verdict.Error {
	if part == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", j.Crashes+j.Explained)
	}
	refusedParts.Inc()
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d upstreams crashed while they ran requests with part %s of their prompts", j.Crashes+j.Explained, part)
}

// runAlone returns an error unless the request, which is suspected, may be sent by itself now.
func (resp *Response) runAlone(now time.Time, j suspects.Judgement, part string) *verdict.Error {
	end, ok := resp.router.suspects.TryRunAlone(now, j.ObservedDecision)
	if !ok {
		suspectRefusals.Inc()
		err := verdict.New(verdict.NotRun, verdict.ReasonSuspect, "upstreams crashed while they ran this request, or others with part %q of its prompt, and one is to be tried first", part)
		return err.WithRetryAfter(quarantine.RetryAfter)
	}
	if j.Action == quarantine.Try {
		triedRequests.Inc()
	}
	resp.suspect, resp.tried, resp.release = true, true, end
	return nil
}

const (
	// maxCheckWait bounds how long a request that would be held waits for the checks of the upstreams
	// that have its copies. Those that live accept a connection within a few milliseconds.
	maxCheckWait = 50 * time.Millisecond
	// checkWaitStep is the pause between two looks at what the checks have found.
	checkWaitStep = 5 * time.Millisecond
)

// newsWaitStep is the pause between two looks at whether news of other routers has come.
const newsWaitStep = 50 * time.Millisecond

// judge returns how the request may be sent. If it would be held since upstreams with copies are not heard of, it
// waits for the checks that are under way, and if a part of its prompt would be tried, for news of it.
func (resp *Response) judge() suspects.Judgement {
	j := resp.router.suspects.Judge(time.Now(), resp.prints)
	judgeWhile := func(isOpen func() bool, step, most time.Duration) {
		for waited := time.Duration(0); isOpen() && waited < most; waited += step {
			sleep(resp.ctx, step)
			j = resp.router.suspects.Judge(time.Now(), resp.prints)
		}
	}
	judgeWhile(func() bool { return j.IsHeld }, checkWaitStep, maxCheckWait)
	judgeWhile(func() bool { return j.AwaitsNews(time.Now()) }, newsWaitStep, suspects.NewsDelay)
	return j
}

// mayRunAgain reports whether the request may have another attempt.
func (resp *Response) mayRunAgain() bool {
	return resp.router.suspects.MayRunAgain(time.Now(), resp.prints, resp.lostAt)
}

// separate returns the first of the targets that runs no other request which was lost at a crash
// before: of two that run at one upstream when it crashes, it is not known which one has done it. If
// there is none, it returns the first target, unless the request is a suspect.
func (resp *Response) separate(targets []target) (target, bool) {
	if len(targets) == 0 {
		return target{}, false
	}
	now := time.Now()
	s := resp.router.suspects
	d := s.DecideObserved(now, resp.prints)
	if d.SuspectedCrashes() == 0 {
		return targets[0], true
	}
	if d.Action == quarantine.Try {
		mayTryAt := s.MayTryAt(now, resp.prints)
		targets = slices.DeleteFunc(slices.Clone(targets), func(t target) bool { return !mayTryAt(t.vm.ID) })
	}
	hasOtherSuspect := s.HasOtherSuspect(now, resp.prints)
	i := slices.IndexFunc(targets, func(t target) bool { return !hasOtherSuspect(t.vm.ID) })
	switch {
	case i >= 0:
		return targets[i], true
	case resp.suspect || len(targets) == 0:
		return target{}, false
	}
	return targets[0], true
}

// recordLost records that the connection of an attempt at an upstream without a sidecar broke after the
// request was sent, and finds out whether the upstream has crashed.
func (r *Router) recordLost(at *attempt) {
	lostAttempts.Inc()
	if sent := at.sent.Load(); sent != nil && !r.suspects.Lost(time.Now(), sent) {
		go r.checkCrash(at.vm)
	}
}

// recordLeft records that nobody awaits the answer to an attempt any more. It does nothing if the
// attempt was not sent or has ended. If copies are about to be held, since upstreams are not heard of, it
// finds out whether these accept connections: they may have nothing else to do.
func (r *Router) recordLeft(at *attempt) {
	sent := at.sent.Load()
	if sent == nil {
		return
	}
	now := time.Now()
	if at.caller.Err() != nil {
		r.suspects.Left(now, sent)
	} else {
		r.suspects.GivenUp(now, sent)
	}
	for _, id := range r.suspects.AboutToHold(now, sent.Fingerprints()) {
		if vm, listed := r.View().VMs[id]; listed {
			go r.checkAccepts(vm)
		}
	}
}

// checkAccepts finds out whether an upstream accepts connections.
func (r *Router) checkAccepts(vm topo.VM) {
	ctx, cancel := context.WithTimeout(r.ctx, crashCheckTimeout)
	defer cancel()
	switch r.config.Direct.CheckAnew(ctx, vm) {
	case exchange.Accepts:
		r.suspects.Accepted(time.Now(), vm.ID)
	case exchange.Refuses:
		r.recordCrash(vm, crashRefused)
	}
}

// promptClose is how soon after a call was left an upstream closes its connection that drops the request.
const promptClose = 100 * time.Millisecond

// handleLeftEnd handles the end of an attempt after it was left. An upstream that ends closes its
// connections as one does that drops a request, only mostly later.
func (r *Router) handleLeftEnd(at *attempt, end exchange.LeftEnd) {
	sent := at.sent.Load()
	if sent == nil {
		return
	}
	r.recordLeft(at) // its context may end at this moment
	switch end {
	case exchange.LeftAnswered:
		r.suspects.Answered(time.Now(), sent)
		return
	case exchange.LeftRejected:
		r.suspects.Rejected(sent)
		return
	}
	leftFor := r.suspects.Closed(time.Now(), sent)
	if end == exchange.LeftReset || leftFor > promptClose {
		go func() {
			if r.checkCrash(at.vm) == exchange.Accepts {
				r.suspects.Outlived(time.Now(), sent)
			}
		}()
	}
}

// checkEnded finds out whether an upstream to which no connection could be opened has crashed, if
// requests were lost or left there.
func (r *Router) checkEnded(vm topo.VM) {
	if r.suspects.HasEnded(vm.ID) {
		go r.checkCrash(vm)
	}
}

// recordSign records that something of an upstream has arrived.
func (r *Router) recordSign(vm topo.VM, s sign) {
	r.countRetracted(vm, s, r.suspects.Sign(time.Now(), vm.ID))
}

// recordResponded records that the response to an attempt has begun. It is a sign of life only if it is known
// to come from the upstream that was called.
func (r *Router) recordResponded(at *attempt, signal exchange.Signal) {
	if sent := at.sent.Load(); sent != nil && signal.Proven {
		r.countRetracted(at.vm, responseSign(signal), r.suspects.Responded(time.Now(), sent))
	}
}

func (r *Router) countRetracted(vm topo.VM, s sign, retracted bool) {
	if !retracted {
		return
	}
	retractedCrashes.Inc()
	retractingSigns.Inc(s)
	slog.Warn("upstream has not crashed: it answers", "upstream", vm.ID, "addr", vm.Addr, "pool", vm.Pool, "sign", string(s))
}

// responseSign returns what the head of a response shows of its upstream.
func responseSign(signal exchange.Signal) sign {
	if signal.NotRun {
		return signRejection
	}
	return signAnswer
}

// recordAnswered records that the answer to an attempt has arrived, or as much of it as shows that the
// request did not crash its upstream.
func (r *Router) recordAnswered(at *attempt) {
	if sent := at.sent.Load(); sent != nil {
		r.suspects.Answered(time.Now(), sent)
	}
}

// recordPartsServed records that an upstream has written on the parts of the prompt of a request.
func (r *Router) recordPartsServed(at *attempt) {
	if sent := at.sent.Load(); sent != nil {
		r.suspects.PartsServed(time.Now(), sent)
	}
}

// recordRejected records that an attempt was rejected and has not run.
func (r *Router) recordRejected(at *attempt) {
	if sent := at.sent.Load(); sent != nil {
		r.suspects.Rejected(sent)
	}
}

// recordReplaced records that another upstream has the address of one whose entry is still in the store, or
// was written again by a late heartbeat. Until it is removed, each further request for it would be refused.
func (r *Router) recordReplaced(vm topo.VM) {
	r.markUnreachable(vm.ID)
	r.recordCrash(vm, crashReplaced)
}

// checkCrash records a crash if an upstream refuses connections, and returns what it has found. An
// upstream that only loses answers still accepts them. It checks twice: while a process ends, its other
// connections may still be open.
func (r *Router) checkCrash(vm topo.VM) exchange.Reachability {
	ctx, cancel := context.WithTimeout(r.ctx, crashCheckTimeout)
	defer cancel()
	found := r.config.Direct.Check(ctx, vm)
	if found != exchange.Refuses {
		sleep(ctx, crashCheckPause)
		found = r.config.Direct.Check(ctx, vm)
	}
	if found == exchange.Refuses {
		r.recordCrash(vm, crashRefused)
	}
	return found
}

const (
	// crashCheckTimeout bounds the checks whether an upstream accepts connections.
	crashCheckTimeout = time.Second
	// crashCheckPause is the pause between the two checks.
	crashCheckPause = 50 * time.Millisecond
)

// recordCrash records that an upstream has crashed if this router has lost or left requests at it.
func (r *Router) recordCrash(vm topo.VM, evidence crashEvidence) {
	counts := r.suspects.Crashed(time.Now(), vm.ID)
	leftAtCrashes.Add(int64(counts.Left))
	if counts.Lost == 0 && counts.Left == 0 {
		return
	}
	observedCrashes.Inc(evidence)
	slog.Warn("upstream has crashed while it ran requests", "upstream", vm.ID, "addr", vm.Addr, "pool", vm.Pool,
		"evidence", string(evidence), "lost", counts.Lost, "left", counts.Left, "recorded", counts.Recorded, "part_crashes", counts.PartCrashes)
	r.applyDecisionChanges()
}

// applyDecisionChanges logs the changes of decisions on requests that may crash upstreams, and stores those that are to
// outlive the routers.
func (r *Router) applyDecisionChanges() {
	r.storeRestrictions()
	for _, c := range r.suspects.TakeDecisionChanges() {
		if c.Told {
			crashNewsDelay.Observe(c.Delay)
		}
		slog.Warn("the decision on a request that may crash upstreams has changed", "fingerprint", c.Fingerprint.String(),
			"from", c.From.String(), "to", c.To.String(), "crashes", c.Crashes, "explained", c.Explained, "failed_trials", c.FailedTrials,
			"told", c.Told, "delay_ms", c.Delay.Milliseconds())
	}
}

// logSuspectSent logs that a request is sent which was lost at crashes, and what is known of these.
func (resp *Response) logSuspectSent(j suspects.Judgement) {
	if j.Crashes+j.Explained == 0 {
		return
	}
	slog.Info("request that may crash upstreams is sent", "request", resp.req.ID, "fingerprint", j.Fingerprint.String(),
		"action", j.Action.String(), "crashes", j.Crashes, "explained", j.Explained)
}

// onMembersLeft records the crashes of upstreams whose entries have ended though they had not said that
// they leave, in their entries or in answers. Such an upstream still counts as leaving for a while.
func (r *Router) onMembersLeft(e MembershipChanged) {
	for _, c := range e.Changes {
		unannounced := c.State == topo.VMLeaving && c.VM.Lapsed || c.State == topo.VMLeft && !c.VM.Leaving
		if unannounced && c.VM.Role == topo.RoleDirect && !r.conditions.IsLeaving(c.VM.ID) {
			r.recordCrash(c.VM, crashGone)
		}
	}
}

// onMembersSuperseded records the crashes of upstreams at whose addresses others have started, though they had
// not said that they leave.
func (r *Router) onMembersSuperseded(e MembershipChanged) {
	for _, vm := range e.Superseded {
		if vm.Role == topo.RoleDirect && !vm.Leaving && !r.conditions.IsLeaving(vm.ID) {
			r.recordReplaced(vm)
		}
	}
}
