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

// sidecarSide is the truth about one attempt at its sidecar.
type sidecarSide struct {
	ran, closed bool // started; never to be started
	restarted   bool
}

// world answers the effects of one request as sidecars and networks might.
type world struct {
	t         *rapid.T
	plan      Plan
	budget    *retry.Budget
	state     *State
	now       time.Time
	sides     []*sidecarSide
	withdrawn int
	offers    int
	delivered bool
	resumable bool // the answer that is delivered
	refused   bool // the caller's key, for good: each copy of the request is told so
	final     *Finish
	queue     []Event
}

func (w *world) Withdraw() bool {
	ok := w.budget.Withdraw()
	if ok {
		w.withdrawn++
	}
	return ok
}

func (w *world) RetryAfter(time.Duration) time.Duration { return 0 }

func (w *world) act(effect Effect) {
	switch e := effect.(type) {
	case Offer:
		w.offers++
		if w.delivered != e.Continue || w.delivered && !w.resumable {
			w.t.Fatalf("offered (continue %v) with a part of an answer out: %v", e.Continue, w.delivered)
		}
		w.begin(e.Attempt)
	case Follow:
		w.begin(e.Attempt)
	case Resubmit:
		w.submit(e.Attempt)
	case Attach:
		w.attach(e.Attempt)
	case Deliver:
		w.delivered = true
		if e.Resumable != w.resumable {
			w.t.Fatalf("delivered as resumable %v, is %v", e.Resumable, w.resumable)
		}
		w.piece(e.Attempt)
	case Finish:
		w.final = &e
	}
}

func (w *world) begin(attempt int) {
	if attempt != len(w.sides) {
		w.t.Fatalf("attempt %d follows %d", attempt, len(w.sides)-1)
	}
	w.sides = append(w.sides, &sidecarSide{})
	if w.plan.Direct {
		w.send(attempt)
	} else {
		w.submit(attempt)
	}
}

// send lets one call of an upstream without a sidecar meet its fate.
func (w *world) send(i int) {
	side := w.sides[i]
	failed := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")
	switch rapid.IntRange(0, 5).Draw(w.t, "fate") {
	case 0:
		w.post(Unreachable{Now: w.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case 1:
		side.ran = rapid.Bool().Draw(w.t, "arrived")
		w.post(ConnectionLost{Now: w.now, Attempt: i})
	case 2:
		w.post(Refused{Now: w.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "")})
	case 3:
		side.ran = true
		w.post(ErrorResponse{Now: w.now, Attempt: i, Err: failed})
	default:
		side.ran = true
		w.piece(i)
	}
}

func (w *world) post(e Event) { w.queue = append(w.queue, e) }

// submit lets one submission meet its fate.
func (w *world) submit(i int) {
	side := w.sides[i]
	held := w.plan.CallerHasKey && w.state.attempts[i].held
	switch fate := rapid.IntRange(0, 5).Draw(w.t, "fate"); {
	case fate == 0:
		w.post(Unreachable{Now: w.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "")})
	case fate == 1: // lost before or after it got there
		if rapid.Bool().Draw(w.t, "arrived") && !side.closed {
			side.ran = true
		}
		w.post(ConnectionLost{Now: w.now, Attempt: i})
	case fate == 2 && rapid.Bool().Draw(w.t, "restart"):
		side.restarted = true
		w.post(Refused{Now: w.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
	case side.restarted:
		w.post(Refused{Now: w.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
	case side.ran:
		w.admit(i)
	case fate == 3:
		side.closed = true
		r := Refused{Now: w.now, Attempt: i, Err: verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")}
		if held && rapid.Bool().Draw(w.t, "moved") {
			r.Moved = &wire.Key{}
		}
		w.refused = w.refused || held && r.Moved == nil
		w.post(r)
	default:
		side.ran = true
		w.admit(i)
	}
}

func (w *world) admit(i int) {
	w.post(Admitted{Attempt: i})
	w.piece(i)
}

func (w *world) attach(i int) {
	if w.sides[i].restarted {
		w.post(Refused{Now: w.now, Attempt: i, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "")})
		return
	}
	w.piece(i)
}

// piece lets an admitted attempt go on.
func (w *world) piece(i int) {
	switch rapid.IntRange(0, 6).Draw(w.t, "piece") {
	case 0:
		w.post(ConnectionLost{Now: w.now, Attempt: i})
	case 1:
		w.sides[i].restarted = true
		w.post(ConnectionLost{Now: w.now, Attempt: i})
	case 2:
		w.post(Ended{Now: w.now, Attempt: i, Err: verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")})
	case 3: // silence, until a deadline
	default:
		switch {
		case w.delivered && w.state.winner == i:
			w.post(Ended{Now: w.now, Attempt: i})
		case w.delivered: // an answer that goes on with another's
			w.post(ResponseStarted{Now: w.now, Attempt: i, Resumable: true})
		default:
			events := rapid.Bool().Draw(w.t, "events")
			w.resumable = w.plan.Resumable && events
			w.post(ResponseStarted{Now: w.now, Attempt: i, Resumable: events})
		}
	}
}

// step delivers one of the waiting events, or lets time pass.
func (w *world) step() {
	if len(w.queue) == 0 || rapid.IntRange(0, 9).Draw(w.t, "tick") == 0 {
		if at := w.state.Wake(); !at.IsZero() {
			w.now = at
		}
		w.apply(Ticked{Now: w.now})
		return
	}
	i := rapid.IntRange(0, len(w.queue)-1).Draw(w.t, "next")
	e := w.queue[i]
	w.queue = append(w.queue[:i], w.queue[i+1:]...)
	w.apply(e)
}

func (w *world) apply(e Event) {
	for _, effect := range w.state.Step(e) {
		w.act(effect)
	}
}

func (w *world) ran() int {
	n := 0
	for _, side := range w.sides {
		if side.ran {
			n++
		}
	}
	return n
}

// A guest books a room. Connections break before and after the booking
// service has started, sidecars refuse, restart and move the request on, and
// deadlines pass. The guest is then told "not run" while a room is held, or
// finds two bookings, if any path through the machine forgets an attempt.
func TestVerdictsAreTrueOnEveryPath(t *testing.T) {
	finals := make(map[verdict.Verdict]int)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := &world{t: t, now: now, budget: &retry.Budget{}}
		w.plan = Plan{
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
		if rapid.Bool().Draw(t, "switches") && w.plan.Direct {
			w.plan.SwitchAfter = 500 * time.Millisecond
		}
		w.plan.CallerHasKey = w.plan.CallerHasKey && !w.plan.Direct
		w.plan.Resumable = w.plan.Resumable && w.plan.Direct
		for range rapid.IntRange(0, 30).Draw(t, "earlier requests") {
			w.budget.Deposit(retry.MaxRatio)
		}
		w.state = New(w.plan, w)
		w.apply(Began{Now: now})
		for steps := 0; w.final == nil; steps++ {
			if steps > 1000 {
				t.Fatal("no end")
			}
			w.step()
		}
		if w.final.Err == nil {
			return
		}
		finals[w.final.Err.Verdict]++
		if w.final.Err.Verdict == verdict.NotRun && w.ran() > 0 {
			t.Fatalf("said not-run of what ran: %v", w.final.Err)
		}
		if !w.plan.Idempotent && !w.plan.Resumable && w.ran() > 1 {
			t.Fatalf("ran %d times", w.ran())
		}
		if w.plan.MaxSends > 0 && w.plan.Direct && w.ran() > w.plan.MaxSends {
			t.Fatalf("ran at %d upstreams of at most %d", w.ran(), w.plan.MaxSends)
		}
		if w.refused && w.ran() > 0 {
			t.Fatal("ran although other copies of the request are told not-run")
		}
		if w.ran() > 1+w.withdrawn {
			t.Fatalf("%d runs with %d paid for", w.ran(), w.withdrawn)
		}
	})
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if finals[v] == 0 {
			t.Errorf("no path ended in %v", v)
		}
	}
}

// The first upstream is slow to answer a clip fetch, the hedge answers, and
// then the first one does too. Two answers to one request would be mixed.
func TestOnlyTheFirstOfTwoHedgedAnswersIsDelivered(t *testing.T) {
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
func TestHedgeIsCancelledWhenItsSiblingCrashesAnUpstream(t *testing.T) {
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
func TestTheFirstToRefuseForItsBoundIsAskedAgain(t *testing.T) {
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
func TestTheFirstToRefuseForItsBoundIsAskedAgainAfterADrainingOne(t *testing.T) {
	s := New(Plan{MaxOffers: 2}, &retry.Budget{})
	s.Step(Began{Now: time.Unix(1000, 0)})
	s.Step(Refused{Attempt: 0, Err: verdict.New(verdict.NotRun, verdict.ReasonOverBound, "")})
	got := s.Step(Refused{Attempt: 1, Err: verdict.New(verdict.NotRun, verdict.ReasonDraining, "")})
	if len(got) != 1 || got[0] != (Offer{Attempt: 2, Candidate: 0}) {
		t.Fatalf("%v, want an offer to the first", got)
	}
}

// advisor is a Budget that has an opinion on when to come back.
type advisor struct {
	retry.Budget
	left time.Duration // that it was told of
}

func (a *advisor) RetryAfter(left time.Duration) time.Duration {
	a.left = left
	return 3 * time.Second
}

// A pool turns a guest away, and its requests speak for three seconds. The guest is told
// so, unless an upstream has named a time itself.
func TestCallersAreToldWhatThePoolSpeaksFor(t *testing.T) {
	now := time.Unix(1000, 0)
	full := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "")
	for named, want := range map[time.Duration]time.Duration{0: 3 * time.Second, time.Second: time.Second} {
		var a advisor
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
