package retry

import "time"

// Rule limits the retries that routers send to one pool of upstreams: in each period of length
// Window that ends with a retry, the number of retries is at most Ratio times the number of requests
// sent by callers, plus Slack.
type Rule struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries per Window, allowed in addition
	Window time.Duration
}

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// WindowBudget limits the retries of one router to a share of its requests in a sliding window.
// Unlike a Budget, it forgets requests older than the window. If the Rule of each router has the
// same Ratio and a part of the slack, all routers together keep to that Ratio and the sum of their
// slacks, so they need no information about each other's retries.
//
// The zero value is ready to use. A WindowBudget is not safe for concurrent use.
type WindowBudget struct {
	// A window usually begins within the oldest bucket. The retries in that bucket are counted and
	// its requests are not, so the limit is never exceeded.
	buckets [windowBuckets + 1]windowBucket
	slots   slotClock
}

type windowBucket struct {
	requests, retries int
}

// Request counts a request of a caller.
func (w *WindowBudget) Request(now time.Time, r Rule) {
	w.advance(now, r)
	w.buckets[w.index(0)].requests++
}

// Withdraw counts one more attempt of this router and returns true, or returns false if the rule
// does not allow it.
func (w *WindowBudget) Withdraw(now time.Time, r Rule) bool {
	c := w.Counts(now, r)
	if float64(c.Retries+1) > r.Ratio*float64(c.Requests)+r.Slack {
		return false
	}
	w.buckets[w.index(0)].retries++
	return true
}

// WindowCounts are the counts of a window that its limit is worked out from.
type WindowCounts struct {
	Requests, Retries int
}

// Counts returns the counts of the window that ends now.
func (w *WindowBudget) Counts(now time.Time, r Rule) WindowCounts {
	w.advance(now, r)
	var c WindowCounts
	for i := range windowBuckets + 1 {
		b := w.buckets[w.index(i)]
		c.Retries += b.retries
		if i < windowBuckets {
			c.Requests += b.requests
		}
	}
	return c
}

// index returns the index of the bucket that is back buckets before the newest.
func (w *WindowBudget) index(back int) int {
	return w.slots.index(-int64(back), len(w.buckets))
}

// advance makes the bucket at now the newest one.
func (w *WindowBudget) advance(now time.Time, r Rule) {
	length := max(r.Window/windowBuckets, time.Millisecond)
	for back := range w.slots.advance(now, length, int64(len(w.buckets))) {
		w.buckets[w.index(int(back))] = windowBucket{}
	}
}
