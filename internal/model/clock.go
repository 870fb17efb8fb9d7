package model

import (
	"container/heap"
	"time"
)

// clock is virtual time: what happens next, in order. Things of the same moment happen
// in the order in which they were scheduled.
type clock struct {
	now    time.Time
	queue  queue
	number uint64
	end    time.Time
}

type happening struct {
	at     time.Time
	number uint64
	do     func()
}

type queue []happening

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}
func (q *queue) Push(x any) { *q = append(*q, x.(happening)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules something.
func (c *clock) after(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, happening{at: c.now.Add(max(d, 0)), number: c.number, do: do})
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
	for c.queue.Len() > 0 && !c.queue[0].at.After(end) {
		h := heap.Pop(&c.queue).(happening)
		c.now = h.at
		h.do()
	}
}
