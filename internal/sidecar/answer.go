package sidecar

import (
	"net/http"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// answer holds what an upstream has said to one request, for the routers that
// read it: the one that asked, and any that resumes after it.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    *head
	body    []byte
	done    bool
	err     *verdict.Error
}

type head struct {
	status int
	header http.Header
}

func newAnswer() *answer {
	return &answer{changed: make(chan struct{})}
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

func (a *answer) append(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body = append(a.body, b...)
	a.update()
}

// finish ends the answer; a nil err means that it is whole.
func (a *answer) finish(err *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.err = true, err
	a.update()
}

// view is what a reader at some offset can see of an answer.
type view struct {
	head    *head
	bytes   []byte
	length  int64
	done    bool
	err     *verdict.Error
	changed <-chan struct{}
}

// from returns up to limit bytes from offset on.
func (a *answer) from(offset int64, limit int) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{head: a.head, length: int64(len(a.body)), done: a.done, err: a.err, changed: a.changed}
	if offset < v.length {
		end := min(v.length, offset+int64(limit))
		v.bytes = a.body[offset:end]
	}
	return v
}
