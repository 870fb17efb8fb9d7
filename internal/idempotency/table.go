// Package idempotency decides whether a request under a key may run.
//
// A Table holds the keys of the requests that one sidecar incarnation has admitted
// or rejected. It is bounded, and a request whose key was evicted never runs again.
// A request that is rejected may continue at another sidecar under a successor key,
// which may have a successor in turn: at most one key of this chain runs. See
// docs/design/0001, "Request keys and the chain".
package idempotency

import (
	"container/heap"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Attempt is one arrival of a request under a key.
type Attempt struct {
	Key         Key
	Org         string
	Fingerprint uint64 // of the request; zero: unknown
	Successor   *Key   // key that the sender proposes for the request if it is rejected here; nil: none
}

// Outcome is the state of a key in a Table.
type Outcome uint8

const (
	// Unseen is a key that may run. The caller must admit or reject it now.
	Unseen Outcome = iota
	// Live is a key whose request is waiting or running.
	Live
	// Done is a key whose request has ended.
	Done
	// Moved is a key that was rejected here and continues under its successor.
	Moved
	// Rejected is a key that will never run here. In a Result it also stands for an
	// attempt that must not run for another reason: the verdict of Err says whether
	// the request may have run.
	Rejected
)

// Result is the result of looking up an attempt.
type Result struct {
	Outcome   Outcome
	Verdict   verdict.Verdict // of Done
	Successor *Key            // of Moved
	Err       *verdict.Error  // of Moved and Rejected
}

// Table is the bounded table of the keys of one sidecar incarnation. It is not safe for
// concurrent use.
type Table struct {
	incarnation uint64
	limit       int
	entries     map[token.Nonce]*entry
	evictable   evictionHeap // entries that are not live
	watermark   int64        // latest expiry of the evicted keys, in Unix seconds
	now         int64        // latest time seen, in Unix seconds
}

// entry is the state of one key. It is kept small, since there is one for each recent
// request.
type entry struct {
	nonce       token.Nonce
	org         string
	fingerprint uint64
	expires     int64
	evictAfter  int64 // it may be evicted after this time, in Unix seconds
	outcome     Outcome
	verdict     verdict.Verdict
	reason      verdict.Reason // of a rejection
	successor   *Key
}

// NewTable returns an empty table of one sidecar incarnation. It holds up to limit
// entries, or all live ones if those are more.
func NewTable(incarnation uint64, limit int) *Table {
	return &Table{incarnation: incarnation, limit: limit, entries: make(map[token.Nonce]*entry)}
}

// Lookup returns the state of an attempt's key. After Unseen the caller must call
// Admit or Reject before the next Lookup.
func (t *Table) Lookup(now time.Time, a Attempt) Result {
	t.advance(now)
	if a.Key.Incarnation != t.incarnation {
		return rejectedResult(verdict.MayHaveRun, verdict.ReasonIncarnationGone, "the sidecar has restarted since the key was made")
	}
	if e := t.entries[a.Key.Nonce]; e != nil {
		return e.lookupResult(a)
	}
	// A copy of a request can arrive after its entry was evicted. Admitted as new, it
	// would run a second time, or although its caller was told not-run. The key of every
	// evicted entry expires at or before the watermark.
	if a.Key.Expires <= t.watermark {
		return rejectedResult(verdict.MayHaveRun, verdict.ReasonEvicted, "the key is no longer known")
	}
	if a.Key.Expires < t.now {
		return rejectedResult(verdict.NotRun, verdict.ReasonBadKey, "the key has expired")
	}
	return Result{Outcome: Unseen}
}

// advance moves the table's clock forward, never back. If it followed a wall clock
// that steps back, a key that was answered not-run as expired could run later.
func (t *Table) advance(now time.Time) {
	t.now = max(t.now, now.Unix())
}

// lookupResult returns the result for an attempt whose key has this entry.
func (e *entry) lookupResult(a Attempt) Result {
	if e.org != a.Org {
		return rejectedResult(verdict.NotRun, verdict.ReasonBadKey, "the key is not valid")
	}
	if e.fingerprint != 0 && a.Fingerprint != 0 && e.fingerprint != a.Fingerprint {
		return rejectedResult(e.keyVerdict(), verdict.ReasonKeyReused, "the key was used for a different request")
	}
	switch {
	case e.outcome == Rejected && e.successor != nil:
		return Result{
			Outcome:   Moved,
			Successor: e.successor,
			Err:       verdict.New(verdict.NotRun, verdict.ReasonMoved, "refused here (%s)", e.reason),
		}
	case e.outcome == Rejected:
		return rejectedResult(verdict.NotRun, e.reason, "refused before")
	default:
		return Result{Outcome: e.outcome, Verdict: e.verdict}
	}
}

// keyVerdict returns the verdict for an attempt whose fingerprint differs from the
// entry's. For the caller, a resend with a slightly different body is the same request,
// so the reuse of an admitted key must not be answered not-run.
func (e *entry) keyVerdict() verdict.Verdict {
	if e.outcome == Rejected {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func rejectedResult(v verdict.Verdict, reason verdict.Reason, detail string) Result {
	return Result{Outcome: Rejected, Err: verdict.New(v, reason, "%s", detail)}
}

// Admit records that an unseen attempt runs or waits to run. It then evicts entries if the
// table is over its limit, as do Reject, Withdraw, Cancel and Finish.
func (t *Table) Admit(a Attempt) {
	e := t.insert(a)
	e.outcome = Live
	t.evictOverLimit()
}

// Reject records that an unseen attempt does not run here. Later copies are
// redirected to its successor, or answered not-run if it has none.
func (t *Table) Reject(a Attempt, r verdict.Reason) {
	t.reject(t.insert(a), r)
}

// Withdraw rejects a live key that has not run, and returns its successor, or nil if
// it has none or is not live.
func (t *Table) Withdraw(n token.Nonce, r verdict.Reason) *Key {
	e := t.entries[n]
	if e == nil || e.outcome != Live {
		return nil
	}
	t.reject(e, r)
	return e.successor
}

// Cancel rejects a live key that has not run. Unlike a withdrawn key, it does not
// continue under its successor.
func (t *Table) Cancel(n token.Nonce) {
	if e := t.entries[n]; e != nil && e.outcome == Live {
		e.successor = nil
		t.reject(e, verdict.ReasonCancelled)
	}
}

// Finish records the end of a live key's request. Unless the table is full, its entry
// stays until its key has expired and keepUntil has passed.
func (t *Table) Finish(n token.Nonce, v verdict.Verdict, keepUntil time.Time) {
	e := t.entries[n]
	if e == nil || e.outcome != Live {
		return
	}
	e.outcome, e.verdict = Done, v
	e.evictAfter = max(e.expires, keepUntil.Unix())
	t.markEvictable(e)
}

// Expire evicts the entries that need not be kept any longer: rejected ones whose key has
// expired, and finished ones that are also past the keepUntil of Finish.
func (t *Table) Expire(now time.Time) {
	t.advance(now)
	for len(t.evictable) > 0 && t.evictable[0].evictAfter < t.now {
		t.evict()
	}
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

func (t *Table) insert(a Attempt) *entry {
	e := &entry{
		nonce:       a.Key.Nonce,
		org:         a.Org,
		fingerprint: a.Fingerprint,
		expires:     a.Key.Expires,
		evictAfter:  a.Key.Expires,
		successor:   a.Successor,
	}
	t.entries[e.nonce] = e
	return e
}

func (t *Table) reject(e *entry, r verdict.Reason) {
	e.outcome, e.reason = Rejected, r
	t.markEvictable(e)
}

func (t *Table) markEvictable(e *entry) {
	heap.Push(&t.evictable, e)
	t.evictOverLimit()
}

// evictOverLimit evicts entries while there are more than the limit. Live entries stay
// even beyond the limit, because the responses to their requests are still being read;
// admission bounds their number.
func (t *Table) evictOverLimit() {
	for len(t.entries) > t.limit && len(t.evictable) > 0 {
		t.evict()
	}
}

func (t *Table) evict() {
	e := heap.Pop(&t.evictable).(*entry)
	delete(t.entries, e.nonce)
	t.watermark = max(t.watermark, e.expires)
}

// evictionHeap is a heap of entries, the one to evict first on top.
type evictionHeap []*entry

func (h evictionHeap) Len() int           { return len(h) }
func (h evictionHeap) Less(i, j int) bool { return h[i].evictAfter < h[j].evictAfter }
func (h evictionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *evictionHeap) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *evictionHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
