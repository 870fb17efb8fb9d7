package retry

import "time"

// Rule bounds what routers send again to one pool of upstreams: at each retry, the
// Window that ends there holds at most Ratio of the requests that callers sent to
// it in that time, and Slack on top.
type Rule struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// windowBuckets is into how many parts a window is divided.
const windowBuckets = 10

// Window keeps one router within its part of a Rule. Summed over all routers the
// Rule holds if each keeps Ratio of its own requests, and their slacks add up to
// the Rule's; no router needs to know of another's retries for that.
//
// The zero value is ready to use. A Window is not safe for concurrent use.
type Window struct {
	// One bucket more than the window is kept of retries and one less of requests,
	// so that a window that begins within a bucket is covered.
	buckets [windowBuckets + 1]windowBucket
	slots   slotClock
}

type windowBucket struct {
	requests, retries int
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Time, r Rule) {
	w.advance(now, r)
	w.buckets[w.index(0)].requests++
}

// Withdraw counts one more attempt, or reports false when that would be more than
// the rule allows this router.
func (w *Window) Withdraw(now time.Time, r Rule) bool {
	w.advance(now, r)
	requests, retries := 0, 0
	for i := range windowBuckets + 1 {
		b := w.buckets[w.index(i)]
		retries += b.retries
		if i < windowBuckets {
			requests += b.requests
		}
	}
	if float64(retries+1) > r.Ratio*float64(requests)+r.Slack {
		return false
	}
	w.buckets[w.index(0)].retries++
	return true
}

// index returns where the bucket lies that is back buckets before the newest.
func (w *Window) index(back int) int {
	return w.slots.index(-int64(back), len(w.buckets))
}

// advance makes the bucket of now the newest one.
func (w *Window) advance(now time.Time, r Rule) {
	length := max(r.Window/windowBuckets, time.Millisecond)
	for back := range w.slots.advance(now, length, int64(len(w.buckets))) {
		w.buckets[w.index(int(back))] = windowBucket{}
	}
}
