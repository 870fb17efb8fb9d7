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

// Every upstream fails just after a router has started. Each caller's request
// is tried again, the upstreams see a multiple of the traffic, and they stay
// down under it. The cause is a budget that starts with credit, or that rounds
// in favour of the retry.
func TestAttemptsNeverExceedTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, extra := 0, 0
		ratio := rapid.SampledFrom([]float64{MaxRatio, 1, 0.03}).Draw(t, "ratio")
		for range rapid.IntRange(100, 2000).Draw(t, "events") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.Deposit(ratio)
				requests++
			} else if b.Withdraw() {
				extra++
			}
			if extra > 0 && 10*(requests+extra) >= 11*requests {
				t.Fatalf("%d attempts for %d requests", requests+extra, requests)
			}
		}
	})
}

func TestBudgetAllowsNearlyItsRatio(t *testing.T) {
	var b Budget
	extra := 0
	const requests = 1000
	for range requests {
		b.Deposit(MaxRatio)
		if b.Withdraw() {
			extra++
		}
	}
	if extra < requests/10-1 {
		t.Fatalf("%d retries for %d requests", extra, requests)
	}
}

// A coach tags a clip once and finds two tags: the first attempt's connection
// broke after the service had begun, and the request was sent elsewhere.
func TestMayHaveRunIsRetriedOnlyIfIdempotentAndUnanswered(t *testing.T) {
	reasons := []verdict.Reason{
		verdict.ReasonBadRequest, verdict.ReasonOverBound, verdict.ReasonDraining, verdict.ReasonUpstreamFailed,
		verdict.ReasonIncarnationGone, verdict.ReasonConnection, verdict.ReasonDeadline, verdict.ReasonQuarantined,
		verdict.ReasonCancelled, verdict.ReasonAnswerGone, "a reason of a newer peer",
	}
	rapid.Check(t, func(t *rapid.T) {
		c := Conditions{
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			ReadOnly:      rapid.Bool().Draw(t, "read"),
			AnswerStarted: rapid.Bool().Draw(t, "sent"),
		}
		v := rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict")
		r := rapid.SampledFrom(reasons).Draw(t, "reason")
		next := Decide(Failure{Err: verdict.New(v, r, ""), Reached: rapid.Bool().Draw(t, "asked")}, c)
		if next != Stop && c.AnswerStarted {
			t.Fatal("a second run after a part of the answer was sent")
		}
		if next != Stop && v != verdict.NotRun && !c.Idempotent {
			t.Fatal("a second run of what may have run")
		}
		if next == Reroute && v != verdict.NotRun {
			t.Fatal("a free second run of what may have run")
		}
		if MayHedge(c) && !(c.Idempotent && c.ReadOnly && !c.AnswerStarted) {
			t.Fatal("hedged what is no idempotent read")
		}
	})
}
