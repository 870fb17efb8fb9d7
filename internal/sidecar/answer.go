package sidecar

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// responseBuffer buffers the response to one request for the routers that read it:
// the one that submitted the request, and any that resumes later. It holds up to
// responseStore.responseLimit bytes. When it is full, it discards bytes from the
// front that all its readers have acknowledged. If there are none, the call to the
// upstream blocks.
type responseBuffer struct {
	store *responseStore
	nonce token.Nonce

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	head          *responseHead
	base          int64 // offset in the response of the first byte in body
	body          []byte
	end           *Finish
	discardUnread bool // while there are no readers, all buffered bytes may be discarded
	readers       map[*sender]bool
	readerSeq     uint64        // number of changes of readers
	endedElem     *list.Element // in store.ended; guarded by store.mu
	delivered     bool          // a router has been sent the complete response
}

type responseHead struct {
	status int
	header http.Header
}

// notify wakes all waiters on changed. rb.mu must be held.
func (rb *responseBuffer) notify() {
	close(rb.changed)
	rb.changed = make(chan struct{})
}

func (rb *responseBuffer) setHead(status int, header http.Header) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.head = &responseHead{status: status, header: header}
	rb.notify()
}

// write appends b, and blocks while the buffer is full.
func (rb *responseBuffer) write(ctx context.Context, b []byte) error {
	for len(b) > 0 {
		n, changed := rb.tryWrite(b)
		b = b[n:]
		if n > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// tryWrite appends as much of b as fits and returns its length.
func (rb *responseBuffer) tryWrite(b []byte) (n int, changed <-chan struct{}) {
	limit := rb.store.responseLimit()
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if excess := len(rb.body) + len(b) - limit; excess > 0 {
		rb.discardOldest(excess)
	}
	n = min(len(b), max(0, limit-len(rb.body)))
	if n > 0 {
		rb.body = append(rb.body, b[:n]...)
		rb.store.used.Add(int64(n))
		rb.notify()
	}
	return n, rb.changed
}

// discardOldest discards bytes from the front, excess bytes or a quarter of the
// buffer, whichever is more, but only bytes that all readers have acknowledged.
// Without readers it discards nothing, or, if discardUnread is set, any bytes. It
// discards large chunks, since each call copies the rest. A sender may still use the
// old array, so it is not overwritten.
func (rb *responseBuffer) discardOldest(excess int) {
	discardable := len(rb.body)
	for r := range rb.readers {
		discardable = min(discardable, int(r.acknowledgedUpTo()-rb.base))
	}
	if len(rb.readers) == 0 && !rb.discardUnread {
		discardable = 0
	}
	n := min(discardable, max(excess, len(rb.body)/4))
	if n <= 0 {
		return
	}
	rb.body = append(make([]byte, 0, cap(rb.body)), rb.body[n:]...)
	rb.base += int64(n)
	rb.store.used.Add(int64(-n))
}

// setDiscardUnread allows unread bytes to be discarded while there are no readers.
func (rb *responseBuffer) setDiscardUnread() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.discardUnread = true
	rb.notify()
}

func (rb *responseBuffer) finish(f Finish) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.end = &f
	rb.notify()
}

// free releases the buffered bytes.
func (rb *responseBuffer) free() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.store.used.Add(int64(-len(rb.body)))
	rb.base += int64(len(rb.body))
	rb.body = nil
	rb.notify()
}

// wake notifies the writer that a reader has acknowledged more bytes.
func (rb *responseBuffer) wake() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.notify()
}

// hasReaders reports whether a router reads the response.
func (rb *responseBuffer) hasReaders() bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	return len(rb.readers) > 0
}

func (rb *responseBuffer) length() int64 {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	return rb.base + int64(len(rb.body))
}

// addReader adds a reader and returns the new count. It returns false if the bytes
// at offset are no longer buffered.
func (rb *responseBuffer) addReader(r *sender, offset int64) (ReadersChanged, bool) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if offset < rb.base {
		return ReadersChanged{}, false
	}
	rb.readers[r] = true
	return rb.readersChanged(), true
}

// removeReader removes a reader and returns the new count. delivered says whether
// the reader has been sent the complete response.
func (rb *responseBuffer) removeReader(r *sender, delivered bool) ReadersChanged {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	delete(rb.readers, r)
	rb.delivered = rb.delivered || delivered
	rb.notify()
	return rb.readersChanged()
}

func (rb *responseBuffer) readersChanged() ReadersChanged {
	rb.readerSeq++
	return ReadersChanged{Nonce: rb.nonce, Seq: rb.readerSeq, Count: len(rb.readers), Delivered: rb.delivered}
}

// view is a snapshot of a response for a reader at some offset.
type view struct {
	head      *responseHead
	bytes     []byte
	length    int64
	discarded bool // the bytes at the offset are no longer buffered
	end       *Finish
	changed   <-chan struct{}
}

// viewAt returns a view with up to limit bytes from offset on.
func (rb *responseBuffer) viewAt(offset int64, limit int64) view {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	v := view{head: rb.head, length: rb.base + int64(len(rb.body)), end: rb.end, changed: rb.changed}
	switch {
	case offset < rb.base:
		v.discarded = true
	case offset < v.length && limit > 0:
		v.bytes = rb.body[offset-rb.base : min(v.length, offset+limit)-rb.base]
	}
	return v
}

// responseStore holds the response buffers of a sidecar within a memory limit.
type responseStore struct {
	limits BufferLimits
	used   atomic.Int64

	mu      sync.Mutex
	byNonce map[token.Nonce]*responseBuffer
	ended   list.List // of *responseBuffer, in the order in which they ended
}

// BufferLimits limits the responses that a sidecar buffers.
type BufferLimits struct {
	PerResponse int // bytes of one response
	Total       int // bytes of all responses
}

// minResponseLimit is how many bytes each running response may buffer when the total
// is over its limit. If it could buffer nothing, it could not continue.
const minResponseLimit = 64 << 10

func newResponseStore(b BufferLimits) *responseStore {
	return &responseStore{limits: b, byNonce: make(map[token.Nonce]*responseBuffer)}
}

func (s *responseStore) open(n token.Nonce) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byNonce[n] = &responseBuffer{store: s, nonce: n, changed: make(chan struct{}), readers: make(map[*sender]bool)}
}

func (s *responseStore) get(n token.Nonce) *responseBuffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byNonce[n]
}

func (s *responseStore) finish(f Finish) {
	s.mu.Lock()
	rb := s.byNonce[f.Nonce]
	if rb != nil {
		rb.endedElem = s.ended.PushBack(rb)
	}
	s.mu.Unlock()
	if rb != nil {
		rb.finish(f)
	}
}

func (s *responseStore) drop(n token.Nonce) {
	s.mu.Lock()
	rb := s.byNonce[n]
	delete(s.byNonce, n)
	if rb != nil && rb.endedElem != nil {
		s.ended.Remove(rb.endedElem)
	}
	s.mu.Unlock()
	if rb != nil {
		rb.free()
	}
}

// responseLimit returns how many bytes one running response may buffer now. It first
// evicts ended responses without readers, oldest first, while the total is over its
// limit. A router that asks for an evicted response gets ReasonAnswerGone.
func (s *responseStore) responseLimit() int {
	for s.used.Load() > int64(s.limits.Total) {
		if !s.evict() {
			return min(minResponseLimit, s.limits.PerResponse)
		}
	}
	return s.limits.PerResponse
}

// evict drops the response that ended first among those without readers. It
// returns false if there is none.
func (s *responseStore) evict() bool {
	rb := s.oldestUnread()
	if rb == nil {
		return false
	}
	droppedResponses.Inc()
	s.drop(rb.nonce)
	return true
}

func (s *responseStore) oldestUnread() *responseBuffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.ended.Front(); e != nil; e = e.Next() {
		if rb := e.Value.(*responseBuffer); !rb.hasReaders() {
			return rb
		}
	}
	return nil
}
