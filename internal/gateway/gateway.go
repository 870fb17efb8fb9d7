// Package gateway serves the HTTP API for callers: it authenticates them,
// reads their requests, and writes responses and problem documents.
package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Headers between callers and the gateway.
const (
	HeaderRequestID       = "Parsley-Request-Id"
	HeaderVerdict         = "Parsley-Verdict"
	HeaderReason          = "Parsley-Reason"
	HeaderEarlierAttempts = "Parsley-Earlier-Attempts"
	HeaderTicket          = "Parsley-Ticket"
	HeaderNextKey         = "Parsley-Next-Key"
	HeaderSession         = "Parsley-Session"
	HeaderProfile         = "Parsley-Profile"
	HeaderOffset          = "Parsley-Offset"
	HeaderIdempotencyKey  = "Idempotency-Key"

	headerPrefix = "Parsley-"
)

const (
	// defaultMaxBodyBytes is the largest request body if the profile sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// maxHeaderBytes bounds the total size of a request's headers.
	maxHeaderBytes = 32 << 10
	// bodyTimeout bounds the time in which a caller must send a body.
	bodyTimeout = time.Minute
	// maxHeaderValueBytes bounds a Parsley- header and an idempotency key.
	maxHeaderValueBytes = 512
)

// Gateway is the HTTP handler of the API for callers.
type Gateway struct {
	router *router.Router
	memory *budget.Memory
	mux    *http.ServeMux
}

// New returns a Gateway in front of r, which holds what callers send within memory.
func New(r *router.Router, memory *budget.Memory) *Gateway {
	g := &Gateway{router: r, memory: memory, mux: http.NewServeMux()}
	g.handle("POST /v1/chat/completions", g.chat)
	g.handle("GET /v1/models", g.models)
	g.handle("POST /v1/keys", g.mintKeys)
	g.handle("GET /v1/requests/{id}", g.requestStatus)
	g.handle("DELETE /v1/requests/{id}", g.cancelRequest)
	g.handle("/services/{service}/{path...}", g.service)
	g.mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	g.mux.HandleFunc("GET /readyz", g.ready)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fallback, pattern := g.mux.Handler(r)
	if pattern == "" {
		noRoute(w, r, fallback)
		return
	}
	g.mux.ServeHTTP(w, r)
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.router.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// exchange is one authenticated request of a caller.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	view *router.View
	org  *profile.Organisation
	// dispatched is set before the request is passed to the router, which sends it to
	// the sidecar that decides on its key. Until then, a not-run verdict is valid only
	// for this copy of the request, not for others with the same key.
	dispatched bool
	memory     requestMemory
}

// handler serves an exchange. Its error is written as a problem document.
type handler func(*exchange) error

// handle routes pattern to h, after authentication.
func (g *Gateway) handle(pattern string, h handler) {
	g.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, view: g.router.View(), memory: requestMemory{claim: httpserver.ClaimOf(r, g.memory)}}
		defer x.memory.release()
		err := checkHeader(r.Header)
		if err == nil {
			err = x.authenticate()
		}
		if err == nil {
			err = h(x)
		}
		if err != nil {
			writeProblem(w, x.withEarlierUnknown(err))
		}
	})
}

// withEarlierUnknown marks a not-run verdict as saying nothing about earlier
// copies of the request. An earlier request with the same idempotency key may be
// running although this one was rejected before it was dispatched.
func (x *exchange) withEarlierUnknown(err error) error {
	e := *verdict.From(err)
	if !x.dispatched && e.Verdict == verdict.NotRun && x.r.Header.Get(HeaderIdempotencyKey) != "" {
		e.EarlierUnknown = true
	}
	return &e
}

// checkHeader limits the size of the headers, which are forwarded to sidecar and upstream.
func checkHeader(h http.Header) error {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
		if strings.HasPrefix(name, headerPrefix) && len(h.Get(name)) > maxHeaderValueBytes {
			return verdict.New(verdict.NotRun, reasonHeader, "the header %s is over %d bytes", name, maxHeaderValueBytes)
		}
	}
	if size > maxHeaderBytes {
		return verdict.New(verdict.NotRun, reasonHeader, "the headers are over %d bytes", maxHeaderBytes)
	}
	return nil
}

// authenticate finds the organisation by the hash of the caller's API key. The
// duration of the look-up depends on the hash only. As a caller can't choose any part
// of the hash, the timing reveals nothing about existing keys.
func (x *exchange) authenticate() error {
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		x.org = x.view.Orgs[profile.HashKey(key)]
	}
	if x.org == nil {
		x.w.Header().Set("Www-Authenticate", "Bearer")
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the API key is missing or unknown")
	}
	x.memory.claim.SetParty(x.org.Name)
	return nil
}

// maxBodyBytes returns the size in bytes of the largest body that a profile accepts.
func maxBodyBytes(p *profile.Profile) int64 {
	if p.MaxBody > 0 {
		return int64(p.MaxBody)
	}
	return defaultMaxBodyBytes
}

// body reads the request's body of at most limit bytes.
func (x *exchange) body(limit int64) ([]byte, error) {
	if x.r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	// Without a deadline, a caller that sends its body one byte at a time would
	// keep a goroutine and the bytes received so far indefinitely.
	ctl := http.NewResponseController(x.w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer ctl.SetReadDeadline(time.Time{})
	body, err := x.memory.readBody(http.MaxBytesReader(nil, x.r.Body, limit), x.r.ContentLength)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case isNoMemory(err):
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, noMemory()
	case errors.As(err, &tooLong):
		return nil, tooLarge(limit)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body was cut short")
}

func tooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body is over %d bytes", limit)
}
