package model

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of events. Events of the same time run in the order in
// which they were scheduled.
type clock struct {
	now      time.Time
	events   eventQueue
	sequence uint64
	end      time.Time
}

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
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules do to run once after d. A negative d counts as 0.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), sequence: c.sequence, do: do})
}

// every schedules do to run every d until the end of the run.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		if c.now.Before(c.end) {
			c.every(d, do)
		}
	})
}

// run executes events in order until none is due by end.
func (c *clock) run(end time.Time) {
	c.end = end
	for c.events.Len() > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
