package daemon

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// spareDescriptors is the number of file descriptors that a process needs in addition
	// to its connections.
	spareDescriptors = 256
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
)

var acceptFailures = telemetry.NewCounter("daemon_accept_failures_total",
	"Connections of routers that could not be accepted, for want of files or memory.", telemetry.Alert)

// fleetTransport returns the transport between this process and others of the fleet. Its
// certificates are reloaded until ctx ends.
func fleetTransport(ctx context.Context, f settings.Fleet, n settings.Node, role secure.Role) (secure.Transport, error) {
	if f.InsecurePlain.On {
		slog.Warn("routers and sidecars connect without TLS: --insecure-plain is for development on one machine")
		return secure.Plain{}, nil
	}
	m, err := secure.NewMutualTLS(n.Identity(role), f.TrustDomain, secure.Paths{Cert: f.Cert, Key: f.Key, CA: f.CA})
	if err != nil {
		return nil, err
	}
	go m.Watcher().Run(ctx, n.ReloadInterval.D)
	return m, nil
}

func dialer(t secure.Transport) func(context.Context, topo.VM) (net.Conn, error) {
	return func(ctx context.Context, vm topo.VM) (net.Conn, error) {
		return t.Dial(ctx, vm.ID, vm.Addr)
	}
}

// platformClient returns a client of the platform that trusts the certificate authorities
// of s, or those of the system if s names none.
func platformClient(ctx context.Context, s settings.Platform, reload time.Duration) (*topo.HTTP, error) {
	p := topo.NewHTTP(string(s.URL))
	if s.CA == "" {
		return p, nil
	}
	c, err := secure.NewPlatformTLS(s.CA)
	if err != nil {
		return nil, err
	}
	go c.Watcher().Run(ctx, reload)
	return p.WithTLS(c.Config), nil
}

// checkFileLimit logs a warning if the limit on open files is too low for the number of
// connections. It leaves the limit as it is: changing it is up to the operator.
func checkFileLimit(connections int) {
	need := uint64(connections + spareDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		slog.Warn("could not read the limit on open files", "error", err)
		return
	}
	if limit.Cur < need {
		slog.Warn("the limit on open files is lower than the settings may require", "limit", limit.Cur, "need", need)
	}
}

// retryingListener retries Accept after a temporary error. Without it, a process that runs
// out of file descriptors for a moment would never accept a connection again, although it
// still serves those that it has.
type retryingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporaryAcceptError(err) {
			return c, err
		}
		acceptFailures.Inc()
		time.Sleep(acceptRetryDelay)
	}
}

// isTemporaryAcceptError reports whether err comes from a lack of resources or an aborted
// connection, so that the listener can still be used.
func isTemporaryAcceptError(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
