package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// windowStart is the base time of the tests.
var windowStart = time.Unix(1000, 0)

// Half of the upstreams fail for ten seconds. Without a limit, routers would together send a
// service that is already failing a multiple of its traffic. At each retry of a router, the
// window that ends there must contain no more of its retries than its requests allow. For all
// routers together, requests count over twice the window, because their windows may end at
// different times.
func TestRoutersTogetherObeyTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := Rule{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  float64(rapid.IntRange(0, 3).Draw(t, "slack")),
			Window: 10 * time.Second,
		}
		routers := make([]routerHistory, rapid.IntRange(1, 5).Draw(t, "routers"))
		now := windowStart.Add(time.Hour)
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			r := &routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				r.window.Request(now, rule)
				r.requests = append(r.requests, now)
				continue
			}
			if !r.window.Withdraw(now, rule) {
				continue
			}
			r.retries = append(r.retries, now)
			from := now.Add(-rule.Window)
			checkRetries(t, rule.Ratio*float64(countSince(r.requests, from))+rule.Slack, countSince(r.retries, from))
			requests, retries := 0, 0
			for _, r := range routers {
				requests += countSince(r.requests, from.Add(-rule.Window))
				retries += countSince(r.retries, from)
			}
			checkRetries(t, rule.Ratio*float64(requests)+rule.Slack*float64(len(routers)), retries)
		}
	})
}

// routerHistory holds the budget of a router and the times of its requests and retries.
type routerHistory struct {
	window            WindowBudget
	requests, retries []time.Time
}

func checkRetries(t *rapid.T, allowed float64, have int) {
	if float64(have) > allowed {
		t.Fatalf("%d retries in a window, %.1f allowed", have, allowed)
	}
}

func countSince(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Guards against a budget that denies retries for occasional failures, one request in seven.
func TestWindowAllowsNearlyItsRatio(t *testing.T) {
	rule := Rule{Ratio: 0.2, Window: 10 * time.Second}
	var w WindowBudget
	now, denied := windowStart.Add(time.Hour), 0
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		w.Request(now, rule)
		if i > 100 && i%7 == 0 && !w.Withdraw(now, rule) {
			denied++
		}
	}
	if denied > 0 {
		t.Errorf("%d of 128 retries were denied", denied)
	}
}

// In a short pool a router rejects most requests without sending them. Guards against a budget that counts
// these: upstreams would see more retries per request than the rule allows.
func TestRejectedRequestsAllowNoRetries(t *testing.T) {
	p, now := NewPoolBudgets(), time.Now()
	p.SetRule(Rule{Ratio: 0.2, Window: time.Minute})
	for range 100 {
		if d := p.Reject(now, "chat", 0); d < minReturnDelay {
			t.Fatalf("a caller is to return after %v", d)
		}
	}
	if !p.HasPendingReturns(now, "chat") {
		t.Error("no caller is expected to return")
	}
	if p.Request(now, "chat").Withdraw(CauseFailure) {
		t.Error("a retry after one request that was sent, want one in five")
	}
}
