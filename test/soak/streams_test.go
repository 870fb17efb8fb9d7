package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// streamFaults are the disturbances of runners beside streams that are broken off.
var streamFaults = []fault{
	{"streams are broken off", false, (*harness).breakStreams},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner crashes", false, (*harness).crashRunner},
	{"runner starts again", false, (*harness).restartRunner},
	{"runner joins", true, (*harness).addRunner},
	{"router stands still", false, (*harness).pauseRouter},
}

// Runners break off streams at any place, with and without chunks, by a close or a reset. Guards against
// an answer that looks complete and isn't.
func TestSoakBrokenStreams(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = streamFaults
		h.play()
	})
}

// breakStreams makes runners break off streams for a short time.
func (h *harness) breakStreams() {
	h.causeResponseFault(int(truncateStream))
}

// writeStream responds with a stream, with chunks or with neither chunks nor a length.
func (h *harness) writeStream(r *runner, c net.Conn, req *http.Request) fake.HandlerResult {
	chunked := h.intN(2) == 0
	r.WriteHead(c, req, http.StatusOK, streamHeaders(chunked)...)
	if h.drawResponseFault(truncateStream) {
		return h.breakOff(c, "", false)
	}
	begin, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := begin + 1; i <= streamLength(req.URL.Path); i++ {
		time.Sleep(h.eventInterval(r))
		event := streamEvent(streamName(req), r.version, i)
		if h.drawResponseFault(truncateStream) {
			part := event[:h.intN(len(event))]
			if chunked {
				part = fmt.Sprintf("%x\r\n%s", len(event), part)
			}
			// Without chunks, nothing but a reset shows that an event is missing.
			return h.breakOff(c, part, part == "")
		}
		var err error
		if chunked {
			err = fake.WriteChunk(c, event)
		} else {
			_, err = fmt.Fprint(c, event)
		}
		if err != nil {
			return fake.CloseConn // the router has left
		}
	}
	if !chunked {
		return fake.CloseConn
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return fake.KeepOpen
}

func streamHeaders(chunked bool) []string {
	headers := []string{"Content-Type: text/event-stream"}
	if chunked {
		headers = append(headers, "Transfer-Encoding: chunked")
	}
	return headers
}

// breakOff ends a connection after a part of an event, at random by a reset or a close; mustReset: by a
// reset.
func (h *harness) breakOff(c net.Conn, part string, mustReset bool) fake.HandlerResult {
	fmt.Fprint(c, part)
	time.Sleep(h.randomServiceTime()) // the router waits for more
	if mustReset || h.intN(2) == 0 {
		reset(c)
	}
	return fake.CloseConn
}

// reset makes the close of a connection reset it.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
