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
	at      int64     // number of the newest bucket
	since   time.Time // when the first one began
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
	n := int64(len(w.buckets))
	return int(((w.at-int64(back))%n + n) % n)
}

// advance makes the bucket of now the newest one. Time does not go back.
func (w *Window) advance(now time.Time, r Rule) {
	length := max(r.Window/windowBuckets, time.Millisecond)
	if w.since.IsZero() {
		w.since = now // differences are taken on the monotonic clock: the time of day may jump
	}
	at := now.Sub(w.since).Nanoseconds() / int64(length)
	steps := min(max(at-w.at, 0), int64(len(w.buckets)))
	for range steps {
		w.at++
		w.buckets[w.index(0)] = windowBucket{}
	}
	w.at = max(w.at, at)
}
