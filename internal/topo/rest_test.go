package topo

import (
	"net/http"
	"testing"
	"time"
)

// Guards against calls during a backoff, because a later, shorter backoff replaced it, and
// against calls that are held up after the end of a backoff, or by that of reads if they write.
func TestBackoffs(t *testing.T) {
	var s backoffs
	now := time.Unix(1000, 0)
	get, put := request{Call: Call{Method: http.MethodGet}}, request{Call: Call{Method: http.MethodPut}}
	s.extend(get, now, 2*time.Second)
	s.extend(get, now.Add(time.Second), 500*time.Millisecond)
	s.extend(get, now, 0)
	for _, c := range []struct {
		name  string
		r     request
		after time.Duration
		want  time.Duration
	}{
		{"a read within the backoff", get, time.Second, time.Second},
		{"a read at the end of the backoff", get, 2 * time.Second, 0},
		{"a write", put, time.Second, 0},
	} {
		if got := s.remaining(c.r, now.Add(c.after)); got != c.want {
			t.Errorf("%s: %v remaining, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a router that stops calling the store for too long: because of a Retry-After
// that is invalid, negative or excessive, or that comes with another status than 429 and 503.
func TestParseRest(t *testing.T) {
	for _, c := range []struct {
		status  int
		seconds string
		want    time.Duration
	}{
		{http.StatusServiceUnavailable, "1", time.Second},
		{http.StatusTooManyRequests, "0.5", 500 * time.Millisecond},
		{http.StatusServiceUnavailable, "1e9", time.Hour},
		{http.StatusServiceUnavailable, "-1", 0},
		{http.StatusServiceUnavailable, "NaN", 0},
		{http.StatusServiceUnavailable, "Thu, 03 Dec 2026 11:00:00 GMT", 0},
		{http.StatusServiceUnavailable, "", 0},
		{http.StatusOK, "1", 0},
		{http.StatusGone, "1", 0},
	} {
		if got := ParseRest(c.status, c.seconds); got != c.want {
			t.Errorf("%d %q: %v, want %v", c.status, c.seconds, got, c.want)
		}
	}
}
