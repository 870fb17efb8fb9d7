package balance

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSessions is the number of sessions that a router remembers. At the target size, 19,000
// sessions that may return go through one router; each takes 150 bytes.
const maxSessions = 32 << 10

// LastServed remembers which upstream answered each session last through this router. That
// upstream holds the session's prompt regardless of the current ranking: upstreams may have
// joined and left since that have never received the prompt. V identifies an upstream.
// LastServed is safe for concurrent use.
type LastServed[V any] struct {
	mu       sync.Mutex
	sessions *simplelru.LRU[uint64, V]
}

// NewLastServed returns an empty LastServed.
func NewLastServed[V any]() *LastServed[V] {
	sessions, err := simplelru.NewLRU[uint64, V](maxSessions, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &LastServed[V]{sessions: sessions}
}

// Record stores the upstream that has begun to answer a request of a session.
func (l *LastServed[V]) Record(session uint64, upstream V) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions.Add(session, upstream)
}

// Get returns the upstream that answered the session last, and whether there is one.
func (l *LastServed[V]) Get(session uint64) (V, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions.Get(session)
}
