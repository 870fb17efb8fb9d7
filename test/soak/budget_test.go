package soak

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// Bounds of the platform for retries.
const (
	retryRatio  = 0.2
	retrySlack  = 20
	retryWindow = 10 * time.Second
	// deadlineSlack is how much longer than its caller waits a runner may be told to work, and
	// maxLongDeadlines how many runs may exceed that, unless they are more than one in
	// longDeadlineDivisor.
	deadlineSlack       = 500 * time.Millisecond
	maxLongDeadlines    = 20
	longDeadlineDivisor = 5
	// stableTime is how long after the third crash by copies of a request maxLateCopies more of
	// them may reach runners. It is also how long after a disruption a router is exempt.
	stableTime    = 3 * time.Second
	crashesToTell = 3
	maxLateCopies = 3
)

// restFault is the fault in which a runner rejects requests and asks for rest.
var restFault = fault{"runner wants rest", false, (*harness).restRunner}

// maxLateRest is how late a runner may reject a request that its router has stopped waiting for.
const maxLateRest = 700 * time.Millisecond

// A runner rejects a request late, when the router has stopped waiting for its answer. Guards
// against losing the rest that the answer asks for: the runner gets requests during the rest.
func TestSoakLateRests(t *testing.T) {
	t.Parallel()
	for _, s := range []struct {
		name         string
		callersLeave bool
		late         time.Duration // how late at most
	}{{"callers stay", false, maxLateRest}, {"callers leave", true, maxLateRest}, {"callers leave long before", true, callDeadline}} {
		t.Run(s.name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				h := newHarness(t, seed, false)
				h.faults = []fault{restFault}
				h.maxRestDelay, h.callersLeave = s.late, s.callersLeave
				h.play()
			})
		})
	}
}

// checkRepeats checks that in no retryWindow runners get more repeats of requests than the platform
// allows: a share of the requests, counted in that window or one before it, and a slack.
func (h *harness) checkRepeats() {
	arrivals := h.allArrivals()
	requests := h.requestTimes()
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	worst, worstAt := float64(-retrySlack), 0
	for i, end := range repeats {
		n := i + 1 - indexAt(repeats, end.Add(-retryWindow))
		most := max(
			countBetween(requests, end.Add(-retryWindow), end),
			countBetween(requests, end.Add(-3*retryWindow/2), end.Add(-retryWindow/2)),
			countBetween(requests, end.Add(-2*retryWindow), end.Add(-retryWindow)))
		if over := float64(n) - retryRatio*float64(most) - retrySlack; i == 0 || over > worst {
			worst, worstAt = over, n
		}
	}
	h.t.Logf("%d repeats, the worst window has %d, %.1f against its bound", len(repeats), worstAt, worst)
	if worst > 0 {
		h.t.Errorf("a window of %v has %d repeats, %.1f more than allowed", retryWindow, worstAt, worst)
	}
}

// allArrivals returns the requests of callers that have reached runners, also those that a runner
// rejected because they were meant for another one, in the order of time.
func (h *harness) allArrivals() []fake.Arrival {
	var out []fake.Arrival
	for _, r := range h.allRunners() {
		out = append(out, r.Arrivals()...)
		out = append(out, r.Misdirected()...)
	}
	slices.SortFunc(out, func(a, b fake.Arrival) int { return a.At.Compare(b.At) })
	return out
}

// requestTimes returns when callers sent their requests, in the order of time.
func (h *harness) requestTimes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []time.Time
	for _, c := range h.sent {
		if !c.sent.IsZero() {
			out = append(out, c.sent)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// indexAt returns the index of the first of the sorted times after at.
func indexAt(times []time.Time, at time.Time) int {
	i, _ := slices.BinarySearchFunc(times, at.Add(1), time.Time.Compare)
	return i
}

// countBetween returns the number of the sorted times after from, up to to.
func countBetween(times []time.Time, from, to time.Time) int {
	return indexAt(times, to) - indexAt(times, from)
}

// checkDeadlines checks that runners are told to work no longer than callers wait, but for a few.
func (h *harness) checkDeadlines() {
	runs, long := 0, 0
	for _, r := range h.allRunners() {
		for _, run := range r.Runs() {
			h.mu.Lock()
			c := h.sent[run.ID]
			h.mu.Unlock()
			if c == nil || h.disturbed(run) {
				continue
			}
			runs++
			ms, err := strconv.ParseFloat(run.Header.Get("Deadline-Ms"), 64)
			end := run.At.Add(time.Duration(ms * float64(time.Millisecond)))
			if err != nil || end.After(c.sent.Add(c.deadline+deadlineSlack)) {
				long++
			}
		}
	}
	h.t.Logf("%d of %d runs were told to work longer than their callers wait", long, runs)
	if long > maxLongDeadlines && long > runs/longDeadlineDivisor {
		h.t.Errorf("%d of %d runs were told to work longer than their callers wait", long, runs)
	}
}
