package gateway

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// copyResponse copies an answer to the caller and closes it. An answer that breaks off
// ends the connection, so that it does not look whole.
func (x *platformExchange) copyResponse(response *router.Response) {
	defer response.Close()
	ctl := http.NewResponseController(x.w)
	streamed := false
	x.setWriteDeadline(ctl)
	for {
		piece, err := response.Next()
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
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
			return
		}
		if streamed && ctl.Flush() != nil {
			return
		}
	}
}

// setWriteDeadline ends the writing of an answer some time after its request's. A caller
// that does not read, though its connection lives, would keep the answer's memory
// and its upstream's place for good.
func (x *platformExchange) setWriteDeadline(ctl *http.ResponseController) {
	at := time.Time{} // the connection may have one of an earlier request
	if timeout := x.timeout(); timeout > 0 {
		at = x.arrived.Add(timeout + writeSlack)
	}
	// It fails only on a connection that is closed, as the writes will.
	_ = ctl.SetWriteDeadline(at)
}

// writePlatformProblem answers with the truth about a request without an answer.
func writePlatformProblem(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", problemType)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	w.WriteHeader(platformStatus(e))
	_, _ = io.WriteString(w, `{"title":"`+string(e.Reason)+`","verdict":"`+e.Verdict.String()+`"}`+"\n")
}

// platformStatus returns the status for a request without an answer. 503 promises
// that it has not run and never will.
func platformStatus(e *verdict.Error) int {
	s := status(e)
	switch {
	case e.Reason == verdict.ReasonQuarantined:
		return http.StatusServiceUnavailable // there is nothing wrong with its form
	case e.Verdict == verdict.NotRun && s >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Verdict != verdict.NotRun && (s == http.StatusServiceUnavailable || s < http.StatusInternalServerError):
		return http.StatusBadGateway
	}
	return s
}
