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

// simRouter is a simulated router of a fleet.
type simRouter struct {
	limiter        *Limiter
	fleetSize      int           // number of routers that it assumes
	clockLag       time.Duration // time that its clock has lost in suspensions
	suspendedUntil time.Time     // when it runs again
}

// sendAll lets all routers send as much as they may to one cold upstream and returns the times
// at which the requests arrive. Routers are suspended now and then, and their clocks stand still
// meanwhile.
func sendAll(t *rapid.T, fleet []*simRouter, limit Limit, span time.Duration) []time.Time {
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
			for r.limiter.TryAcquire(now.Add(-r.clockLag), "cold", limit, r.fleetSize) {
				out = append(out, now)
			}
		}
	}
	return out
}

// maxWithinSecond returns the largest number of times within one second.
func maxWithinSecond(times []time.Time) int {
	highest := 0
	for i := range times {
		end, _ := slices.BinarySearchFunc(times, times[i].Add(time.Second), time.Time.Compare)
		highest = max(highest, end-i)
	}
	return highest
}

// The engines of a failure domain return cold while all their sessions wait for them. All
// routers send as fast as they may: an engine that got more than its limit would crash again and
// delay its sessions twice. Routers that joined lately are not known to all, so that routers
// assume different fleet sizes, and some routers are suspended meanwhile.
func TestColdUpstreamsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			PerSecond: float64(rapid.IntRange(1, 40).Draw(t, "per second")),
			Overage:   rapid.SampledFrom([]float64{0, 1, 1.5, 2}).Draw(t, "overage"),
			Slack:     float64(rapid.IntRange(0, 8).Draw(t, "slack")),
		}
		n := rapid.IntRange(1, 300).Draw(t, "routers")
		var fleet []*simRouter
		for i := range n {
			assumed := n - rapid.IntRange(0, n/10).Draw(t, "unknown")
			fleet = append(fleet, &simRouter{limiter: NewLimiter(fmt.Sprint("front-", i)), fleetSize: assumed})
		}
		if got := maxWithinSecond(sendAll(t, fleet, limit, 3*time.Second)); got > limit.MaxPerSecond() {
			t.Fatalf("%d routers sent %d requests within a second to an upstream with a limit of %d", n, got, limit.MaxPerSecond())
		}
	})
}

// A limiter that is too strict keeps cold engines idle. When sessions wait at all routers, a
// cold engine must get at least a fifth of its limit on average, whatever the size of the fleet,
// and at most four fifths: the rest is for routers that are not counted yet.
func TestColdUpstreamsGetAMinimumShareOfTheirLimit(t *testing.T) {
	limit := Limit{PerSecond: 11, Overage: 1.5, Slack: 5}
	for _, n := range []int{1, 4, 15, 30, 68, 330} {
		sum, upstreams := 0, 200
		for u := range upstreams {
			for i := range n {
				sum += Share(fmt.Sprint("front-", i), fmt.Sprint("cold-", u), limit, n)
			}
		}
		if share := float64(sum) / float64(upstreams*limit.MaxPerSecond()); share < 0.2 || share > 0.8 {
			t.Errorf("%d routers may use %.2f of the limit of a cold upstream", n, share)
		}
	}
}

// A router that has just started knows no other router and must send nothing: if several start
// together, each would use the whole limit.
func TestRouterWithUnknownFleetSizeSendsNothing(t *testing.T) {
	l := NewLimiter("front-1")
	if l.TryAcquire(start, "cold", Limit{PerSecond: 100}, 0) {
		t.Error("a request is sent with an unknown fleet size")
	}
}

// If the operators allow nothing on top of the rate that a service states, that rate is the
// limit. A service that states no rate has no limit to share.
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
			t.Errorf("%+v: %d requests a second, want %d", c.limit, got, c.want)
		}
	}
}

// Upstreams come and go by the thousand. The requests sent to them must be removed after a
// window.
func TestLimiterForgetsExpiredRequests(t *testing.T) {
	l := NewLimiter("front-1")
	for i := range 100 {
		l.TryAcquire(start, fmt.Sprint("cold-", i), Limit{PerSecond: 100}, 1)
	}
	l.Expire(start.Add(window))
	if len(l.sentAt) != 0 {
		t.Errorf("%d upstreams are still stored", len(l.sentAt))
	}
}
