package gateway

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Said is what the headers of a caller's request say on a platform.
type Said struct {
	ID        string        // of this attempt of the request
	APIKey    string        // empty: none
	Patience  time.Duration // for which the caller waits; zero: it does not say
	Session   string        // what the prompt shares with others of its chat; empty: none
	LastEvent string        // id of the last event of an earlier answer; empty: none
}

// Dialect reads the headers of a platform's callers.
type Dialect interface {
	Read(h http.Header) Said
}

// Hosted serves the callers of a platform that has a protocol of its own: they
// choose a profile by host and path, and get their upstream's answer unchanged.
// Beside that only statuses speak: 503 and 429 promise that the request has not
// run and never will.
type Hosted struct {
	router   *router.Router
	dialect  Dialect
	requests *telemetry.RequestLog
	started  time.Time
}

// NewHosted returns the Hosted in front of r. Refusals are told to log, which may
// be nil.
func NewHosted(r *router.Router, d Dialect, log *telemetry.RequestLog) *Hosted {
	return &Hosted{router: r, dialect: d, requests: log, started: time.Now()}
}

// ServeHTTP implements http.Handler.
func (g *Hosted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &hostedExchange{w: w, r: r, arrived: time.Now(), said: g.dialect.Read(r.Header)}
	if err := g.serve(x); err != nil {
		if errors.Is(err, context.Canceled) {
			return // its caller is gone, which its own line tells
		}
		e := verdict.From(err)
		x.logRefusal(g.requests, e)
		writeHostedProblem(w, e)
	}
}

// logRefusal tells why a request gets no answer of an upstream.
func (x *hostedExchange) logRefusal(log *telemetry.RequestLog, e *verdict.Error) {
	log.Line(telemetry.LineFailure, "request refused", x.said.ID,
		slog.Int("status", hostedStatus(e)),
		slog.String("reason", string(e.Reason)),
		slog.String("verdict", e.Verdict.String()),
		slog.String("detail", e.Detail),
		slog.Duration("retry_after", e.RetryAfter),
		slog.String("host", x.r.Host),
		slog.String("path", x.path()),
		slog.Int64("config_version", int64(x.view.Version)))
}

// hostedExchange is one request of a caller.
type hostedExchange struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time // when its headers had been read
	view    *router.View
	said    Said
	profile *profile.Profile
	org     *profile.Organisation
}

// startWait is for how long after its start a router lets requests wait for its
// first configuration: as long as those that it refuses are told to stay away. It has
// read it after 25 to 90 ms where the store answers, and up to 800 ms where the store
// resets its first calls or a small router has two thousand routes to read. All callers
// come back at the same moment after a loss of power.
const startWait = time.Second

// awaitStart waits until the router is ready, if it has only just started.
func (g *Hosted) awaitStart(x *hostedExchange) {
	left := startWait - time.Since(g.started)
	if left <= 0 || g.router.Ready() || !g.router.Waits() {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.router.Began():
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

func (g *Hosted) serve(x *hostedExchange) error {
	g.awaitStart(x)
	x.view = g.router.View()
	if !g.router.Ready() {
		return verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no configuration or no upstream is known yet").Later(time.Second)
	}
	if err := x.checkHead(); err != nil {
		return err
	}
	x.endAfterChunks()
	if err := x.authorise(); err != nil {
		return err
	}
	body, err := x.body()
	if err != nil {
		return err
	}
	return g.forward(x, body)
}

// checkHead refuses a request that upstreams could not tell from another one, or
// whose headers are over the operators' limit.
func (x *hostedExchange) checkHead() error {
	if x.said.ID == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request names no attempt")
	}
	if limit := x.limits().HeaderBytes; headerBytes(x.r) > int64(limit) {
		return verdict.New(verdict.NotRun, reasonHeader, "the headers exceed %d bytes", limit)
	}
	return nil
}

// endAfterChunks lets a chunked request be the last of its connection. One that has
// a length beside its chunks is read by the chunks, as it should be; but who reads
// it by the length takes what follows the last chunk for a part of its body, and
// here it would be a request of its own. The server does not show both.
func (x *hostedExchange) endAfterChunks() {
	if len(x.r.TransferEncoding) > 0 {
		x.w.Header().Set("Connection", "close")
	}
}

// limits returns the operators' limits on callers.
func (x *hostedExchange) limits() *profile.Limits {
	return limitsOf(x.view)
}

func limitsOf(v *router.View) *profile.Limits {
	if v.Limits != nil {
		return v.Limits
	}
	return defaultLimits
}

// defaultLimits hold while operators set none.
var defaultLimits = profile.New(topo.KindLimits).(*profile.Limits)

// headerBytes returns the size of a request's first line and headers.
func headerBytes(r *http.Request) int64 {
	const separators, lineEnd = len(": \r\n"), len("  HTTP/1.1\r\n")
	n := len(r.Method) + len(r.RequestURI) + lineEnd + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// patience returns for how long the request may take in all; zero: any time.
func (x *hostedExchange) patience() time.Duration {
	route := x.profile.Deadline.Std()
	if x.said.Patience > 0 && (route == 0 || x.said.Patience < route) {
		return x.said.Patience
	}
	return route
}

// path returns the path as the caller wrote it.
func (x *hostedExchange) path() string {
	path, _, _ := strings.Cut(x.target(), "?")
	return path
}

// target returns path and query as the caller wrote them.
func (x *hostedExchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// authorise finds the profile and the organisation.
func (x *hostedExchange) authorise() error {
	x.profile = x.view.ForHost(x.r.Host, x.path())
	if x.profile == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile is for this host and path")
	}
	if x.said.APIKey != "" {
		x.org = x.view.Orgs[profile.HashKey(x.said.APIKey)]
	}
	if x.profile.Anonymous || len(x.view.Orgs) == 0 {
		return nil
	}
	if x.org == nil || !router.Allows(x.org, x.profile.Name) {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the API key is missing or unknown")
	}
	return nil
}

// body reads the body. A caller that has not sent it when its request's time is
// over gets its answer then: it would hold a connection and its part of the memory
// for as long as it likes.
func (x *hostedExchange) body() ([]byte, error) {
	limit := int64(x.limits().BodyBytes)
	if x.r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	ctl := http.NewResponseController(x.w)
	within := x.patience()
	if within == 0 {
		within = bodyTimeout
	}
	if err := ctl.SetReadDeadline(x.arrived.Add(within)); err != nil {
		return nil, errors.Wrap(err, "gateway: body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, errors.Wrap(ctl.SetReadDeadline(time.Time{}), "gateway: body")
	case errors.As(err, &tooLong):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, reasonTimeout, "the body was not complete after %v", within)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is cut short or malformed: %s", err)
	}
}

// forward sends the request on and copies the answer to the caller.
func (g *Hosted) forward(x *hostedExchange, body []byte) error {
	span := telemetry.Start(telemetry.HopCaller, telemetry.ParseTraceparent(x.r.Header.Get(telemetry.HeaderTraceparent)))
	defer span.End()
	span.Set(telemetry.AttrProfile, x.profile.Name)
	answer, err := g.router.Dispatch(x.r.Context(), router.Request{
		Org:       x.org,
		Profile:   x.profile,
		Session:   x.said.Session,
		Call:      wire.Call{Method: x.r.Method, Path: x.target(), Header: without(x.r.Header, notForwarded), Body: body},
		Trace:     string(span.Traceparent()),
		ID:        x.said.ID,
		Host:      x.r.Host,
		Urgency:   urgency(x.profile, x.org),
		Arrived:   x.arrived,
		Patience:  x.said.Patience,
		LastEvent: x.said.LastEvent,
		Gone:      x.gone,
	})
	if err != nil {
		span.Fail(string(verdict.From(err).Reason))
		return err
	}
	x.copy(answer)
	return nil
}

// connKey is where a request's context holds the caller's connection.
type connKey struct{}

// gone reports whether the caller has closed its connection.
func (x *hostedExchange) gone() bool {
	c, ok := x.r.Context().Value(connKey{}).(net.Conn)
	return ok && netpeek.Look(c) == netpeek.Closed
}

const (
	// writeSlack is how long after the end of its request's time an answer may still
	// be written. What is in flight then takes a few round trips of a slow link.
	writeSlack = 5 * time.Second
)

// notForwarded are the headers that the router writes itself.
var notForwarded = []string{"Content-Length", "Expect"}

// urgency returns the rank of a request: 0 is first.
func urgency(p *profile.Profile, o *profile.Organisation) int {
	const last = 9
	priority := p.Priority
	if o != nil && o.Priority != nil {
		priority = *o.Priority
	}
	return min(max(-priority, 0), last)
}

// copy copies an answer to the caller and closes it. An answer that breaks off
// ends the connection, so that it does not look whole.
func (x *hostedExchange) copy(answer *router.Answer) {
	defer answer.Close()
	ctl := http.NewResponseController(x.w)
	streamed := false
	x.boundWrites(ctl)
	for {
		piece, err := answer.Next()
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case piece.End != nil:
			return
		case piece.Head != nil:
			h := x.w.Header()
			for name, values := range without(piece.Head.Header, nil) {
				h[name] = values
			}
			streamed = h.Get("Content-Length") == ""
			x.w.WriteHeader(piece.Head.Status)
			continue
		}
		if _, err := x.w.Write(piece.Bytes); err != nil {
			return
		}
		if streamed && ctl.Flush() != nil {
			return
		}
	}
}

// boundWrites ends the writing of an answer some time after its request's. A caller
// that does not read, though its connection lives, would keep the answer's memory
// and its upstream's place for good.
func (x *hostedExchange) boundWrites(ctl *http.ResponseController) {
	at := time.Time{} // the connection may have one of an earlier request
	if patience := x.patience(); patience > 0 {
		at = x.arrived.Add(patience + writeSlack)
	}
	// It fails only on a connection that is closed, as the writes will.
	_ = ctl.SetWriteDeadline(at)
}

// writeHostedProblem answers with the truth about a request without an answer.
func writeHostedProblem(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", problemType)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	w.WriteHeader(hostedStatus(e))
	_, _ = io.WriteString(w, `{"title":"`+string(e.Reason)+`","verdict":"`+e.Verdict.String()+`"}`+"\n")
}

// hostedStatus returns the status for a request without an answer. 503 promises
// that it has not run and never will.
func hostedStatus(e *verdict.Error) int {
	s := status(e)
	switch {
	case e.Reason == verdict.ReasonQuarantined:
		return http.StatusServiceUnavailable // there is nothing wrong with its form
	case e.Verdict == verdict.NotRun && s >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Verdict != verdict.NotRun && (s == http.StatusServiceUnavailable || s < http.StatusInternalServerError):
		return http.StatusBadGateway
	}
	return s
}
