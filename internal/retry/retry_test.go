package retry

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// All upstreams fail just after a router has started. If every request were retried, the
// upstreams would receive a multiple of the traffic and stay overloaded. This happens if a budget
// starts with credit, or rounds in favour of retries.
func TestAttemptsNeverExceedTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, extra := 0, 0
		ratio := rapid.SampledFrom([]float64{MaxRatio, 1, 0.03}).Draw(t, "ratio")
		for range rapid.IntRange(100, 2000).Draw(t, "events") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.Deposit(ratio)
				requests++
			} else if b.Withdraw(CauseFailure) {
				extra++
			}
			if extra > 0 && 10*(requests+extra) >= 11*requests {
				t.Fatalf("%d attempts for %d requests", requests+extra, requests)
			}
		}
	})
}

// Guards against a budget that denies retries although the ratio allows them.
func TestBudgetAllowsNearlyItsRatio(t *testing.T) {
	var b Budget
	extra := 0
	const requests = 1000
	for range requests {
		b.Deposit(MaxRatio)
		if b.Withdraw(CauseFailure) {
			extra++
		}
	}
	if extra < requests/10-1 {
		t.Fatalf("%d retries for %d requests", extra, requests)
	}
}

// Guards against a request that runs twice: the connection of the first attempt breaks after the
// service has started to run the request, and it is sent to another upstream.
func TestMayHaveRunIsRetriedOnlyIfIdempotentAndUnanswered(t *testing.T) {
	reasons := []verdict.Reason{
		verdict.ReasonBadRequest, verdict.ReasonOverBound, verdict.ReasonDraining, verdict.ReasonUpstreamFailed,
		verdict.ReasonIncarnationGone, verdict.ReasonConnection, verdict.ReasonDeadline, verdict.ReasonQuarantined,
		verdict.ReasonCancelled, verdict.ReasonAnswerGone, verdict.ReasonOverShare, verdict.ReasonPoolShort, "a reason of a newer peer",
	}
	rapid.Check(t, func(t *rapid.T) {
		c := RequestInfo{
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			ReadOnly:      rapid.Bool().Draw(t, "read only"),
			AnswerStarted: rapid.Bool().Draw(t, "answer started"),
		}
		v := rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict")
		r := rapid.SampledFrom(reasons).Draw(t, "reason")
		decision := Decide(Failure{Err: verdict.New(v, r, ""), Reached: rapid.Bool().Draw(t, "reached")}, c)
		if decision != Stop && c.AnswerStarted {
			t.Fatal("the request may run again although part of the answer was sent")
		}
		if decision != Stop && v != verdict.NotRun && !c.Idempotent {
			t.Fatal("a request that may have run may run again")
		}
		if decision == Reroute && v != verdict.NotRun {
			t.Fatal("a request that may have run is rerouted without using the budget")
		}
		if MayHedge(c) && !(c.Idempotent && c.ReadOnly && !c.AnswerStarted) {
			t.Fatal("a request that is not an idempotent read may be hedged")
		}
	})
}

// Guards against a request beyond its organisation's share that gets another chance at each upstream
// of the pool, so that the organisation gets more than its share, and against a caller who is not
// told when to retry.
func TestRefusalsOfShortPoolsAreFinalAndTransient(t *testing.T) {
	for _, r := range []verdict.Reason{verdict.ReasonOverShare, verdict.ReasonPoolShort} {
		for _, c := range []RequestInfo{{}, {Idempotent: true, ReadOnly: true}} {
			for _, reached := range []bool{false, true} {
				if d := Decide(Failure{Err: verdict.New(verdict.NotRun, r, ""), Reached: reached}, c); d != Stop {
					t.Errorf("%s: decision %d for %+v, reached %v; want Stop", r, d, c, reached)
				}
			}
		}
		if !Transient(r) {
			t.Errorf("%s is not transient", r)
		}
	}
}
