package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// watchWait is how long a watch of the store waits for a change.
	watchWait = 20 * time.Second
	// listEvery is how often the list of VMs is read.
	listEvery = 2 * time.Second
	// platformRetry is the pause after a failed call of the platform.
	platformRetry = time.Second
)

// configKinds are the kinds of object that a router follows.
var configKinds = profile.Kinds

// Config is what a router is told at its start.
type Config struct {
	Store platform.Store
	VMs   platform.VMList
	Ring  *token.Ring
	// Dial connects to the sidecar of a VM and makes sure that it is that one.
	Dial func(ctx context.Context, vm platform.VM) (net.Conn, error)
	// FailureDomain in which the router runs; empty: not known.
	FailureDomain string
}

// Router serves requests.
type Router struct {
	config Config
	loop   *loop.Loop[Event, Effect]
	state  *State
	view   atomic.Pointer[View]
	limits *limits
	claims *claimBudget
	ledger *ledger
	hints  chan struct{} // to look at the store now

	mu      sync.Mutex
	peers   map[endpoint]*wire.Peer
	avoided map[string]time.Time // VMs that could not be reached, until when
}

// New returns a Router that works until ctx ends.
func New(ctx context.Context, c Config) *Router {
	r := &Router{
		config:  c,
		state:   NewState(placement.Locality{Domain: c.FailureDomain}),
		limits:  newLimits(),
		claims:  newClaimBudget(time.Now()),
		ledger:  newLedger(),
		hints:   make(chan struct{}, 1),
		peers:   make(map[endpoint]*wire.Peer),
		avoided: make(map[string]time.Time),
	}
	r.view.Store(r.state.View())
	r.loop = loop.New(r.state, r.act, r.publish)
	context.AfterFunc(ctx, r.closePeers)
	go r.loop.Run(ctx)
	go r.followConfig(ctx)
	go r.followVMs(ctx)
	return r
}

// act carries out an effect, on the loop's goroutine.
func (r *Router) act(effect Effect) {
	if e, ok := effect.(Followed); ok {
		r.ledger.follow(e)
	}
}

// publish shows traffic the new state, and then tells operators of it.
func (r *Router) publish() {
	r.view.Store(r.state.View())
	r.ledger.publish()
}

// refreshConfig gives up the present watch of the store for a new one, which
// is answered at once if there is news.
func (r *Router) refreshConfig() {
	select {
	case r.hints <- struct{}{}:
	default:
	}
}

// View returns the present picture of the control state.
func (r *Router) View() *View {
	return r.view.Load()
}

// Ready reports whether the router knows a configuration and upstreams.
func (r *Router) Ready() bool {
	v := r.View()
	return len(v.Profiles) > 0 && len(v.VMs) > 0
}

// Alive returns nil when the control loop turns.
func (r *Router) Alive(ctx context.Context) error {
	return r.loop.Probe(ctx)
}

// followConfig keeps the configuration up to date: a listing, then watches.
func (r *Router) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := r.listConfig(ctx)
		for err == nil {
			version, err = r.watchConfig(ctx, version)
		}
		sleep(ctx, platformRetry)
	}
}

func (r *Router) listConfig(ctx context.Context) (platform.Version, error) {
	var objects []platform.Object
	version := platform.Version(-1)
	for _, kind := range configKinds {
		cont := ""
		for {
			page, err := r.config.Store.List(ctx, kind, cont)
			if err != nil {
				return 0, err
			}
			objects = append(objects, page.Objects...)
			// Watch from the oldest page on, so that no change made while
			// listing is missed.
			if version < 0 || page.Version < version {
				version = page.Version
			}
			cont = page.Continue
			if cont == "" {
				break
			}
		}
	}
	r.ledger.storeHeard(time.Now())
	r.loop.Post(ObjectsChanged{Objects: objects, Version: version})
	return version, nil
}

func (r *Router) watchConfig(ctx context.Context, since platform.Version) (platform.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hinted := make(chan struct{})
	go func() {
		select {
		case <-r.hints:
			close(hinted)
			cancel()
		case <-ctx.Done():
		}
	}()
	page, err := r.config.Store.Watch(ctx, configKinds, since, watchWait)
	select {
	case <-hinted:
		return since, nil
	default:
	}
	if err != nil {
		return since, err
	}
	r.ledger.storeHeard(time.Now())
	r.loop.Post(ObjectsChanged{Objects: page.Objects, Version: page.Version})
	return max(since, page.Version), nil
}

func (r *Router) followVMs(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		vms, changed, err := r.config.VMs.VMs(ctx, tag)
		if err == nil && changed {
			tag = vms.Tag
			r.loop.Post(VMsChanged{VMs: vms})
		}
		sleep(ctx, listEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
