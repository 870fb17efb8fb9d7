package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// copyResponse copies a response to the caller and closes it. If the response is
// incomplete, it breaks the connection, so that the caller does not take the response
// for a complete one.
func (x *platformExchange) copyResponse(response *router.Response) {
	defer response.Close()
	ctl := http.NewResponseController(x.w)
	streamed := false
	x.setWriteDeadline(ctl)
	for {
		piece, err := response.Next()
		switch {
		case err != nil:
			x.breakConnection()
		case piece.End != nil:
			return
		case piece.Head != nil:
			h := x.w.Header()
			for name, values := range withoutHeaders(piece.Head.Header, nil) {
				h[name] = values
			}
			streamed = h.Get("Content-Length") == ""
			x.w.WriteHeader(piece.Head.Status)
			continue
		}
		if _, err := x.w.Write(piece.Bytes); err != nil {
			x.breakConnection()
		}
		if streamed && ctl.Flush() != nil {
			x.breakConnection()
		}
	}
}

// breakConnection ends an incomplete response by a panic with http.ErrAbortHandler.
func (x *platformExchange) breakConnection() {
	resetUnframed(x.r)
	panic(http.ErrAbortHandler)
}

// setWriteDeadline ends the writing of a response writeSlack after the request's
// timeout. Otherwise a caller that keeps its connection open without reading would
// occupy the memory of the response and a slot of the upstream indefinitely.
func (x *platformExchange) setWriteDeadline(ctl *http.ResponseController) {
	at := time.Time{} // clears the deadline of an earlier request on the connection
	if timeout := x.timeout(); timeout > 0 {
		at = x.arrived.Add(timeout + writeSlack)
	}
	// It fails only on a closed connection, where writes fail as well.
	_ = ctl.SetWriteDeadline(at)
}

// writePlatformProblem writes the problem document for a request that has no response. A caller that does not read it
// loses its connection after writeSlack.
func writePlatformProblem(w http.ResponseWriter, e *verdict.Error) {
	// It fails only on a closed connection, where writes fail as well.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeSlack))
	h := w.Header()
	h.Set("Content-Type", problemType)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	w.WriteHeader(platformStatus(e))
	_ = json.NewEncoder(w).Encode(newPlatformProblem(e)) // fails only on a closed connection
}

// platformProblem is the problem document of a request that a platform's caller has sent.
type platformProblem struct {
	Title   verdict.Reason  `json:"title"`
	Verdict verdict.Verdict `json:"verdict"`
	Detail  string          `json:"detail,omitempty"` // only where the caller can change the request
}

func newPlatformProblem(e *verdict.Error) platformProblem {
	p := platformProblem{Title: e.Reason, Verdict: e.Verdict}
	if e.Reason == verdict.ReasonQuarantined {
		p.Detail = e.Detail
	}
	return p
}

// platformStatus returns the HTTP status for a request that has no response. 503
// guarantees that the request has not run and never will.
func platformStatus(e *verdict.Error) int {
	s := status(e)
	switch {
	case e.Reason == verdict.ReasonQuarantined:
		return http.StatusServiceUnavailable // the request is well-formed
	case e.Verdict == verdict.NotRun && s >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Verdict != verdict.NotRun && (s == http.StatusServiceUnavailable || s < http.StatusInternalServerError):
		return http.StatusBadGateway
	}
	return s
}
