package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection stays open between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// maxSidecarConnections is the number of sidecars that a router connects to in a fleet
	// of the target size. It is used to check the limit on open files.
	maxSidecarConnections = 3000
)

// callerServer holds what a router needs to serve callers and operators.
type callerServer struct {
	listener    net.Listener
	connections int         // of callers that may be open at a time
	memoryBytes int64       // of what callers have sent
	tls         *tls.Config // nil: plain HTTP
	config      router.Config
	admin       operatorAPI
	plan        stopPlan

	vm         string // id in the platform's list
	controller settings.Controller
}

// stopPlan holds the durations of a planned stop.
type stopPlan struct {
	delay   time.Duration // from failing readiness until connections are refused
	timeout time.Duration // for requests in flight after that
}

// runRouter runs a router in front of sidecars until ctx ends and the planned stop is over.
// What requests in flight need runs on the background context, which ends after the stop.
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
		connections: s.MaxConnections.N,
		memoryBytes: int64(s.MaxCallerBytes.N),

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
	if server.listener, err = listenBounded(s.Listen); err != nil {
		return err
	}
	slog.Info("router listening", "addr", server.listener.Addr().String(), "vm", s.VM)
	return server.serve(ctx, background)
}

// routerConfig returns the configuration of a router in front of sidecars. Its
// certificates and secrets are reloaded when their files change, until ctx ends.
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

// callerTLS returns the TLS configuration for callers, or nil if they use plain HTTP.
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

// serve serves callers until ctx ends and the planned stop is over. The end of ctx starts
// the planned stop. The router and the operators' API run until background ends, which must
// be after serve has returned.
func (c callerServer) serve(ctx, background context.Context) error {
	r := router.New(background, c.config)
	h := newHealth(r.Alive, r.Ready)
	c.admin.serveRouter(background, r, h)
	go runController(ctx, c.config.Store, c.vm, c.controller, r)
	memory := budget.NewMemory(c.memoryBytes)
	server, listener := c.newServer(h.withHealthPaths(gateway.New(r, memory)), memory)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	return c.plan.stop(background, h, server.Server)
}

// newServer returns the server of callers, and the listener that it serves. With TLS callers speak HTTP/1.1 only: what the
// streams of HTTP/2 hold could not be claimed before it is held.
func (c callerServer) newServer(h http.Handler, memory *budget.Memory) (*httpserver.Server, net.Listener) {
	server := httpserver.New(httpserver.Config{
		Handler:     h,
		Connections: c.connections,
		Patience:    httpserver.CallerPatience,
		Limits:      fixedLimits,
		Memory:      memory,
	})
	if c.tls == nil {
		return server, c.listener
	}
	return server, tls.NewListener(c.listener, c.tls)
}

// fixedLimits returns the limits on callers and operators where the platform sets none.
func fixedLimits() httpserver.Limits {
	return httpserver.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
}

// stop shuts server down without cutting off requests. First readiness fails while the
// router still serves, because the balancer sends requests until its next check. From then
// on each response closes its connection. Otherwise a request could arrive on an idle
// connection just as the router closes it. After the delay no connection is accepted any
// more, and stop waits until the requests in flight have ended or the timeout is over.
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
