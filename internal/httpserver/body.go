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

// trackedBody is the body of a request that knows whether any of it is left.
type trackedBody struct {
	io.ReadCloser
	ended bool // it has been read or dropped
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// dropUnread returns a handler that passes requests to next and drops what that leaves of their bodies. Without that,
// net/http waits for the rest before it writes the response, for as long as the caller likes.
func dropUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.ended {
			dropBody(w, r)
		}
	})
}

// dropBody reads and drops the body of a request. If it does not arrive within unwantedBodyWait, the connection is closed
// after the response.
func dropBody(w http.ResponseWriter, r *http.Request) {
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
	if body, ok := r.Body.(*trackedBody); ok {
		defer func() { body.ended = true }()
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

// WithoutBodies returns a handler that drops the bodies of requests and passes these to next. It is for handlers that read
// none and whose responses are so long that net/http begins to write them before the handler returns.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dropBody(w, r)
		next.ServeHTTP(w, r)
	})
}
