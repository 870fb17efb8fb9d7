// Package daemon starts the roles of parsleyd from their settings.
package daemon

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

const (
	// shutdownTimeout bounds how long a stop waits for requests in flight.
	shutdownTimeout = 10 * time.Minute
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// dialTimeout bounds the opening of a connection to a sidecar.
	dialTimeout = time.Second
)

// RunRouter serves callers until ctx ends.
func RunRouter(ctx context.Context, s settings.Router) error {
	ring, err := s.Ring()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	o, err := listenOperators(s.AdminListen, s.VM, s.AdminToken)
	if err != nil {
		return err
	}
	p := platform.NewHTTP(s.Platform)
	slog.Info("router listening", "addr", l.Addr().String())
	return serveCallers(ctx, l, router.Config{Store: p, VMs: p, Ring: ring, Dial: dial}, o)
}

// serveCallers runs a router on l. When ctx ends it stops taking connections
// and waits for the requests in flight.
func serveCallers(ctx context.Context, l net.Listener, c router.Config, o operators) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r := router.New(background, c)
	o.serve(background, r)
	server := &http.Server{
		Handler:           gateway.New(r),
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, done := context.WithTimeout(background, shutdownTimeout)
	defer done()
	return server.Shutdown(stop)
}

func dial(ctx context.Context, vm platform.VM) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", vm.Addr)
}

// RunSidecar serves routers until ctx ends.
func RunSidecar(ctx context.Context, s settings.Sidecar) error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	slog.Info("sidecar listening", "addr", l.Addr().String(), "vm", s.VM)
	return serveRouters(ctx, l, s.VM, s.Upstream)
}

func serveRouters(ctx context.Context, l net.Listener, vm, base string) error {
	nonce := token.NewNonce()
	s := sidecar.New(ctx, sidecar.Config{
		VM:          vm,
		Incarnation: binary.BigEndian.Uint64(nonce[:]),
		Upstream:    upstream.NewHTTP(base),
	})
	return s.Serve(l)
}
