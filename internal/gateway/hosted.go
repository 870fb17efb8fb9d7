package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// CallerHeaders holds what the gateway reads from the headers of a request in a
// platform's own protocol.
type CallerHeaders struct {
	ID          string        // of this attempt; a retry has another one
	APIKey      string        // empty if there is none
	Timeout     time.Duration // how long the caller waits; zero if it does not say
	Expired     bool          // the caller says that it waits no longer
	Session     string        // identifies the prompt prefix shared by the turns of a chat; empty if there is none
	Parts       []string      // ids of the parts of the prompt that other requests may share, in order
	LastEventID string        // id of the last event of an earlier response; empty if there is none
	Resumes     string        // id of the attempt that brought the first event of the stream; empty if it is new
}

// Dialect parses the headers that the callers of a platform send.
type Dialect interface {
	Read(h http.Header) CallerHeaders
}

// PlatformGateway serves the callers of a platform that has its own protocol. The
// profile is chosen by host and path, and the upstream's response is forwarded
// unchanged. If there is no response, callers rely on the status alone: 503 and 429
// guarantee that the request has not run and never will.
type PlatformGateway struct {
	router   *router.Router
	dialect  Dialect
	requests *telemetry.RequestLog
	memory   *budget.Memory
	started  time.Time
}

// NewPlatformGateway returns a PlatformGateway in front of r, which holds what callers send
// within memory. Rejected requests are logged to log, which may be nil.
func NewPlatformGateway(r *router.Router, d Dialect, memory *budget.Memory, log *telemetry.RequestLog) *PlatformGateway {
	return &PlatformGateway{router: r, dialect: d, memory: memory, requests: log, started: time.Now()}
}

// ServeHTTP implements http.Handler.
func (g *PlatformGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &platformExchange{w: w, r: r, arrived: time.Now(), headers: g.dialect.Read(r.Header), memory: requestMemory{claim: httpserver.ClaimOf(r, g.memory)}}
	defer x.memory.release()
	if err := g.serve(x); err != nil {
		if errors.Is(err, context.Canceled) {
			// The caller has disconnected, which is logged elsewhere. If it closed only its sending side, it would
			// read the response that net/http writes for a handler which returns: an empty success.
			x.breakConnection()
		}
		e := verdict.From(err)
		x.logRefusal(g.requests, e)
		writePlatformProblem(w, e)
	}
}

// startWait is how long after its start a router lets requests wait for its first
// configuration. It equals the Retry-After of the requests that are rejected because
// there is no configuration yet. The configuration arrives after 25 to 90 ms if the
// store answers, and after up to 800 ms if the store resets the first calls or a small
// router has two thousand routes to read. After a power failure all callers return at
// the same moment, and a router that has just started would reject them all.
const startWait = time.Second

// awaitFirstConfig waits until the router is ready if it started less than startWait ago.
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
	if err := x.authorise(); err != nil {
		return err
	}
	x.memory.claim.SetParty(x.organisation())
	body, err := x.body()
	if err != nil {
		return err
	}
	if err := admit(x.w, x.r, x.organisation()); err != nil {
		return err
	}
	return g.forward(x, body)
}

// forward dispatches the request and copies the response to the caller.
func (g *PlatformGateway) forward(x *platformExchange, body []byte) error {
	span := telemetry.Start(telemetry.HopCaller, telemetry.ParseTraceparent(x.r.Header.Get(telemetry.HeaderTraceparent)))
	defer span.End()
	span.Set(telemetry.AttrProfile, x.profile.Name)
	if err := x.memory.grow(requestBytes); err != nil {
		return noMemory()
	}
	response, err := g.router.Dispatch(x.r.Context(), router.Request{
		Org:           x.org,
		Profile:       x.profile,
		Session:       x.headers.Session,
		Parts:         x.headers.Parts,
		Call:          wire.Call{Method: x.r.Method, Path: x.target(), Header: withoutHeaders(x.r.Header, rewrittenHeaders), Body: body},
		Trace:         string(span.Traceparent()),
		ID:            x.headers.ID,
		Host:          x.r.Host,
		Urgency:       urgency(x.profile, x.org),
		Arrived:       x.arrived,
		CallerTimeout: x.headers.Timeout,
		LastEventID:   x.headers.LastEventID,
		Resumes:       x.headers.Resumes,
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
	// requestBytes is the memory in bytes that a request takes while it is served, beside its head and body: the
	// goroutines of its attempts, and the buffers of their connections.
	requestBytes = 16 << 10
	// writeSlack is how long after the timeout of its request a response may still
	// be written. Data in flight at the timeout may need a few round trips of a slow
	// link to arrive.
	writeSlack = 5 * time.Second
)

// rewrittenHeaders are the headers that the router does not copy from the caller
// because it sets them itself.
var rewrittenHeaders = []string{"Content-Length", "Expect"}
