package balance

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSessions is how many sessions a router remembers. At the target's size, 19,000
// of those that may come back go through one router; each takes 150 bytes.
const maxSessions = 32 << 10

// LastServed knows which upstream has answered each session last through this router, as what V
// stands for. It holds the session's prompt, whatever the ranking says now: upstreams may have
// joined and left since that have never seen it. It is safe for concurrent use.
type LastServed[V any] struct {
	mu       sync.Mutex
	sessions *simplelru.LRU[uint64, V]
}

// NewLastServed returns a Holders that knows none.
func NewLastServed[V any]() *LastServed[V] {
	sessions, err := simplelru.NewLRU[uint64, V](maxSessions, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &LastServed[V]{sessions: sessions}
}

// Record takes in that an upstream has begun to answer a request of a session.
func (l *LastServed[V]) Record(session uint64, upstream V) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions.Add(session, upstream)
}

// Get returns the upstream that has answered the session last.
func (l *LastServed[V]) Get(session uint64) (V, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions.Get(session)
}
