package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// CallerHeaders is what the headers of a caller's request say on a platform.
type CallerHeaders struct {
	ID          string        // of this attempt of the request
	APIKey      string        // empty: none
	Timeout     time.Duration // for which the caller waits; zero: it does not say
	Session     string        // what the prompt shares with others of its chat; empty: none
	LastEventID string        // id of the last event of an earlier answer; empty: none
}

// Dialect reads the headers of a platform's callers.
type Dialect interface {
	Read(h http.Header) CallerHeaders
}

// PlatformGateway serves the callers of a platform that has a protocol of its own: they
// choose a profile by host and path, and get their upstream's answer unchanged.
// Beside that only statuses speak: 503 and 429 promise that the request has not
// run and never will.
type PlatformGateway struct {
	router   *router.Router
	dialect  Dialect
	requests *telemetry.RequestLog
	started  time.Time
}

// NewPlatformGateway returns the Hosted in front of r. Refusals are told to log, which may
// be nil.
func NewPlatformGateway(r *router.Router, d Dialect, log *telemetry.RequestLog) *PlatformGateway {
	return &PlatformGateway{router: r, dialect: d, requests: log, started: time.Now()}
}

// ServeHTTP implements http.Handler.
func (g *PlatformGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &platformExchange{w: w, r: r, arrived: time.Now(), headers: g.dialect.Read(r.Header)}
	if err := g.serve(x); err != nil {
		if errors.Is(err, context.Canceled) {
			return // its caller is gone, which its own line tells
		}
		e := verdict.From(err)
		x.logRefusal(g.requests, e)
		writePlatformProblem(w, e)
	}
}

// startWait is for how long after its start a router lets requests wait for its
// first configuration: as long as those that it refuses are told to stay away. It has
// read it after 25 to 90 ms where the store answers, and up to 800 ms where the store
// resets its first calls or a small router has two thousand routes to read. All callers
// come back at the same moment after a loss of power.
const startWait = time.Second

// awaitFirstConfig waits until the router is ready, if it has only just started.
func (g *PlatformGateway) awaitFirstConfig(x *platformExchange) {
	remaining := startWait - time.Since(g.started)
	if remaining <= 0 || g.router.Ready() || !g.router.WaitsForConfig() {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-g.router.FirstReady():
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

func (g *PlatformGateway) serve(x *platformExchange) error {
	g.awaitFirstConfig(x)
	x.view = g.router.View()
	if !g.router.Ready() {
		return verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no configuration or no upstream is known yet").WithRetryAfter(time.Second)
	}
	if err := x.checkHeaders(); err != nil {
		return err
	}
	x.closeAfterChunked()
	if err := x.authorise(); err != nil {
		return err
	}
	body, err := x.body()
	if err != nil {
		return err
	}
	return g.forward(x, body)
}

// forward sends the request on and copies the answer to the caller.
func (g *PlatformGateway) forward(x *platformExchange, body []byte) error {
	span := telemetry.Start(telemetry.HopCaller, telemetry.ParseTraceparent(x.r.Header.Get(telemetry.HeaderTraceparent)))
	defer span.End()
	span.Set(telemetry.AttrProfile, x.profile.Name)
	response, err := g.router.Dispatch(x.r.Context(), router.Request{
		Org:           x.org,
		Profile:       x.profile,
		Session:       x.headers.Session,
		Call:          wire.Call{Method: x.r.Method, Path: x.target(), Header: withoutHeaders(x.r.Header, rewrittenHeaders), Body: body},
		Trace:         string(span.Traceparent()),
		ID:            x.headers.ID,
		Host:          x.r.Host,
		Urgency:       urgency(x.profile, x.org),
		Arrived:       x.arrived,
		CallerTimeout: x.headers.Timeout,
		LastEventID:   x.headers.LastEventID,
		CallerGone:    x.callerGone,
	})
	if err != nil {
		span.Fail(string(verdict.From(err).Reason))
		return err
	}
	x.copyResponse(response)
	return nil
}

const (
	// writeSlack is how long after the end of its request's time an answer may still
	// be written. What is in flight then takes a few round trips of a slow link.
	writeSlack = 5 * time.Second
)

// rewrittenHeaders are the headers that the router writes itself.
var rewrittenHeaders = []string{"Content-Length", "Expect"}
