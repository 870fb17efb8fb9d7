package sidecar

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// answer holds what an upstream has said to one request, for the routers that
// read it: the one that asked, and any that resumes after it. It keeps as much
// as its window allows; when that is full it forgets what all its readers have
// had, or else makes the upstream wait.
type answer struct {
	store *answers
	nonce token.Nonce

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    *head
	base    int64 // offset of the first byte that is kept
	body    []byte
	end     *Finish
	unheld  bool // what does not fit is forgotten while nobody reads
	readers map[*sender]bool
	seq     uint64        // counts the changes of readers
	place   *list.Element // among the ended; guarded by the store
	whole   bool          // some reader has had all of it
}

type head struct {
	status int
	header http.Header
}

// update needs a.mu held.
func (a *answer) update() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *answer) setHead(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &head{status: status, header: header}
	a.update()
}

// write adds b, waiting while there is no room for it.
func (a *answer) write(ctx context.Context, b []byte) error {
	for len(b) > 0 {
		n, changed := a.put(b)
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

// put adds what there is room for.
func (a *answer) put(b []byte) (n int, changed <-chan struct{}) {
	window := a.store.window()
	a.mu.Lock()
	defer a.mu.Unlock()
	if missing := len(a.body) + len(b) - window; missing > 0 {
		a.slide(missing)
	}
	n = min(len(b), max(0, window-len(a.body)))
	if n > 0 {
		a.body = append(a.body, b[:n]...)
		a.store.used.Add(int64(n))
		a.update()
	}
	return n, a.changed
}

// slide forgets at least missing bytes from the front, as far as all readers
// have had them. It moves in large steps, since each copies the rest; the
// former bytes may be in use by a sender and are not overwritten.
func (a *answer) slide(missing int) {
	had := len(a.body)
	for r := range a.readers {
		had = min(had, int(r.taken()-a.base))
	}
	if len(a.readers) == 0 && !a.unheld {
		had = 0
	}
	n := min(had, max(missing, len(a.body)/4))
	if n <= 0 {
		return
	}
	a.body = append(make([]byte, 0, cap(a.body)), a.body[n:]...)
	a.base += int64(n)
	a.store.used.Add(int64(-n))
}

func (a *answer) unhold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unheld = true
	a.update()
}

func (a *answer) finish(f Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &f
	a.update()
}

// forget frees the bytes.
func (a *answer) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.used.Add(int64(-len(a.body)))
	a.base += int64(len(a.body))
	a.body = nil
	a.update()
}

// wake tells the writer that a reader has had more.
func (a *answer) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update()
}

// read reports whether a router reads the answer.
func (a *answer) read() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers) > 0
}

func (a *answer) length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + int64(len(a.body))
}

// join adds a reader and returns the new count. It reports false when what the
// reader asks for is no longer held.
func (a *answer) join(r *sender, offset int64) (Readers, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base {
		return Readers{}, false
	}
	a.readers[r] = true
	return a.count(), true
}

// part removes a reader, which has had the whole answer if whole.
func (a *answer) part(r *sender, whole bool) Readers {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	a.whole = a.whole || whole
	a.update()
	return a.count()
}

func (a *answer) count() Readers {
	a.seq++
	return Readers{Nonce: a.nonce, Seq: a.seq, Count: len(a.readers), Delivered: a.whole}
}

// view is what a reader at some offset can see of an answer.
type view struct {
	head    *head
	bytes   []byte
	length  int64
	gone    bool // what was asked for is no longer held
	end     *Finish
	changed <-chan struct{}
}

// from returns up to limit bytes from offset on.
func (a *answer) from(offset int64, limit int64) view {
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

// answers holds the answers of a sidecar within a bound of memory.
type answers struct {
	buffer BufferLimits
	used   atomic.Int64

	mu      sync.Mutex
	byNonce map[token.Nonce]*answer
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

func newAnswers(b BufferLimits) *answers {
	return &answers{buffer: b, byNonce: make(map[token.Nonce]*answer)}
}

func (s *answers) open(n token.Nonce) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byNonce[n] = &answer{store: s, nonce: n, changed: make(chan struct{}), readers: make(map[*sender]bool)}
}

func (s *answers) get(n token.Nonce) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byNonce[n]
}

func (s *answers) finish(f Finish) {
	s.mu.Lock()
	a := s.byNonce[f.Nonce]
	if a != nil {
		a.place = s.ended.PushBack(a)
	}
	s.mu.Unlock()
	if a != nil {
		a.finish(f)
	}
}

func (s *answers) drop(n token.Nonce) {
	s.mu.Lock()
	a := s.byNonce[n]
	delete(s.byNonce, n)
	if a != nil && a.place != nil {
		s.ended.Remove(a.place)
	}
	s.mu.Unlock()
	if a != nil {
		a.forget()
	}
}

// window is how much one running answer may hold now. While all together hold
// too much, those that ended first make room; who asks for one of them hears
// that the answer is gone.
func (s *answers) window() int {
	for s.used.Load() > int64(s.buffer.Total) {
		if !s.evict() {
			return min(minWindow, s.buffer.PerResponse)
		}
	}
	return s.buffer.PerResponse
}

// evict drops the answer that ended first among those that nobody reads, or
// reports false.
func (s *answers) evict() bool {
	a := s.oldestUnread()
	if a == nil {
		return false
	}
	droppedAnswers.Inc()
	s.drop(a.nonce)
	return true
}

func (s *answers) oldestUnread() *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.ended.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*answer); !a.read() {
			return a
		}
	}
	return nil
}
