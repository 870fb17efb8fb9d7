package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin/ledger"
	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/claim"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/follow"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/originstore"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/warmup"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

var (
	unusableEntries = telemetry.NewCounter("router_unusable_entries_total",
		"Writes of entries of upstreams that named none which could be used.")
	outdatedEntries = telemetry.NewCounter("router_outdated_entries_total",
		"Writes of entries by former incarnations of upstreams, or made before a later one, which were passed over.")
)

// defaultVMListInterval is the default interval between two readings of the list of VMs.
const defaultVMListInterval = 2 * time.Second

// Config configures a Router.
type Config struct {
	Store topo.Store
	VMs   topo.VMList
	// Source is where the configuration is read from; nil: Store.
	Source follow.Source
	// Decode decodes the objects of Source; nil: they are in the format of parsleyctl.
	Decode func(topo.Object) (profile.Object, error)
	// ConfigTiming sets when the store is called; zero: config.DefaultTiming.
	ConfigTiming config.Timing
	// VMListInterval is the interval between two readings of the list of VMs; zero:
	// defaultVMListInterval.
	VMListInterval time.Duration
	Ring           *token.Keyring
	// Dial connects to the sidecar of a VM and verifies its identity.
	Dial func(ctx context.Context, vm topo.VM) (net.Conn, error)
	// Direct calls upstreams that have no sidecar; nil if all have one.
	Direct *exchange.Client
	// Mesh connects the routers of the fleet with each other; nil: each of them reads
	// the store and the list of VMs itself.
	Mesh *Mesh
	// Tuning is the initial tuning.
	Tuning Tuning
	// RequestLog is the log of single requests; nil: they are not logged.
	RequestLog *telemetry.RequestLog
	// VM is the id, in the list, of the VM that the router runs on.
	VM string
	// FailureDomain is the failure domain that the router runs in; empty: not known.
	FailureDomain string
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

// Tuning holds the settings that may change while a router runs. They apply to
// upstreams without a sidecar.
type Tuning struct {
	// Retries limits retries by this router.
	Retries retry.Rule
	// LoadMultiple is the load bound of an upstream, as a multiple of the pool's mean.
	LoadMultiple float64
	// WarmupOverage and WarmupSlack set how many requests a second a cold upstream may
	// get from all routers together: WarmupOverage times the pool's warm-up rate, plus
	// WarmupSlack.
	WarmupOverage, WarmupSlack float64
	// Regions is the number of the platform's regions; zero counts as one. A router
	// knows only the number of routers in its own region.
	Regions int
	// Policy sets which mechanisms are on.
	Policy policy.Policy
	// SharePools sets of which pools organisations get shares while the pools are short.
	SharePools ShareMode
}

// policy returns which mechanisms are on.
func (r *Router) policy() policy.Policy {
	return r.tuning.Load().Policy
}

// WaitsForConfig reports whether requests that arrive before the router's first
// configuration wait for it.
func (r *Router) WaitsForConfig() bool {
	return r.policy().StartWait
}

// Router sends requests to upstreams. It is safe for concurrent use.
type Router struct {
	config         Config
	ctx            context.Context
	runner         *follow.Runner
	loop           *loop.Loop[Event, Effect]
	state          *State
	view           atomic.Pointer[View]
	firstReady     chan struct{} // closed when the router is ready for the first time
	firstReadyOnce sync.Once
	limits         *limits
	retries        *retry.PoolBudgets // direct upstreams only
	claimBudget    *claimBudget
	claimer        *claim.Claimer
	suspects       *suspects.Registry
	origins        *origins.Exchange
	versions       origins.History
	originArchive  *originstore.Archive
	ledger         *ledger.Ledger
	lastServed     *balance.LastServed[topo.VM]
	coldStart      coldStart
	shortages      shortages
	tuning         atomic.Pointer[Tuning]
	listCurrency   atomic.Pointer[membership.Currency] // of the upstreams; nil: entries of upstreams are not followed
	askedNow       sync.Map                            // ids of upstreams that are being asked when they started

	mesh     *mesh
	replaced []topo.VM // former incarnations, for abandonReplaced; owned by the control loop

	conditions *condition.Observations // of upstreams, by their id

	mu              sync.Mutex
	parent          relay.Router                 // the router that reads the store for this one; zero: none
	pendingQueries  map[uint64]chan config.Delta // calls of peers that wait for a reply, by ticket
	lastQueryTicket uint64
	peers           map[endpoint]*wire.Peer
}

// New starts a Router that runs until ctx ends.
func New(ctx context.Context, c Config) *Router {
	if c.Source == nil {
		c.Source = follow.FromStore(c.Store)
	}
	if c.ConfigTiming == (config.Timing{}) {
		c.ConfigTiming = config.DefaultTiming()
	}
	if c.VMListInterval == 0 {
		c.VMListInterval = defaultVMListInterval
	}
	r := &Router{
		config:         c,
		ctx:            ctx,
		state:          NewState(c.VM, placement.Locality{Domain: c.FailureDomain}, c.ConfigTiming, rand.Uint64()),
		firstReady:     make(chan struct{}),
		pendingQueries: make(map[uint64]chan config.Delta),
		limits:         newLimits(),
		retries:        retry.NewPoolBudgets(),
		claimBudget:    newClaimBudget(time.Now()),
		claimer:        claim.NewClaimer(c.Store),
		suspects:       suspects.NewRegistry(),
		origins:        newOriginExchange(c.VM, c.FailureDomain, packetsOf(c.Mesh)),
		ledger:         ledger.New(),
		lastServed:     balance.NewLastServed[topo.VM](),
		coldStart:      coldStart{limiter: warmup.NewLimiter(c.VM)},
		peers:          make(map[endpoint]*wire.Peer),
		conditions:     condition.NewObservations(),
	}
	if c.Direct != nil {
		c.Direct.HandleLateSignals(r.handleLateSignal)
		c.Direct.HandleIdleClosed(func(vm topo.VM) { r.suspects.IdleClosed(time.Now(), vm.ID) })
	}
	if c.Decode != nil {
		r.state.SetDecoder(c.Decode)
	}
	r.Tune(c.Tuning)
	r.runner = &follow.Runner{
		Source:    c.Source,
		SendQuery: r.queryConfig,
		Post:      func(e config.Event) { r.loop.Post(ConfigEvent{Event: e}) },
	}
	r.view.Store(r.state.View())
	r.originArchive = originstore.New(originstore.Config{
		Store: c.Store, Domain: c.FailureDomain, History: &r.versions, Exchange: r.origins, FirstStart: c.FirstStart,
		ReadsStore:  func() bool { return r.mesh.readsStore.Load() },
		LongestAway: func() time.Duration { return r.View().longestAway },
	})
	r.loop = loop.New(r.state, r.execute, r.publish)
	context.AfterFunc(ctx, r.closePeers)
	if c.Mesh != nil {
		r.mesh = newMesh(r, *c.Mesh)
		r.listCurrency.Store(newListCurrency(*c.Mesh))
		r.state.EnableRelay(r.mesh.newRelay(), c.Mesh.MemberDecoder, c.Mesh.MemberTiming, c.ConfigTiming, rand.Uint64())
		r.mesh.run(ctx)
	}
	go func() {
		defer telemetry.LogPanic("control loop")
		r.loop.Run(ctx)
	}()
	go r.runner.Run(ctx)
	go r.runMaintenance(ctx)
	if c.Mesh == nil {
		go r.readConvictions(ctx)
	} else {
		go r.originArchive.Run(ctx)
	}
	return r
}

// Tune replaces the router's tuning.
func (r *Router) Tune(t Tuning) {
	r.tuning.Store(&t)
	r.retries.SetRule(t.Retries)
}

// execute carries out an effect, on the goroutine of the control loop.
func (r *Router) execute(effect Effect) {
	switch e := effect.(type) {
	case ConfigEffect:
		r.runner.Do(r.ctx, e.Effect)
		if _, ok := e.Effect.(config.StoreRestored); ok {
			r.onStoreRestored()
		}
	case ConfigReply:
		r.deliverReply(e)
	case Notify:
		r.sendNotice(e)
	case ConfigApplied:
		r.ledger.Apply(e.Update)
		logFollowed(e)
	case MembershipChanged:
		logMembers(e)
		r.onMembersLeft(e)
		r.onMembersSuperseded(e)
	case RelayEffect:
		r.mesh.execute(e.Effect)
	case MembersEffect:
		r.mesh.members.Do(r.ctx, e.Effect)
	case UnusableEntry:
		unusableEntries.Inc()
		if !e.Repeated {
			slog.Error("an entry names no upstream that could be used", "error", e.Err)
		}
	case UpstreamsRestarted:
		r.onUpstreamsRestarted(e)
	}
}

// onStoreRestored handles a store that was restored from an older copy and so has lost its
// latest writes: this router checks its entry in the register, and writes its recent claims
// again.
func (r *Router) onStoreRestored() {
	if r.mesh != nil {
		r.mesh.register.RequestCheck()
	}
	go r.claimer.RecreateLost(r.ctx)
}

// onUpstreamsRestarted logs which upstreams have restarted, and keeps their former
// incarnations for abandonReplaced.
func (r *Router) onUpstreamsRestarted(e UpstreamsRestarted) {
	outdatedEntries.Add(int64(e.Outdated))
	for _, vm := range e.Replaced {
		slog.Warn("upstream has started again: what it worked on is lost", "upstream", vm.ID, "addr", vm.Addr, "pool", vm.Pool)
		r.recordCrash(vm, crashReplaced)
	}
	r.replaced = append(r.replaced, e.Replaced...)
}

// abandonReplaced ends the calls at former incarnations of upstreams. It runs after the view
// without them is published: a request whose call is ended chooses another upstream at once,
// and with the old view it could choose the incarnation that has just gone, and fail.
func (r *Router) abandonReplaced() {
	for _, vm := range r.replaced {
		if r.config.Direct != nil {
			r.config.Direct.AbortCalls(vm)
		}
	}
	r.replaced = nil
}

// publish publishes the new state to requests, and then to operators.
func (r *Router) publish() {
	former := r.view.Swap(r.state.View())
	r.coldStart.registeredRouters.Store(int64(r.state.RegisteredRouters()))
	r.publishRouters()
	r.observeOrigins(time.Now(), former, r.View())
	r.ledger.Publish()
	r.abandonReplaced()
	if r.Ready() {
		r.firstReadyOnce.Do(func() { close(r.firstReady) })
	}
}

// View returns the latest published view of the control state.
func (r *Router) View() *View {
	return r.view.Load()
}

// Ready reports whether the router has a recent configuration and a list of upstreams.
func (r *Router) Ready() bool {
	v := r.View()
	return v.ConfigRecent && len(v.Profiles) > 0 && len(v.VMs) > 0
}

// FirstReady returns a channel that is closed when the router is ready for the first time.
func (r *Router) FirstReady() <-chan struct{} {
	return r.firstReady
}

// Alive returns nil if the control loop responds before ctx ends.
func (r *Router) Alive(ctx context.Context) error {
	return r.loop.Probe(ctx)
}

// runMaintenance reads the list of VMs and drops expired data at intervals, until ctx ends.
func (r *Router) runMaintenance(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		r.suspects.Expire(time.Now())
		originRecords.Set(int64(r.origins.Expire(time.Now())))
		r.coldStart.limiter.Expire(time.Now())
		r.shortages.announceEnded(time.Now())
		r.pruneConditions(time.Now())
		r.claimer.ObserveEra(time.Now(), topo.EraOf(r.config.Store))
		r.prunePeers()
		if r.config.Direct != nil {
			r.config.Direct.CloseIdle(time.Now(), r.View().VMs)
		}
		if r.config.VMs != nil {
			tag = r.refreshVMs(ctx, tag)
			r.postConnectedPeers()
		}
		sleep(ctx, r.config.VMListInterval)
	}
}

// refreshVMs reads the list of VMs if it has changed since the reading with tag, and
// returns the tag of the latest reading.
func (r *Router) refreshVMs(ctx context.Context, tag string) string {
	vms, changed, err := r.config.VMs.VMs(ctx, tag)
	if err != nil || !changed {
		return tag
	}
	r.loop.Post(VMsChanged{Now: time.Now(), VMs: vms})
	return vms.Tag
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
