package sidecar

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// responseBuffer holds what an upstream has said to one request, for the routers that
// read it: the one that asked, and any that resumes after it. It keeps as much
// as its window allows; when that is full it forgets what all its readers have
// had, or else makes the upstream wait.
type responseBuffer struct {
	store *responseStore
	nonce token.Nonce

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	head      *responseHead
	base      int64 // offset of the first byte that is kept
	body      []byte
	end       *Finish
	discards  bool // what does not fit is forgotten while nobody reads
	readers   map[*sender]bool
	readerSeq uint64        // counts the changes of readers
	endedElem *list.Element // among the ended; guarded by the store
	delivered bool          // some reader has had all of it
}

type responseHead struct {
	status int
	header http.Header
}

// notify needs a.mu held.
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

// write adds b, waiting while there is no room for it.
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

// tryWrite adds what there is room for.
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

// discardDelivered forgets at least missing bytes from the front, as far as all readers
// have had them. It moves in large steps, since each copies the rest; the
// former bytes may be in use by a sender and are not overwritten.
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

// free frees the bytes.
func (a *responseBuffer) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.used.Add(int64(-len(a.body)))
	a.base += int64(len(a.body))
	a.body = nil
	a.notify()
}

// wake tells the writer that a reader has had more.
func (a *responseBuffer) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify()
}

// hasReaders reports whether a router reads the answer.
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

// addReader adds a reader and returns the new count. It reports false when what the
// reader asks for is no longer held.
func (a *responseBuffer) addReader(r *sender, offset int64) (ReadersChanged, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base {
		return ReadersChanged{}, false
	}
	a.readers[r] = true
	return a.readersChanged(), true
}

// removeReader removes a reader, which has had the whole answer if whole.
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

// view is what a reader at some offset can see of an answer.
type view struct {
	head    *responseHead
	bytes   []byte
	length  int64
	gone    bool // what was asked for is no longer held
	end     *Finish
	changed <-chan struct{}
}

// viewAt returns up to limit bytes viewAt offset on.
func (a *responseBuffer) viewAt(offset int64, limit int64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{head: a.head, length: a.base + int64(len(a.body)), end: a.end, changed: a.changed}
	switch {
	case offset < a.base:
		v.gone = true
	case offset < v.length && limit > 0:
		v.bytes = a.body[offset-a.base : min(v.length, offset+limit)-a.base]
	}
	return v
}

// responseStore holds the responseStore of a sidecar within a bound of memory.
type responseStore struct {
	buffer BufferLimits
	used   atomic.Int64

	mu      sync.Mutex
	byNonce map[token.Nonce]*responseBuffer
	ended   list.List // of *answer, in the order of their end
}

// BufferLimits bounds the answers that a sidecar holds.
type BufferLimits struct {
	PerResponse int // bytes of one answer
	Total       int // bytes of all
}

// minWindow is what each running answer may hold, however full the buffer is,
// in bytes: with less it could not go on.
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

// window is how much one running answer may hold now. While all together hold
// too much, those that ended first make room; who asks for one of them hears
// that the answer is gone.
func (s *responseStore) window() int {
	for s.used.Load() > int64(s.buffer.Total) {
		if !s.evict() {
			return min(minWindow, s.buffer.PerResponse)
		}
	}
	return s.buffer.PerResponse
}

// evict drops the answer that ended first among those that nobody reads, or
// reports false.
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
