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
// the one that submitted the request, and any that resumes later. It holds as much
// as its window allows. When the window is full, it discards what all its readers
// have received, or else blocks the upstream.
type responseBuffer struct {
	store *responseStore
	nonce token.Nonce

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	head      *responseHead
	base      int64 // offset in the response of the first byte in body
	body      []byte
	end       *Finish
	discards  bool // overflow is discarded while there are no readers
	readers   map[*sender]bool
	readerSeq uint64        // number of changes of readers
	endedElem *list.Element // in store.ended; guarded by store.mu
	delivered bool          // a reader has received the complete response
}

type responseHead struct {
	status int
	header http.Header
}

// notify wakes all waiters on changed. a.mu must be held.
func (a *responseBuffer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *responseBuffer) setHead(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &responseHead{status: status, header: header}
	a.notify()
}

// write appends b, and blocks while the buffer is full.
func (a *responseBuffer) write(ctx context.Context, b []byte) error {
	for len(b) > 0 {
		n, changed := a.tryWrite(b)
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
func (a *responseBuffer) tryWrite(b []byte) (n int, changed <-chan struct{}) {
	window := a.store.window()
	a.mu.Lock()
	defer a.mu.Unlock()
	if excess := len(a.body) + len(b) - window; excess > 0 {
		a.discardDelivered(excess)
	}
	n = min(len(b), max(0, window-len(a.body)))
	if n > 0 {
		a.body = append(a.body, b[:n]...)
		a.store.used.Add(int64(n))
		a.notify()
	}
	return n, a.changed
}

// discardDelivered discards at least excess bytes from the front, as far as all
// readers have received them. It discards large chunks, since each call copies the
// rest. A sender may still use the old array, so it is not overwritten.
func (a *responseBuffer) discardDelivered(excess int) {
	delivered := len(a.body)
	for r := range a.readers {
		delivered = min(delivered, int(r.deliveredUpTo()-a.base))
	}
	if len(a.readers) == 0 && !a.discards {
		delivered = 0
	}
	n := min(delivered, max(excess, len(a.body)/4))
	if n <= 0 {
		return
	}
	a.body = append(make([]byte, 0, cap(a.body)), a.body[n:]...)
	a.base += int64(n)
	a.store.used.Add(int64(-n))
}

func (a *responseBuffer) discardOverflow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discards = true
	a.notify()
}

func (a *responseBuffer) finish(f Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &f
	a.notify()
}

// free releases the buffered bytes.
func (a *responseBuffer) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.used.Add(int64(-len(a.body)))
	a.base += int64(len(a.body))
	a.body = nil
	a.notify()
}

// wake notifies the writer that a reader has received more bytes.
func (a *responseBuffer) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify()
}

// hasReaders reports whether a router reads the response.
func (a *responseBuffer) hasReaders() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers) > 0
}

func (a *responseBuffer) length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + int64(len(a.body))
}

// addReader adds a reader and returns the new count. It returns false if the bytes
// at offset are no longer buffered.
func (a *responseBuffer) addReader(r *sender, offset int64) (ReadersChanged, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base {
		return ReadersChanged{}, false
	}
	a.readers[r] = true
	return a.readersChanged(), true
}

// removeReader removes a reader and returns the new count. delivered says whether
// it has received the complete response.
func (a *responseBuffer) removeReader(r *sender, delivered bool) ReadersChanged {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	a.delivered = a.delivered || delivered
	a.notify()
	return a.readersChanged()
}

func (a *responseBuffer) readersChanged() ReadersChanged {
	a.readerSeq++
	return ReadersChanged{Nonce: a.nonce, Seq: a.readerSeq, Count: len(a.readers), Delivered: a.delivered}
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
func (a *responseBuffer) viewAt(offset int64, limit int64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{head: a.head, length: a.base + int64(len(a.body)), end: a.end, changed: a.changed}
	switch {
	case offset < a.base:
		v.discarded = true
	case offset < v.length && limit > 0:
		v.bytes = a.body[offset-a.base : min(v.length, offset+limit)-a.base]
	}
	return v
}

// responseStore holds the response buffers of a sidecar within a memory limit.
type responseStore struct {
	buffer BufferLimits
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

// minWindow is the window of each running response when the buffer is full, in
// bytes. With no window, a response could not continue.
const minWindow = 64 << 10

func newResponseStore(b BufferLimits) *responseStore {
	return &responseStore{buffer: b, byNonce: make(map[token.Nonce]*responseBuffer)}
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
	a := s.byNonce[f.Nonce]
	if a != nil {
		a.endedElem = s.ended.PushBack(a)
	}
	s.mu.Unlock()
	if a != nil {
		a.finish(f)
	}
}

func (s *responseStore) drop(n token.Nonce) {
	s.mu.Lock()
	a := s.byNonce[n]
	delete(s.byNonce, n)
	if a != nil && a.endedElem != nil {
		s.ended.Remove(a.endedElem)
	}
	s.mu.Unlock()
	if a != nil {
		a.free()
	}
}

// window returns how many bytes one running response may buffer now. While the
// total is over its limit, it evicts ended responses, oldest first. A router that
// asks for an evicted response gets ReasonAnswerGone.
func (s *responseStore) window() int {
	for s.used.Load() > int64(s.buffer.Total) {
		if !s.evict() {
			return min(minWindow, s.buffer.PerResponse)
		}
	}
	return s.buffer.PerResponse
}

// evict drops the response that ended first among those without readers. It
// returns false if there is none.
func (s *responseStore) evict() bool {
	a := s.oldestUnread()
	if a == nil {
		return false
	}
	droppedResponses.Inc()
	s.drop(a.nonce)
	return true
}

func (s *responseStore) oldestUnread() *responseBuffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.ended.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*responseBuffer); !a.hasReaders() {
			return a
		}
	}
	return nil
}
