package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/platform"
)

const (
	// storeDialTimeout bounds the opening of a connection to the store.
	storeDialTimeout = 500 * time.Millisecond
	// watchWaitFraction of the platform's bound on changes is how long a watch of the
	// store waits, watchGraceFraction how much later it may answer, and callTimeoutFraction how long
	// any other call may take. A store in health answers within milliseconds; a
	// connection that has gone silent is noticed after watchWaitFraction and watchGraceFraction,
	// with enough left for a listing.
	watchWaitFraction, watchGraceFraction, callTimeoutFraction = 0.45, 0.2, 0.4
	// watchPauseFraction of the bound is the pause after a watch that brought changes. In a
	// burst of them, the reader takes several at once: each costs as much as a few
	// requests, and the routers that pull from it the same.
	watchPauseFraction = 0.1
	// storeRetryMax bounds the pause after a failed call of the store, whatever it asks for.
	storeRetryMax = time.Second
	// storeRetryInitial is the first pause after a failed call of the store, doubled at each
	// one that follows. After a loss of power, callers wait for this.
	storeRetryInitial = 100 * time.Millisecond
	// firstWatchDelay is how long routers that start together take to find out which of
	// them reads the store. Most then never begin to watch it.
	firstWatchDelay = 200 * time.Millisecond
	// pullInterval is the pause between two pulls from the router that reads the store.
	pullInterval = 100 * time.Millisecond
	// outageGrace is how long an entry that lapsed during an outage of the store
	// still counts after its end. Upstreams that live are back in 2 s.
	outageGrace = 2 * time.Second
	// renewMargin is how much later than a heartbeat an upstream's entry may come.
	renewMargin = 100 * time.Millisecond
	// stopMargin is how much earlier than its last moment a stop ends, so that
	// what is still in flight is broken off by us.
	stopMargin = 300 * time.Millisecond

	// callerFraction of its descriptors is what a router uses for callers. A request
	// takes one of theirs and one to an upstream, and unused ones are kept to both.
	callerFraction = 0.5
	// defaultCallerConnections is how many connections of callers a router keeps where the
	// platform sets no limit of descriptors.
	defaultCallerConnections = 4096

	// retryFraction is the part of the platform's bound on retries that routers use.
	// Windows of different routers do not lie at the same time, so the sum of what
	// each is allowed may exceed the bound by as much as traffic changes from one
	// window to the next.
	retryFraction = 0.8
	// retrySlack is how many retries in a window a router is allowed whatever its
	// traffic.
	retrySlack = 1
)

// Network is how an entry reaches others.
type Network struct {
	Store     topo.DialFunc
	Upstreams exchange.DialFunc
	Routers   topo.DialFunc
	// Packets and Calls are where this router is reached by others. Without Packets
	// it reads the store by itself.
	Packets net.PacketConn
	Calls   net.Listener
	// SuspendedTime returns for how long the machine has been suspended in all.
	SuspendedTime func() time.Duration
}

// systemNetwork is the network of the machine.
func systemNetwork(p platform.Settings) (Network, error) {
	d := net.Dialer{Timeout: storeDialTimeout}
	n := Network{Store: d.DialContext, Upstreams: exchange.Dialer(), Routers: d.DialContext, SuspendedTime: suspendedTime}
	if p.PeerAddr == "" {
		slog.Warn("the platform names no port for messages between routers: this one reads the store by itself")
		return n, nil
	}
	var err error
	if n.Packets, err = net.ListenPacket("udp", p.PeerAddr); err != nil {
		return n, errors.WithStack(err)
	}
	n.Calls, err = net.Listen("tcp", p.PeerAddr)
	return n, errors.WithStack(err)
}

// Entry is a router on the operators' platform.
type Entry struct {
	settings settings.Entry
	platform platform.Settings
	router   *router.Router
	health   *health
	server   *gateway.CallerServer
}

// runEntry runs a router on the operators' platform until ctx ends and its
// planned stop is over.
func runEntry(ctx context.Context, s settings.Entry) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	hangups := platform.Hangups()
	path := platform.SettingsPath()
	p, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	n, err := systemNetwork(p)
	if err != nil {
		return err
	}
	e := NewEntry(background, s, p, n)
	if err := e.serveReadinessAndMetrics(background); err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.CallerListen)
	if err != nil {
		return errors.WithStack(err)
	}
	slog.Info("started", "addr", p.CallerListen, "vm", p.VM, "failure_domain", p.FailureDomain)
	go platform.FollowSettings(background, path, hangups, p, e.reload)
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.Serve(retryingListener{l}) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	return e.Stop(background)
}

// NewEntry returns an Entry that works until ctx ends.
func NewEntry(ctx context.Context, s settings.Entry, p platform.Settings, n Network) *Entry {
	requestLog := telemetry.NewRequestLog(slog.Default())
	c := entryConfig(p, n, s.Without.Policy)
	c.RequestLog = requestLog
	if off := s.Without.String(); off != "" {
		slog.Warn("mechanisms are switched off", "without", off)
	}
	r := router.New(ctx, c)
	h := newHealth(r.Alive, r.Ready)
	g := gateway.NewPlatformGateway(r, platform.Clients{}, requestLog)
	return &Entry{settings: s, platform: p, router: r, health: h, server: g.Server(h.closeWhileLeaving(g), callerConnections(p), p.ConfigBound)}
}

// callerConnections returns how many connections of callers a router keeps.
func callerConnections(p platform.Settings) int {
	if p.MaxDescriptors == 0 {
		return defaultCallerConnections
	}
	return max(1, int(callerFraction*float64(p.MaxDescriptors-spareDescriptors)))
}

// Serve serves callers on l until Stop.
func (e *Entry) Serve(l net.Listener) error {
	return errors.WithStack(e.server.Serve(l))
}

// Ready serves the balancer's question whether to send callers.
func (e *Entry) Ready(w http.ResponseWriter, r *http.Request) {
	e.health.serveReady(w, r)
}

// Stop is a planned stop: it returns when nothing is in flight any more, or when
// the platform's grace is nearly over.
func (e *Entry) Stop(ctx context.Context) error {
	delay := e.settings.DrainDelay.D
	plan := stopPlan{delay: delay, timeout: max(e.platform.GracePeriod-delay-stopMargin, 0)}
	return plan.stop(ctx, e.health, e.server.Server)
}

// entryConfig returns what the router reaches others by, and what it does there.
func entryConfig(p platform.Settings, n Network, enabled policy.Policy) router.Config {
	changeBound := min(p.ConfigBound, p.DrainBound)
	store := topo.NewHTTPWithDialer(p.StoreURL, n.Store).WithDialect(platform.Store{}, topo.Timeouts{
		Call: scaleDuration(changeBound, callTimeoutFraction), WatchGrace: scaleDuration(changeBound, watchGraceFraction), MaxRetryAfter: storeRetryMax,
	})
	timing := config.DefaultTiming()
	timing.WatchWait = scaleDuration(changeBound, watchWaitFraction)
	timing.PullInterval = pullInterval
	timing.WatchPause = scaleDuration(changeBound, watchPauseFraction)
	timing.RetryInitial = storeRetryInitial
	timing.RetryMax = storeRetryMax
	timing.PeerWait = 0
	timing.FirstWatchDelay = firstWatchDelay
	timing.Relayed = n.Packets != nil
	return router.Config{
		Store:        store,
		Source:       platform.NewConfig(store, p.Regions),
		Decode:       platform.Decode,
		ConfigTiming: timing,
		Mesh: &router.Mesh{
			Self:          relay.Router{Name: p.VM, Addr: p.PeerAddr, Domain: p.FailureDomain, Capacity: p.Capacity},
			Timing:        relay.TimingFor(changeBound),
			Packets:       n.Packets,
			Calls:         n.Calls,
			Dial:          n.Routers,
			SuspendedTime: n.SuspendedTime,
			MemberDecoder: platform.Runners{Regions: p.Regions},
			MemberTiming:  memberTiming(p, enabled),
		},
		Direct:        exchange.NewClient(platform.Calls{}, n.Upstreams),
		Tuning:        tuning(p, enabled),
		VM:            p.VM,
		FailureDomain: p.FailureDomain,
	}
}

// memberTiming returns how long entries of upstreams count.
func memberTiming(p platform.Settings, enabled policy.Policy) membership.Timing {
	t := membership.Timing{OutageGrace: outageGrace, MaxRenewInterval: p.HeartbeatInterval + renewMargin}
	if enabled.Linger {
		t.Linger = p.DrainBound
	}
	return t
}

// scaleDuration returns a part of a time.
func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// tuning returns the bounds that the platform sets.
func tuning(p platform.Settings, enabled policy.Policy) router.Tuning {
	return router.Tuning{
		Retries:       retry.Rule{Ratio: retryFraction * p.RetryRatio, Slack: retrySlack, Window: p.RetryWindow},
		LoadMultiple:  p.LoadMultiple,
		WarmupOverage: p.WarmupOverage,
		WarmupSlack:   p.WarmupSlack,
		Regions:       p.RegionCount(),
		Policy:        enabled,
	}
}

// reload takes changed settings. Addresses are the process's for life.
func (e *Entry) reload(p platform.Settings) {
	e.router.Tune(tuning(p, e.settings.Without.Policy))
	if p.CallerListen != e.platform.CallerListen || p.StoreURL != e.platform.StoreURL {
		slog.Warn("settings: a changed address takes effect after a restart", "callers", p.CallerListen, "store", p.StoreURL)
	}
	slog.Info("settings reloaded", "retry_ratio", p.RetryRatio, "load_multiple", p.LoadMultiple)
}

// serveReadinessAndMetrics serves what a router answers beside its callers: whether it is ready,
// to the balancer, and its metrics.
func (e *Entry) serveReadinessAndMetrics(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, e.Ready)
	if err := serveOn(ctx, e.platform.ReadyListen, ready); err != nil {
		return err
	}
	if e.settings.MetricsPort.N == 0 {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", telemetry.Handler())
	metrics.HandleFunc("GET /upstreams", e.serveUpstreams)
	return serveOn(ctx, net.JoinHostPort(e.platform.IP, strconv.Itoa(e.settings.MetricsPort.N)), metrics)
}

// UpstreamConditions returns what this router holds against each upstream.
func (e *Entry) UpstreamConditions() []admin.UpstreamConditions {
	return e.router.DirectUpstreams(time.Now())
}

// serveUpstreams serves what this router holds against each upstream.
func (e *Entry) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.UpstreamConditions()); err != nil {
		slog.Warn("what is held against upstreams could not be told", "error", err)
	}
}

// serveOn serves h on addr until ctx ends.
func serveOn(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}

// Close ends the serving of callers at once.
func (e *Entry) Close() {
	if err := e.server.Close(); err != nil {
		slog.Warn("closing the listener for callers", "error", err)
	}
}
