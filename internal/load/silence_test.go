package load

import (
	"math"
	"testing"
	"time"
)

// pair is a parent that hears the loads of all upstreams, and a router that is told by it.
type pair struct {
	parent, router *PoolLoad
	members        []VM
	now            time.Time
}

func newPair(upstreams int) *pair {
	return &pair{parent: NewPoolLoad(), router: NewPoolLoad(), members: vms(upstreams), now: start}
}

// pass lets the parent report its loads every 100 ms. In each step observe records those that
// upstreams report.
func (p *pair) pass(t *testing.T, d time.Duration, observe func()) {
	t.Helper()
	for range d / (100 * time.Millisecond) {
		p.now = p.now.Add(100 * time.Millisecond)
		observe()
		p.parent.HearAllIfDue(p.now)
		if err := p.router.MergeKnown(p.now, p.members, p.parent.PackKnown(p.now, p.members)); err != nil {
			t.Fatal(err)
		}
	}
}

func (p *pair) report(vms []VM, load int) {
	for _, vm := range vms {
		p.parent.Observe(p.now, vm, load)
	}
}

// expectMean checks the means of the parent and of the router.
func (p *pair) expectMean(t *testing.T, idle int, low, high float64) {
	t.Helper()
	for name, loads := range map[string]*PoolLoad{"parent": p.parent, "router": p.router} {
		if got := loads.Mean(len(p.members), idle); got < low || got > high {
			t.Errorf("mean at the %s is %.2f, want %.1f to %.1f", name, got, low, high)
		}
	}
}

// Guards against upstreams that are filled over the load bound because the mean is that of the
// upstreams that get requests: two thirds of the pool are suspected, get none and report nothing.
func TestMeanCountsUpstreamsThatGetNoRequests(t *testing.T) {
	p := newPair(18)
	p.pass(t, 2*time.Second, func() { p.report(p.members, 4) })
	p.expectMean(t, 0, 3.9, 4.1)
	p.pass(t, 3*time.Second, func() { p.report(p.members[:6], 12) })
	p.expectMean(t, 0, 3.9, 5)
}

// Guards against the same after a surge, whose loads count for a while: the upstreams that were
// too slow to get requests work their queues off and report nothing.
func TestMeanAfterASurgeForgetsQueues(t *testing.T) {
	p := newPair(45)
	p.pass(t, 2*time.Second, func() { p.report(p.members, 100) })
	p.pass(t, 4*time.Second, func() { p.report(p.members[:25], 10) })
	p.expectMean(t, 0, 10.0*25/45, 8)
}

// Guards against a mean that counts drained upstreams twice, once as idle and once as silent.
func TestSilentDrainedUpstreamsCountOnce(t *testing.T) {
	p := newPair(45)
	p.pass(t, 2*time.Second, func() { p.report(p.members, 6) })
	p.pass(t, 4*time.Second, func() { p.report(p.members[:30], 9) })
	p.expectMean(t, 15, 5.9, 6.4)
}

// Guards against the same where the drained upstreams have never reported a load.
func TestUnknownDrainedUpstreamsCountAsIdle(t *testing.T) {
	p := newPair(45)
	p.pass(t, 2*time.Second, func() { p.report(p.members[:30], 9) })
	p.expectMean(t, 15, 5.9, 6.1)
}

// Guards against a mean that is far too low in a pool whose loads do not fit into one message:
// that an upstream is not named tells nothing.
func TestUnnamedUpstreamsOfLargePoolsAreNotSilent(t *testing.T) {
	p := newPair(640)
	turn := 0
	p.pass(t, 5*time.Second, func() { // each upstream reports every 800 ms
		turn++
		for i, vm := range p.members {
			if i%8 == turn%8 {
				p.parent.Observe(p.now, vm, 5)
			}
		}
	})
	if got := p.router.Mean(len(p.members), 0); got < 4 || got > 5.1 {
		t.Errorf("mean %.2f, want 4.5 or somewhat less", got)
	}
}

// Guards against a mean that follows its own requests only, at a router that is told nothing any
// more: the last loads stay the best estimate.
func TestMeanStaysWithoutParent(t *testing.T) {
	p := newPair(18)
	p.pass(t, 2*time.Second, func() { p.report(p.members, 4) })
	p.router.Observe(p.now.Add(10*time.Second), 1, 4)
	if got := p.router.Mean(18, 0); math.Abs(got-4) > 0.1 {
		t.Errorf("mean %.2f, want 4", got)
	}
}

// Guards against upstreams that all routers fill at once because a load of a moment ago looks
// certain.
func TestDriftGrowsWithTheAgeOfAReport(t *testing.T) {
	loads := NewPoolLoad()
	for _, vm := range vms(4) {
		loads.Observe(start, vm, 8)
	}
	previous := -1.0
	for _, age := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, priorStay} {
		drift := loads.Drift(start.Add(age), 1)
		if drift <= previous {
			t.Errorf("drift %.2f after %v, want more than %.2f", drift, age, previous)
		}
		previous = drift
	}
	if late, unknown := loads.Drift(start.Add(time.Minute), 1), loads.Drift(start, 9); previous != 4 || late != 4 || unknown != 4 {
		t.Errorf("drift %.2f after the stay, %.2f later, %.2f without a report, want 4", previous, late, unknown)
	}
}

// Guards against loads that are forgotten too early where requests take long: the silence of an
// upstream is compared with how long requests stay.
func TestSilenceIsComparedWithTheStayOfRequests(t *testing.T) {
	for _, stay := range []time.Duration{500 * time.Millisecond, 10 * time.Second} {
		loads, now := NewPoolLoad(), start
		credit := 0.0
		for range 40 {
			loads.Begin(1)
		}
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for credit += 40 * 0.1 / stay.Seconds(); credit >= 1; credit-- {
				loads.End(1)
				loads.Begin(1)
			}
			loads.HearAll(now)
		}
		if got := loads.stays.mean(); math.Abs(got.Seconds()/stay.Seconds()-1) > 0.2 {
			t.Errorf("mean stay %v, want %v", got, stay)
		}
	}
}
