package policy

import (
	"container/heap"
	"maps"
	"slices"
)

// event is a scheduled function or the last use of a chat's prefix. The time at is
// virtual, in seconds.
type event struct {
	at   float64
	run  func()
	chat int
}

// eventQueue is a heap of events, earliest first.
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

// cache is an upstream's cache of prompt prefixes. Its capacity is in tokens, and it
// evicts the least recently used prefixes.
type cache struct {
	capacity, used int
	prefixes       map[int]*prefix // by chat
	lruQueue       eventQueue      // an entry is outdated if the prefix has been used since
}

type prefix struct {
	tokens  int
	lastUse float64 // virtual time in seconds
}

// use returns how many tokens of a chat are cached, and extends its cached prefix to
// tokens.
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

// chats returns the chats with a cached prefix, in ascending order.
func (c *cache) chats() []int { return slices.Sorted(maps.Keys(c.prefixes)) }
