package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// logRefusal logs that a request gets a problem document instead of an upstream's
// response, and why.
func (x *platformExchange) logRefusal(log *telemetry.RequestLog, e *verdict.Error) {
	log.Log(telemetry.LineFailure, "request refused", x.headers.ID,
		slog.Int("status", platformStatus(e)),
		slog.String("reason", string(e.Reason)),
		slog.String("verdict", e.Verdict.String()),
		slog.String("detail", e.Detail),
		slog.String("organisation", x.organisation()),
		slog.Int64("retry_after_ms", e.RetryAfter.Milliseconds()),
		slog.String("host", beginning(x.r.Host)),
		slog.String("path", beginning(x.path())),
		slog.Any("config_version", x.view.Version))
}

// maxLoggedBytes bounds what a line repeats of a field that a caller has written.
const maxLoggedBytes = 256

// beginning returns the first maxLoggedBytes of text.
func beginning(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}

// platformExchange is one request of a caller of the platform.
type platformExchange struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time // when its headers had been read
	view    *router.View
	headers CallerHeaders
	profile *profile.Profile
	org     *profile.Organisation
	memory  requestMemory
}

// organisation returns the name of the request's organisation; empty: not known.
func (x *platformExchange) organisation() string {
	if x.org == nil {
		return ""
	}
	return x.org.Name
}

// checkHeaders rejects a request that has no attempt id, whose caller has no time left, or whose headers are over
// the operators' limit. Without the id, upstreams could not distinguish the request from others.
func (x *platformExchange) checkHeaders() error {
	if x.headers.ID == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request names no attempt")
	}
	if x.headers.Expired {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the caller has no time left")
	}
	if limit := x.limits().HeaderBytes; headerBytes(x.r) > int64(limit) {
		return verdict.New(verdict.NotRun, reasonHeader, "the headers exceed %d bytes", limit)
	}
	return nil
}

// limits returns the operators' limits for callers.
func (x *platformExchange) limits() *profile.Limits {
	return limitsOf(x.view)
}

func limitsOf(v *router.View) *profile.Limits {
	if v.Limits != nil {
		return v.Limits
	}
	return defaultLimits
}

// defaultLimits apply while operators set no limits.
var defaultLimits = profile.New(topo.KindLimits).(*profile.Limits)

// headerBytes returns the least size in bytes that a request's first line and headers have had. How they were
// separated is not known any more.
func headerBytes(r *http.Request) int64 {
	const separators, lineEnd = len(":\n"), len("  HTTP/1.1\n")
	n := len(r.Method) + len(r.RequestURI) + lineEnd + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// timeout returns how long the request may take in total: the shorter one of the
// caller's timeout and the profile's deadline. Zero means no limit.
func (x *platformExchange) timeout() time.Duration {
	route := x.profile.Deadline.Std()
	if x.headers.Timeout > 0 && (route == 0 || x.headers.Timeout < route) {
		return x.headers.Timeout
	}
	return route
}

// path returns the path without the query, as the caller wrote it.
func (x *platformExchange) path() string {
	path, _, _ := strings.Cut(x.target(), "?")
	return path
}

// target returns the path with the query, as the caller wrote them.
func (x *platformExchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// authorise finds the profile and the organisation, and checks that the
// organisation may use the profile.
func (x *platformExchange) authorise() error {
	x.profile = x.view.ForHost(x.r.Host, x.path())
	if x.profile == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile is for this host and path")
	}
	if x.headers.APIKey != "" {
		x.org = x.view.Orgs[profile.HashKey(x.headers.APIKey)]
	}
	if x.profile.Anonymous {
		return nil
	}
	if x.org == nil || !x.org.Allows(x.profile.Name) {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the API key is missing or unknown")
	}
	return nil
}

// body reads the request's body. If a caller has not sent all of it within the
// request's timeout, it gets an error response then. Otherwise it could occupy a
// connection and the memory of the part received indefinitely.
func (x *platformExchange) body() ([]byte, error) {
	limit := int64(x.limits().BodyBytes)
	if x.r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	ctl := http.NewResponseController(x.w)
	timeout := x.timeout()
	if timeout == 0 {
		timeout = bodyTimeout
	}
	if err := ctl.SetReadDeadline(x.arrived.Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "gateway: body")
	}
	body, err := x.readBody(limit)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, errors.Wrap(ctl.SetReadDeadline(time.Time{}), "gateway: body")
	case isNoMemory(err):
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, noMemory()
	case errors.As(err, &tooLong):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, reasonTimeout, "the body was not complete after %v", timeout)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is cut short or malformed: %s", err)
	}
}

// readBody reads a body of at most limit bytes.
func (x *platformExchange) readBody(limit int64) ([]byte, error) {
	return x.memory.readBody(http.MaxBytesReader(nil, x.r.Body, limit), x.r.ContentLength)
}

// conn returns the caller's connection; nil: not known.
func (x *platformExchange) conn() net.Conn {
	return httpserver.ConnOf(x.r)
}

// callerGone reports whether the caller has closed its connection.
func (x *platformExchange) callerGone() bool {
	c := x.conn()
	return c != nil && netpeek.Peek(c) == netpeek.Closed
}

// urgency returns the rank of a request in the queue, from 0 (first) to 9. It is the
// organisation's priority, or the profile's if the organisation has none, with the sign
// reversed: a priority of -3 has rank 3. Priorities of 0 and above have rank 0, those
// below -9 have rank 9.
func urgency(p *profile.Profile, o *profile.Organisation) int {
	const lowest = 9
	priority := p.Priority
	if o != nil && o.Priority != nil {
		priority = *o.Priority
	}
	return min(max(-priority, 0), lowest)
}
