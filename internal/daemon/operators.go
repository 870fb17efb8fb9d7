package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/router"
)

// operators is what a router's API for operators needs.
type operators struct {
	vm       string
	token    string
	listener net.Listener // nil: the API is off
}

// listenOperators opens the API's listener; an empty addr turns the API off.
func listenOperators(addr, vm, token string) (operators, error) {
	if addr == "" {
		return operators{}, nil
	}
	l, err := net.Listen("tcp", addr)
	return operators{vm: vm, token: token, listener: l}, err
}

// serve serves the API of r until ctx ends.
func (o operators) serve(ctx context.Context, r *router.Router) {
	if o.listener == nil {
		return
	}
	server := &http.Server{
		Handler:           admin.NewServer(admin.Config{VM: o.vm, Node: r.Operators(o.vm), Token: o.token}),
		ReadHeaderTimeout: headerTimeout,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(o.listener) }()
	slog.Info("operators' API listening", "addr", o.listener.Addr().String())
}
