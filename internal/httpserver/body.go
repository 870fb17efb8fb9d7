package httpserver

import (
	"io"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
)

const (
	// unwantedBodyWait is how long a response waits for a body to arrive that nobody wants.
	unwantedBodyWait = 50 * time.Millisecond
	// maxUnwantedBody is the size in bytes of the largest body that is waited for.
	maxUnwantedBody = 64 << 10
)

// trackedBody is the body of a request that knows whether any of it is left.
type trackedBody struct {
	io.ReadCloser
	conn  *conn // nil: not known
	ended bool  // it has been read or dropped
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		if b.conn != nil {
			b.conn.endBody()
		}
	}
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
		c := connOf(r)
		body := &trackedBody{ReadCloser: r.Body, conn: c}
		tracked := r.WithContext(r.Context()) // net/http goes by the type of the request's own body
		tracked.Body = body
		next.ServeHTTP(w, tracked)
		if c != nil && c.isAborted() {
			panic(http.ErrAbortHandler) // otherwise net/http may wait before it closes a connection
		}
		if !body.ended {
			dropBody(w, tracked)
		}
	})
}

// dropBody drops the body of a request. A small one that arrives within unwantedBodyWait is read, so that the caller can
// use its connection again. After the response to any other one the connection is closed, and nothing more of it is parsed:
// to parse a body in many small chunks takes a thousand times as long as to answer.
func dropBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || hasArrived(r) {
		return
	}
	if body, ok := r.Body.(*trackedBody); ok {
		body.ended = true
	}
	own, c := connOf(r), http.NewResponseController(w)
	isSmall := r.ContentLength > 0 && r.ContentLength <= maxUnwantedBody
	deadline := longAgo
	if isSmall {
		deadline = time.Now().Add(unwantedBodyWait)
	}
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection
	if own != nil {
		own.enter(budget.PhaseClosing) // makes room before callers that may still send a sound request
	}
	if isSmall {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = c.SetReadDeadline(time.Time{}) // likewise
			return
		}
		_ = c.SetReadDeadline(longAgo) // likewise
	}
	w.Header().Set("Connection", "close")
	if own != nil {
		own.lingers.Store(true)
	}
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
