package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// getRequest is a call that net/http thinks safe to repeat.
var getRequest = Request{ID: "1", Call: wire.Call{Method: http.MethodGet, Path: "/hold"}}

// A payment service drops the second connection on which it hears a call,
// after it has begun to work. On a kept connection net/http sends the call
// again by itself: the guest pays twice, and is told that all went well.
func TestFailedCallIsNotRepeated(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 2 {
			c, _, _ := http.NewResponseController(w).Hijack()
			_ = c.Close()
		}
	}))
	defer server.Close()
	u := NewHTTP(server.URL)
	resp, err := u.Do(context.Background(), getRequest)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	_, err = u.Do(context.Background(), getRequest)
	if e := verdict.From(err); e == nil || e.Verdict != verdict.MayHaveRun || e.Reason != verdict.ReasonUpstreamFailed {
		t.Errorf("the broken call: %v", err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls arrived, want 2", n)
	}
}

// A call to an upstream whose process has ended was not run, also when its
// connections worked before; one that was written and not answered may have.
func TestVerdictDependsOnWhatWasSent(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			close(arrived)
			<-r.Context().Done()
		}
	}))
	u := NewHTTP(server.URL)
	if h := u.Probe(context.Background()); h.State != Up {
		t.Fatalf("probe: %v", h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := u.Do(ctx, getRequest)
	if e := verdict.From(err); e == nil || e.Verdict != verdict.MayHaveRun || e.Reason != verdict.ReasonCancelled {
		t.Errorf("cancelled under way: %v", err)
	}
	if _, err = u.Do(ctx, getRequest); verdict.From(err) == nil || verdict.From(err).Verdict != verdict.NotRun {
		t.Errorf("cancelled before: %v", err)
	}
	server.Close()
	_, err = u.Do(context.Background(), getRequest)
	if e := verdict.From(err); e == nil || e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonUpstreamDown {
		t.Errorf("process ended: %v", err)
	}
	if h := u.Probe(context.Background()); h.State != Gone {
		t.Errorf("probe of an ended process: %v", h)
	}
}

// A frozen process still has its connections accepted, by the kernel.
func TestProbeDetectsFrozenProcess(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if h := NewHTTP("http://" + l.Addr().String()).Probe(context.Background()); h.State != Frozen {
		t.Errorf("probe: %v", h)
	}
}

// BenchmarkConnections weighs a connection for each call against kept ones.
func BenchmarkConnections(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for _, pooled := range []bool{false, true} {
		b.Run(fmt.Sprintf("kept=%v", pooled), func(b *testing.B) {
			u := NewHTTP(server.URL)
			for b.Loop() {
				r := getRequest
				r.Idempotent = pooled
				resp, err := u.Do(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
