// Package upstream is the sidecar's client for the upstream on its VM, a model engine
// or a plain service that is called over HTTP.
package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Request is a call to the upstream with the values that the sidecar sends along in
// headers.
type Request struct {
	ID          string // nonce of the request key, sent as HeaderRequestID
	Session     uint64 // zero: none
	Priority    int    // higher runs earlier; zero: not sent
	Idempotent  bool   // the call may run more than once
	Traceparent string // W3C trace context; empty: none
	Call        wire.Call
}

// Response is the response of an upstream. The caller closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// State is the result of probing an upstream.
type State uint8

// States of an upstream.
const (
	// Up is an upstream that responds.
	Up State = iota
	// Gone is an upstream that refuses connections or closes them without a response,
	// which is taken to mean that its process has ended.
	Gone
	// Frozen is an upstream that accepts connections and does not respond.
	Frozen
)

// Instance identifies one process of an upstream. It changes when the upstream restarts.
type Instance string

// Health is the result of a probe.
type Health struct {
	State    State    `json:"-"`
	Instance Instance `json:"instance"` // empty: the upstream does not report it
	Running  int      `json:"running"`  // requests in progress, by the upstream's own count
}

// Upstream runs requests.
type Upstream interface {
	// Do makes a call. An error carries a verdict, which is NotRun only if no byte of
	// the call can have reached the upstream.
	Do(ctx context.Context, r Request) (*Response, error)
	// Probe checks the health of the upstream, within ProbeTimeout.
	Probe(ctx context.Context) Health
	// Export returns the cached prefix of a session's prompt, or ErrNotCached.
	Export(ctx context.Context, session uint64) ([]byte, error)
	// Import loads a cached prefix that another upstream has exported.
	Import(ctx context.Context, session uint64, cached []byte) error
}
