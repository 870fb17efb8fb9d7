package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	// longBodyBytes is more than the buffers of a connection hold.
	longBodyBytes = 4 << 20
	// callsPerAnswer is how many calls of each kind and version of HTTP are sent for each kind of answer.
	callsPerAnswer = 6
)

// unframedBody is a whole body of an answer without a length, and brokenBody a part that ends after an event.
var (
	unframedBody = streamEvent("early", "v", 1) + streamEvent("early", "v", 2)
	brokenBody   = streamEvent("early", "v", 1)
)

// answer is an answer of runners to each request.
type answer struct {
	name  string
	early bool // it is sent before the body of the request is read
	send  func(r *runner, c net.Conn, req *http.Request)
}

// sendAnswers makes all runners answer in one way.
func (h *harness) sendAnswers(a answer) {
	for _, r := range h.allRunners() {
		handler := func(c net.Conn, req *http.Request, _ string) fake.HandlerResult {
			r.RecordRun(req, "")
			a.send(r, c, req)
			return fake.CloseConn
		}
		if a.early {
			r.SetEarlyHandler(handler)
			continue
		}
		r.SetEarlyHandler(nil)
		r.SetHandler(handler)
	}
}

// answerKinds are the kinds of requests of which calls are sent.
var answerKinds = []struct {
	name, path string
	stream     bool
}{
	{"stream that may go on elsewhere", "/stream/note/1", true},
	{"idempotent", "/fetch/1", false},
	{"not idempotent", "/book/1", false},
}

// callForAnswer sends a request with a body of a length, and returns the call with what came back.
func (h *harness) callForAnswer(path string, stream, http10 bool, bodyBytes int) *call {
	c := h.newCall(http.MethodPost, path, "key-0")
	c.stream, c.http10 = stream, http10
	c.body = strings.Repeat("u", bodyBytes)
	l := connect(h.entries[0])
	if l == nil {
		h.t.Fatal("the router accepts no connection")
	}
	defer l.close()
	l.send(c)
	return c
}

// eachCall sends calls of all kinds, over HTTP/1.1 and HTTP/1.0, while runners answer in one way, and passes them to
// check.
func (h *harness) eachCall(a answer, bodyBytes int, check func(kind string, c *call)) {
	h.sendAnswers(a)
	before := h.countRuns()
	for _, kind := range answerKinds {
		for i := range 2 * callsPerAnswer {
			check(kind.name, h.callForAnswer(kind.path, kind.stream, i%2 == 1, bodyBytes))
		}
	}
	if runs := h.countRuns() - before; runs < callsPerAnswer {
		h.t.Errorf("%s: runners have answered %d requests only", a.name, runs)
	}
}

func (h *harness) countRuns() int {
	n := 0
	for _, r := range h.allRunners() {
		n += len(r.Runs())
	}
	return n
}

// newAnswerHarness returns a running fleet of a router whose runners are suspected of nothing. It calls them without
// proxies, which may end a connection regularly before they reset it.
func newAnswerHarness(t *testing.T) *harness {
	h := newHarness(t, *from, true)
	h.entryCount = 1
	h.bodyLimit = longBodyBytes
	h.withoutProxies = true
	t.Cleanup(h.close)
	h.start()
	return h
}

// sendUnframed sends a body without a length or chunks.
func sendUnframed(version, status, body string, headers ...string) func(*runner, net.Conn, *http.Request) {
	return func(r *runner, c net.Conn, req *http.Request) {
		fmt.Fprintf(c, "%s %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n", version, status, req.Header.Get("Attempt-Id"), r.incarnation)
		if strings.HasPrefix(req.URL.Path, "/stream/") {
			fmt.Fprint(c, "Content-Type: text/event-stream\r\n")
		}
		for _, line := range headers {
			fmt.Fprintf(c, "%s\r\n", line)
		}
		fmt.Fprintf(c, "\r\n%s", body)
	}
}

// thenReset ends the connection with a reset after an answer.
func thenReset(pause time.Duration, send func(*runner, net.Conn, *http.Request)) func(*runner, net.Conn, *http.Request) {
	return func(r *runner, c net.Conn, req *http.Request) {
		send(r, c, req)
		time.Sleep(pause)
		reset(c)
	}
}

// Runners answer long uploads at once, with a body without a length, and break off while the upload is still written.
// Guards against callers that get the part as a whole answer.
func TestSoakEarlyAnswersThatBreakOff(t *testing.T) {
	t.Parallel()
	for _, a := range []answer{
		{"reset", true, thenReset(0, sendUnframed("HTTP/1.1", "200 OK", brokenBody))},
		{"reset after a pause", true, thenReset(20*time.Millisecond, sendUnframed("HTTP/1.1", "200 OK", brokenBody))},
		{"reset, another success", true, thenReset(0, sendUnframed("HTTP/1.1", "201 Created", brokenBody))},
		{"reset, connection to be closed", true, thenReset(0, sendUnframed("HTTP/1.1", "200 OK", brokenBody, "Connection: close"))},
		{"reset, HTTP/1.0", true, thenReset(0, sendUnframed("HTTP/1.0", "200 OK", brokenBody))},
		{"closed with the upload unread", true, sendUnframed("HTTP/1.1", "200 OK", brokenBody)},
	} {
		t.Run(strings.ReplaceAll(a.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			h := newAnswerHarness(t)
			h.eachCall(a, longBodyBytes, func(kind string, c *call) {
				if c.complete && c.status/100 == 2 {
					t.Errorf("%s, HTTP/1.0 %v: status %d with %q is complete", kind, c.http10, c.status, c.responseBody)
				}
			})
		})
	}
}

// Runners send whole bodies without a length and end their sending side: after the request was read, or before, and then
// read the request to its end. They must be served.
func TestSoakAnswersWithoutALengthAreServed(t *testing.T) {
	t.Parallel()
	whole := sendUnframed("HTTP/1.1", "200 OK", unframedBody)
	for _, a := range []answer{
		{"after the request was read", false, whole},
		{"before the request is read", true, func(r *runner, c net.Conn, req *http.Request) {
			whole(r, c, req)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, req.Body)
		}},
	} {
		t.Run(strings.ReplaceAll(a.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			h := newAnswerHarness(t)
			h.eachCall(a, longBodyBytes, func(kind string, c *call) {
				if !c.complete || c.status != http.StatusOK || c.responseBody != unframedBody {
					t.Errorf("%s, HTTP/1.0 %v: status %d, complete %v, %q", kind, c.http10, c.status, c.complete, c.responseBody)
				}
			})
		})
	}
}

// chunkedBody is a body in chunks.
const chunkedBody = "5\r\nhello\r\n0\r\n\r\n"

// brokenHead returns an answer whose head is none, with a body that is no caller's.
func brokenHead(name, status string, headers ...string) answer {
	return answer{name, false, sendUnframed("HTTP/1.1", status, "a body of no caller's", headers...)}
}

// brokenHeads are answers of runners in trouble that are none.
var brokenHeads = []answer{
	brokenHead("status 000", "000 OK", "Content-Length: 20"),
	{"status 000, then an answer", false, func(r *runner, c net.Conn, req *http.Request) {
		sendUnframed("HTTP/1.1", "000 OK", "")(r, c, req)
		sendUnframed("HTTP/1.1", "200 OK", "another", "Content-Length: 7")(r, c, req)
	}},
	brokenHead("status +20", "+20 OK", "Content-Length: 20"),
	brokenHead("status 999", "999 OK", "Content-Length: 20"),
	brokenHead("another protocol", "101 Switching Protocols"),
	brokenHead("a blank in a name", "200 OK", "Content-Length: 20", "X Y: z"),
	brokenHead("a blank after a name", "200 OK", "Content-Length: 20", "X : z"),
	brokenHead("a blank after the name of the length", "200 OK", "Content-Length : 5"),
	brokenHead("a blank after the name of the encoding", "200 OK", "Transfer-Encoding : chunked"),
	brokenHead("a tab in a name", "200 OK", "Content-Length: 20", "X\tY: z"),
	brokenHead("a control byte in a name", "200 OK", "Content-Length: 20", "X\x01: z"),
	{"both a length and chunks", false, sendUnframed("HTTP/1.1", "200 OK", chunkedBody, "Content-Length: 5", "Transfer-Encoding: chunked")},
	{"chunks in HTTP/1.0", false, sendUnframed("HTTP/1.0", "200 OK", chunkedBody, "Transfer-Encoding: chunked")},
	{"a blank in a name of an interim answer", false, func(r *runner, c net.Conn, req *http.Request) {
		sendUnframed("HTTP/1.1", "103 Early Hints", "", "X Y: z")(r, c, req)
		sendUnframed("HTTP/1.1", "200 OK", "whole", "Content-Length: 5")(r, c, req)
	}},
}

// Runners in trouble send answers that are none. Guards against callers that get them as answers.
func TestSoakAnswersThatAreNone(t *testing.T) {
	t.Parallel()
	for _, a := range brokenHeads {
		t.Run(strings.ReplaceAll(a.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			h := newAnswerHarness(t)
			h.eachCall(a, 0, func(kind string, c *call) {
				if c.signature != "" || c.status/100 == 2 {
					t.Errorf("%s, HTTP/1.0 %v: status %d of %q with %q", kind, c.http10, c.status, c.signature, c.responseBody)
				}
			})
		})
	}
}

// brokenHeadFaults are the disturbances beside answers that are none.
var brokenHeadFaults = []fault{
	{"answers that are none", false, (*harness).sendBrokenHeads},
	{"answers that are none", false, (*harness).sendBrokenHeads},
	{"answers of runners", false, (*harness).injectResponseFault},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner crashes", false, (*harness).crashRunner},
	{"runner joins", true, (*harness).addRunner},
	{"router stops", true, (*harness).stopRouter},
}

// Runners send answers that are none, with lost and broken ones, while runners and routers come and go. Guards against
// callers that get bytes of no answer, and against connections that go on being used after them.
func TestSoakBrokenHeads(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = brokenHeadFaults
		h.callersLeave = seed%2 == 0
		h.play()
	})
}

// sendBrokenHeads makes runners send answers that are none for a short time.
func (h *harness) sendBrokenHeads() {
	h.causeResponseFault(int(brokenHeadResponse))
}

// Half of the runners send answers that are none. Guards against requests that may be repeated and end with the first such
// answer, and against runners that get their share of the requests all the same.
func TestSoakRequestsAreServedBesideAnswersThatAreNone(t *testing.T) {
	t.Parallel()
	const calls = 30
	h := newAnswerHarness(t)
	for i, r := range h.allRunners() {
		if a := brokenHeads[i%len(brokenHeads)]; i%2 == 0 {
			r.SetHandler(func(c net.Conn, req *http.Request, body string) fake.HandlerResult {
				r.RecordRun(req, body)
				a.send(r, c, req)
				return fake.CloseConn
			})
		}
	}
	for _, kind := range answerKinds[:2] { // those that may be repeated
		served := 0
		for range calls {
			c := h.callForAnswer(kind.path, kind.stream, false, 0)
			if c.complete && c.status == http.StatusOK {
				served++
			}
		}
		if served < calls*9/10 {
			t.Errorf("%s: %d of %d served", kind.name, served, calls)
		}
	}
}
