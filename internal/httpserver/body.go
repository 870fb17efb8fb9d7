package httpserver

import (
	"io"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

const (
	// unwantedBodyWait is how long a response waits for a body to arrive that nobody wants. If it arrives, the caller
	// can use its connection again.
	unwantedBodyWait = 50 * time.Millisecond
	// maxUnwantedBody is how many bytes of such a body are read.
	maxUnwantedBody = 64 << 10
)

// DropBody reads and drops the body of a request that is answered without it. If it does not arrive within
// unwantedBodyWait, the connection is closed after the response. Without that, net/http waits for the body before it
// writes the response, for as long as the caller likes. It must be called before the response is written.
func DropBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || hasArrived(r) {
		return
	}
	c := http.NewResponseController(w)
	if c.SetReadDeadline(time.Now().Add(unwantedBodyWait)) != nil {
		return // the connection is closed
	}
	if own := connOf(r); own != nil {
		own.enter(budget.PhaseClosing) // makes room before callers that may still send a sound request
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxUnwantedBody)); err != nil {
		w.Header().Set("Connection", "close")
		return
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// hasArrived reports whether all of a request's body is known to have arrived. net/http drops it without waiting then,
// and may be watching the connection for its end already: a deadline would look like one.
func hasArrived(r *http.Request) bool {
	c := connOf(r)
	return c != nil && c.bodyLeft == 0
}

// WithoutBodies returns a handler that drops the bodies of requests and passes these to next.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		DropBody(w, r)
		next.ServeHTTP(w, r)
	})
}
