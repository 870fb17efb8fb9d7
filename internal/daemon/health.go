package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// probeTimeout bounds how long a control loop may take until its next turn.
const probeTimeout = 2 * time.Second

// Paths of the health of a process.
const (
	pathLive  = "/livez"
	pathReady = "/readyz"
)

// health answers two questions about a process that have different answers: a
// process is live while its control loop turns, else it is to be restarted; it
// is ready while it can serve and is not leaving, else it is to be left alone.
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

// register adds the paths to mux.
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

// withHealthPaths puts the health paths before next. While the process is leaving, each
// answer closes its connection.
func (h *health) withHealthPaths(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	h.register(mux)
	mux.Handle("/", next)
	return h.closeWhileLeaving(mux)
}

// closeWhileLeaving makes each answer of next close its connection while the process is
// leaving.
func (h *health) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
