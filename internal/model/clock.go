package model

import (
	"container/heap"
	"time"
)

// clock is virtual time: what happens next, in order. Things of the same moment happen
// in the order in which they were scheduled.
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

// after schedules something.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), sequence: c.sequence, do: do})
}

// every schedules something again and again until the end.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		if c.now.Before(c.end) {
			c.every(d, do)
		}
	})
}

// run lets time pass until the end.
func (c *clock) run(end time.Time) {
	c.end = end
	for c.events.Len() > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
