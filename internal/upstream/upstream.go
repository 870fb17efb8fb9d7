// Package upstream is the sidecar's face of the upstream beside it: a model
// engine or a plain service, spoken to over HTTP.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Headers that a sidecar sets on calls to its upstream.
const (
	// HeaderRequestID carries the nonce of the request key.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the request's priority, which engines honour.
	HeaderPriority = "X-Priority"
)

// Upstream runs requests.
type Upstream interface {
	// Do starts a call. An error carries the verdict: NotRun only when not a
	// byte of the call can have reached the upstream.
	Do(ctx context.Context, id string, call wire.Call) (*Response, error)
}

// Response is the answer of an upstream. The caller closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// HTTP is an upstream at an HTTP address.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns the upstream at base, such as http://127.0.0.1:8000.
func NewHTTP(base string) *HTTP {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 64
	transport.DisableCompression = true
	return &HTTP{base: base, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect passes a redirect on to the caller: following it would run a
// second call under the same key.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do implements Upstream.
func (h *HTTP) Do(ctx context.Context, id string, call wire.Call) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, h.base+call.Path, oneShot{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, id)
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, failure(err, connected.Load())
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// oneShot is a body that net/http cannot rewind. With a body that it can
// rewind, it silently sends a call a second time when a kept connection turns
// out to be closed, and the upstream runs the call twice.
type oneShot struct{ io.Reader }

func failure(err error, connected bool) error {
	if !connected {
		return verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "%s", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "%s", err)
}
