package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Reasons that only the gateway uses.
const (
	reasonHeader   verdict.Reason = "header-too-large"
	reasonNotFound verdict.Reason = "not-found"
	reasonMethod   verdict.Reason = "method-not-allowed"
	reasonTimeout  verdict.Reason = "request-timeout"
)

const (
	problemType    = "application/problem+json"
	earlierUnknown = "unknown" // value of earlier_attempts
)

// problem is an RFC 9457 problem document. Its extension members state what is
// known about the request; error repeats them in the format that chat clients read.
type problem struct {
	Type            string          `json:"type"`
	Title           string          `json:"title"`
	Status          int             `json:"status"`
	Detail          string          `json:"detail,omitempty"`
	Verdict         verdict.Verdict `json:"verdict"`
	Reason          verdict.Reason  `json:"reason"`
	EarlierAttempts string          `json:"earlier_attempts,omitempty"`
	RetryAfter      int             `json:"retry_after_seconds,omitempty"`
	Error           chatError       `json:"error"`
}

// chatError is an error in the format that chat clients read.
type chatError struct {
	Message   string          `json:"message"`
	Type      verdict.Reason  `json:"type"`
	Code      verdict.Reason  `json:"code"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id,omitempty"`
	Offset    *int64          `json:"offset,omitempty"` // bytes of the response that were sent
}

func newProblem(e *verdict.Error) problem {
	p := problem{
		Type:       "urn:parsleyfront:problem:" + string(e.Reason),
		Title:      string(e.Reason),
		Status:     status(e),
		Detail:     e.Detail,
		Verdict:    e.Verdict,
		Reason:     e.Reason,
		RetryAfter: int((e.RetryAfter + time.Second - 1) / time.Second),
		Error:      chatError{Message: e.Error(), Type: e.Reason, Code: e.Reason, Verdict: e.Verdict},
	}
	if e.EarlierUnknown {
		p.EarlierAttempts = earlierUnknown
	}
	return p
}

// writeProblem writes the problem document for a request that has no response.
func writeProblem(w http.ResponseWriter, err error) {
	e := verdict.From(err)
	p := newProblem(e)
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	if p.EarlierAttempts != "" {
		h.Set(HeaderEarlierAttempts, p.EarlierAttempts)
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	// Without this header, chat clients retry a request by themselves after most
	// statuses from 408 on. A request that may have run must not run twice because of that.
	h.Set("X-Should-Retry", strconv.FormatBool(e.Verdict == verdict.NotRun && p.RetryAfter > 0))
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// statuses maps reasons to HTTP statuses. All other reasons have status 503.
var statuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:      http.StatusBadRequest,
	verdict.ReasonBadKey:          http.StatusBadRequest,
	verdict.ReasonUnauthorized:    http.StatusUnauthorized,
	verdict.ReasonForbidden:       http.StatusForbidden,
	verdict.ReasonUnknownProfile:  http.StatusNotFound,
	verdict.ReasonUnknownRequest:  http.StatusNotFound,
	reasonNotFound:                http.StatusNotFound,
	reasonMethod:                  http.StatusMethodNotAllowed,
	reasonTimeout:                 http.StatusRequestTimeout,
	verdict.ReasonEvicted:         http.StatusGone,
	verdict.ReasonAnswerGone:      http.StatusGone,
	verdict.ReasonCancelled:       http.StatusGone,
	verdict.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	reasonHeader:                  http.StatusRequestHeaderFieldsTooLarge,
	verdict.ReasonKeyReused:       http.StatusUnprocessableEntity,
	verdict.ReasonQuarantined:     http.StatusUnprocessableEntity,
	verdict.ReasonConcurrency:     http.StatusTooManyRequests,
	verdict.ReasonDeadline:        http.StatusGatewayTimeout,
	verdict.ReasonUpstreamFailed:  http.StatusBadGateway,
	verdict.ReasonIncarnationGone: http.StatusBadGateway,
	verdict.ReasonConnection:      http.StatusBadGateway,
	verdict.ReasonInternal:        http.StatusBadGateway,
}

func status(e *verdict.Error) int {
	if s, ok := statuses[e.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// noRoute responds to a request for which there is no route. mux is the fallback
// handler of the ServeMux, which shows whether the path exists with another method.
func noRoute(w http.ResponseWriter, r *http.Request, fallback http.Handler) {
	probe := &statusProbe{header: make(http.Header)}
	fallback.ServeHTTP(probe, r)
	if probe.status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", probe.header.Get("Allow"))
		writeProblem(w, verdict.New(verdict.NotRun, reasonMethod, "%s is not allowed here", r.Method))
		return
	}
	if location := probe.header.Get("Location"); location != "" {
		w.Header().Set("Location", location)
		w.WriteHeader(probe.status)
		return
	}
	writeProblem(w, verdict.New(verdict.NotRun, reasonNotFound, "there is nothing at this path"))
}

// statusProbe is a ResponseWriter that records status and header and drops the body.
type statusProbe struct {
	header http.Header
	status int
}

func (p *statusProbe) Header() http.Header         { return p.header }
func (p *statusProbe) Write(b []byte) (int, error) { return len(b), nil }
func (p *statusProbe) WriteHeader(status int)      { p.status = status }
