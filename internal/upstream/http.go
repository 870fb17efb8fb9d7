package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Headers that a sidecar sets on calls to its upstream.
const (
	// HeaderRequestID carries the nonce of the request key.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the request's priority; model engines schedule by it.
	HeaderPriority = "X-Priority"
	// HeaderSession carries the session, in hexadecimal. An engine's cached prefix is
	// exported and imported under the same value.
	HeaderSession = "X-Session-Id"
)

const (
	// maxIdleConns is the number of idle connections that are kept to the upstream.
	maxIdleConns = 64
)

// HTTP is an upstream at an HTTP address.
type HTTP struct {
	base     string
	unpooled *http.Client // opens a connection for each call
	pooled   *http.Client // reuses connections
}

// NewHTTP returns the upstream at base, such as http://127.0.0.1:8000.
//
// Each call that is not idempotent has a connection of its own. A pooled connection
// may have been closed by an upstream that restarted. A call written to it fails
// without showing whether it ran, and net/http repeats some calls by itself, so that
// they run twice. With a new connection, a call that failed to connect has not run.
func NewHTTP(base string) *HTTP {
	return newHTTP(base, nil)
}

// newHTTP is NewHTTP over connections that dial opens; nil: TCP.
func newHTTP(base string, dial http1.DialFunc) *HTTP {
	return &HTTP{base: base, unpooled: newClient(false, dial), pooled: newClient(true, dial)}
}

// newClient returns a client that does not follow redirects and uses no proxy.
func newClient(pooled bool, dial http1.DialFunc) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = !pooled
	transport.MaxIdleConnsPerHost = maxIdleConns
	transport.DisableCompression = true
	transport.Proxy = nil
	if dial != nil {
		transport.DialContext = dial
	}
	return &http.Client{Transport: http1.NewTransport(transport), CheckRedirect: noRedirect}
}

// client returns the client for a request; see NewHTTP.
func (h *HTTP) client(r Request) *http.Client {
	if r.Idempotent {
		return h.pooled
	}
	return h.unpooled
}

// noRedirect makes the client return a redirect as the response, for the caller.
// Following it would run a second call under the same key.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do implements Upstream.
func (h *HTTP) Do(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Call.Method, h.base+r.Call.Path, bytes.NewReader(r.Call.Body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
	}
	setHeader(req.Header, r)
	resp, err := h.client(r).Do(req)
	if err != nil {
		return nil, callError(err, connected.Load())
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: eventstream.Body(resp)}, nil
}

// setHeader adds the headers of the call and those of the sidecar. A header that the
// sidecar sets replaces the call's header of the same name; the sidecar sends no header
// for a priority, session or trace context that is not set.
func setHeader(h http.Header, r Request) {
	for name, values := range r.Call.Header {
		h[name] = values
	}
	h.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	if r.Session != 0 {
		h.Set(HeaderSession, SessionID(r.Session))
	}
	if r.Traceparent != "" {
		h.Set(telemetry.HeaderTraceparent, r.Traceparent)
	}
}

// SessionID formats a session for headers and paths, in hexadecimal.
func SessionID(session uint64) string {
	return strconv.FormatUint(session, 16)
}

// callError returns the error of a call without a response. connected reports whether
// the call may have been written to a connection.
func callError(err error, connected bool) error {
	if !connected {
		return verdict.New(verdict.NotRun, reasonFor(err, verdict.ReasonUpstreamDown), "%s", err)
	}
	return verdict.New(verdict.MayHaveRun, reasonFor(err, verdict.ReasonUpstreamFailed), "%s", err)
}

// ResponseInterrupted returns the error of a response whose body could not be read to
// its end.
func ResponseInterrupted(err error) error {
	return verdict.New(verdict.Ran, reasonFor(err, verdict.ReasonUpstreamFailed), "the answer broke off: %s", err)
}

// reasonFor returns ReasonDeadline or ReasonCancelled if the context of the sidecar's
// call has ended, else fallback.
func reasonFor(err error, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return verdict.ReasonCancelled
	default:
		return fallback
	}
}
