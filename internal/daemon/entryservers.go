package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/platform"
)

const (
	// readyConnections and metricsConnections are the maximum numbers of connections to the addresses that say ready
	// and that serve metrics. The balancer and the operators use few, for a moment each.
	readyConnections, metricsConnections = 512, 64
	// probePatience is how long a new connection to these addresses may take to send a request before it makes room
	// for others, if there is none left.
	probePatience = 50 * time.Millisecond
)

// serveReadinessAndMetrics starts the servers of the load balancer's readiness checks and
// of the metrics. They run until ctx ends.
func (e *Entry) serveReadinessAndMetrics(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, e.Ready)
	if err := e.serveOn(ctx, e.platform.Load().ReadyListen, ready, readyConnections); err != nil {
		return err
	}
	if e.settings.MetricsPort.N == 0 {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", telemetry.Handler())
	metrics.HandleFunc("GET /upstreams", e.serveUpstreams)
	metrics.HandleFunc("GET "+admin.PathQuarantined, e.serveQuarantined)
	metrics.HandleFunc("GET "+admin.PathShares, e.serveShares)
	metrics.HandleFunc("GET "+admin.PathMemory, e.serveMemory)
	return e.serveOn(ctx, net.JoinHostPort(e.platform.Load().IP, strconv.Itoa(e.settings.MetricsPort.N)), metrics, metricsConnections)
}

// UpstreamConditions returns the conditions that this router has recorded of each upstream.
func (e *Entry) UpstreamConditions() []admin.UpstreamConditions {
	return e.router.DirectUpstreams(time.Now())
}

// serveUpstreams serves the result of UpstreamConditions as JSON.
func (e *Entry) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	serveJSON(w, "conditions of upstreams", e.UpstreamConditions())
}

// Quarantined returns the requests and the parts of prompts that crash upstreams, as far as this router knows.
func (e *Entry) Quarantined() []admin.Quarantined { return e.router.Quarantined(time.Now()) }

// serveQuarantined serves the result of Quarantined as JSON.
func (e *Entry) serveQuarantined(w http.ResponseWriter, _ *http.Request) {
	serveJSON(w, "quarantined requests", e.Quarantined())
}

// Shares returns how this router shares pools among organisations.
func (e *Entry) Shares() admin.Shares {
	return admin.Shares{Pools: e.router.Shares()}
}

// serveShares serves the result of Shares as JSON.
func (e *Entry) serveShares(w http.ResponseWriter, _ *http.Request) {
	serveJSON(w, "shares of pools", e.Shares())
}

// Memory returns what this router holds for callers.
func (e *Entry) Memory() admin.Memory {
	usage := e.memory.Usage(admin.MaxMemoryParties)
	out := admin.Memory{LimitBytes: usage.Limit, HeldBytes: usage.Held, Parties: []admin.MemoryParty{}}
	for _, p := range usage.Parties {
		out.Parties = append(out.Parties, admin.MemoryParty{Organisation: p.Party, HeldBytes: p.Held})
	}
	open, most := e.server.Connections()
	out.Connections = admin.Connections{Max: most, Open: make(map[string]int)}
	for phase, n := range open {
		out.Connections.Open[phase.String()] = n
	}
	return out
}

// serveMemory serves the result of Memory as JSON.
func (e *Entry) serveMemory(w http.ResponseWriter, _ *http.Request) {
	serveJSON(w, "memory for callers", e.Memory())
}

// serveJSON writes a value, which messages call what, as the response.
func serveJSON(w http.ResponseWriter, what string, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		slog.Warn("could not write a response to an operator", "of", what, "error", err)
	}
}

// serveOn listens on addr and serves h in the background until ctx ends, on so many connections at a time. What comes
// there is within the limits for callers.
func (e *Entry) serveOn(ctx context.Context, addr string, h http.Handler, connections int) error {
	l, err := listenBounded(addr)
	if err != nil {
		return err
	}
	httpserver.New(httpserver.Config{
		Handler:      httpserver.WithoutBodies(h),
		Connections:  connections,
		Patience:     probePatience,
		WriteTimeout: gateway.WriteTimeout,
		Limits:       e.gateway.ServerLimits(e.platform.Load().ConfigBound),
		Memory:       e.memory,
	}).ServeUntil(ctx, retryingListener{l})
	return nil
}
