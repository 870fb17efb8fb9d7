package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// getRequest is a call that net/http considers safe to repeat.
var getRequest = Request{ID: "1", Call: wire.Call{Method: http.MethodGet, Path: "/hold"}}

// Guards against calls that run twice. The upstream closes the connection of the
// second call after it has started to run it. On a reused connection net/http would
// send that call again by itself and report success.
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
		t.Errorf("call on a closed connection: %v", err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls arrived, want 2", n)
	}
}

// Guards against a wrong verdict on a call without a response. A call that was written
// to a connection may have run, so it must not be retried as not-run. A call to an
// upstream whose process has ended has not run, also if earlier connections worked.
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
		t.Errorf("cancelled while running: %v", err)
	}
	if _, err = u.Do(ctx, getRequest); verdict.From(err) == nil || verdict.From(err).Verdict != verdict.NotRun {
		t.Errorf("cancelled before the call: %v", err)
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

// The kernel still accepts connections for a frozen process, so connecting alone does
// not detect it.
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

// An upstream's connection ends within an event of a stream that has neither a length nor chunks. Guards
// against keeping the response as a complete one, under its key too.
func TestUnframedStreamThatEndsInAnEventIsInterrupted(t *testing.T) {
	for _, c := range []struct {
		body  string
		whole bool
	}{{"", false}, {"data: a", false}, {"data: a\n", false}, {"data: a\n\n", true}, {"data: a\n\nda", false}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, b, _ := http.NewResponseController(w).Hijack()
			_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + c.body)
			_ = b.Flush()
			_ = conn.Close()
		}))
		resp, err := NewHTTP(server.URL).Do(context.Background(), getRequest)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if whole := err == nil; whole != c.whole || string(body) != c.body {
			t.Errorf("%q: read %q, error %v", c.body, body, err)
		}
		_ = resp.Body.Close()
		server.Close()
	}
}

// An engine's connection ends while it exports a prefix that has neither a length nor chunks. Guards against
// importing a part of a prefix at another engine.
func TestUnframedExportIsNotTaken(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, b, _ := http.NewResponseController(w).Hijack()
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\n\r\npart of a pre")
		_ = b.Flush()
		_ = conn.Close()
	}))
	defer server.Close()
	if b, err := NewHTTP(server.URL).Export(context.Background(), 1); err == nil {
		t.Errorf("exported %q", b)
	}
}

// BenchmarkConnections compares a new connection for each call with pooled connections.
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

// Guards against a sidecar that keeps a head without end until its memory is used up.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	const maxRead = 1 << 20 // with the buffers of the sockets
	for name, text := range map[string]string{"no response": "weights\x00", "header": "HTTP/1.1 200 OK\r\nX: ", "interim": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			read := make(chan int)
			go func() {
				n := 0
				_, err := server.Read(make([]byte, 64<<10))
				for piece := []byte(text); err == nil && n < 2*maxRead; piece = bytes.Repeat(piece[len(piece)-1:], 4<<10) {
					if name == "interim" {
						piece = []byte(text)
					}
					var k int
					k, err = server.Write(piece)
					n += k
				}
				_ = server.Close()
				read <- n
			}()
			u := newHTTP("http://upstream", func(context.Context, string, string) (net.Conn, error) { return client, nil })
			_, err := u.Do(context.Background(), getRequest)
			if e := verdict.From(err); e == nil || e.Verdict != verdict.MayHaveRun {
				t.Errorf("error %v", err)
			}
			if n := <-read; n > maxRead {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}
