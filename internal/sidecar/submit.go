package sidecar

import (
	"encoding/json"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/idempotency"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// maxIsolationLane limits the suspects that wait to run alone.
	maxIsolationLane = 8
	// deliveryMargin is the time allowed for a rejection to reach the router.
	deliveryMargin = 50 * time.Millisecond
)

// rejection is the reason why a request is not admitted.
type rejection struct {
	err       *verdict.Error
	hasPermit bool            // the request may run alone at its successor's VM
	suspects  json.RawMessage // evidence on the request, which names the VM where it may run alone
}

func reject(r verdict.Reason, format string, args ...any) *rejection {
	return &rejection{err: verdict.New(verdict.NotRun, r, format, args...)}
}

func (r *rejection) withRetryAfter(d time.Duration) *rejection {
	r.err = r.err.WithRetryAfter(d)
	return r
}

func (s *State) handleSubmit(e Submitted) []Effect {
	return append(s.mergeControl(e.Now, e.Peer, e.Submit.Control), s.admit(e)...)
}

// admit decides on an attempt. If its key is known, the attempt gets the stored
// outcome.
func (s *State) admit(e Submitted) []Effect {
	a := idempotency.Attempt{
		Key:         e.Submit.Key,
		Org:         e.Submit.Org,
		Fingerprint: e.Submit.Fingerprint,
		Successor:   e.Submit.Successor,
	}
	f := s.table.Lookup(e.Now, a)
	if f.Outcome != idempotency.Unseen {
		return s.reply(e.Now, e.Ticket, admissionOf(f))
	}
	isolated, rejected := s.tryAdmit(e.Now, &e.Submit)
	if rejected != nil {
		s.table.Reject(a, rejected.err.Reason)
		adm := wire.Admission{Error: rejected.err, Moved: a.Successor, HasPermit: rejected.hasPermit}
		adm.Control.Suspects = rejected.suspects
		return s.reply(e.Now, e.Ticket, adm)
	}
	s.table.Admit(a)
	s.addRequest(e.Now, e.Submit, isolated)
	return []Effect{Open{Nonce: e.Submit.Key.Nonce, Org: e.Submit.Org}, s.admittedReply(e.Now, e.Ticket)}
}

// admittedReply returns the reply to an admitted request. It reports the load without
// this request. Otherwise the estimated mean of the pool would be too high, because
// upstreams that receive more requests also send more reports, and each of these would
// include its own request. Load samples of other upstreams are sent with the end of
// the response.
func (s *State) admittedReply(now time.Time, t Ticket) Effect {
	c := s.control(now)
	c.Load--
	c.Samples = nil
	return Reply{Ticket: t, Admission: wire.Admission{Control: c}}
}

// admissionOf converts a result of the key table into a reply.
func admissionOf(f idempotency.Result) wire.Admission {
	switch f.Outcome {
	case idempotency.Live, idempotency.Done:
		return wire.Admission{Joined: true}
	case idempotency.Unseen:
		return wire.Admission{Error: verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest, "no such request here")}
	default:
		return wire.Admission{Error: f.Err, Moved: f.Successor}
	}
}

// tryAdmit adds a request to the queue, or decides that it is to run in the
// isolation lane, or returns the reason for its rejection.
func (s *State) tryAdmit(now time.Time, sub *wire.Submit) (isolated bool, rejected *rejection) {
	// The quarantine is applied first: if a suspect were rejected for another reason,
	// the router would send it to a sidecar that may have no evidence against it.
	isolated, rejected = s.applyQuarantine(now, sub)
	if rejected != nil {
		return false, rejected
	}
	if s.draining(now) {
		return false, reject(verdict.ReasonDraining, "the upstream is leaving")
	}
	if s.probe.down {
		return false, reject(verdict.ReasonUpstreamDown, "the upstream is down").withRetryAfter(probeIntervalDown)
	}
	bound := s.loadBound(now, sub.Policy.LoadMultiple)
	if !isolated {
		if err := s.queue.Offer(now, s.admissionRequest(now, sub, bound)); err != nil {
			return false, &rejection{err: err}
		}
		return false, nil
	}
	if len(s.lane) >= maxIsolationLane || s.load() >= bound {
		return false, reject(verdict.ReasonSuspect, "too many suspects wait to run alone").withRetryAfter(quarantine.RetryAfter)
	}
	s.quarantine.Grant(quarantine.Fingerprint(sub.Fingerprint), s.permitExpiry(now, sub))
	return true, nil
}

// applyQuarantine returns whether a request must run alone, or a rejection. If it must
// run alone but cannot do so here, the rejection may permit it to run alone at another
// VM; see tryDelegate.
func (s *State) applyQuarantine(now time.Time, sub *wire.Submit) (isolated bool, rejected *rejection) {
	if sub.Fingerprint == 0 {
		return false, nil
	}
	fp := quarantine.Fingerprint(sub.Fingerprint)
	switch ruling := s.quarantine.Decide(now, fp, sub.HasPermit); ruling.Action {
	case quarantine.Refuse:
		return false, reject(verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", ruling.Crashes)
	case quarantine.Wait:
		return false, reject(verdict.ReasonSuspect, "a copy of this request is running alone").withRetryAfter(quarantine.RetryAfter)
	case quarantine.Redirect:
		rej := reject(verdict.ReasonSuspect, "the request may run alone at %s only", ruling.VM).withRetryAfter(quarantine.RetryAfter)
		rej.suspects = s.quarantine.EvidenceFor(now, fp)
		return false, rej
	case quarantine.RunAlone:
		if s.tryDelegate(now, sub) {
			rej := reject(verdict.ReasonMoved, "the request may run alone at %s", sub.Successor.VM)
			rej.hasPermit = true
			return false, rej
		}
		return true, nil
	default:
		return false, nil
	}
}

// permitExpiry returns when a suspect's permit to run alone expires.
func (s *State) permitExpiry(now time.Time, sub *wire.Submit) time.Time {
	if d := sub.Policy.Deadline; d > 0 {
		return now.Add(d)
	}
	return now.Add(quarantine.SuspectTTL)
}

// loadBound returns the maximum load of the upstream, from the mean load of its
// pool.
func (s *State) loadBound(now time.Time, multiple float64) int {
	s.observeOwnLoad(now)
	mean, known := s.loads.Mean(now)
	return load.Bound(mean, known, multiple, s.settings.Weight)
}

// admissionRequest converts a submission for the admission queue. The queue does
// not count the isolation lane, so the lane is subtracted from the bound.
func (s *State) admissionRequest(now time.Time, sub *wire.Submit, bound int) admission.Request {
	t := &sub.Policy
	return admission.Request{
		ID:            sub.Key.Nonce,
		Org:           sub.Org,
		Profile:       t.Profile,
		Priority:      t.Priority,
		Size:          len(sub.Call.Body),
		Weight:        t.OrgWeight,
		FirstByteBy:   deadlineAfter(now, startTimeout(t.FirstByte)),
		Deadline:      deadlineAfter(now, startTimeout(t.Deadline)),
		LoadBound:     bound - len(s.lane),
		QueueBound:    t.QueueBound,
		OrgQueueBound: t.OrgQueueBound,
	}
}

// tryDelegate permits a suspect to run alone at its successor's VM if the upstream
// here is down or draining, and returns whether it does. The sidecar whose upstream
// crashed issues the permit. It delegates suspects to one VM at a time and rejects
// other copies of the suspect until the permit has expired or is revoked. If the
// suspect arrived here with a permit, that permit stays valid for the successor's VM
// and no new one is issued.
func (s *State) tryDelegate(now time.Time, sub *wire.Submit) bool {
	if sub.Successor == nil || !s.probe.down && !s.draining(now) {
		return false
	}
	if sub.HasPermit {
		return true
	}
	if s.quarantine.HasGrant(now) {
		return false
	}
	s.quarantine.Grant(quarantine.Fingerprint(sub.Fingerprint), s.permitExpiry(now, sub))
	s.delegatedPermit = wire.Permit{Fingerprint: sub.Fingerprint, Nonce: sub.Key.Nonce}
	return true
}

// deadlineAfter returns the time d after now, or the zero time, which is no
// deadline, if d is not positive.
func deadlineAfter(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// startTimeout returns how long a request with the timeout d may wait for its start:
// d less deliveryMargin, or less a tenth of d if that is shorter. The router started
// the same timeout earlier. If the reply that the request has not run arrives after
// the router's timeout, the router has already replied that it may have run.
func startTimeout(d time.Duration) time.Duration {
	return d - min(deliveryMargin, d/10)
}

// addRequest adds an admitted request. It counts as unread until a router reads
// its response, since the router that sent it may have failed.
func (s *State) addRequest(now time.Time, sub wire.Submit, isolated bool) {
	adm := s.admissionRequest(now, &sub, 0)
	s.admittedCount++
	r := &request{
		submit:      sub,
		seq:         s.admittedCount,
		isolated:    isolated,
		expires:     adm.Expires(),
		deadline:    deadlineAfter(now, sub.Policy.Deadline),
		unreadSince: now,
	}
	s.requests[r.nonce()] = r
	s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
	if !r.expires.IsZero() {
		s.timers.add(r.expires, r.nonce())
	}
	if isolated {
		s.lane = append(s.lane, r)
	}
}

func (s *State) handleAttach(e Attached) []Effect {
	f := s.table.Lookup(e.Now, idempotency.Attempt{Key: e.Attach.Key, Org: e.Attach.Org})
	return s.reply(e.Now, e.Ticket, admissionOf(f))
}

// handleCancel cancels a request. An unknown key is recorded as rejected, because
// the request itself may still arrive.
func (s *State) handleCancel(e Cancelled) []Effect {
	a := idempotency.Attempt{Key: e.Cancel.Key, Org: e.Cancel.Org}
	f := s.table.Lookup(e.Now, a)
	var effects []Effect
	switch f.Outcome {
	case idempotency.Unseen:
		s.table.Reject(a, verdict.ReasonCancelled)
		return s.reply(e.Now, e.Ticket, wire.Admission{})
	case idempotency.Live:
		s.requests[a.Key.Nonce].cancelled = true
		effects = s.abort(e.Now, s.requests[a.Key.Nonce])
	}
	adm := admissionOf(f)
	return append(effects, s.reply(e.Now, e.Ticket, adm)...)
}

// abort withdraws a queued request, or aborts the call of one that has started.
func (s *State) abort(now time.Time, r *request) []Effect {
	if r.phase == queued {
		err := verdict.New(verdict.NotRun, verdict.ReasonCancelled, "cancelled before it ran")
		return s.withdraw(now, r, err)
	}
	return []Effect{Abort{Nonce: r.nonce()}}
}

func (s *State) handleStatus(e StatusRequested) []Effect {
	f := s.table.Lookup(e.Now, idempotency.Attempt{Key: e.Status.Key, Org: e.Status.Org})
	out := ReplyStatus{Ticket: e.Ticket, Nonce: e.Status.Key.Nonce}
	switch f.Outcome {
	case idempotency.Live:
		out.Status = s.statusOf(s.requests[e.Status.Key.Nonce])
	case idempotency.Done:
		out.Status = wire.Status{State: wire.StateDone, Verdict: f.Verdict}
	default:
		out.Error = admissionOf(f).Error
	}
	return []Effect{out}
}

func (s *State) statusOf(r *request) wire.Status {
	if r.phase == queued {
		return wire.Status{State: wire.StateQueued}
	}
	return wire.Status{State: wire.StateRunning}
}
