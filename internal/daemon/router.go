package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection is kept between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// maxSidecarConnections is how many sidecars a router may be connected to at the
	// target's size, for the check of the file limit.
	maxSidecarConnections = 3000
)

// callerServer is what a router serves callers by.
type callerServer struct {
	listener net.Listener
	tls      *tls.Config // nil: plain HTTP
	config   router.Config
	admin    operatorAPI
	plan     stopPlan

	vm         string // as the platform lists it
	controller settings.Controller
}

// stopPlan is how a router leaves.
type stopPlan struct {
	delay   time.Duration // until the balancer has noticed
	timeout time.Duration // for the requests in flight
}

func runRouter(ctx context.Context, s settings.Router) error {
	setMinHeapGrowth(routerHeapGrowthFloor)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	checkFileLimit(s.MaxConnections.N + maxSidecarConnections)
	c, err := routerConfig(background, s)
	if err != nil {
		return err
	}
	server := callerServer{
		config:     c,
		plan:       stopPlan{delay: s.DrainDelay.D, timeout: s.StopTimeout.D},
		vm:         s.VM,
		controller: s.Controller,
	}
	if server.tls, err = callerTLS(background, s); err != nil {
		return err
	}
	if server.admin, err = listenOperatorAPI(s.AdminListen, s.Node); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.WithStack(err)
	}
	server.listener = netutil.LimitListener(l, s.MaxConnections.N)
	slog.Info("router listening", "addr", l.Addr().String(), "vm", s.VM)
	return server.serve(ctx, background)
}

// routerConfig opens what a router reaches others by. Its files are followed
// until ctx ends.
func routerConfig(ctx context.Context, s settings.Router) (router.Config, error) {
	transport, err := fleetTransport(ctx, s.Fleet, s.Node, secure.RoleRouter)
	if err != nil {
		return router.Config{}, err
	}
	secrets, err := secure.NewSecrets(s.TokenSecrets)
	if err != nil {
		return router.Config{}, err
	}
	go secrets.Watcher().Run(ctx, s.ReloadInterval.D)
	p, err := platformClient(ctx, s.Platform, s.ReloadInterval.D)
	if err != nil {
		return router.Config{}, err
	}
	return router.Config{
		Store: p, VMs: p, Ring: secrets.Keyring, Dial: dialer(transport), VM: s.VM, FailureDomain: s.FailureDomain,
	}, nil
}

// callerTLS returns nil when callers speak plain HTTP.
func callerTLS(ctx context.Context, s settings.Router) (*tls.Config, error) {
	if s.CallerCert == "" {
		return nil, nil
	}
	c, err := secure.NewCallerTLS(s.CallerCert, s.CallerKey)
	if err != nil {
		return nil, err
	}
	go c.Watcher().Run(ctx, s.ReloadInterval.D)
	return c.Config(), nil
}

// serve serves callers until ctx ends and the planned stop is over. background
// ends after that.
func (c callerServer) serve(ctx, background context.Context) error {
	r := router.New(background, c.config)
	h := newHealth(r.Alive, r.Ready)
	c.admin.serveRouter(background, r, h)
	go runController(ctx, c.config.Store, c.vm, c.controller, r)
	server := &http.Server{
		Handler:           h.withHealthPaths(gateway.New(r)),
		TLSConfig:         c.tls,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	serveErr := make(chan error, 1)
	go func() {
		if c.tls != nil {
			serveErr <- server.ServeTLS(c.listener, "", "")
			return
		}
		serveErr <- server.Serve(c.listener)
	}()
	select {
	case err := <-serveErr:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	return c.plan.stop(background, h, server)
}

// stop ends a router without cutting a request. Readiness fails first, while
// the router serves on: until the balancer has looked, it still sends. Each
// answer then asks its connection to be closed, so that kept connections, on
// which a request might cross with our closing them, are gone by the end of the
// delay. Then no connection is accepted, what is in flight ends, and so does
// the router.
func (p stopPlan) stop(ctx context.Context, h *health, server *http.Server) error {
	h.leave()
	slog.Info("leaving: readiness fails, requests are still taken", "for", p.delay)
	sleep(ctx, p.delay)
	slog.Info("leaving: no more requests are taken, those in flight go on", "for at most", p.timeout)
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "requests were still in flight at the end of --stop-timeout")
	}
	slog.Info("left: nothing was in flight")
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
