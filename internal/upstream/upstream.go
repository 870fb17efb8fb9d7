// Package upstream is the sidecar's face of the upstream beside it: a model
// engine or a plain service, spoken to over HTTP.
package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Request is a call with what the sidecar adds to it.
type Request struct {
	ID          string // of the request key
	Session     uint64 // zero: none
	Priority    int
	Idempotent  bool
	Traceparent string
	Call        wire.Call
}

// Response is the answer of an upstream. The caller closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// State is whether an upstream answers.
type State uint8

// States of an upstream.
const (
	// Up answers.
	Up State = iota
	// Gone refuses connections or breaks them: its process has ended.
	Gone
	// Frozen takes connections and does not answer.
	Frozen
)

// Instance tells apart the processes that an upstream has been.
type Instance string

// Health is what a probe of an upstream finds.
type Health struct {
	State    State    `json:"-"`
	Instance Instance `json:"instance"` // empty: the upstream does not say
	Running  int      `json:"running"`  // requests under way, as the upstream counts
}

// Upstream runs requests.
type Upstream interface {
	// Do makes a call. An error carries the verdict: NotRun only when not a
	// byte of the call can have reached the upstream.
	Do(ctx context.Context, r Request) (*Response, error)
	// Probe asks how the upstream is, within ProbeTimeout.
	Probe(ctx context.Context) Health
	// Export returns what the upstream has cached of a session's prompt.
	Export(ctx context.Context, session uint64) ([]byte, error)
	// Import gives the upstream what another one has exported.
	Import(ctx context.Context, session uint64, cached []byte) error
}
