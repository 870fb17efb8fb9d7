package policy

import (
	"container/heap"
	"maps"
	"slices"
)

// timed is something with a virtual time in seconds; queue is a heap of them.
type timed struct {
	at   float64
	do   func()
	chat int
}
type queue []timed

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(timed)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	defer func() { *q = (*q)[:last] }()
	return (*q)[last]
}

// cache is an upstream's memory of prompt prefixes: it holds a number of
// tokens and drops the prefixes that were used longest ago.
type cache struct {
	capacity, used int
	prefixes       map[int]*prefix // by chat
	byUse          queue           // an entry is outdated if the prefix was used again
}

type prefix struct {
	tokens int
	last   float64 // use
}

// use returns how many tokens of a chat are cached, and caches it up to tokens.
func (c *cache) use(chat, tokens int, at float64) (cached int) {
	p := c.prefixes[chat]
	if p == nil {
		p = &prefix{last: at}
		c.prefixes[chat] = p
		heap.Push(&c.byUse, timed{at: at, chat: chat})
	}
	cached = p.tokens
	c.used += max(tokens-cached, 0)
	p.tokens, p.last = max(tokens, cached), max(at, p.last)
	for c.used > c.capacity {
		oldest := heap.Pop(&c.byUse).(timed)
		if p := c.prefixes[oldest.chat]; p.last > oldest.at {
			heap.Push(&c.byUse, timed{at: p.last, chat: oldest.chat})
		} else {
			c.used -= p.tokens
			delete(c.prefixes, oldest.chat)
		}
	}
	return cached
}

// chats returns the chats that have a prefix here, in a fixed order.
func (c *cache) chats() []int { return slices.Sorted(maps.Keys(c.prefixes)) }
