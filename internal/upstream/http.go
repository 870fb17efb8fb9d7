package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Headers that a sidecar sets on calls to its upstream.
const (
	// HeaderRequestID carries the nonce of the request key.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the request's priority, which engines honour.
	HeaderPriority = "X-Priority"
	// HeaderSession carries the session, in hexadecimal, by which an engine is
	// asked for its cached prefix later.
	HeaderSession = "X-Session-Id"
)

// maxIdleConns is how many connections are kept.
const maxIdleConns = 64

// HTTP is an upstream at an HTTP address.
type HTTP struct {
	base     string
	unpooled *http.Client // with a connection for each call
	pooled   *http.Client
}

// NewHTTP returns the upstream at base, such as http://127.0.0.1:8000.
//
// Each call that is not idempotent has a connection of its own. A kept
// connection may have been closed by an upstream that has restarted; a call
// written to it fails without word of whether it ran, and net/http repeats some
// calls by itself, so that they run twice. On a new one, a call that could not
// connect has not run.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, unpooled: newClient(false), pooled: newClient(true)}
}

func newClient(pooled bool) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = !pooled
	transport.MaxIdleConnsPerHost = maxIdleConns
	transport.DisableCompression = true
	transport.Proxy = nil
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func (h *HTTP) client(r Request) *http.Client {
	if r.Idempotent {
		return h.pooled
	}
	return h.unpooled
}

// noRedirect passes a redirect on to the caller: following it would run a
// second call under the same key.
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
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func setHeader(h http.Header, r Request) {
	for name, values := range r.Call.Header {
		h[name] = values
	}
	h.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	if r.Session != 0 {
		h.Set(HeaderSession, sessionID(r.Session))
	}
	if r.Traceparent != "" {
		h.Set(telemetry.HeaderTraceparent, r.Traceparent)
	}
}

func sessionID(session uint64) string {
	return strconv.FormatUint(session, 16)
}

func callError(err error, connected bool) error {
	if !connected {
		return verdict.New(verdict.NotRun, reasonFor(err, verdict.ReasonUpstreamDown), "%s", err)
	}
	return verdict.New(verdict.MayHaveRun, reasonFor(err, verdict.ReasonUpstreamFailed), "%s", err)
}

// ResponseInterrupted is the error of an answer that broke off while its body was read.
func ResponseInterrupted(err error) error {
	return verdict.New(verdict.Ran, reasonFor(err, verdict.ReasonUpstreamFailed), "the answer broke off: %s", err)
}

// reasonFor tells what we ended ourselves from what the upstream did.
func reasonFor(err error, otherwise verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return verdict.ReasonCancelled
	default:
		return otherwise
	}
}
