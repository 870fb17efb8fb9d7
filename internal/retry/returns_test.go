package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A pool of a plain service in a surge: it answers a hundred requests a second, lets
// few wait, and gets twice as many for some seconds, through several routers.
const (
	surgeRouters  = 4
	surgeAnswers  = 100 // a second
	surgeWaiting  = 30
	surgeArrivals = 200 // a second
	usualArrivals = 50  // a second
	surgeFor      = 4 * time.Second
	surgeSpan     = 12 * time.Second
	surgeSeeds    = 10
)

// attempt is one time that a caller asks.
type attempt struct {
	at        time.Time
	first     time.Time // when the caller asked first
	returning bool
}

type attemptQueue []attempt

func (v attemptQueue) Len() int           { return len(v) }
func (v attemptQueue) Less(i, j int) bool { return v[i].at.Before(v[j].at) }
func (v attemptQueue) Swap(i, j int)      { v[i], v[j] = v[j], v[i] }
func (v *attemptQueue) Push(x any)        { *v = append(*v, x.(attempt)) }
func (v *attemptQueue) Pop() any {
	old := *v
	last := old[len(old)-1]
	*v = old[:len(old)-1]
	return last
}

// surgeOutcome is what callers of a surge have got.
type surgeOutcome struct {
	callers, unserved int
	rejectedAgain     int // refusals of those who came back
}

func (o surgeOutcome) plus(p surgeOutcome) surgeOutcome {
	return surgeOutcome{callers: o.callers + p.callers, unserved: o.unserved + p.unserved, rejectedAgain: o.rejectedAgain + p.rejectedAgain}
}

// simulateSurge plays it for callers that have some time each, with what routers advise.
func simulateSurge(seed uint64, patience time.Duration, delayFor func(router int, now time.Time, left time.Duration) time.Duration, schedulers [surgeRouters]*ReturnScheduler) surgeOutcome {
	random := rand.New(rand.NewPCG(seed, 6))
	var next attemptQueue
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(surgeSpan)); {
		rate := float64(usualArrivals)
		if now.Before(start.Add(surgeFor)) {
			rate = surgeArrivals
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&next, attempt{at: now, first: now})
	}
	var out surgeOutcome
	idleAt := start // when the pool has answered all that wait
	for next.Len() > 0 {
		v := heap.Pop(&next).(attempt)
		router := random.IntN(surgeRouters)
		if !v.returning {
			out.callers++
		}
		schedulers[router].Arrived(v.at)
		waiting := max(0, idleAt.Sub(v.at)) * surgeAnswers / time.Second
		if waiting < surgeWaiting {
			idleAt = later(idleAt, v.at).Add(time.Second / surgeAnswers)
			schedulers[router].Answered(v.at)
			continue
		}
		if v.returning {
			out.rejectedAgain++
		}
		left := patience - v.at.Sub(v.first)
		delay := min(delayFor(router, v.at, left), left/3)
		if delay < 100*time.Millisecond {
			out.unserved++
			continue
		}
		heap.Push(&next, attempt{at: v.at.Add(delay), first: v.first, returning: true})
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

// Twice as many guests as a booking service can take ask for four seconds. Told to come
// back after one second each, they meet the surge again, all of them, and are turned
// away beside new ones. Told to come back when there is room, most are turned away
// once. Guests with little time cannot wait until it is over; they fare alike.
func TestCallersReturnWhenThereIsCapacity(t *testing.T) {
	for _, c := range []struct {
		patience                      time.Duration
		maxRejectedAgain, maxUnserved float64 // in place of one with a fixed second, at most
	}{
		{patience: 15 * time.Second, maxRejectedAgain: 0.2, maxUnserved: 1},
		{patience: 8 * time.Second, maxRejectedAgain: 0.6, maxUnserved: 1},
		{patience: 4 * time.Second, maxRejectedAgain: 1.1, maxUnserved: 1.1},
	} {
		var fixed, planned surgeOutcome
		for seed := range uint64(surgeSeeds) {
			fixed = fixed.plus(simulateSurge(seed, c.patience, func(int, time.Time, time.Duration) time.Duration { return time.Second }, newSchedulers()))
			random := rand.New(rand.NewPCG(seed, 8))
			schedulers := newSchedulers()
			planned = planned.plus(simulateSurge(seed, c.patience, func(router int, now time.Time, left time.Duration) time.Duration {
				return schedulers[router].Schedule(now, left, random.Float64())
			}, schedulers))
		}
		t.Logf("of %d callers with %v, turned away after they came back: %d with a fixed second, %d as advised; unserved: %d, %d",
			fixed.callers, c.patience, fixed.rejectedAgain, planned.rejectedAgain, fixed.unserved, planned.unserved)
		if float64(planned.rejectedAgain) > c.maxRejectedAgain*float64(fixed.rejectedAgain) || float64(planned.unserved) > c.maxUnserved*float64(fixed.unserved) {
			t.Errorf("with %v: turned away again %d, %d with a fixed second; unserved %d, %d",
				c.patience, planned.rejectedAgain, fixed.rejectedAgain, planned.unserved, fixed.unserved)
		}
	}
}

// Whatever has happened, the advice lies between the soonest and the farthest slot.
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
					t.Fatalf("advised %v", d)
				}
			}
		}
	})
}

// A router that has turned away one caller of a pool that is otherwise quiet tells it
// to come back soon; one whose pool answers nothing spreads its callers evenly.
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
		t.Errorf("with room at once: %v, want %v", got, minReturnDelay)
	}
	var unanswered ReturnScheduler
	seen := make(map[time.Duration]int)
	for range returnSlotCount {
		seen[unanswered.Schedule(now, time.Hour, 0)]++
	}
	if len(seen) != returnSlotCount-int(minReturnDelay/returnSlotLength) {
		t.Errorf("%d moments for callers of a pool that answers nothing: %v", len(seen), seen)
	}
}

// Callers that were told to come back are awaited until the last of them may have come, and
// nobody is before.
func TestReturnsArePendingUntilTheLastIsDue(t *testing.T) {
	var r ReturnScheduler
	now := time.Unix(1000, 0)
	if r.Pending(now) {
		t.Error("callers are awaited before any was turned away")
	}
	delay := r.Schedule(now, 9*time.Second, 0.5)
	if !r.Pending(now.Add(delay)) {
		t.Errorf("a caller that was told to come back after %v is not awaited then", delay)
	}
	if overdue := now.Add(delay + returnSlotCount*returnSlotLength); r.Pending(overdue) {
		t.Errorf("it is still awaited %v later", overdue.Sub(now))
	}
}
