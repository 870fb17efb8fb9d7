package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// probeTimeout bounds how long a control loop may take to respond to a probe.
const probeTimeout = 2 * time.Second

// Paths of the health checks.
const (
	pathLive  = "/livez"
	pathReady = "/readyz"
)

// health serves the liveness and readiness checks of a process. A process is live while
// its control loop processes events; otherwise it must be restarted. It is ready while it
// can serve requests and is not leaving; otherwise it must get no requests.
type health struct {
	alive   func(context.Context) error
	ready   func() bool
	leaving atomic.Bool
}

func newHealth(alive func(context.Context) error, ready func() bool) *health {
	return &health{alive: alive, ready: ready}
}

// leave makes readiness fail from now on.
func (h *health) leave() {
	h.leaving.Store(true)
}

// register adds the health checks to mux.
func (h *health) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathLive, h.serveLive)
	mux.HandleFunc("GET "+pathReady, h.serveReady)
}

func (h *health) serveLive(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), probeTimeout)
	defer cancel()
	if err := h.alive(ctx); err != nil {
		http.Error(w, "the control loop does not turn: "+err.Error(), http.StatusServiceUnavailable)
	}
}

func (h *health) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case h.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !h.ready():
		http.Error(w, "not ready: a router knows no configuration or no upstream yet, a sidecar's upstream is down or leaving", http.StatusServiceUnavailable)
	}
}

// withHealthPaths returns a handler that serves the health checks and passes all other
// requests to next. While the process is leaving, each response closes its connection.
func (h *health) withHealthPaths(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	h.register(mux)
	mux.Handle("/", next)
	return h.closeWhileLeaving(mux)
}

// closeWhileLeaving makes each response of next close its connection while the process is
// leaving.
func (h *health) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
