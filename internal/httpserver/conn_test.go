package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// echo answers with the method, path and body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// start starts a server in memory, which ends with the test.
func start(t interface{ Cleanup(func()) }, c Config) *pipeListener {
	if c.Handler == nil {
		c.Handler = http.HandlerFunc(echo)
	}
	if c.Limits == nil {
		c.Limits = func() Limits { return testLimits }
	}
	if c.Memory == nil {
		c.Memory = budget.NewMemory(0)
	}
	if c.Connections == 0 {
		c.Connections = 100
	}
	l, _ := startServer(t, c)
	return l
}

// startServer is start, and returns the server as well.
func startServer(t interface{ Cleanup(func()) }, c Config) (*pipeListener, *Server) {
	l, s := newPipeListener(), New(c)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l, s
}

// readStatus reads a response and returns its status and Retry-After; zero: the connection ended without one.
func readStatus(c net.Conn) (status int, retryAfter string) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// requests draws requests with and without bodies, and returns their text and the answers of echo.
func requests(t *rapid.T) (text string, answers []string) {
	for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
		path := fmt.Sprint("/", i)
		fields := strings.Repeat("x:\r\n", rapid.IntRange(0, 40).Draw(t, "fields"))
		if !rapid.Bool().Draw(t, "has a body") {
			text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields)
			answers = append(answers, "GET "+path+" ")
			continue
		}
		body := strings.Repeat("b\r\n", rapid.IntRange(1, 3000).Draw(t, "lines of the body"))
		text += fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", path, fields, len(body), body)
		if rapid.Bool().Draw(t, "an old client") {
			text += "\r\n" // net/http skips it
		}
		answers = append(answers, "POST "+path+" "+body)
	}
	return text, answers
}

// Requests arrive in pieces that end anywhere, and before the answers of earlier ones are read. Guards against requests
// that are lost, mixed or changed because a part of one is read with another, and against memory that stays claimed.
func TestRequestsInPiecesAreServedAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := budget.NewMemory(0)
		l := start(t, Config{Memory: memory})
		text, answers := requests(t)
		c := l.dial()
		var sending sync.WaitGroup
		sending.Go(func() {
			for len(text) > 0 {
				n := min(rapid.SampledFrom([]int{1, 2, 3, 7, 50, 1000, 5000}).Draw(t, "piece"), len(text))
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
		})
		defer sending.Wait()
		defer c.Close()
		r := bufio.NewReader(c)
		for i, want := range answers {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("answer %d of %d: %v", i, len(answers), err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != want {
				t.Fatalf("answer %d is %.40q, %v, want %.40q", i, got, err, want)
			}
		}
		_ = c.Close()
		for end := time.Now().Add(10 * time.Second); memory.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are still claimed", memory.Held())
			}
		}
	})
}

// headOf returns a head of exactly size bytes, without the empty line at its end.
func headOf(size int, field string) string {
	head := "GET / HTTP/1.1\r\nHost: a\r\n"
	for len(head)+2*len(field) <= size {
		head += field
	}
	const last = "y:\r\n"
	return head + strings.Replace(last, ":", ":"+strings.Repeat("v", size-len(head)-len(last)), 1)
}

// Guards against a request that is refused though its head is within the limits: in short fields, in one, or so slow
// that it uses all of the time.
func TestHeadsAtTheLimitAreServed(t *testing.T) {
	for name, field := range map[string]string{"short fields": "x:\r\n", "one field": strings.Repeat(" ", testLimits.HeadBytes)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := start(t, Config{Memory: budget.NewMemory(64 << 20)}).dial()
				head := headOf(testLimits.HeadBytes, field)
				go func() {
					_, _ = io.WriteString(c, head[:1])
					time.Sleep(testLimits.HeadTime - time.Millisecond)
					_, _ = io.WriteString(c, head[1:]+"\r\n")
				}()
				if status, _ := readStatus(c); status != http.StatusOK {
					t.Errorf("status %d", status)
				}
				_ = c.Close()
			})
		})
	}
}

// Heads of very many lines are being parsed. Guards against callers that wait until all of them have been, against a head of
// many lines that is never parsed, and against one that waits without being told.
func TestHeadsOfManyLinesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := startServer(t, Config{
			Handler: http.HandlerFunc(echo), Connections: 10, Memory: budget.NewMemory(0), Limits: func() Limits { return testLimits },
		})
		ask := func(head string) (status int, took time.Duration) {
			c := l.dial()
			defer c.Close()
			began := time.Now()
			go func() { _, _ = io.WriteString(c, head+"\r\n") }()
			status, _ = readStatus(c)
			return status, time.Since(began)
		}
		many := headOf(testLimits.HeadBytes, "x:\r\n")
		for range costlyConcurrency + 1 {
			if status, took := ask(many); status != http.StatusOK || took > 0 {
				t.Errorf("status %d after %v while no head is parsed", status, took)
			}
		}
		for range costlyConcurrency {
			s.costly <- struct{}{}
		}
		if status, took := ask("GET / HTTP/1.1\r\nHost: a\r\n"); status != http.StatusOK || took > 0 {
			t.Errorf("status %d after %v for a head of few fields", status, took)
		}
		if status, took := ask(many); status != http.StatusServiceUnavailable || took != turnTimeout {
			t.Errorf("status %d after %v, want 503 after %v", status, took, turnTimeout)
		}
		time.AfterFunc(turnTimeout/2, func() { <-s.costly })
		if status, took := ask(many); status != http.StatusOK || took != turnTimeout/2 {
			t.Errorf("status %d after %v for a head whose turn comes", status, took)
		}
	})
}

// Guards against heads that are held or parsed without a bound, and against a caller that is not told.
func TestHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	cases := map[string]struct {
		head   string
		memory int64
		status int
	}{
		"short fields":     {headOf(testLimits.HeadBytes+100, "x:\r\n") + "\r\n", 0, http.StatusRequestHeaderFieldsTooLarge},
		"without end":      {headOf(4*testLimits.HeadBytes, "x:\r\n"), 0, http.StatusRequestHeaderFieldsTooLarge},
		"line with no end": {"GET /" + strings.Repeat("x", 4*testLimits.HeadBytes), 0, http.StatusRequestHeaderFieldsTooLarge},
		"never whole":      {"GET / HTTP/1.1\r\nHost: a\r\n", 0, http.StatusRequestTimeout},
		"no memory":        {headOf(testLimits.HeadBytes, "x:\r\n") + "\r\n", 64 << 10, http.StatusServiceUnavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := budget.NewMemory(test.memory)
				c := start(t, Config{Memory: memory}).dial()
				go func() { _, _ = io.WriteString(c, test.head) }()
				status, retryAfter := readStatus(c)
				if status != test.status || (retryAfter != "") != (status == http.StatusServiceUnavailable) {
					t.Errorf("status %d, Retry-After %q, want %d", status, retryAfter, test.status)
				}
				_ = c.Close()
				synctest.Wait()
				if memory.Held() != 0 {
					t.Errorf("%d bytes are still claimed", memory.Held())
				}
			})
		})
	}
}

// Guards against a router that closes connections which its callers may use: an idle one within its time, and a head
// that begins late in it.
func TestIdleConnectionIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, Config{}).dial()
		for range 3 {
			go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
			if status, _ := readStatus(c); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			time.Sleep(testLimits.IdleTime * 4 / 5)
		}
		go func() {
			_, _ = io.WriteString(c, "G")
			time.Sleep(testLimits.HeadTime * 4 / 5)
			_, _ = io.WriteString(c, "ET / HTTP/1.1\r\nHost: a\r\n\r\n")
		}()
		if status, _ := readStatus(c); status != http.StatusOK {
			t.Errorf("status %d for a head that begins late", status)
		}
		_ = c.Close()
	})
}

// A caller sends a line end after a request, as old ones do, and then a head without end. Guards against a head that is
// read without a bound because another one seemed to end before it.
func TestHeadAfterALineEndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, Config{}).dial()
		go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n") }()
		if status, _ := readStatus(c); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		go func() { _, _ = io.WriteString(c, "\r\n"+headOf(4*testLimits.HeadBytes, "x:\r\n")) }()
		if status, _ := readStatus(c); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d", status)
		}
		_ = c.Close()
	})
}

// longAnswer writes a response that net/http does not buffer until its handler returns.
var longAnswer = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<10)) })

// Callers send the head of a request and half of a body that nobody wants. Guards against answers that wait for the rest
// of it, and so against connections that are taken for as long as the callers like.
func TestUnwantedBodiesDelayNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "Content-Length: 1000\r\n\r\nabc",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"padded length": "Content-Length:" + strings.Repeat(" ", maxScannedLine) + "1000\r\n\r\nabc",
		"folded length": "Content-Length:\r\n 1000\r\n\r\nabc",
		"folded chunks": "Transfer-Encoding:\r\n chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for want, h := range map[int]http.Handler{http.StatusNotFound: http.NotFoundHandler(), http.StatusOK: WithoutBodies(longAnswer)} {
				synctest.Test(t, func(t *testing.T) {
					c := start(t, Config{Handler: h}).dial()
					began := time.Now()
					go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+head) }()
					if status, _ := readStatus(c); status != want || time.Since(began) > unwantedBodyWait {
						t.Errorf("status %d after %v, want %d", status, time.Since(began), want)
					}
					_ = c.Close()
				})
			}
		})
	}
}

// A caller sends a body in many small chunks that nobody wants. Guards against a router that parses hundreds of kilobytes of
// them, which takes a thousand times as long as to answer.
func TestUnwantedChunksAreNotParsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 8 << 10 // what net/http buffers before it asks
		c := start(t, Config{Handler: http.NotFoundHandler()}).dial()
		var sent atomic.Int64
		go func() {
			text := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
			for {
				n, err := io.WriteString(c, text)
				if sent.Add(int64(n)); err != nil {
					return
				}
				text = "4\r\nabcd\r\n"
			}
		}()
		if status, _ := readStatus(c); status != http.StatusNotFound || sent.Load() > most {
			t.Errorf("status %d after %d bytes, want no more than %d", status, sent.Load(), most)
		}
		_ = c.Close()
	})
}

// net/http answers a request itself, before any handler, and waits for its body first. Guards against a connection that is
// taken for as long as the caller likes.
func TestBodiesThatNetHTTPWaitsForHaveATime(t *testing.T) {
	for head, want := range map[string]int{
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: something\r\n": http.StatusExpectationFailed,
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n":                   http.StatusNotFound,
	} {
		for _, length := range []string{"Content-Length: 1000", "Content-Length:\r\n 1000", "Transfer-Encoding: chunked"} {
			t.Run(fmt.Sprintf("%.7s, %s", head, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := start(t, Config{Handler: http.NotFoundHandler()}).dial()
					began := time.Now()
					go func() { _, _ = io.WriteString(c, head+length+"\r\n\r\n") }()
					if status, _ := readStatus(c); status != want || time.Since(began) > testLimits.HeadTime {
						t.Errorf("status %d after %v, want %d", status, time.Since(began), want)
					}
					_ = c.Close()
				})
			})
		}
	}
}

// The length of a body stands in a line that is padded or folded. Guards against a body that is cut short or read byte by
// byte, and against a next request that is taken for a part of it.
func TestBodyOfFoldedLengthIsServed(t *testing.T) {
	for name, length := range map[string]string{"padded": strings.Repeat(" ", maxScannedLine), "folded": "\r\n "} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 100 << 10
				c := start(t, Config{}).dial()
				go func() {
					_, _ = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length:%s%d\r\n\r\n%sGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", length, size, strings.Repeat("b", size)))
				}()
				r := bufio.NewReader(c)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode != http.StatusOK || len(body) != len("POST / ")+size || err != nil {
					t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(body), err)
				}
				if _, err := r.ReadByte(); err == nil {
					t.Error("the connection is still open")
				}
				_ = c.Close()
			})
		})
	}
}

// deadlineRecorder is a ResponseWriter that records whether a read deadline was set.
type deadlineRecorder struct {
	http.ResponseWriter
	set bool
}

func (r *deadlineRecorder) SetReadDeadline(at time.Time) error {
	r.set = true
	return http.NewResponseController(r.ResponseWriter).SetReadDeadline(at)
}

// A request is refused after its body has arrived, while net/http watches the connection for its end. Guards against a
// deadline that it takes for the end: each later request of the connection would be given up.
func TestBodyThatHasArrivedNeedsNoDeadline(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "not read": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if read {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					recorder := &deadlineRecorder{ResponseWriter: w}
					dropBody(recorder, r)
					if recorder.set {
						t.Error("a deadline is set")
					}
				})}).dial()
				for range 2 {
					go func() {
						_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
					}()
					if status, _ := readStatus(c); status != http.StatusOK {
						t.Errorf("status %d", status)
					}
				}
				_ = c.Close()
			})
		})
	}
}

// Callers send requests ahead, as fast as they are answered. Guards against a process that does nothing else: the
// requests that were sent ahead take turns, whatever the number of connections.
func TestRequestsSentAheadTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections, each = 8, 50
		l := start(t, Config{})
		began := time.Now()
		var running sync.WaitGroup
		for range connections {
			c := l.dial()
			go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", each)) }()
			running.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for range each {
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			})
		}
		running.Wait()
		const least = connections * (each - 1) / aheadConcurrency * aheadPause
		if took := time.Since(began); took < least {
			t.Errorf("%d requests that were sent ahead took %v, want %v at least", connections*each, took, least)
		}
	})
}
