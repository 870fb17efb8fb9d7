// Package admission decides which requests an upstream accepts and in which order they
// start.
//
// A request is refused at once if it would take the load over its bound, cannot meet
// its deadline, or finds its queue full. Waiting requests start by priority and, within
// a priority, by weighted fair queueing between organisations.
package admission

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Config limits the requests that an upstream runs and that wait for it.
type Config struct {
	// Slots is how many requests may run at a time. Zero or less: no limit.
	Slots int
	// Reserve is the number of slots kept free, while several organisations are active,
	// for those that use less than their share.
	Reserve int
	// Headroom limits how many requests may run beyond Slots. A request may start there
	// if more requests of lower priority run than already run beyond Slots. It is for
	// upstreams that honour priorities themselves.
	Headroom int
	// MaxWaiting is the greatest number of waiting requests.
	MaxWaiting int
	// MaxBytes is the greatest total size of the waiting requests, in bytes.
	MaxBytes int
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID            token.Nonce
	Org           string
	Profile       string
	Priority      int       // higher starts earlier
	Size          int       // of the body, in bytes
	Weight        int       // of the organisation; values below one count as one
	FirstByteBy   time.Time // zero: no deadline
	Deadline      time.Time // zero: no deadline
	LoadBound     int       // greatest load after admission, this request included
	QueueBound    int       // greatest number of waiting requests of the profile; zero: no limit
	OrgQueueBound int       // the same for the organisation within the profile; zero: no limit
}

// Expires returns the earlier of FirstByteBy and Deadline, from which on it is too late
// to start the request; zero: never. The owner of the queue removes the request then and
// responds at once.
func (r *Request) Expires() time.Time {
	if r.FirstByteBy.IsZero() || (!r.Deadline.IsZero() && r.Deadline.Before(r.FirstByteBy)) {
		return r.Deadline
	}
	return r.FirstByteBy
}

// Queue holds the requests that wait for an upstream and those that run on it.
type Queue struct {
	config        Config
	classes       []*class // by descending priority
	waiting       map[token.Nonce]*waitingRequest
	running       map[token.Nonce]*runningRequest
	organisations map[string]*organisation
	queueLengths  map[queueKey]int
	bytes         int    // of the waiting requests
	external      int    // requests on the upstream that neither Next nor Begin started
	lastSeq       uint64 // sequence number of the last request admitted
	sweptAt       time.Time
	service       average            // running time on the upstream
	firstByte     map[string]average // time until the first byte, by profile
}

// waitingRequest is an admitted request that has not started.
type waitingRequest struct {
	Request
	seq uint64
}

// runningRequest is a request that has started.
type runningRequest struct {
	Request
	started      time.Time
	charged      float64 // charged to its flow at the start, in seconds
	hasFirstByte bool
}

// queueKey identifies a bounded queue: that of a profile, or of one organisation within
// a profile.
type queueKey struct{ profile, org string }

// NewQueue returns an empty queue.
func NewQueue(c Config) *Queue {
	return &Queue{
		config:        c,
		waiting:       make(map[token.Nonce]*waitingRequest),
		running:       make(map[token.Nonce]*runningRequest),
		organisations: make(map[string]*organisation),
		queueLengths:  make(map[queueKey]int),
		firstByte:     make(map[string]average),
	}
}

// Load returns the number of admitted requests that have not ended, plus those on the
// upstream that this queue did not start.
func (q *Queue) Load() int {
	return len(q.waiting) + q.Running()
}

// Running returns the number of requests that run on the upstream.
func (q *Queue) Running() int {
	return len(q.running) + q.external
}

// SetExternal sets the number of requests on the upstream that this queue did not
// start.
func (q *Queue) SetExternal(n int) {
	q.external = max(0, n)
}

// Offer admits a request to the queue. Otherwise it returns an error with the verdict
// NotRun and the time after which capacity is likely to be free.
func (q *Queue) Offer(now time.Time, r Request) *verdict.Error {
	r.Weight = max(1, r.Weight)
	q.markActive(now, &r)
	if err := q.check(now, &r); err != nil {
		return err
	}
	q.lastSeq++
	w := &waitingRequest{Request: r, seq: q.lastSeq}
	q.waiting[r.ID] = w
	q.class(r.Priority).push(w)
	q.adjustQueueLengths(&r, 1)
	q.organisations[r.Org].waiting++
	q.bytes += r.Size
	return nil
}

// check returns why a request is refused, or nil.
func (q *Queue) check(now time.Time, r *Request) *verdict.Error {
	if q.Load() >= r.LoadBound {
		return notRun(verdict.ReasonOverBound, "the upstream is at its bound of %d", r.LoadBound).WithRetryAfter(q.Backoff())
	}
	if q.canStartNow(r) {
		return nil
	}
	if late := q.lateness(now, r); late > 0 {
		return notRun(verdict.ReasonDeadline, "the queue is too long for the deadline").WithRetryAfter(late)
	}
	isFull := len(q.waiting) >= q.config.MaxWaiting || q.bytes+r.Size > q.config.MaxBytes ||
		(r.QueueBound > 0 && q.queueLengths[queueKey{profile: r.Profile}] >= r.QueueBound) ||
		(r.OrgQueueBound > 0 && q.queueLengths[queueKey{r.Profile, r.Org}] >= r.OrgQueueBound)
	if isFull {
		return notRun(verdict.ReasonQueueFull, "the queue is full").WithRetryAfter(q.Backoff())
	}
	return nil
}

func notRun(r verdict.Reason, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, r, format, args...)
}

// canStartNow reports whether a request would start at once.
func (q *Queue) canStartNow(r *Request) bool {
	for _, c := range q.classes {
		if c.priority >= r.Priority && c.waiting > 0 {
			return false
		}
	}
	return q.capacity(r.Priority).fits(r.Org)
}

// Next starts the next request and returns it. It returns false if none may start now.
func (q *Queue) Next(now time.Time) (Request, bool) {
	q.dropInactive(now)
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		f := c.next(q.capacity(c.priority))
		if f == nil {
			return Request{}, false // lower priorities must not overtake
		}
		w := f.requests[0]
		q.dequeue(w)
		c.charge(f, q.begin(now, w.Request).charged)
		return w.Request, true
	}
	return Request{}, false
}

// Begin records the start of a request that bypasses the queue. Like a request that Next
// has started, it counts as running until Done.
func (q *Queue) Begin(now time.Time, r Request) {
	r.Weight = max(1, r.Weight)
	q.markActive(now, &r)
	q.begin(now, r)
}

func (q *Queue) begin(now time.Time, r Request) *runningRequest {
	run := &runningRequest{Request: r, started: now, charged: q.expectedServiceTime().Seconds()}
	q.running[r.ID] = run
	q.organisations[r.Org].running++
	return run
}

// Remove removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Remove(id token.Nonce) bool {
	w := q.waiting[id]
	if w == nil {
		return false
	}
	q.dequeue(w)
	return true
}

// FirstByte records that the response to a running request has begun.
func (q *Queue) FirstByte(now time.Time, id token.Nonce) {
	run := q.running[id]
	if run == nil || run.hasFirstByte {
		return
	}
	run.hasFirstByte = true
	q.observeFirstByte(run.Profile, now.Sub(run.started))
}

// Done records that a running request has ended.
func (q *Queue) Done(now time.Time, id token.Nonce) {
	run := q.running[id]
	if run == nil {
		return
	}
	delete(q.running, id)
	q.organisations[run.Org].running--
	duration := now.Sub(run.started)
	q.service.observe(duration)
	q.class(run.Priority).correctCharge(&run.Request, max(duration.Seconds(), minCostSeconds)-run.charged)
}

func (q *Queue) dequeue(w *waitingRequest) {
	delete(q.waiting, w.ID)
	q.class(w.Priority).remove(w)
	q.adjustQueueLengths(&w.Request, -1)
	q.organisations[w.Org].waiting--
	q.bytes -= w.Size
}

func (q *Queue) adjustQueueLengths(r *Request, by int) {
	for _, k := range [...]queueKey{{profile: r.Profile}, {r.Profile, r.Org}} {
		q.queueLengths[k] += by
		if q.queueLengths[k] == 0 {
			delete(q.queueLengths, k)
		}
	}
}
