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

// visit is one time that a caller asks.
type visit struct {
	at    time.Time
	first time.Time // when the caller asked first
	again bool
}

type visits []visit

func (v visits) Len() int           { return len(v) }
func (v visits) Less(i, j int) bool { return v[i].at.Before(v[j].at) }
func (v visits) Swap(i, j int)      { v[i], v[j] = v[j], v[i] }
func (v *visits) Push(x any)        { *v = append(*v, x.(visit)) }
func (v *visits) Pop() any {
	old := *v
	last := old[len(old)-1]
	*v = old[:len(old)-1]
	return last
}

// surgeOutcome is what callers of a surge have got.
type surgeOutcome struct {
	callers, unserved int
	again             int // refusals of those who came back
}

func (o surgeOutcome) plus(p surgeOutcome) surgeOutcome {
	return surgeOutcome{callers: o.callers + p.callers, unserved: o.unserved + p.unserved, again: o.again + p.again}
}

// playSurge plays it for callers that have some time each, with what routers advise.
func playSurge(seed uint64, patience time.Duration, advise func(router int, now time.Time, left time.Duration) time.Duration, told [surgeRouters]*ReturnScheduler) surgeOutcome {
	random := rand.New(rand.NewPCG(seed, 6))
	var next visits
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(surgeSpan)); {
		rate := float64(usualArrivals)
		if now.Before(start.Add(surgeFor)) {
			rate = surgeArrivals
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&next, visit{at: now, first: now})
	}
	var out surgeOutcome
	free := start // when the pool has answered all that wait
	for next.Len() > 0 {
		v := heap.Pop(&next).(visit)
		router := random.IntN(surgeRouters)
		if !v.again {
			out.callers++
		}
		told[router].Arrived(v.at)
		waiting := max(0, free.Sub(v.at)) * surgeAnswers / time.Second
		if waiting < surgeWaiting {
			free = later(free, v.at).Add(time.Second / surgeAnswers)
			told[router].Answered(v.at)
			continue
		}
		if v.again {
			out.again++
		}
		left := patience - v.at.Sub(v.first)
		back := min(advise(router, v.at, left), left/3)
		if back < 100*time.Millisecond {
			out.unserved++
			continue
		}
		heap.Push(&next, visit{at: v.at.Add(back), first: v.first, again: true})
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newReturns() (told [surgeRouters]*ReturnScheduler) {
	for i := range told {
		told[i] = &ReturnScheduler{}
	}
	return told
}

// Twice as many guests as a booking service can take ask for four seconds. Told to come
// back after one second each, they meet the surge again, all of them, and are turned
// away beside new ones. Told to come back when there is room, most are turned away
// once. Guests with little time cannot wait until it is over; they fare alike.
func TestCallersComeBackWhenThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		patience        time.Duration
		again, unserved float64 // in place of one with a fixed second, at most
	}{
		{patience: 15 * time.Second, again: 0.2, unserved: 1},
		{patience: 8 * time.Second, again: 0.6, unserved: 1},
		{patience: 4 * time.Second, again: 1.1, unserved: 1.1},
	} {
		var fixed, planned surgeOutcome
		for seed := range uint64(surgeSeeds) {
			fixed = fixed.plus(playSurge(seed, c.patience, func(int, time.Time, time.Duration) time.Duration { return time.Second }, newReturns()))
			random := rand.New(rand.NewPCG(seed, 8))
			told := newReturns()
			planned = planned.plus(playSurge(seed, c.patience, func(router int, now time.Time, left time.Duration) time.Duration {
				return told[router].Schedule(now, left, random.Float64())
			}, told))
		}
		t.Logf("of %d callers with %v, turned away after they came back: %d with a fixed second, %d as advised; unserved: %d, %d",
			fixed.callers, c.patience, fixed.again, planned.again, fixed.unserved, planned.unserved)
		if float64(planned.again) > c.again*float64(fixed.again) || float64(planned.unserved) > c.unserved*float64(fixed.unserved) {
			t.Errorf("with %v: turned away again %d, %d with a fixed second; unserved %d, %d",
				c.patience, planned.again, fixed.again, planned.unserved, fixed.unserved)
		}
	}
}

// Whatever has happened, the advice lies between the soonest and the farthest slot.
func TestAdviceIsBounded(t *testing.T) {
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
				if d < soonestReturn || d > returnSlots*returnSlot {
					t.Fatalf("advised %v", d)
				}
			}
		}
	})
}

// A router that has turned away one caller of a pool that is otherwise quiet tells it
// to come back soon; one whose pool answers nothing spreads its callers evenly.
func TestAdviceFollowsTheRoom(t *testing.T) {
	var quiet ReturnScheduler
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		quiet.Arrived(now)
		quiet.Answered(now)
		quiet.Answered(now)
	}
	if got := quiet.Schedule(now, time.Hour, 0); got != soonestReturn {
		t.Errorf("with room at once: %v, want %v", got, soonestReturn)
	}
	var dark ReturnScheduler
	seen := make(map[time.Duration]int)
	for range returnSlots {
		seen[dark.Schedule(now, time.Hour, 0)]++
	}
	if len(seen) != returnSlots-int(soonestReturn/returnSlot) {
		t.Errorf("%d moments for callers of a pool that answers nothing: %v", len(seen), seen)
	}
}

// Callers that were told to come back are awaited until the last of them may have come, and
// nobody is before.
func TestCallersAreAwaitedAsLongAsTheyWereTold(t *testing.T) {
	var r ReturnScheduler
	now := time.Unix(1000, 0)
	if r.Pending(now) {
		t.Error("callers are awaited before any was turned away")
	}
	back := r.Schedule(now, 9*time.Second, 0.5)
	if !r.Pending(now.Add(back)) {
		t.Errorf("a caller that was told to come back after %v is not awaited then", back)
	}
	if late := now.Add(back + returnSlots*returnSlot); r.Pending(late) {
		t.Errorf("it is still awaited %v later", late.Sub(now))
	}
}
