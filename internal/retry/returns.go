package retry

import (
	"math"
	"time"
)

const (
	// returnSlotCount is the number of time slots, of returnSlotLength each, to which returning
	// callers are assigned. Waiting for an answer is not worthwhile for longer than all of them.
	returnSlotCount  = 20
	returnSlotLength = 250 * time.Millisecond
	// minReturnDelay is the minimum delay until a caller returns. A caller that returned sooner
	// would find the same queues.
	minReturnDelay = 500 * time.Millisecond
	// rateDecay is the time constant of the averaged rates of arrivals and answers.
	rateDecay = 2 * time.Second
	// minReturnShare is the minimum share of a pool's answers that is reserved for returning
	// callers, however many new ones arrive, because they have waited longest.
	minReturnShare = 0.2
	// MaxDelayShare is the largest share of a caller's remaining time that it may be delayed, so
	// that time for two more attempts remains.
	MaxDelayShare = 1.0 / 3
)

// ReturnScheduler determines when callers rejected by a pool should return. It spreads them over
// the next seconds so that the pool has capacity for them in addition to new callers, and
// accounts for those already scheduled. A router receives the same share of the pool's arrivals as
// of its answers. It therefore fills that share of the capacity with the callers that it has
// rejected itself, and needs no information about other routers.
//
// If all rejected callers return after one second, they meet the same surge again. In ten simulated
// surges of twice the pool's capacity for 4 s each (TestCallersReturnWhenThereIsCapacity), 11958
// callers with a timeout of 15 s were rejected 15453 times on their return after one second, and
// 1799 times with this scheduler. With a timeout of 8 s, the numbers were 15890 and 7371. Callers
// with a timeout of 4 s have too little time to wait for the end of the surge.
//
// The zero value is ready to use. A ReturnScheduler is not safe for concurrent use.
type ReturnScheduler struct {
	scheduled  [returnSlotCount]float64 // callers by the slot in which they return
	slots      slotClock
	arrived    float64   // decayed number of requests of callers
	answers    float64   // decayed number of answers
	updatedAt  time.Time // time of the last decay
	lastReturn time.Time // when the last scheduled caller will have returned
}

// Pending reports whether callers told to return may still do so.
func (r *ReturnScheduler) Pending(now time.Time) bool {
	return now.Before(r.lastReturn)
}

// Arrived counts a request of a caller, including one that returns.
func (r *ReturnScheduler) Arrived(now time.Time) {
	r.advance(now)
	r.arrived++
}

// Answered counts an answer of the pool.
func (r *ReturnScheduler) Answered(now time.Time) {
	r.advance(now)
	r.answers++
}

// Schedule returns the delay after which a caller rejected at now should return: in the first
// slot with spare capacity, or in the emptiest one. left is the time that the caller has left,
// which limits the slots by MaxDelayShare; zero means unlimited. jitter, from 0 to 1, is the
// position within the slot.
func (r *ReturnScheduler) Schedule(now time.Time, left time.Duration, jitter float64) time.Duration {
	r.advance(now)
	capacity := r.slotCapacity()
	first, end := int64(minReturnDelay/returnSlotLength), int64(returnSlotCount)
	if left > 0 {
		maxDelay := time.Duration(MaxDelayShare * float64(left))
		end = min(max(int64(maxDelay/returnSlotLength), first+1), end)
	}
	// Slots are searched in order of time. The search ends when the chosen one has capacity for one
	// more caller; until then, the emptiest one so far is chosen.
	chosen := first
	for i := first; i < end && r.scheduled[r.slot(chosen)]+1 > capacity; i++ {
		if r.scheduled[r.slot(i)] < r.scheduled[r.slot(chosen)] {
			chosen = i
		}
	}
	r.scheduled[r.slot(chosen)]++
	delay := time.Duration((float64(chosen) + jitter) * float64(returnSlotLength))
	if left > 0 { // the first slot may reach beyond the largest share of the time left
		delay = min(delay, max(time.Duration(MaxDelayShare*float64(left)), minReturnDelay))
	}
	if until := now.Add(delay + returnSlotLength); until.After(r.lastReturn) {
		r.lastReturn = until
	}
	return delay
}

// slotCapacity returns the number of returning callers that the pool can serve in one slot: its
// answers less the arrivals of new callers, but at least minReturnShare of its answers. The counted
// arrivals include returning callers; their number is taken from the current slot.
func (r *ReturnScheduler) slotCapacity() float64 {
	seconds := rateDecay.Seconds()
	perSlot := returnSlotLength.Seconds() / seconds
	firstArrivals := math.Max(0, r.arrived-r.scheduled[r.slot(0)]/perSlot)
	return math.Max(r.answers-firstArrivals, minReturnShare*r.answers) * perSlot
}

// slot returns the index of the slot that is ahead slots after the current one.
func (r *ReturnScheduler) slot(ahead int64) int {
	return r.slots.index(ahead, returnSlotCount)
}

// advance moves the slots to now, clears those that have passed and decays the rates.
func (r *ReturnScheduler) advance(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	weight := math.Exp(-now.Sub(r.updatedAt).Seconds() / rateDecay.Seconds())
	r.arrived, r.answers, r.updatedAt = r.arrived*weight, r.answers*weight, now
	for age := range r.slots.advance(now, returnSlotLength, returnSlotCount) {
		r.scheduled[r.slot(-1-age)] = 0 // this slot has passed
	}
}
