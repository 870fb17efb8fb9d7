package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	// memoryMB is the memory of a router in its settings, in MiB.
	memoryMB = 256
	// endlessPace is how many bytes a second a runner sends of an answer without an end, and endlessTime for how long
	// if nobody closes the connection.
	endlessPace = 64 << 20
	endlessTime = 10 * time.Second
	// maxResponseBytes is how much a caller reads of a response. It leaves a longer one.
	maxResponseBytes = 256 << 10
)

// endlessAnswer is an answer without an end: begin, after the head unless it is part of the fault, and then rest over
// and over.
type endlessAnswer struct {
	head        []string // header lines of a 200; nil: there is no head
	begin, rest string
}

var endlessAnswers = []endlessAnswer{
	{nil, "", "weights\x00"},
	{nil, "HTTP/1.1 200 ", "OK "},
	{nil, "HTTP/1.1 200 OK\r\n", "X-Weight: 1\r\n"},
	{nil, "HTTP/1.1 200 OK\r\nX-Weight: ", "1"},
	{nil, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "of no attempt"},
	{nil, "", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"},
	{[]string{"Content-Length: 99999999999"}, "", "weights\x00"},
	{[]string{"Transfer-Encoding: chunked"}, "", "8\r\nweights\x00\r\n"},
	{[]string{"Transfer-Encoding: chunked"}, "1\r\nw\r\n0\r\n", "X-Weight: 1\r\n"},
	{[]string{"Transfer-Encoding: chunked"}, "1\r\nw\r\n", "0"},
	{[]string{"Content-Type: text/event-stream"}, "", "data: weights\x00"},
	{[]string{"Content-Type: text/event-stream"}, "", ": weights\n"},
	{[]string{"Content-Type: text/event-stream"}, "id: ", "1"},
	{[]string{"Content-Type: text/event-stream", "Transfer-Encoding: chunked"}, "", "8\r\nweights\x00\r\n"},
	{[]string{"Content-Type: text/event-stream"}, "", "\n"},
}

// endlessFaults are the disturbances beside answers without an end.
var endlessFaults = []fault{
	{"answers without an end", false, (*harness).sendEndlessAnswers},
	{"answers without an end", false, (*harness).sendEndlessAnswers},
	{"answers without an end", false, (*harness).sendEndlessAnswers},
	{"answers without an end", false, (*harness).sendEndlessAnswers},
	{"answers of runners", false, (*harness).injectResponseFault},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner crashes", false, (*harness).crashRunner},
	{"runner joins", true, (*harness).addRunner},
	{"router stops", true, (*harness).stopRouter},
}

// Runners send bytes that are no answer, in a head or a body, until the connection is closed, and callers leave early.
// Guards against routers that keep such bytes until their memory is used up.
func TestSoakAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = endlessFaults
		h.callersLeave = seed%2 == 0
		h.maxMemoryMB = memoryMB
		h.play()
	})
}

// sendEndlessAnswers makes runners send answers without an end for a short time.
func (h *harness) sendEndlessAnswers() {
	h.causeResponseFault(int(endlessResponse))
}

// writeEndlessAnswer answers a request without an end, until the router closes the connection or endlessTime has
// passed.
func (h *harness) writeEndlessAnswer(r *runner, c net.Conn, req *http.Request) fake.HandlerResult {
	h.markEndless(req)
	a := endlessAnswers[h.intN(len(endlessAnswers))]
	if a.head != nil {
		r.WriteHead(c, req, http.StatusOK, a.head...)
	}
	fmt.Fprint(c, a.begin)
	const piece = 64 << 10
	rest := []byte(strings.Repeat(a.rest, piece/len(a.rest)))
	for began, n := time.Now(), 0; time.Since(began) < endlessTime; n += len(rest) {
		if _, err := c.Write(rest); err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / endlessPace * float64(time.Second)))))
	}
	return fake.CloseConn
}

// markEndless records that a runner answers a request without an end.
func (h *harness) markEndless(req *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endless[req.Header.Get("Attempt-Id")] = true
}

// isEndless reports whether a runner has answered an attempt without an end.
func (h *harness) isEndless(attempt string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endless[attempt]
}

// watchMemory records the largest memory of each router's processes until stop is closed, and kills and starts a
// process that exceeds the memory of its settings, as the platform does.
func (h *harness) watchMemory(stop <-chan struct{}) {
	for _, e := range h.entries {
		h.running.Go(func() {
			peak := 0
			for !isStopped(stop) {
				time.Sleep(10 * time.Millisecond)
				mb := e.residentMB()
				peak = max(peak, mb)
				if mb <= h.maxMemoryMB {
					continue
				}
				h.t.Errorf("%s: its process takes %d MiB, %d are allowed", e.name, mb, h.maxMemoryMB)
				h.restartMu.Lock()
				e.kill()
				e.waitExit(grace)
				h.checkError(e.start())
				h.restartMu.Unlock()
			}
			h.t.Logf("%s took at most %d MiB", e.name, peak)
		})
	}
}

const (
	// shortTimeout is the timeout of the routes in a soak of bodies without an end, and endsWithin the time within which
	// their requests end, with a margin for a busy machine.
	shortTimeout = 800 * time.Millisecond
	endsWithin   = shortTimeout + 3*time.Second
	// slowPieceInterval is the pause between the pieces of a body without an end.
	slowPieceInterval = 50 * time.Millisecond
)

// slowBodyFaults are the disturbances beside bodies without an end.
var slowBodyFaults = []fault{
	{"bodies without an end", false, (*harness).sendSlowBodies},
	{"bodies without an end", false, (*harness).sendSlowBodies},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner joins", true, (*harness).addRunner},
	{"router stops", true, (*harness).stopRouter},
	{"configuration", true, (*harness).reconfigure},
}

// Runners send a few bytes of a body again and again, without an end. Guards against callers who are held past their
// route's timeout for as long as they wait.
func TestSoakBodiesWithoutEnd(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = slowBodyFaults
		h.routeTimeout, h.endsWithin = shortTimeout, endsWithin
		h.play()
	})
}

// sendSlowBodies makes runners send bodies without an end for a short time.
func (h *harness) sendSlowBodies() {
	h.causeResponseFault(int(slowResponse))
}

// writeSlowBody answers a request with a body without an end, until the router closes the connection or endlessTime has
// passed.
func (h *harness) writeSlowBody(r *runner, c net.Conn, req *http.Request) fake.HandlerResult {
	h.markEndless(req)
	headers := []string{"Transfer-Encoding: chunked"}
	if strings.HasPrefix(req.URL.Path, "/stream") {
		headers = append(headers, "Content-Type: text/event-stream")
	}
	r.WriteHead(c, req, http.StatusOK, headers...)
	for began := time.Now(); time.Since(began) < endlessTime && fake.WriteChunk(c, "weights") == nil; {
		time.Sleep(slowPieceInterval)
	}
	return fake.CloseConn
}
