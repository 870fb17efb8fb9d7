package balance

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

const (
	slots     = 16
	objective = 400 * time.Millisecond
)

// newEnginePool returns a Tracker and a Pool of six engines with 16 slots each, whose answers
// begin after 80 ms and take another second. Each engine has the given number of requests
// running or queued.
func newEnginePool(now time.Time, requests int) (*Tracker, *placement.Pool, []load.VM) {
	t := NewTracker()
	var ids []load.VM
	var ms []placement.Member
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		id := load.Hash(name)
		ids = append(ids, id)
		ms = append(ms, placement.Member{VM: id, Seed: placement.Seed(name)})
		t.RecordLoad(now, id, requests)
	}
	t.SetSlots(slots)
	t.RecordObjective(0, objective)
	for range 50 {
		t.RecordAnswerTime(now, ids[0], "chat", time.Second)
		t.RecordOutcome(now, Attempt{VM: ids[0], Profile: "chat"}, 80*time.Millisecond, true)
	}
	return t, placement.NewPool(ms, placement.Locality{}), ids
}

// choose returns the first choice for a request of a session, and its basis.
func choose(t *Tracker, now time.Time, p *placement.Pool, mechanisms policy.Policy, random uint64, left time.Duration) (placement.Choice, placement.Basis) {
	var out [placement.MaxCandidates]placement.Choice
	q := placement.Query{Session: 7, LoadMultiple: 4, Random: random, Now: now}
	_, basis := t.Choose(now, p, mechanisms, Request{Query: q, Profile: "chat", Objective: objective, TimeLeft: left}, &out)
	return out[0], basis
}

// All engines have a queue of half a second. If a request were sent as it is, it would be late,
// and so would those after it. Deferred behind all requests that can be answered in time, it
// delays none of them and is served when the queue is gone. If the queues are nearly full, or
// its caller has no time for that, it is rejected at once.
func TestLateRequestsAreDeferredOrRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name               string
		requests           int
		left               time.Duration
		deferred, rejected bool
	}{
		{"free slots", 8, 10 * time.Second, false, false},
		{"a queue", 28, 10 * time.Second, true, false},
		{"full queues", 40, 10 * time.Second, true, true},
		{"no time left", 30, time.Second, true, true},
	} {
		tracker, pool, _ := newEnginePool(now, c.requests)
		for random := range uint64(50) {
			_, basis := choose(tracker, now, pool, policy.All(), random, c.left)
			if basis.Deferred != c.deferred || basis.ShouldReject != c.rejected {
				t.Errorf("%s: deferred %v, rejected %v", c.name, basis.Deferred, basis.ShouldReject)
			}
			if want := map[bool]int{false: 0, true: deferredUrgencyStep}[c.deferred]; basis.Urgency != want {
				t.Errorf("%s: urgency %d, want %d", c.name, basis.Urgency, want)
			}
		}
		without, err := policy.Without("waits")
		if err != nil {
			t.Fatal(err)
		}
		if _, basis := choose(tracker, now, pool, without, 1, c.left); basis.Deferred || basis.ShouldReject {
			t.Errorf("%s: switched off, deferred %v, rejected %v", c.name, basis.Deferred, basis.ShouldReject)
		}
	}
}

// The home of a session has a queue and the other engines have none. The session waits at its
// home, where its prompt is cached: reading the prompt elsewhere would take longer than the
// queue. It leaves a home that works five times slower than the others.
func TestSessionsLeaveSlowHomesAndNotBusyOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker, pool, ids := newEnginePool(now, 8)
	home, _ := choose(tracker, now, pool, policy.All(), 1, 10*time.Second)
	tracker.RecordLoad(now, ids[home.Index], 17)
	for range 40 {
		tracker.RecordOutcome(now, Attempt{VM: ids[home.Index], Profile: "chat", Load: 17}, 900*time.Millisecond, true)
	}
	if got, _ := choose(tracker, now, pool, policy.All(), 1, 10*time.Second); got.Index != home.Index {
		t.Error("the session leaves a home that has a queue")
	}
	for _, id := range ids {
		pause := 40 * time.Millisecond
		if id == ids[home.Index] {
			pause *= 5
		}
		for range 20 {
			tracker.RecordEvents(now, id, "chat", 1, pause)
		}
	}
	if got, _ := choose(tracker, now, pool, policy.All(), 1, 10*time.Second); got.Index == home.Index {
		t.Error("the session stays at a home that works five times slower, and has a queue")
	}
}

// All engines have full queues, and all routers reject all requests. Without requests there are
// no answers that report a newer load. The queues are gone within seconds, and no request may be
// rejected for the old reports.
func TestNoRequestIsRejectedForAnOldQueueReport(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker, pool, _ := newEnginePool(now, 60)
	if _, basis := choose(tracker, now, pool, policy.All(), 1, 10*time.Second); !basis.ShouldReject {
		t.Fatal("with full queues no request is rejected")
	}
	now = now.Add(4 * time.Second)
	if _, basis := choose(tracker, now, pool, policy.All(), 1, 10*time.Second); basis.ShouldReject {
		t.Error("a request is rejected for queues last reported 4 s ago")
	}
}

// Deferral adds to a request's urgency value, of which 9 is the last and least urgent. Requests
// that are not urgent would get higher values, which engines do not support.
func TestDeferredUrgencyStaysInRange(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker, pool, _ := newEnginePool(now, 28)
	for urgency, want := range map[int]int{0: 5, 4: 9, 7: 9, 9: 9} {
		var out [placement.MaxCandidates]placement.Choice
		q := placement.Query{Session: 7, LoadMultiple: 4, Now: now}
		_, basis := tracker.Choose(now, pool, policy.All(), Request{
			Query: q, Profile: "chat", Urgency: urgency, Objective: objective, TimeLeft: 10 * time.Second,
		}, &out)
		if !basis.Deferred || basis.Urgency != want {
			t.Errorf("urgency %d: sent with %d (deferred %v), want %d", urgency, basis.Urgency, basis.Deferred, want)
		}
	}
}

// A stream breaks off in a surge and continues at another engine. Its caller has received the
// first half and gives up after a pause of two seconds, so the request, which has no objective any
// more, must be neither deferred nor rejected. That holds even if the caller was rejected before,
// for which ObjectiveMissed is set.
func TestResumedStreamsAreNotDeferred(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, requests := range []int{28, 40} {
		tracker, pool, _ := newEnginePool(now, requests)
		var out [placement.MaxCandidates]placement.Choice
		q := placement.Query{Session: 7, LoadMultiple: 4, Now: now}
		_, basis := tracker.Choose(now, pool, policy.All(), Request{Query: q, Profile: "chat", TimeLeft: 10 * time.Second, ObjectiveMissed: true}, &out)
		if basis.Deferred || basis.ShouldReject || basis.Urgency != 0 {
			t.Errorf("%d requests at each engine: deferred %v, rejected %v, urgency %d", requests, basis.Deferred, basis.ShouldReject, basis.Urgency)
		}
	}
}
