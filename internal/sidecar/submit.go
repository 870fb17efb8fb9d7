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
	// maxLane is how many suspects may wait to run alone.
	maxLane = 8
	// answerMargin is how long an answer takes to reach the router at most.
	answerMargin = 50 * time.Millisecond
)

// refusal is why a request is not admitted.
type refusal struct {
	err      *verdict.Error
	leave    bool            // it may run alone at its successor's VM
	suspects json.RawMessage // for the router, so that it knows where else to ask
}

func refuse(r verdict.Reason, format string, args ...any) *refusal {
	return &refusal{err: verdict.New(verdict.NotRun, r, format, args...)}
}

func (r *refusal) later(d time.Duration) *refusal {
	r.err = r.err.WithRetryAfter(d)
	return r
}

func (s *State) submitted(e Submitted) []Effect {
	return append(s.hear(e.Now, e.Peer, e.Submit.Control), s.decide(e)...)
}

// decide decides on an attempt: what is known of its key goes first.
func (s *State) decide(e Submitted) []Effect {
	a := idempotency.Attempt{
		Key:         e.Submit.Key,
		Org:         e.Submit.Org,
		Fingerprint: e.Submit.Fingerprint,
		Successor:   e.Submit.Successor,
	}
	f := s.table.Lookup(e.Now, a)
	if f.Outcome != idempotency.Unseen {
		return s.reply(e.Now, e.Ticket, found(f))
	}
	alone, no := s.consider(e.Now, &e.Submit)
	if no != nil {
		s.table.Reject(a, no.err.Reason)
		adm := wire.Admission{Error: no.err, Moved: a.Successor, HasPermit: no.leave}
		adm.Control.Suspects = no.suspects
		return s.reply(e.Now, e.Ticket, adm)
	}
	s.table.Admit(a)
	s.enter(e.Now, e.Submit, alone)
	return []Effect{Open{Nonce: e.Submit.Key.Nonce, Org: e.Submit.Org}, s.admitted(e.Now, e.Ticket)}
}

// admitted is the reply to a request that has been admitted. It tells the load
// that the request found: requests come more often to where many are already,
// and with each of them counted in its own report the pool's mean would come out
// too high. Samples of others come with the end of the answer.
func (s *State) admitted(now time.Time, t Ticket) Effect {
	c := s.control(now)
	c.Load--
	c.Samples = nil
	return Reply{Ticket: t, Admission: wire.Admission{Control: c}}
}

// found turns what the table knows of a key into a reply.
func found(f idempotency.Result) wire.Admission {
	switch f.Outcome {
	case idempotency.Live, idempotency.Done:
		return wire.Admission{Joined: true}
	case idempotency.Unseen:
		return wire.Admission{Error: verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest, "no such request here")}
	default:
		return wire.Admission{Error: f.Err, Moved: f.Successor}
	}
}

// consider admits a request to the queue, or to the lane of those that run
// alone, or says why not.
func (s *State) consider(now time.Time, sub *wire.Submit) (alone bool, no *refusal) {
	// The quarantine first: whoever refuses a suspect for another reason sends it
	// on to a sidecar that may not have heard of it.
	alone, no = s.judge(now, sub)
	if no != nil {
		return false, no
	}
	if s.leaving(now) {
		return false, refuse(verdict.ReasonDraining, "the upstream is leaving")
	}
	if s.probe.down {
		return false, refuse(verdict.ReasonUpstreamDown, "the upstream is down").later(probeDown)
	}
	bound := s.bound(now, sub.Treatment.LoadMultiple)
	if !alone {
		if err := s.queue.Offer(now, s.admissible(now, sub, bound)); err != nil {
			return false, &refusal{err: err}
		}
		return false, nil
	}
	if len(s.lane) >= maxLane || s.load() >= bound {
		return false, refuse(verdict.ReasonSuspect, "too many suspects wait to run alone").later(quarantine.RetryAfter)
	}
	s.book.Grant(quarantine.Fingerprint(sub.Fingerprint), s.grantEnds(now, sub))
	return true, nil
}

// judge applies the quarantine. A suspect whose upstream is down may run alone
// elsewhere, at one place at a time.
func (s *State) judge(now time.Time, sub *wire.Submit) (alone bool, no *refusal) {
	if sub.Fingerprint == 0 {
		return false, nil
	}
	p := quarantine.Fingerprint(sub.Fingerprint)
	switch r := s.book.Decide(now, p, sub.HasPermit); r.Action {
	case quarantine.Refuse:
		return false, refuse(verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", r.Crashes)
	case quarantine.Wait:
		return false, refuse(verdict.ReasonSuspect, "a copy of this request is running alone").later(quarantine.RetryAfter)
	case quarantine.Redirect:
		no := refuse(verdict.ReasonSuspect, "the request may run alone at %s only", r.VM).later(quarantine.RetryAfter)
		no.suspects = s.book.EvidenceFor(now, p)
		return false, no
	case quarantine.RunAlone:
		if s.mayLend(now, sub) {
			no := refuse(verdict.ReasonMoved, "the request may run alone at %s", sub.Successor.VM)
			no.leave = true
			return false, no
		}
		return true, nil
	default:
		return false, nil
	}
}

func (s *State) grantEnds(now time.Time, sub *wire.Submit) time.Time {
	if d := sub.Treatment.Deadline; d > 0 {
		return now.Add(d)
	}
	return now.Add(quarantine.SuspectTTL)
}

// bound is the load that the upstream may have, by the loads of its pool.
func (s *State) bound(now time.Time, multiple float64) int {
	s.observe(now)
	mean, known := s.loads.Mean(now)
	return load.Bound(mean, known, multiple, s.settings.Weight)
}

// admissible is a request as admission sees it. The bound leaves out the lane,
// which admission does not count.
func (s *State) admissible(now time.Time, sub *wire.Submit, bound int) admission.Request {
	t := &sub.Treatment
	return admission.Request{
		ID:            sub.Key.Nonce,
		Org:           sub.Org,
		Profile:       t.Profile,
		Priority:      t.Priority,
		Size:          len(sub.Call.Body),
		Weight:        t.OrgWeight,
		FirstByteBy:   within(now, early(t.FirstByte)),
		Deadline:      within(now, early(t.Deadline)),
		LoadBound:     bound - len(s.lane),
		QueueBound:    t.QueueBound,
		OrgQueueBound: t.OrgQueueBound,
	}
}

// mayLend reports whether a suspect goes on to its successor's VM to run alone
// there: because the upstream is down or leaves, to one VM at a time. The site
// of the crash keeps other copies waiting meanwhile; where it was sent from
// there, it is only passed on.
func (s *State) mayLend(now time.Time, sub *wire.Submit) bool {
	if sub.Successor == nil || !s.probe.down && !s.leaving(now) {
		return false
	}
	if sub.HasPermit {
		return true
	}
	if s.book.HasGrant(now) {
		return false
	}
	s.book.Grant(quarantine.Fingerprint(sub.Fingerprint), s.grantEnds(now, sub))
	s.lent = wire.Permit{Fingerprint: sub.Fingerprint, Nonce: sub.Key.Nonce}
	return true
}

// within is the time d from now; zero d is no deadline.
func within(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// early is by when a request must start that has d left. The router counts the
// same time from a moment before, and when it is over can only say that the
// request may have run; the word that it has not must reach it first.
func early(d time.Duration) time.Duration {
	return d - min(answerMargin, d/10)
}

// enter begins the books on an admitted request. Until a router reads its
// answer it counts as unread, since the one that sent it may be gone.
func (s *State) enter(now time.Time, sub wire.Submit, alone bool) {
	adm := s.admissible(now, &sub, 0)
	s.arrived++
	r := &request{
		submit:   sub,
		seq:      s.arrived,
		alone:    alone,
		expires:  adm.Expires(),
		deadline: within(now, sub.Treatment.Deadline),
		unread:   now,
	}
	s.requests[r.nonce()] = r
	s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
	if !r.expires.IsZero() {
		s.timers.add(r.expires, r.nonce())
	}
	if alone {
		s.lane = append(s.lane, r)
	}
}

func (s *State) attached(e Attached) []Effect {
	f := s.table.Lookup(e.Now, idempotency.Attempt{Key: e.Attach.Key, Org: e.Attach.Org})
	return s.reply(e.Now, e.Ticket, found(f))
}

// cancelled ends a request for good. A key that has not been seen is refused,
// because the request itself may still be on its way.
func (s *State) cancelled(e Cancelled) []Effect {
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
	adm := found(f)
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

func (s *State) statusAsked(e StatusAsked) []Effect {
	f := s.table.Lookup(e.Now, idempotency.Attempt{Key: e.Status.Key, Org: e.Status.Org})
	out := ReplyStatus{Ticket: e.Ticket, Nonce: e.Status.Key.Nonce}
	switch f.Outcome {
	case idempotency.Live:
		out.Status = s.statusOf(s.requests[e.Status.Key.Nonce])
	case idempotency.Done:
		out.Status = wire.Status{State: wire.StateDone, Verdict: f.Verdict}
	default:
		out.Error = found(f).Error
	}
	return []Effect{out}
}

func (s *State) statusOf(r *request) wire.Status {
	if r.phase == queued {
		return wire.Status{State: wire.StateQueued}
	}
	return wire.Status{State: wire.StateRunning}
}
