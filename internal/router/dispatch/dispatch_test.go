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

// sidecarState is the truth about one attempt at its sidecar.
type sidecarState struct {
	ran, neverRuns bool // started; never to be started
	restarted      bool
}

// simulation answers the effects of one request as sidecars and networks might.
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
	resumable        bool // the answer that is delivered
	callerKeyRefused bool // the caller's key, for good: each copy of the request is told so
	finish           *Finish
	pending          []Event
}

func (s *simulation) Withdraw() bool {
	ok := s.budget.Withdraw()
	if ok {
		s.withdrawals++
	}
	return ok
}

func (s *simulation) RetryAfter(time.Duration) time.Duration { return 0 }

func (s *simulation) act(effect Effect) {
	switch e := effect.(type) {
	case Offer:
		s.offers++
		if s.delivered != e.Continue || s.delivered && !s.resumable {
			s.t.Fatalf("offered (continue %v) with a part of an answer out: %v", e.Continue, s.delivered)
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
			s.t.Fatalf("delivered as resumable %v, is %v", e.Resumable, s.resumable)
		}
		s.progress(e.Attempt)
	case Finish:
		s.finish = &e
	}
}

func (s *simulation) start(attempt int) {
	if attempt != len(s.sidecars) {
		s.t.Fatalf("attempt %d follows %d", attempt, len(s.sidecars)-1)
	}
	s.sidecars = append(s.sidecars, &sidecarState{})
	if s.plan.Direct {
		s.sendDirect(attempt)
	} else {
		s.submit(attempt)
	}
}

// sendDirect lets one call of an upstream without a sidecar meet its fate.
func (s *simulation) sendDirect(i int) {
	sidecar := s.sidecars[i]
	failed := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")
	switch rapid.IntRange(0, 5).Draw(s.t, "fate") {
	case 0:
		s.post(Unreachable{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case 1:
		sidecar.ran = rapid.Bool().Draw(s.t, "arrived")
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 2:
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "")})
	case 3:
		sidecar.ran = true
		s.post(ErrorResponse{Now: s.now, Attempt: i, Err: failed})
	default:
		sidecar.ran = true
		s.progress(i)
	}
}

func (s *simulation) post(e Event) { s.pending = append(s.pending, e) }

// submit lets one submission meet its fate.
func (s *simulation) submit(i int) {
	sidecar := s.sidecars[i]
	callerKey := s.plan.CallerHasKey && s.state.attempts[i].underCallerKey
	switch outcome := rapid.IntRange(0, 5).Draw(s.t, "fate"); {
	case outcome == 0:
		s.post(Unreachable{Now: s.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case outcome == 1: // lost before or after it got there
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
			r.Moved = &wire.Key{}
		}
		s.callerKeyRefused = s.callerKeyRefused || callerKey && r.Moved == nil
		s.post(r)
	default:
		sidecar.ran = true
		s.admit(i)
	}
}

func (s *simulation) admit(i int) {
	s.post(Admitted{Attempt: i})
	s.progress(i)
}

func (s *simulation) attach(i int) {
	if s.sidecars[i].restarted {
		s.post(Refused{Now: s.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
		return
	}
	s.progress(i)
}

// progress lets an admitted attempt go on.
func (s *simulation) progress(i int) {
	switch rapid.IntRange(0, 6).Draw(s.t, "piece") {
	case 0:
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 1:
		s.sidecars[i].restarted = true
		s.post(ConnectionLost{Now: s.now, Attempt: i})
	case 2:
		s.post(Ended{Now: s.now, Attempt: i, Err: verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")})
	case 3: // silence, until a deadline
	default:
		switch {
		case s.delivered && s.state.winner == i:
			s.post(Ended{Now: s.now, Attempt: i})
		case s.delivered: // an answer that goes on with another's
			s.post(ResponseStarted{Now: s.now, Attempt: i, Resumable: true})
		default:
			events := rapid.Bool().Draw(s.t, "events")
			s.resumable = s.plan.Resumable && events
			s.post(ResponseStarted{Now: s.now, Attempt: i, Resumable: events})
		}
	}
}

// step delivers one of the waiting events, or lets time pass.
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

func (s *simulation) apply(e Event) {
	for _, effect := range s.state.Step(e) {
		s.act(effect)
	}
}

func (s *simulation) runs() int {
	n := 0
	for _, sidecar := range s.sidecars {
		if sidecar.ran {
			n++
		}
	}
	return n
}

// A guest books a room. Connections break before and after the booking
// service has started, sidecars refuse, restart and move the request on, and
// deadlines pass. The guest is then told "not run" while a room is held, or
// finds two bookings, if any path through the machine forgets an attempt.
func TestVerdictIsCorrectOnEveryPath(t *testing.T) {
	verdicts := make(map[verdict.Verdict]int)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sim := &simulation{t: t, now: now, budget: &retry.Budget{}}
		sim.plan = Plan{
			Idempotent:   rapid.Bool().Draw(t, "idempotent"),
			ReadOnly:     rapid.Bool().Draw(t, "read"),
			CallerHasKey: rapid.Bool().Draw(t, "held"),
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
				t.Fatal("no end")
			}
			sim.step()
		}
		if sim.finish.Err == nil {
			return
		}
		verdicts[sim.finish.Err.Verdict]++
		if sim.finish.Err.Verdict == verdict.NotRun && sim.runs() > 0 {
			t.Fatalf("said not-run of what ran: %v", sim.finish.Err)
		}
		if !sim.plan.Idempotent && !sim.plan.Resumable && sim.runs() > 1 {
			t.Fatalf("ran %d times", sim.runs())
		}
		if sim.plan.MaxSends > 0 && sim.plan.Direct && sim.runs() > sim.plan.MaxSends {
			t.Fatalf("ran at %d upstreams of at most %d", sim.runs(), sim.plan.MaxSends)
		}
		if sim.callerKeyRefused && sim.runs() > 0 {
			t.Fatal("ran although other copies of the request are told not-run")
		}
		if sim.runs() > 1+sim.withdrawals {
			t.Fatalf("%d runs with %d paid for", sim.runs(), sim.withdrawals)
		}
	})
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if verdicts[v] == 0 {
			t.Errorf("no path ended in %v", v)
		}
	}
}

// The first upstream is slow to answer a clip fetch, the hedge answers, and
// then the first one does too. Two answers to one request would be mixed.
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
		t.Fatalf("hedge: %v", got)
	}
	if got := s.Step(ResponseStarted{Attempt: 1}); len(got) != 2 || got[0] != (Cancel{Attempt: 0}) || got[1] != (Deliver{Attempt: 1}) {
		t.Fatalf("winner: %v", got)
	}
	if got := s.Step(ResponseStarted{Attempt: 0}); got != nil {
		t.Fatalf("loser: %v", got)
	}
}

// A clip fetch crashes its upstream while its hedge runs at the next one. Left
// alone, the hedge crashes that one too, before anyone has heard of the first.
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

// Nine bookings come at the same moment to a pool of three idle upstreams. The first
// upstream that a booking is offered to has not heard of the others' loads yet and
// refuses, the other two are full by the time it gets to them. The guest was told to
// come back although the first upstream had room all the time.
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
		t.Fatalf("refused twice: %v, want the end", got)
	}
}

// The same while the last of the pool drains: what it refuses for says nothing of the
// room at the first.
func TestFirstOverBoundUpstreamIsOfferedAgainAfterDrainingOne(t *testing.T) {
	s := New(Plan{MaxOffers: 2}, &retry.Budget{})
	s.Step(Began{Now: time.Unix(1000, 0)})
	s.Step(Refused{Attempt: 0, Err: verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")})
	got := s.Step(Refused{Attempt: 1, Err: verdict.New(verdict.NotRun, verdict.ReasonDraining, "")})
	if len(got) != 1 || got[0] != (Offer{Attempt: 2, Candidate: 0}) {
		t.Fatalf("%v, want an offer to the first", got)
	}
}

// adviceBudget is a Budget that has an opinion on when to come back.
type adviceBudget struct {
	retry.Budget
	left time.Duration // that it was told of
}

func (a *adviceBudget) RetryAfter(left time.Duration) time.Duration {
	a.left = left
	return 3 * time.Second
}

// A pool turns a guest away, and its requests speak for three seconds. The guest is told
// so, unless an upstream has named a time itself.
func TestRetryAfterComesFromUpstreamOrPool(t *testing.T) {
	now := time.Unix(1000, 0)
	full := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "")
	for named, want := range map[time.Duration]time.Duration{0: 3 * time.Second, time.Second: time.Second} {
		var a adviceBudget
		s := New(Plan{Direct: true, MaxOffers: 1, Deadline: now.Add(9 * time.Second)}, &a)
		s.Step(Began{Now: now})
		err := full
		if named > 0 {
			err = full.WithRetryAfter(named)
		}
		got := s.Step(Refused{Now: now.Add(time.Second), Attempt: 0, Err: err})
		if len(got) != 1 || got[0].(Finish).Err.RetryAfter != want {
			t.Errorf("named %v: %v, want to come back after %v", named, got, want)
		}
		if named == 0 && a.left != 8*time.Second {
			t.Errorf("%v are left, want 8s", a.left)
		}
	}
}
