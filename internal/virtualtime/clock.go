// Package virtualtime is a clock for models: it runs events in the order of their times, without
// waiting. It uses no system clock and starts no goroutine, so that a model repeats exactly.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events. Events of the same time run in the order in
// which they were scheduled. It is not safe for concurrent use.
type Clock struct {
	now      time.Time
	events   eventQueue
	sequence uint64
	end      time.Time
}

// NewClock returns a Clock that shows start.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Now returns the time that the clock shows.
func (c *Clock) Now() time.Time { return c.now }

// After schedules do to run once after d. A negative d counts as 0.
func (c *Clock) After(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), sequence: c.sequence, do: do})
}

// Every schedules do to run every d until the end of the run.
func (c *Clock) Every(d time.Duration, do func()) {
	c.After(d, func() {
		do()
		if c.HasTimeLeft() {
			c.Every(d, do)
		}
	})
}

// HasTimeLeft reports whether the clock shows a time before the end of the run.
func (c *Clock) HasTimeLeft() bool { return c.now.Before(c.end) }

// Run executes events in order until none is due by end. The clock then shows the time of the last
// event.
func (c *Clock) Run(end time.Time) {
	c.end = end
	for c.step(end) {
	}
}

// RunFor executes the events of the next d, or until done reports true, and returns how long that took.
// It calls done after an event at most once in each interval; nil: never. If done has not ended it, the
// clock shows the end of d.
func (c *Clock) RunFor(d, interval time.Duration, done func() bool) time.Duration {
	begin := c.now
	c.end = begin.Add(d)
	next := begin
	for c.step(c.end) {
		if done == nil || c.now.Before(next) {
			continue
		}
		next = c.now.Add(interval)
		if done() {
			return c.now.Sub(begin)
		}
	}
	c.now = c.end
	return d
}

// step executes the next event if it is due by end, and reports whether there was one.
func (c *Clock) step(end time.Time) bool {
	if c.events.Len() == 0 || c.events[0].at.After(end) {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.do()
	return true
}
