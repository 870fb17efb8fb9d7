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
	// maxIsolationLane is how many suspects may wait to run alone.
	maxIsolationLane = 8
	// deliveryMargin is how long an answer takes to reach the router at most.
	deliveryMargin = 50 * time.Millisecond
)

// rejection is why a request is not admitted.
type rejection struct {
	err      *verdict.Error
	leave    bool            // it may run alone at its successor's VM
	suspects json.RawMessage // for the router, so that it knows where else to ask
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

// admit decides on an attempt: what is known of its key goes first.
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
		adm := wire.Admission{Error: rejected.err, Moved: a.Successor, HasPermit: rejected.leave}
		adm.Control.Suspects = rejected.suspects
		return s.reply(e.Now, e.Ticket, adm)
	}
	s.table.Admit(a)
	s.addRequest(e.Now, e.Submit, isolated)
	return []Effect{Open{Nonce: e.Submit.Key.Nonce, Org: e.Submit.Org}, s.admittedReply(e.Now, e.Ticket)}
}

// admittedReply is the reply to a request that has been admittedReply. It tells the load
// that the request found: requests come more often to where many are already,
// and with each of them counted in its own report the pool's mean would come out
// too high. Samples of others come with the end of the answer.
func (s *State) admittedReply(now time.Time, t Ticket) Effect {
	c := s.control(now)
	c.Load--
	c.Samples = nil
	return Reply{Ticket: t, Admission: wire.Admission{Control: c}}
}

// admissionOf turns what the table knows of a key into a reply.
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

// tryAdmit admits a request to the queue, or to the lane of those that run
// alone, or says why not.
func (s *State) tryAdmit(now time.Time, sub *wire.Submit) (isolated bool, rejected *rejection) {
	// The quarantine first: whoever refuses a suspect for another reason sends it
	// on to a sidecar that may not have heard of it.
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
	bound := s.loadBound(now, sub.Treatment.LoadMultiple)
	if !isolated {
		if err := s.queue.Offer(now, s.admissionRequest(now, sub, bound)); err != nil {
			return false, &rejection{err: err}
		}
		return false, nil
	}
	if len(s.lane) >= maxIsolationLane || s.load() >= bound {
		return false, reject(verdict.ReasonSuspect, "too many suspects wait to run alone").withRetryAfter(quarantine.RetryAfter)
	}
	s.quarantine.Grant(quarantine.Fingerprint(sub.Fingerprint), s.grantExpiry(now, sub))
	return true, nil
}

// applyQuarantine applies the quarantine. A suspect whose upstream is down may run alone
// elsewhere, at one place at a time.
func (s *State) applyQuarantine(now time.Time, sub *wire.Submit) (isolated bool, rejected *rejection) {
	if sub.Fingerprint == 0 {
		return false, nil
	}
	p := quarantine.Fingerprint(sub.Fingerprint)
	switch r := s.quarantine.Decide(now, p, sub.HasPermit); r.Action {
	case quarantine.Refuse:
		return false, reject(verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", r.Crashes)
	case quarantine.Wait:
		return false, reject(verdict.ReasonSuspect, "a copy of this request is running alone").withRetryAfter(quarantine.RetryAfter)
	case quarantine.Redirect:
		rejected := reject(verdict.ReasonSuspect, "the request may run alone at %s only", r.VM).withRetryAfter(quarantine.RetryAfter)
		rejected.suspects = s.quarantine.EvidenceFor(now, p)
		return false, rejected
	case quarantine.RunAlone:
		if s.mayDelegate(now, sub) {
			rejected := reject(verdict.ReasonMoved, "the request may run alone at %s", sub.Successor.VM)
			rejected.leave = true
			return false, rejected
		}
		return true, nil
	default:
		return false, nil
	}
}

func (s *State) grantExpiry(now time.Time, sub *wire.Submit) time.Time {
	if d := sub.Treatment.Deadline; d > 0 {
		return now.Add(d)
	}
	return now.Add(quarantine.SuspectTTL)
}

// loadBound is the load that the upstream may have, by the loads of its pool.
func (s *State) loadBound(now time.Time, multiple float64) int {
	s.observeOwnLoad(now)
	mean, known := s.loads.Mean(now)
	return load.Bound(mean, known, multiple, s.settings.Weight)
}

// admissionRequest is a request as admission sees it. The bound leaves out the lane,
// which admission does not count.
func (s *State) admissionRequest(now time.Time, sub *wire.Submit, bound int) admission.Request {
	t := &sub.Treatment
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

// mayDelegate reports whether a suspect goes on to its successor's VM to run alone
// there: because the upstream is down or leaves, to one VM at a time. The site
// of the crash keeps other copies waiting meanwhile; where it was sent from
// there, it is only passed on.
func (s *State) mayDelegate(now time.Time, sub *wire.Submit) bool {
	if sub.Successor == nil || !s.probe.down && !s.draining(now) {
		return false
	}
	if sub.HasPermit {
		return true
	}
	if s.quarantine.HasGrant(now) {
		return false
	}
	s.quarantine.Grant(quarantine.Fingerprint(sub.Fingerprint), s.grantExpiry(now, sub))
	s.delegated = wire.Permit{Fingerprint: sub.Fingerprint, Nonce: sub.Key.Nonce}
	return true
}

// deadlineAfter is the time d from now; zero d is no deadline.
func deadlineAfter(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// startTimeout is by when a request must start that has d left. The router counts the
// same time from a moment before, and when it is over can only say that the
// request may have run; the word that it has not must reach it first.
func startTimeout(d time.Duration) time.Duration {
	return d - min(deliveryMargin, d/10)
}

// addRequest begins the books on an admitted request. Until a router reads its
// answer it counts as unread, since the one that sent it may be gone.
func (s *State) addRequest(now time.Time, sub wire.Submit, isolated bool) {
	adm := s.admissionRequest(now, &sub, 0)
	s.admittedCount++
	r := &request{
		submit:      sub,
		seq:         s.admittedCount,
		isolated:    isolated,
		expires:     adm.Expires(),
		deadline:    deadlineAfter(now, sub.Treatment.Deadline),
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

// handleCancel ends a request for good. A key that has not been seen is refused,
// because the request itself may still be on its way.
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

// abort ends a request that waits, or has the call of one that runs cut off.
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
