package outlier

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1_000_000, 0)

// pool returns the upstreams of a pool.
func pool(n int) []load.VM {
	out := make([]load.VM, n)
	for i := range out {
		out[i] = load.VM(i + 1)
	}
	return out
}

// An upstream loses two answers within half a second while its health check passes. It must be
// suspected, and be tried again some seconds later.
func TestFailingUpstreamIsSuspectedTemporarily(t *testing.T) {
	d := New()
	vms := pool(6)
	for _, vm := range vms {
		d.Succeeded(start, vm)
	}
	d.Failed(start, vms[0])
	if d.IsSuspected(start, vms[0]) {
		t.Error("suspected after a single failure")
	}
	now := start.Add(500 * time.Millisecond)
	d.Failed(now, vms[0])
	for _, vm := range vms {
		if d.IsSuspected(now, vm) != (vm == vms[0]) {
			t.Errorf("upstream %d suspected: %v", vm, d.IsSuspected(now, vm))
		}
	}
	if d.IsSuspected(now.Add(3*outcomeDecay), vms[0]) {
		t.Error("still suspected after three times the outcome decay")
	}
}

// A service answers every second to every tenth request with an error, at all of its upstreams
// alike. Guards against suspicions in such a pool: moving requests does not help, and sessions would
// lose their caches.
func TestNoneIsSuspectedWhenAllFailAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		vms := pool(rapid.IntRange(1, 20).Draw(t, "upstreams"))
		every := rapid.IntRange(2, 10).Draw(t, "every")
		now := start
		for i := range 40 * every {
			now = now.Add(time.Millisecond)
			for _, vm := range vms {
				if i%every == 0 {
					d.Failed(now, vm)
				} else {
					d.Succeeded(now, vm)
				}
			}
		}
		if n := d.SuspectedCount(now); n > 0 {
			t.Errorf("%d of %d upstreams are suspected", n, len(vms))
		}
	})
}

// Guards against unbounded growth of the counts while thousands of upstreams are added and removed.
func TestKeepDropsRemovedUpstreams(t *testing.T) {
	d := New()
	for _, vm := range pool(100) {
		d.Failed(start, vm)
	}
	d.Keep(pool(3))
	if len(d.counts) != 3 || len(d.unreported) != 3 {
		t.Errorf("%d counts and %d unreported counts are kept, want 3", len(d.counts), len(d.unreported))
	}
}

// suspectedFor returns the duration of the fourth suspicion in a row of the first upstream in a pool
// of 18. Before each suspicion, the first failingCount upstreams fail the given number of requests
// and the others answer as many.
func suspectedFor(failingCount, failures int) time.Duration {
	d, vms, now := New(), pool(18), start
	var duration time.Duration
	for range 4 {
		for i, vm := range vms {
			for range failures {
				if i < failingCount {
					d.Failed(now, vm)
				} else {
					d.Succeeded(now, vm)
				}
			}
		}
		suspectedAt := now
		for d.IsSuspected(now, vms[0]) {
			now = now.Add(outcomeDecay / 15)
		}
		duration = now.Sub(suspectedAt)
	}
	return duration
}

// After a surge, twelve of eighteen upstreams are suspected, some for the fourth time, and the
// other six receive all requests. A single failing upstream may be avoided for long, but each of
// twelve is needed again soon.
func TestSuspicionsAreShortWhenFewAreHealthy(t *testing.T) {
	if alone := suspectedFor(1, 2); alone < 5*time.Second {
		t.Errorf("a single failing upstream is suspected for %v, want 5s at least", alone)
	}
	if many := suspectedFor(12, 2); many > 3*time.Second {
		t.Errorf("one of twelve failing upstreams is suspected for %v, want 3s at most", many)
	}
}

// In a surge, each of twelve of eighteen upstreams has failed thirty requests. After it they
// receive no requests, and their failures keep their weight for five more seconds. They must be
// tried again after the minimum suspicion, also by a router that has received the failures in a
// summary.
func TestMajoritySuspicionsEndOnTime(t *testing.T) {
	d, other, vms := New(), New(), pool(18)
	for i, vm := range vms {
		for range 30 {
			if i < 12 {
				d.Failed(start, vm)
			} else {
				d.Succeeded(start, vm)
				other.Succeeded(start, vm)
			}
		}
	}
	if err := other.MergeSummary(start, vms, d.Summary(start, vms)); err != nil {
		t.Fatal(err)
	}
	if d.SuspectedCount(start) != 12 || other.SuspectedCount(start) != 12 {
		t.Fatalf("%d and %d are suspected, want 12", d.SuspectedCount(start), other.SuspectedCount(start))
	}
	now := start.Add(minSuspicion + 2*evaluateInterval)
	if n := d.SuspectedCount(now); n != 0 {
		t.Errorf("%d are suspected after %v", n, now.Sub(start))
	}
	if n := other.SuspectedCount(now); n != 0 {
		t.Errorf("%d are suspected after %v by a router that received a summary", n, now.Sub(start))
	}
}

// In a surge all upstreams fail about twenty requests per second each for seven seconds. After it
// two thirds of them answer without errors, and the others receive almost no requests. Without a
// limit, the failures of these weighed as much as all that had failed, and took five seconds to
// decay: a third of the pool was suspected although all were healthy, and the loads of the others
// exceeded the load bound.
func TestSuspicionsEndSoonAfterASurge(t *testing.T) {
	const upstreams, perSecond = 46, 20
	d, now := New(), start
	for range 7 * perSecond {
		now = now.Add(time.Second / perSecond)
		for vm := range load.VM(upstreams) {
			d.Failed(now, vm)
		}
	}
	surgeEnd := now
	for now.Sub(surgeEnd) < 3*time.Second {
		now = now.Add(time.Second / perSecond)
		for vm := range load.VM(upstreams * 2 / 3) {
			d.Succeeded(now, vm)
		}
		d.SuspectedCount(now)
	}
	if n := d.SuspectedCount(now); n > 0 {
		t.Errorf("%d of %d upstreams are suspected 3 s after the surge", n, upstreams)
	}
}

// Guards against upstreams being suspected in turn when all of them fail a few requests: the
// others would receive their requests and exceed the load bound.
func TestScatteredFailuresSuspectFew(t *testing.T) {
	const (
		upstreams = 18
		perSecond = 8 // requests at each
		length    = 30 * time.Second
	)
	for _, share := range []float64{0.03, 0.05, 0.1} {
		maxSuspected := 0
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 1))
			d, vms := New(), pool(upstreams)
			for now := start; now.Sub(start) < length; now = now.Add(time.Second / (perSecond * upstreams)) {
				vm := vms[random.IntN(len(vms))]
				if random.Float64() < share {
					d.Failed(now, vm)
				} else {
					d.Succeeded(now, vm)
				}
				maxSuspected = max(maxSuspected, d.SuspectedCount(now))
			}
		}
		if limit := upstreams / 3; maxSuspected > limit {
			t.Errorf("failure share %.2f at each upstream: %d of %d suspected at a time, want %d at most", share, maxSuspected, upstreams, limit)
		}
	}
}
