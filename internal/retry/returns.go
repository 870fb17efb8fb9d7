package retry

import (
	"math"
	"time"
)

const (
	// returnSlotCount are the moments to which callers are told to come back, each
	// returnSlot long: as far ahead as it is worth waiting for an answer.
	returnSlotCount  = 20
	returnSlotLength = 250 * time.Millisecond
	// minReturnDelay is the shortest time after which a caller is told to come back:
	// less, and it meets the same queues.
	minReturnDelay = 500 * time.Millisecond
	// rateDecay is the time over which the rates are averaged.
	rateDecay = 2 * time.Second
	// minReturnShare is the part of what a pool answers that is left to callers that come
	// back, however many new ones come: they have waited longest.
	minReturnShare = 0.2
	// MaxDelayShare is the part of the time that it has left for which a caller stays away, at
	// most, when it is told to come back: it wants time for two more tries.
	MaxDelayShare = 1.0 / 3
)

// ReturnScheduler tells callers that a pool has turned away when to come back. It spreads
// them over the next seconds so that the pool has room for them beside those who
// come for the first time, and counts in those whom it has told before. Each router
// sees the same part of the pool's arrivals and of its answers, so that none needs to
// know of the others.
//
// Told to come back after one second each, callers meet the same surge again. Of 11958
// with 15 s each, in ten surges of twice what the pool can take for 4 s, those who came
// back were turned away 15453 times, and 1799 with this; with 8 s, 15890 and 7371
// (TestCallersComeBackWhenThereIsRoom). Callers with 4 s have no time to let it pass.
//
// The zero value is ready to use. A ReturnScheduler is not safe for concurrent use.
type ReturnScheduler struct {
	scheduled  [returnSlotCount]float64 // callers by the slot to which they come back
	slots      slotClock
	arrived    float64   // requests of callers, their weight lowered by age
	answers    float64   // likewise
	updatedAt  time.Time // when the weights were right
	lastReturn time.Time // when the last of the callers that were told will have come back
}

// Pending reports whether callers that were told to come back may still do so.
func (r *ReturnScheduler) Pending(now time.Time) bool {
	return now.Before(r.lastReturn)
}

// Arrived counts a request of a caller, also of one that comes back.
func (r *ReturnScheduler) Arrived(now time.Time) {
	r.advance(now)
	r.arrived++
}

// Answered counts an answer of the pool.
func (r *ReturnScheduler) Answered(now time.Time) {
	r.advance(now)
	r.answers++
}

// Schedule returns when a caller that is turned away now is to come back, if it has some time
// left, or zero if it has any: in the first slot that has room, of those up to which it
// would stay away, or the emptiest. spread, from 0 to 1, is where in the slot.
func (r *ReturnScheduler) Schedule(now time.Time, left time.Duration, spread float64) time.Duration {
	r.advance(now)
	capacity := r.slotCapacity()
	first, end := int64(minReturnDelay/returnSlotLength), int64(returnSlotCount)
	if left > 0 {
		maxDelay := time.Duration(MaxDelayShare * float64(left))
		end = min(max(int64(maxDelay/returnSlotLength), first+1), end)
	}
	chosen := first
	for i := first; i < end && r.scheduled[r.slot(chosen)]+1 > capacity; i++ {
		if r.scheduled[r.slot(i)] < r.scheduled[r.slot(chosen)] {
			chosen = i
		}
	}
	r.scheduled[r.slot(chosen)]++
	delay := time.Duration((float64(chosen) + spread) * float64(returnSlotLength))
	if until := now.Add(delay + returnSlotLength); until.After(r.lastReturn) {
		r.lastReturn = until
	}
	return delay
}

// slotCapacity returns for how many callers that come back a slot has slotCapacity.
func (r *ReturnScheduler) slotCapacity() float64 {
	seconds := rateDecay.Seconds()
	perSlot := returnSlotLength.Seconds() / seconds
	firstArrivals := math.Max(0, r.arrived-r.scheduled[r.slot(0)]/perSlot)
	return math.Max(r.answers-firstArrivals, minReturnShare*r.answers) * perSlot
}

func (r *ReturnScheduler) slot(ahead int64) int {
	return r.slots.index(ahead, returnSlotCount)
}

// advance makes the slot of now the present one, and lowers the weights.
func (r *ReturnScheduler) advance(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	weight := math.Exp(-now.Sub(r.updatedAt).Seconds() / rateDecay.Seconds())
	r.arrived, r.answers, r.updatedAt = r.arrived*weight, r.answers*weight, now
	for age := range r.slots.advance(now, returnSlotLength, returnSlotCount) {
		r.scheduled[r.slot(-1-age)] = 0 // it is past
	}
}
