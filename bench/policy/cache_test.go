package policy

import (
	"container/heap"
	"maps"
	"slices"
)

// event is something with a virtual time in seconds; queue is a heap of them.
type event struct {
	at   float64
	run  func()
	chat int
}
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	defer func() { *q = (*q)[:last] }()
	return (*q)[last]
}

// cache is an upstream's memory of prompt prefixes: it holds a number of
// tokens and drops the prefixes that were used longest ago.
type cache struct {
	capacity, used int
	prefixes       map[int]*prefix // by chat
	lruQueue       eventQueue      // an entry is outdated if the prefix was used again
}

type prefix struct {
	tokens  int
	lastUse float64 // use
}

// use returns how many tokens of a chat are cached, and caches it up to tokens.
func (c *cache) use(chat, tokens int, at float64) (cached int) {
	p := c.prefixes[chat]
	if p == nil {
		p = &prefix{lastUse: at}
		c.prefixes[chat] = p
		heap.Push(&c.lruQueue, event{at: at, chat: chat})
	}
	cached = p.tokens
	c.used += max(tokens-cached, 0)
	p.tokens, p.lastUse = max(tokens, cached), max(at, p.lastUse)
	for c.used > c.capacity {
		oldest := heap.Pop(&c.lruQueue).(event)
		if p := c.prefixes[oldest.chat]; p.lastUse > oldest.at {
			heap.Push(&c.lruQueue, event{at: p.lastUse, chat: oldest.chat})
		} else {
			c.used -= p.tokens
			delete(c.prefixes, oldest.chat)
		}
	}
	return cached
}

// chats returns the chats that have a prefix here, in a fixed order.
func (c *cache) chats() []int { return slices.Sorted(maps.Keys(c.prefixes)) }
