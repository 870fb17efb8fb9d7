package warmup

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

// simRouter is a simRouter of a fleet, as the test plays it.
type simRouter struct {
	limiter        *Limiter
	fleetSize      int           // that it believes in
	clockLag       time.Duration // by which its clock has fallen back in suspensions
	suspendedUntil time.Time     // when it runs again
}

// sendAll lets all routers send as much as they may to one cold upstream, and returns when
// each request went there. Routers are suspended now and then, and their clocks do not
// count that.
func sendAll(t *rapid.T, fleet []*simRouter, l Limit, span time.Duration) []time.Time {
	var out []time.Time
	for now := start; now.Before(start.Add(span)); now = now.Add(20 * time.Millisecond) {
		if rapid.IntRange(0, 9).Draw(t, "suspend") == 0 {
			r := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "router")]
			pause := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			if !now.Before(r.suspendedUntil) {
				r.suspendedUntil, r.clockLag = now.Add(pause), r.clockLag+pause
			}
		}
		for _, r := range fleet {
			if now.Before(r.suspendedUntil) {
				continue
			}
			for r.limiter.TryAcquire(now.Add(-r.clockLag), "cold", l, r.fleetSize) {
				out = append(out, now)
			}
		}
	}
	return out
}

// maxPerSecond returns the maxPerSecond of times within a second.
func maxPerSecond(times []time.Time) int {
	highest := 0
	for i := range times {
		end, _ := slices.BinarySearchFunc(times, times[i].Add(time.Second), time.Time.Compare)
		highest = max(highest, end-i)
	}
	return highest
}

// A hall's engines come back cold with all their chats waiting for them. All routers send
// as fast as they may: an engine that got more than it bears would crash again, and its
// chats would wait twice. Routers differ in how many they believe there are, by those that
// have joined lately, and some are suspended meanwhile.
func TestColdUpstreamsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			PerSecond: float64(rapid.IntRange(1, 40).Draw(t, "per second")),
			Overage:   rapid.SampledFrom([]float64{0, 1, 1.5, 2}).Draw(t, "overage"),
			Slack:     float64(rapid.IntRange(0, 8).Draw(t, "slack")),
		}
		n := rapid.IntRange(1, 300).Draw(t, "routers")
		var fleet []*simRouter
		for i := range n {
			believed := n - rapid.IntRange(0, n/10).Draw(t, "unknown")
			fleet = append(fleet, &simRouter{limiter: NewLimiter(fmt.Sprint("front-", i)), fleetSize: believed})
		}
		if got := maxPerSecond(sendAll(t, fleet, l, 3*time.Second)); got > l.MaxPerSecond() {
			t.Fatalf("%d routers sent %d within a second to one that bears %d", n, got, l.MaxPerSecond())
		}
	})
}

// A limit that is no use protects nobody: where chats wait at all routers, a cold engine
// gets a fifth at least of what it bears, on average, whatever the size of the fleet.
func TestColdUpstreamsGetAMinimumShareOfTheirLimit(t *testing.T) {
	l := Limit{PerSecond: 11, Overage: 1.5, Slack: 5}
	for _, n := range []int{1, 4, 15, 30, 68, 330} {
		sum, upstreams := 0, 200
		for u := range upstreams {
			for i := range n {
				sum += Share(fmt.Sprint("front-", i), fmt.Sprint("cold-", u), l, n)
			}
		}
		if share := float64(sum) / float64(upstreams*l.MaxPerSecond()); share < 0.2 || share > 0.8 {
			t.Errorf("%d routers may use %.2f of what a cold upstream bears", n, share)
		}
	}
}

// A router that has just started knows of no other. It holds back: all those that start
// together would each take the whole of the limit for itself.
func TestRouterWithUnknownFleetSizeSendsNothing(t *testing.T) {
	g := NewLimiter("front-1")
	if g.TryAcquire(start, "cold", Limit{PerSecond: 100}, 0) {
		t.Error("a request was sent")
	}
}

// Where operators tell no bound on top of what a service states, that is the limit; and one
// that states nothing has none that could be shared.
func TestLimitWithoutOperatorSettings(t *testing.T) {
	for _, c := range []struct {
		limit Limit
		want  int
	}{
		{Limit{PerSecond: 11, Overage: 1.5, Slack: 5}, 21},
		{Limit{PerSecond: 7}, 7},
		{Limit{}, 0},
	} {
		if got := c.limit.MaxPerSecond(); got != c.want {
			t.Errorf("%+v: %d, want %d", c.limit, got, c.want)
		}
	}
}

// Upstreams come and go by the thousand. What was sent to them is forgotten.
func TestLimiterForgetsExpiredRequests(t *testing.T) {
	g := NewLimiter("front-1")
	for i := range 100 {
		g.TryAcquire(start, fmt.Sprint("cold-", i), Limit{PerSecond: 100}, 1)
	}
	g.Expire(start.Add(window))
	if len(g.sentAt) != 0 {
		t.Errorf("%d upstreams are remembered", len(g.sentAt))
	}
}
