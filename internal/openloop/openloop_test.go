package openloop

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

func runLoad(t *testing.T, o Options) Report {
	t.Helper()
	var out bytes.Buffer
	if err := Run(t.Context(), o, &out); err != nil {
		t.Fatal(err)
	}
	var r Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func options(url string) Options {
	return Options{
		URL: url, Method: http.MethodPost, PerSecond: 200, Duration: 300 * time.Millisecond,
		Sessions: 5, Timeout: 10 * time.Second, MaxOpen: 100, Seed: 1,
	}
}

// A server rejects some requests, breaks off some responses and completes the others. Each request
// must be counted under its outcome, and {session} be replaced in headers and bodies.
func TestRequestsAreCountedByOutcome(t *testing.T) {
	var mu sync.Mutex
	received, want, sessions := 0, map[string]int{}, map[string]bool{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		at := received
		received++
		sessions[r.Header.Get("Session")] = true
		name := []string{"200", "503", "none", "none"}[at%4]
		want[name]++
		mu.Unlock()
		if r.Host != "chat.example" || string(body) != "body of "+r.Header.Get("Session") {
			t.Errorf("host %q, body %q", r.Host, body)
		}
		switch {
		case name == "503":
			w.WriteHeader(http.StatusServiceUnavailable)
		case at%4 == 3:
			writeBrokenStream(w)
		case name == "none":
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "half")
		default:
			fmt.Fprint(w, "answer")
		}
	}))
	defer s.Close()
	o := options(s.URL)
	o.Host, o.Headers, o.Body = "chat.example", []string{"Session: {session}"}, "body of {session}"
	r := runLoad(t, o)
	mu.Lock()
	defer mu.Unlock()
	if len(want) != 3 || len(sessions) != 5 {
		t.Fatalf("%d requests for sessions %v", received, sessions)
	}
	for name, n := range want {
		if r.Statuses[name] != n {
			t.Errorf("%s: %d, want %d", name, r.Statuses[name], n)
		}
	}
}

// writeBrokenStream writes a stream without a length or chunks that ends within an event.
func writeBrokenStream(w http.ResponseWriter) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: whole\n\ndata: ha")
	_ = b.Flush()
	_ = c.Close()
}

// The server responds only when seven requests are open. The load must not wait for responses.
func TestSlowResponsesDoNotDelayRequests(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	open := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		open++
		if open == 7 {
			close(release)
		}
		mu.Unlock()
		<-release
	}))
	defer s.Close()
	if r := runLoad(t, options(s.URL)); r.Statuses["200"] < 7 || r.Statuses["none"] > 0 {
		t.Errorf("%+v: the load waited for responses", r)
	}
}

// With at most one open request and a server that never responds, all later requests must be
// counted as not sent, and none be sent late.
func TestRequestsBeyondMaxOpenAreNotSent(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer s.Close()
	o := options(s.URL)
	o.MaxOpen, o.Timeout = 1, time.Second
	if r := runLoad(t, o); r.Statuses["none"] != 1 || r.NotSent == 0 {
		t.Errorf("%+v, want one request without a response and others not sent", r)
	}
}

// The server takes 50 ms for each response. The reported latencies must not be shorter: each is
// measured from the scheduled time of its own request, not of a later one.
func TestTimesCountFromWhenEachRequestWasDue(t *testing.T) {
	const work = 50 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		fmt.Fprint(w, "answer")
	}))
	defer s.Close()
	r := runLoad(t, options(s.URL))
	for _, ms := range []float64{r.FirstByte.P50, r.WholeResponse.P50} {
		if ms < float64(work.Milliseconds()) {
			t.Errorf("%+v: shorter than the time of the server", r)
		}
	}
}

// A load that is stopped early must still be reported.
func TestStoppedLoadIsReported(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	o := options(s.URL)
	o.Duration = time.Hour
	var out bytes.Buffer
	if err := Run(ctx, o, &out); err != nil || !strings.Contains(out.String(), "first_byte_ms") {
		t.Errorf("%q, %v", out.String(), err)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.PerSecond = 0 },
		func(o *Options) { o.PerSecond = 1e9 },
		func(o *Options) { o.Duration = 0 },
		func(o *Options) { o.MaxOpen = 0 },
		func(o *Options) { o.Sessions = 0 },
		func(o *Options) { o.Headers = []string{"no colon"} },
		func(o *Options) { o.URL = "http://a b" },
	} {
		o := options("http://localhost")
		change(&o)
		if o.Validate() == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
	if err := options("http://localhost").Validate(); err != nil {
		t.Error(err)
	}
}
