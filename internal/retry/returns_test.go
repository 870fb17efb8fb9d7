package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A pool of a plain service is in a surge: it answers a hundred requests per second, queues only
// a few, and receives twice as many for some seconds through several routers.
const (
	surgeRouters            = 4
	surgeAnswersPerSecond   = 100
	surgeMaxWaiting         = 30
	surgeArrivalsPerSecond  = 200
	normalArrivalsPerSecond = 50
	surgeDuration           = 4 * time.Second
	simulatedDuration       = 12 * time.Second
	surgeSeeds              = 10
)

// attempt is a request of a caller, the first one or a retry.
type attempt struct {
	at        time.Time
	first     time.Time // time of the caller's first attempt
	returning bool
}

type attemptQueue []attempt

func (q attemptQueue) Len() int           { return len(q) }
func (q attemptQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q attemptQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *attemptQueue) Push(x any)        { *q = append(*q, x.(attempt)) }
func (q *attemptQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// surgeOutcome counts what happened to the callers of a surge.
type surgeOutcome struct {
	callers, unserved int
	rejectedAgain     int // rejections of callers that returned
}

func (o surgeOutcome) plus(p surgeOutcome) surgeOutcome {
	return surgeOutcome{callers: o.callers + p.callers, unserved: o.unserved + p.unserved, rejectedAgain: o.rejectedAgain + p.rejectedAgain}
}

// simulateSurge simulates a surge in which each caller gives up after callerTimeout and returns
// after the delay that its router determines. A caller whose delay would be less than 100 ms has too
// little time left to return.
func simulateSurge(seed uint64, callerTimeout time.Duration, delayFor func(router int, now time.Time, left time.Duration) time.Duration, schedulers [surgeRouters]*ReturnScheduler) surgeOutcome {
	random := rand.New(rand.NewPCG(seed, 6))
	var queue attemptQueue
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(simulatedDuration)); {
		rate := float64(normalArrivalsPerSecond)
		if now.Before(start.Add(surgeDuration)) {
			rate = surgeArrivalsPerSecond
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&queue, attempt{at: now, first: now})
	}
	var out surgeOutcome
	idleAt := start // when the pool has answered all waiting requests
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(attempt)
		router := random.IntN(surgeRouters)
		if !a.returning {
			out.callers++
		}
		schedulers[router].Arrived(a.at)
		waiting := max(0, idleAt.Sub(a.at)) * surgeAnswersPerSecond / time.Second
		if waiting < surgeMaxWaiting {
			idleAt = later(idleAt, a.at).Add(time.Second / surgeAnswersPerSecond)
			schedulers[router].Answered(a.at)
			continue
		}
		if a.returning {
			out.rejectedAgain++
		}
		left := callerTimeout - a.at.Sub(a.first)
		delay := min(delayFor(router, a.at, left), left/3)
		if delay < 100*time.Millisecond {
			out.unserved++
			continue
		}
		heap.Push(&queue, attempt{at: a.at.Add(delay), first: a.first, returning: true})
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newSchedulers() (schedulers [surgeRouters]*ReturnScheduler) {
	for i := range schedulers {
		schedulers[i] = &ReturnScheduler{}
	}
	return schedulers
}

// Twice as many callers as a service can serve arrive for four seconds. If all are told to return
// after one second, they meet the surge again and are rejected along with new callers. If they
// are told to return when there is capacity, most are rejected only once. Callers with little
// time cannot wait for the end of the surge and must get about the same results as with the fixed
// delay.
func TestCallersReturnWhenThereIsCapacity(t *testing.T) {
	for _, c := range []struct {
		callerTimeout                 time.Duration
		maxRejectedAgain, maxUnserved float64 // limits relative to a fixed delay of one second
	}{
		{callerTimeout: 15 * time.Second, maxRejectedAgain: 0.2, maxUnserved: 1},
		{callerTimeout: 8 * time.Second, maxRejectedAgain: 0.6, maxUnserved: 1},
		{callerTimeout: 4 * time.Second, maxRejectedAgain: 1.1, maxUnserved: 1.1},
	} {
		var fixed, planned surgeOutcome
		for seed := range uint64(surgeSeeds) {
			fixed = fixed.plus(simulateSurge(seed, c.callerTimeout, func(int, time.Time, time.Duration) time.Duration { return time.Second }, newSchedulers()))
			random := rand.New(rand.NewPCG(seed, 8))
			schedulers := newSchedulers()
			planned = planned.plus(simulateSurge(seed, c.callerTimeout, func(router int, now time.Time, left time.Duration) time.Duration {
				return schedulers[router].Schedule(now, left, random.Float64())
			}, schedulers))
		}
		t.Logf("of %d callers with %v, rejections of returning callers: %d with a fixed second, %d as scheduled; unserved: %d, %d",
			fixed.callers, c.callerTimeout, fixed.rejectedAgain, planned.rejectedAgain, fixed.unserved, planned.unserved)
		if float64(planned.rejectedAgain) > c.maxRejectedAgain*float64(fixed.rejectedAgain) || float64(planned.unserved) > c.maxUnserved*float64(fixed.unserved) {
			t.Errorf("with %v: %d rejections of returning callers, %d with a fixed second; unserved %d, %d",
				c.callerTimeout, planned.rejectedAgain, fixed.rejectedAgain, planned.unserved, fixed.unserved)
		}
	}
}

// Whatever has happened, the delay must lie between the minimum and the end of the last slot.
func TestReturnDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ReturnScheduler
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.Arrived(now)
			case 1:
				r.Answered(now)
			default:
				d := r.Schedule(now, time.Hour, rapid.Float64Range(0, 1).Draw(t, "spread"))
				if d < minReturnDelay || d > returnSlotCount*returnSlotLength {
					t.Fatalf("delay %v is out of range", d)
				}
			}
		}
	})
}

// Guards against callers that are told to return so late that they have no time for two more attempts. Nobody is
// told to return sooner than after minReturnDelay.
func TestReturnDelayLeavesTimeForMoreAttempts(t *testing.T) {
	for left := 100 * time.Millisecond; left < 10*time.Second; left += 50 * time.Millisecond {
		var r ReturnScheduler
		longest := max(time.Duration(MaxDelayShare*float64(left)), minReturnDelay)
		for range 2 * returnSlotCount {
			if got := r.Schedule(time.Unix(1000, 0), left, 0.99); got > longest || got < minReturnDelay {
				t.Fatalf("with %v left, the delay is %v, want at most %v", left, got, longest)
			}
		}
	}
}

// A router that has rejected one caller of an otherwise idle pool must schedule it soon. If the
// pool answers nothing, the callers must be spread evenly over the slots.
func TestReturnDelayFollowsCapacity(t *testing.T) {
	var idle ReturnScheduler
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		idle.Arrived(now)
		idle.Answered(now)
		idle.Answered(now)
	}
	if got := idle.Schedule(now, time.Hour, 0); got != minReturnDelay {
		t.Errorf("delay %v although there is capacity, want %v", got, minReturnDelay)
	}
	var unanswered ReturnScheduler
	seen := make(map[time.Duration]int)
	for range returnSlotCount {
		seen[unanswered.Schedule(now, time.Hour, 0)]++
	}
	if len(seen) != returnSlotCount-int(minReturnDelay/returnSlotLength) {
		t.Errorf("%d distinct delays for callers of a pool that answers nothing: %v", len(seen), seen)
	}
}

// Guards against callers that return and are treated as new ones. Returns must be pending until the
// last caller told to return may have done so, and not before the first rejection.
func TestReturnsArePendingUntilTheLastIsDue(t *testing.T) {
	var r ReturnScheduler
	now := time.Unix(1000, 0)
	if r.Pending(now) {
		t.Error("returns are pending before any caller was rejected")
	}
	delay := r.Schedule(now, 9*time.Second, 0.5)
	if !r.Pending(now.Add(delay)) {
		t.Errorf("after %v, a caller told to return then is not pending", delay)
	}
	if overdue := now.Add(delay + returnSlotCount*returnSlotLength); r.Pending(overdue) {
		t.Errorf("returns are still pending %v later", overdue.Sub(now))
	}
}
