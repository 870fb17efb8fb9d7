package daemon

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// operatorConnections is the maximum number of connections to the operators' API. Each router may ask each other
	// one for its state.
	operatorConnections = 1024
	// operatorPatience is how long a new connection to it may take to send a request before it makes room for others,
	// if there is none left.
	operatorPatience = time.Second
	// operatorBytes is the memory in bytes for the heads of its requests.
	operatorBytes = 16 << 20
)

// operatorAPI holds the settings and the listener of the operators' API.
type operatorAPI struct {
	vm       string
	token    string
	listener net.Listener // nil: the API is off
}

// listenOperatorAPI opens the listener of the operators' API. An empty addr turns the API
// off.
func listenOperatorAPI(addr string, n settings.Node) (operatorAPI, error) {
	if addr == "" {
		return operatorAPI{}, nil
	}
	token, err := readToken(n.AdminTokenFile)
	if err != nil {
		return operatorAPI{}, err
	}
	l, err := net.Listen("tcp", addr)
	return operatorAPI{vm: n.VM, token: token, listener: l}, errors.WithStack(err)
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "could not read the admin token file")
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", errors.Errorf("admin token file %s is empty", path)
	}
	return token, nil
}

// serveRouter serves the operators' API of r and its health checks in the background until
// ctx ends.
func (o operatorAPI) serveRouter(ctx context.Context, r *router.Router, h *health) {
	if o.listener != nil {
		o.serve(ctx, admin.NewServer(admin.Config{
			VM: o.vm, Node: r.AdminNode(o.vm), Token: o.token, Leaving: h.leaving.Load,
		}), h)
	}
}

// serveSidecar serves the metrics of a sidecar and its health checks in the background
// until ctx ends.
func (o operatorAPI) serveSidecar(ctx context.Context, h *health) {
	if o.listener == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+admin.PathVars, telemetry.Handler())
	o.serve(ctx, o.requireToken(mux), h)
}

// requireToken returns a handler that passes requests with the operators' token to next and
// rejects all others. If no token is configured it passes all requests.
func (o operatorAPI) requireToken(next http.Handler) http.Handler {
	if o.token == "" {
		return next
	}
	want := "Bearer " + o.token
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o operatorAPI) serve(ctx context.Context, api http.Handler, h *health) {
	mux := http.NewServeMux()
	h.register(mux)
	mux.Handle("/", api)
	httpserver.New(httpserver.Config{
		Handler:     mux,
		Connections: operatorConnections,
		Patience:    operatorPatience,
		Limits:      fixedLimits,
		Memory:      budget.NewMemory(operatorBytes),
	}).ServeUntil(ctx, o.listener)
	slog.Info("operators' API listening", "addr", o.listener.Addr().String())
}
