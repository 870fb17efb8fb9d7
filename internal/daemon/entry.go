package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
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
	// storeDialTimeout bounds the opening of a connection to the store or another router.
	storeDialTimeout = 500 * time.Millisecond
	// Times of calls to the store, as fractions of the platform's bound on how long a
	// change may take to be in force: how long a watch waits for a change, how much later
	// than that its response may arrive, and how long any other call may take. A healthy
	// store responds within milliseconds. A broken connection is detected after the sum
	// of watchWaitFraction and watchGraceFraction, which leaves enough time for a listing.
	watchWaitFraction, watchGraceFraction, callTimeoutFraction = 0.45, 0.2, 0.4
	// watchPauseFraction is the pause after a watch that returned changes, as a fraction of
	// the same bound. It batches bursts of changes: each watch response costs the parent
	// as much as a few requests, and each of its subscribers the same.
	watchPauseFraction = 0.1
	// storeRetryMax bounds the pause after a failed call to the store, whatever its
	// Retry-After says.
	storeRetryMax = time.Second
	// storeRetryInitial is the first pause after a failed call to the store, doubled at each
	// further failure. It must be short: when all of the fleet restarts after a power
	// failure and a router's first call fails, its callers wait for this pause.
	storeRetryInitial = 100 * time.Millisecond
	// firstWatchDelay is the pause between a router's first listing of the store and its
	// first watch. Routers that start together need this time to agree on which of them
	// reads the store, so that most of them never start a watch.
	firstWatchDelay = 200 * time.Millisecond
	// pullInterval is the pause between two pulls of a subscriber from its parent.
	pullInterval = 100 * time.Millisecond
	// outageGrace is how long after the end of a store outage an entry that expired during
	// it still counts. Running upstreams write their entries again within 2 s.
	outageGrace = 2 * time.Second
	// renewMargin is added to the heartbeat interval for the longest time between two
	// renewals of an upstream's entry.
	renewMargin = 100 * time.Millisecond
	// stopMargin is how long before the end of the platform's grace period a planned stop
	// ends, so that the router itself closes the connections that are still in use.
	stopMargin = 300 * time.Millisecond

	// callerFraction is the fraction of a router's file descriptors that it uses for
	// connections of callers. Each request takes one of these and one to an upstream, and
	// idle connections are kept open on both sides.
	callerFraction = 0.5
	// reservedDescriptors are the descriptors that callers and upstreams do not share. On a machine with few they are
	// half of them at most.
	reservedDescriptors = spareDescriptors + readyConnections + metricsConnections + router.MaxCalls
	// defaultCallerConnections is the maximum number of caller connections if the platform
	// sets no limit on file descriptors.
	defaultCallerConnections = 4096

	// callerMemoryFraction is the fraction of a router's memory that what callers have sent may take: heads, parsed
	// requests and bodies. Connections take about half as much, the router itself a quarter, and the heap grows by
	// the rest between collections.
	callerMemoryFraction = 0.25

	// heapLimitFraction is the fraction of a router's memory from which on its garbage is collected more often.
	heapLimitFraction = 0.7

	// retryFraction is the fraction of the platform's bound on retries that routers use.
	// The windows of different routers are not aligned, so the sum of their budgets can
	// exceed the bound by as much as traffic changes from one window to the next.
	retryFraction = 0.8
	// retrySlack is the number of retries in a window that a router is allowed regardless
	// of its traffic.
	retrySlack = 1
)

// Network holds the dialers and listeners by which an Entry communicates.
type Network struct {
	Store     topo.DialFunc
	Upstreams exchange.DialFunc
	Routers   topo.DialFunc
	// Packets and Calls receive messages and connections of other routers. Without Packets
	// this router reads the store itself.
	Packets net.PacketConn
	Calls   net.Listener
	// SuspendedTime returns the total time for which the VM has been suspended.
	SuspendedTime func() time.Duration
}

// systemNetwork returns a Network that uses the VM's network, and listens on the address
// for messages between routers.
func systemNetwork(p platform.Settings) (Network, error) {
	d := net.Dialer{Timeout: storeDialTimeout}
	n := Network{Store: d.DialContext, Upstreams: exchange.Dialer(), Routers: d.DialContext, SuspendedTime: suspendedTime}
	if p.PeerAddr == "" {
		slog.Warn("the platform's settings name no address for messages between routers: this router reads the store itself")
		return n, nil
	}
	var err error
	if n.Packets, err = net.ListenPacket("udp", p.PeerAddr); err != nil {
		return n, errors.WithStack(err)
	}
	n.Calls, err = listenBounded(p.PeerAddr)
	return n, err
}

// Entry is a router on the operators' platform. It sends requests to the upstreams directly,
// without sidecars. Its configuration comes from the platform's store, which it reads itself
// or through a parent.
type Entry struct {
	settings settings.Entry
	platform atomic.Pointer[platform.Settings] // latest
	router   *router.Router
	health   *health
	gateway  *gateway.PlatformGateway
	memory   *budget.Memory // of what callers send, to any address
	server   *httpserver.Server
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
	limitHeap(p.MemoryBytes)
	n, err := systemNetwork(p)
	if err != nil {
		return err
	}
	e := NewEntry(background, s, p, n)
	if err := e.serveReadinessAndMetrics(background); err != nil {
		return err
	}
	l, err := listenBounded(p.CallerListen)
	if err != nil {
		return err
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
	e.reloadBeforeStop(path)
	return e.Stop(background)
}

// NewEntry returns an Entry whose router runs until ctx ends.
func NewEntry(ctx context.Context, s settings.Entry, p platform.Settings, n Network) *Entry {
	requestLog := telemetry.NewRequestLog(slog.Default())
	c := entryConfig(p, n, s)
	c.RequestLog = requestLog
	if off := s.Without.String(); off != "" {
		slog.Warn("mechanisms are switched off", "without", off)
	}
	r := router.New(ctx, c)
	h := newHealth(r.Alive, r.Ready)
	memory := budget.NewMemory(int64(callerMemoryFraction * float64(p.MemoryBytes)))
	g := gateway.NewPlatformGateway(r, platform.Clients{}, memory, requestLog)
	e := &Entry{settings: s, router: r, health: h, gateway: g, memory: memory, server: g.Server(h.closeWhileLeaving(g), callerConnections(p), p.ConfigBound)}
	e.platform.Store(&p)
	return e
}

// callerConnections returns the maximum number of open caller connections.
func callerConnections(p platform.Settings) int {
	if p.MaxDescriptors == 0 {
		return defaultCallerConnections
	}
	reserved := min(reservedDescriptors, p.MaxDescriptors/2)
	return max(1, int(callerFraction*float64(p.MaxDescriptors-reserved)))
}

// Serve serves callers on l until Stop.
func (e *Entry) Serve(l net.Listener) error {
	return errors.WithStack(e.server.Serve(l))
}

// Ready serves the load balancer's readiness check.
func (e *Entry) Ready(w http.ResponseWriter, r *http.Request) {
	e.health.serveReady(w, r)
}

// Stop performs a planned stop. It returns when no request is in flight any more, or with
// an error shortly before the platform's grace period is over.
func (e *Entry) Stop(ctx context.Context) error {
	return e.stopPlan().stop(ctx, e.health, e.server.Server)
}

// stopPlan returns the plan of a planned stop that begins now.
func (e *Entry) stopPlan() stopPlan {
	delay := e.settings.DrainDelay.D
	return stopPlan{delay: delay, timeout: max(e.platform.Load().GracePeriod-delay-stopMargin, 0)}
}

// entryConfig returns the configuration of a router on the operators' platform.
func entryConfig(p platform.Settings, n Network, s settings.Entry) router.Config {
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
			MemberTiming:  memberTiming(p, s.Without.Policy),
		},
		Direct:        exchange.NewClient(platform.Calls{}, n.Upstreams),
		Tuning:        tuning(p, s),
		VM:            p.VM,
		FailureDomain: p.FailureDomain,
		FirstStart:    p.FirstStart,
	}
}

// memberTiming returns how long entries of upstreams stay valid.
func memberTiming(p platform.Settings, enabled policy.Policy) membership.Timing {
	t := membership.Timing{OutageGrace: outageGrace, MaxRenewInterval: p.HeartbeatInterval + renewMargin}
	if enabled.Linger {
		t.Linger = p.DrainBound
	}
	return t
}

// scaleDuration returns d times fraction.
func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// tuning returns the limits that the platform's settings define, with the mechanisms that
// the process's own settings enable.
func tuning(p platform.Settings, s settings.Entry) router.Tuning {
	return router.Tuning{
		Retries:       retry.Rule{Ratio: retryFraction * p.RetryRatio, Slack: retrySlack, Window: p.RetryWindow},
		LoadMultiple:  p.LoadMultiple,
		WarmupOverage: p.WarmupOverage,
		WarmupSlack:   p.WarmupSlack,
		Regions:       p.RegionCount(),
		Policy:        s.Without.Policy,
		SharePools:    shareMode(p, s.SharePools),
	}
}

// shareMode returns which pools are shared by organisations: as the process's own settings say,
// or with SharePoolsAuto as the platform's settings do.
func shareMode(p platform.Settings, s settings.SharePools) router.ShareMode {
	switch {
	case s == settings.SharePoolsOff:
		return router.ShareNever
	case s == settings.SharePoolsOn || p.CallersCompete:
		return router.ShareAlways
	default:
		return router.ShareAuto
	}
}

// reload applies changed settings. Those that shape a running process take effect at its next start.
func (e *Entry) reload(p platform.Settings) {
	former := e.platform.Swap(&p)
	e.router.Tune(tuning(p, e.settings))
	if names := former.ChangedAtStart(p); len(names) > 0 {
		slog.Warn("settings: changes of these take effect after a restart", "settings", names)
	}
	slog.Info("settings reloaded", "retry_ratio", p.RetryRatio, "load_multiple", p.LoadMultiple, "callers_compete", p.CallersCompete, "grace_period", p.GracePeriod)
}

// reloadBeforeStop applies a change of the settings file of which there was no signal: the time for which a planned
// stop may last is that of the file as it is now.
func (e *Entry) reloadBeforeStop(path string) {
	p, err := platform.ReadSettings(path)
	if err != nil {
		slog.Error("settings: the file could not be read before the stop, which goes by the former settings", "error", err)
		return
	}
	if !reflect.DeepEqual(p, *e.platform.Load()) {
		e.reload(p)
	}
}

// Close stops serving callers at once and closes their connections.
func (e *Entry) Close() {
	if err := e.server.Close(); err != nil {
		slog.Warn("could not close the server for callers", "error", err)
	}
}
