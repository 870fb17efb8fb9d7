package dispatch

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// sidecarState is what really happened to one attempt at its sidecar or upstream.
type sidecarState struct {
	ran, neverRuns bool // the request has started; it never will
	restarted      bool
}

// simulation carries out the effects of one request and generates the events that
// sidecars, upstreams and connections could respond with. It is the request's Budget.
type simulation struct {
	t                *rapid.T
	plan             Plan
	budget           *retry.Budget
	state            *State
	now              time.Time
	sidecars         []*sidecarState
	withdrawals      int
	offers           int
	delivered        bool
	resumable        bool // the response being delivered
	callerKeyRefused bool // the caller's key was refused: the caller gets not-run each time it submits the request
	finish           *Finish
	pending          []Event
}

// Withdraw implements Budget.
func (s *simulation) Withdraw(cause retry.Cause) bool {
	ok := s.budget.Withdraw(cause)
	if ok {
		s.withdrawals++
	}
	return ok
}

// RetryAfter implements Budget.
func (s *simulation) RetryAfter(time.Duration) time.Duration { return 0 }

// act carries out an effect.
func (s *simulation) act(effect Effect) {
	switch e := effect.(type) {
	case Offer:
		s.offers++
		if s.delivered != e.Continue || s.delivered && !s.resumable {
			s.t.Fatalf("offer with Continue %v, response delivered: %v", e.Continue, s.delivered)
		}
		s.start(e.Attempt)
	case Follow:
		s.start(e.Attempt)
	case Resubmit:
		s.submit(e.Attempt)
	case Attach:
		s.attach(e.Attempt)
	case Deliver:
		s.delivered = true
		if e.Resumable != s.resumable {
			s.t.Fatalf("Deliver.Resumable is %v, want %v", e.Resumable, s.resumable)
		}
		s.progress(e.Attempt)
	case Finish:
		s.finish = &e
	}
}

// start records a new attempt and submits it to its sidecar or upstream.
func (s *simulation) start(attempt int) {
	if attempt != len(s.sidecars) {
		s.t.Fatalf("attempt %d follows attempt %d", attempt, len(s.sidecars)-1)
	}
	s.sidecars = append(s.sidecars, &sidecarState{})
	if s.plan.Direct {
		s.sendDirect(attempt)
	} else {
		s.submit(attempt)
	}
}

// sendDirect draws the outcome of one call to an upstream without a sidecar.
func (s *simulation) sendDirect(i int) {
	sidecar := s.sidecars[i]
	failed := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")
	switch rapid.IntRange(0, 5).Draw(s.t, "outcome") {
	case 0:
		s.post(Unreachable{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case 1:
		sidecar.ran = rapid.Bool().Draw(s.t, "arrived")
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 2:
		misdirected := rapid.Bool().Draw(s.t, "misdirected")
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, ""), Misdirected: misdirected})
	case 3:
		sidecar.ran = true
		s.post(ErrorResponse{Now: s.now, Attempt: i, Err: failed})
	default:
		sidecar.ran = true
		s.progress(i)
	}
}

// post adds an event to those that are pending.
func (s *simulation) post(e Event) { s.pending = append(s.pending, e) }

// submit draws the outcome of one submission to a sidecar.
func (s *simulation) submit(i int) {
	sidecar := s.sidecars[i]
	callerKey := s.plan.CallerHasKey && s.state.attempts[i].underCallerKey
	switch outcome := rapid.IntRange(0, 5).Draw(s.t, "outcome"); {
	case outcome == 0:
		s.post(Unreachable{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case outcome == 1: // lost before or after the request arrived
		if rapid.Bool().Draw(s.t, "arrived") && !sidecar.neverRuns {
			sidecar.ran = true
		}
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case outcome == 2 && rapid.Bool().Draw(s.t, "restart"):
		sidecar.restarted = true
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
	case sidecar.restarted:
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
	case sidecar.ran:
		s.admit(i)
	case outcome == 3:
		sidecar.neverRuns = true
		r := Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")}
		if callerKey && rapid.Bool().Draw(s.t, "moved") {
			r.Successor = &wire.Key{}
		}
		s.callerKeyRefused = s.callerKeyRefused || callerKey && r.Successor == nil
		s.post(r)
	default:
		sidecar.ran = true
		s.admit(i)
	}
}

// admit posts the Admitted event of an attempt and draws the event that follows it.
func (s *simulation) admit(i int) {
	s.post(Admitted{Attempt: i})
	s.progress(i)
}

// attach draws the outcome of an attach to an attempt.
func (s *simulation) attach(i int) {
	if s.sidecars[i].restarted {
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
		return
	}
	s.progress(i)
}

// progress draws the next event of an attempt that has been admitted.
func (s *simulation) progress(i int) {
	switch rapid.IntRange(0, 6).Draw(s.t, "piece") {
	case 0:
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 1:
		s.sidecars[i].restarted = true
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 2:
		s.post(Ended{Now: s.now, Attempt: i, Err: verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")})
	case 3: // no event until a deadline
	default:
		switch {
		case s.delivered && s.state.winner == i:
			s.post(Ended{Now: s.now, Attempt: i})
		case s.delivered: // a response that continues another one
			s.post(ResponseStarted{Now: s.now, Attempt: i, Resumable: true})
		default:
			events := rapid.Bool().Draw(s.t, "events")
			s.resumable = s.plan.Resumable && events
			s.post(ResponseStarted{Now: s.now, Attempt: i, Resumable: events})
		}
	}
}

// step applies one of the pending events, or lets time pass.
func (s *simulation) step() {
	if len(s.pending) == 0 || rapid.IntRange(0, 9).Draw(s.t, "tick") == 0 {
		if at := s.state.Wake(); !at.IsZero() {
			s.now = at
		}
		s.apply(Ticked{Now: s.now})
		return
	}
	i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "next")
	e := s.pending[i]
	s.pending = append(s.pending[:i], s.pending[i+1:]...)
	s.apply(e)
}

// apply applies an event and carries out its effects.
func (s *simulation) apply(e Event) {
	for _, effect := range s.state.Step(e) {
		s.act(effect)
	}
}

// runs returns how many attempts have run.
func (s *simulation) runs() int {
	n := 0
	for _, sidecar := range s.sidecars {
		if sidecar.ran {
			n++
		}
	}
	return n
}

// If any path through the state machine forgets an attempt, the caller gets
// "not-run" for a request that has run, or the request runs twice. Connections
// break before and after the upstream has started the request, sidecars refuse,
// restart and move it to a successor key, and deadlines pass.
func TestVerdictIsCorrectOnEveryPath(t *testing.T) {
	verdicts := make(map[verdict.Verdict]int)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sim := &simulation{t: t, now: now, budget: &retry.Budget{}}
		sim.plan = Plan{
			Idempotent:   rapid.Bool().Draw(t, "idempotent"),
			ReadOnly:     rapid.Bool().Draw(t, "read"),
			CallerHasKey: rapid.Bool().Draw(t, "caller has key"),
			Direct:       rapid.Bool().Draw(t, "direct"),
			Resumable:    rapid.Bool().Draw(t, "resumable"),
			MaxOffers:    rapid.IntRange(1, 4).Draw(t, "offers"),
			MaxSends:     rapid.IntRange(0, 3).Draw(t, "sends"),
			HedgeAfter:   time.Second,
			FirstByte:    now.Add(2 * time.Second),
			Deadline:     now.Add(3 * time.Second),
		}
		if rapid.Bool().Draw(t, "switches") && sim.plan.Direct {
			sim.plan.SwitchAfter = 500 * time.Millisecond
		}
		sim.plan.CallerHasKey = sim.plan.CallerHasKey && !sim.plan.Direct
		sim.plan.Resumable = sim.plan.Resumable && sim.plan.Direct
		for range rapid.IntRange(0, 30).Draw(t, "earlier requests") {
			sim.budget.Deposit(retry.MaxRatio)
		}
		sim.state = New(sim.plan, sim)
		sim.apply(Began{Now: now})
		for steps := 0; sim.finish == nil; steps++ {
			if steps > 1000 {
				t.Fatal("the request has not finished after 1000 steps")
			}
			sim.step()
		}
		if sim.finish.Err == nil {
			return
		}
		verdicts[sim.finish.Err.Verdict]++
		if sim.finish.Err.Verdict == verdict.NotRun && sim.runs() > 0 {
			t.Fatalf("verdict not-run for a request that ran: %v", sim.finish.Err)
		}
		if !sim.plan.Idempotent && !sim.plan.Resumable && sim.runs() > 1 {
			t.Fatalf("ran %d times", sim.runs())
		}
		if sim.plan.MaxSends > 0 && sim.plan.Direct && sim.runs() > sim.plan.MaxSends {
			t.Fatalf("ran at %d upstreams of at most %d", sim.runs(), sim.plan.MaxSends)
		}
		if sim.callerKeyRefused && sim.runs() > 0 {
			t.Fatal("ran although other submissions under the caller's key get not-run")
		}
		if sim.runs() > 1+sim.withdrawals {
			t.Fatalf("%d runs with %d withdrawals from the budget", sim.runs(), sim.withdrawals)
		}
	})
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if verdicts[v] == 0 {
			t.Errorf("no path ended with verdict %v", v)
		}
	}
}

// Guards against mixing two responses to one request: the first upstream is slow, the
// hedged attempt responds, and then the first upstream responds too.
func TestOnlyFirstHedgedResponseIsDelivered(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &retry.Budget{}
	for range 11 {
		budget.Deposit(retry.MaxRatio)
	}
	s := New(Plan{Idempotent: true, ReadOnly: true, MaxOffers: 2, HedgeAfter: time.Second}, budget)
	s.Step(Began{Now: now})
	s.Step(Admitted{Attempt: 0})
	if got := s.Step(Ticked{Now: s.Wake()}); len(got) != 1 || got[0] != (Offer{Attempt: 1, Candidate: 1}) {
		t.Fatalf("at the hedge time: %v", got)
	}
	if got := s.Step(ResponseStarted{Attempt: 1}); len(got) != 2 || got[0] != (Cancel{Attempt: 0}) || got[1] != (Deliver{Attempt: 1}) {
		t.Fatalf("first response: %v", got)
	}
	if got := s.Step(ResponseStarted{Attempt: 0}); got != nil {
		t.Fatalf("second response: %v", got)
	}
}

// A request crashes its upstream while its hedged attempt runs at the next one. If
// that attempt is not cancelled, it crashes the second upstream too, before the
// first crash has been reported to any router.
func TestHedgeIsCancelledWhenOtherAttemptCrashesUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &retry.Budget{}
	for range 11 {
		budget.Deposit(retry.MaxRatio)
	}
	s := New(Plan{Idempotent: true, ReadOnly: true, MaxOffers: 2, HedgeAfter: time.Second}, budget)
	s.Step(Began{Now: now})
	s.Step(Ticked{Now: s.Wake()})
	s.Step(Admitted{Attempt: 1})
	crash := verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")
	got := s.Step(Ended{Now: now, Attempt: 0, Err: crash})
	if len(got) != 2 || got[0] != (Cancel{Attempt: 1}) || got[1] != (Finish{Err: crash}) {
		t.Fatalf("after the crash: %v", got)
	}
}

// Nine requests arrive at the same moment at a pool of three idle upstreams. The
// first upstream that a request is offered to has no report of the others' loads yet
// and refuses, and the other two are full by the time the request reaches them. The
// caller was rejected although the first upstream had spare capacity all the time.
func TestFirstOverBoundUpstreamIsOfferedAgain(t *testing.T) {
	overBound := verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")
	s := New(Plan{MaxOffers: 3}, &retry.Budget{})
	got := s.Step(Began{Now: time.Unix(1000, 0)})
	for attempt, candidate := range []int{0, 1, 2, 0} {
		if len(got) != 1 || got[0] != (Offer{Attempt: attempt, Candidate: candidate}) {
			t.Fatalf("attempt %d: %v, want an offer to candidate %d", attempt, got, candidate)
		}
		got = s.Step(Refused{Attempt: attempt, Err: overBound})
	}
	if len(got) != 1 || got[0].(Finish).Err.Reason != verdict.ReasonOverBound {
		t.Fatalf("after the second refusal: %v, want Finish", got)
	}
}

// Guards against rejecting a caller although an upstream has spare capacity. The first
// upstream refuses because of its load bound, the last one because it is draining, which
// says nothing about the spare capacity of the first. The state machine must offer the
// request to the first upstream again.
func TestFirstOverBoundUpstreamIsOfferedAgainAfterDrainingOne(t *testing.T) {
	s := New(Plan{MaxOffers: 2}, &retry.Budget{})
	s.Step(Began{Now: time.Unix(1000, 0)})
	s.Step(Refused{Attempt: 0, Err: verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")})
	got := s.Step(Refused{Attempt: 1, Err: verdict.New(verdict.NotRun, verdict.ReasonDraining, "")})
	if len(got) != 1 || got[0] != (Offer{Attempt: 2, Candidate: 0}) {
		t.Fatalf("%v, want an offer to candidate 0", got)
	}
}

// fixedRetryAfterBudget is a Budget that returns a fixed Retry-After.
type fixedRetryAfterBudget struct {
	retry.Budget
	left time.Duration // argument of the last RetryAfter
}

func (a *fixedRetryAfterBudget) RetryAfter(left time.Duration) time.Duration {
	a.left = left
	return 3 * time.Second
}

// A pool rejects a request, and its Budget gives a Retry-After of three seconds. The
// caller gets that time, unless an upstream gave one itself.
func TestRetryAfterComesFromUpstreamOrPool(t *testing.T) {
	now := time.Unix(1000, 0)
	full := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "")
	for given, want := range map[time.Duration]time.Duration{0: 3 * time.Second, time.Second: time.Second} {
		var a fixedRetryAfterBudget
		s := New(Plan{Direct: true, MaxOffers: 1, Deadline: now.Add(9 * time.Second)}, &a)
		s.Step(Began{Now: now})
		err := full
		if given > 0 {
			err = full.WithRetryAfter(given)
		}
		got := s.Step(Refused{Now: now.Add(time.Second), Attempt: 0, Err: err})
		if len(got) != 1 || got[0].(Finish).Err.RetryAfter != want {
			t.Errorf("upstream gave %v: %v, want a Retry-After of %v", given, got, want)
		}
		if given == 0 && a.left != 8*time.Second {
			t.Errorf("time left is %v, want 8s", a.left)
		}
	}
}

// Guards against a request beyond its organisation's share that is offered to the next upstream, and against a refusal without
// a Retry-After.
func TestRefusalOfShortPoolEndsTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, reason := range []verdict.Reason{verdict.ReasonOverShare, verdict.ReasonPoolShort} {
		s := New(Plan{Direct: true, MaxOffers: 3, Idempotent: true, Deadline: now.Add(9 * time.Second)}, &fixedRetryAfterBudget{})
		s.Step(Began{Now: now})
		got := s.Step(Refused{Now: now, Attempt: 0, Err: verdict.New(verdict.NotRun, reason, "")})
		if len(got) != 1 {
			t.Fatalf("%s: effects %v, want the end of the request", reason, got)
		}
		end, ok := got[0].(Finish)
		if !ok || end.Err.Reason != reason || end.Err.Verdict != verdict.NotRun || end.Err.RetryAfter != 3*time.Second {
			t.Errorf("%s: %v, want its end with a Retry-After of 3s", reason, got)
		}
	}
}
