package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/virtualtime"
)

// Calls of the store, as the routers make them.
const (
	registerCalls  = 1 // an entry in the register is written once
	configKinds    = 2 // the configuration and the operators' orders to drain
	watchesAtATime = 3 // one for each kind of object that is followed
	// watchWaitShare is how long a watch waits for a change, as a share of the bound.
	watchWaitShare = 0.45
	// ipOverheadBytes is the size of the headers of a datagram.
	ipOverheadBytes = 28
	capacities      = 5 // distinct capacities of routers
)

// fleet is one fleet in virtual time.
type fleet struct {
	config  Config
	random  *rand.Rand
	clock   *virtualtime.Clock
	routers []*router
	byName  map[string]*router

	version       topo.Version // newest version in the store
	storeCalls    int
	storeBytes    int
	listings      map[*router]bool // routers that have listed the whole store
	announcements int              // subscriptions and announcements sent
}

// router is one modelled router.
type router struct {
	node        relay.Router
	state       *relay.State
	version     topo.Version
	parent      relay.Router
	isLost      bool
	answeredAt  time.Time // when the store last answered it
	call        int       // number of its current call; a result of an earlier one is dropped
	pulling     bool
	linkFreeAt  time.Time // when its link has sent the pulls that were requested so far
	sent, got   traffic
	subscribers int // routers that rely on it; set by countSteady
}

// traffic is a number of messages and their bytes.
type traffic struct{ messages, bytes int }

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += bytes + ipOverheadBytes
}

// startTime is what the clock shows at the beginning. It is not the zero time, which stands for never.
var startTime = time.Unix(1_000_000, 0)

func newFleet(c Config, size int) *fleet {
	f := &fleet{
		config: c, random: rand.New(rand.NewPCG(c.Seed, uint64(size))), clock: virtualtime.NewClock(startTime),
		byName: make(map[string]*router), version: 1, listings: make(map[*router]bool),
	}
	for i := range size {
		node := relay.Router{
			Name: fmt.Sprintf("router-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Domain: fmt.Sprintf("region/domain-%d", i%c.FailureDomains), Capacity: f.random.IntN(capacities),
		}
		r := &router{node: node, state: relay.New(node, relay.TimingFor(c.Bound))}
		f.routers = append(f.routers, r)
		f.byName[node.Name] = r
	}
	return f
}

// checkInterval is how often run asks whether it is done: to ask a thousand routers after each event
// would take longer than the events.
const checkInterval = time.Millisecond

// run plays for d, or until done reports true, and returns how long it has played.
func (f *fleet) run(d time.Duration, done func() bool) time.Duration {
	return f.clock.RunFor(d, checkInterval, done)
}

// startAll starts all routers within StartSpread.
func (f *fleet) startAll() {
	var started []*router
	for _, r := range f.routers {
		at := time.Duration(f.random.Int64N(int64(f.config.StartSpread)))
		f.clock.After(at, func() {
			f.tick(r)
			f.callStore(r, registerCalls, f.config.EntryBytes, func() {
				started = append(started, r)
				entered := len(started)
				f.callStore(r, f.pages(entered), entered*f.config.EntryBytes, func() { f.register(r, started[:entered]) })
			})
		})
	}
}

// pages returns the number of pages of a listing.
func (f *fleet) pages(entries int) int {
	return max(1, (entries+f.config.PageEntries-1)/f.config.PageEntries)
}

// callStore makes n calls one after the other, which return so many bytes in all.
func (f *fleet) callStore(r *router, n, bytes int, then func()) {
	f.storeCalls += n
	f.storeBytes += bytes
	f.clock.After(time.Duration(n)*f.config.StoreDelay, func() {
		if !r.isLost {
			then()
		}
	})
}

func (f *fleet) register(r *router, entered []*router) {
	var nodes []relay.Router
	for _, other := range entered {
		nodes = append(nodes, other.node)
	}
	f.step(r, relay.Registered{Now: f.clock.Now(), Routers: nodes})
}

// tick steps a router at each config.TickInterval until it is lost.
func (f *fleet) tick(r *router) {
	if r.isLost {
		return
	}
	f.step(r, relay.Ticked{Now: f.clock.Now()})
	f.clock.After(config.TickInterval, func() { f.tick(r) })
}

func (f *fleet) step(r *router, e relay.Event) {
	for _, effect := range r.state.Step(e) {
		f.execute(r, effect)
	}
}

func (f *fleet) execute(r *router, effect relay.Effect) {
	switch e := effect.(type) {
	case relay.SendHeartbeat:
		f.send(r, e.To, e, func(to *router) relay.Event {
			return relay.HeartbeatReceived{Now: f.clock.Now(), Heartbeat: e.Heartbeat}
		})
	case relay.SendSubscribe:
		f.announcements++
		f.send(r, e.To, e, func(to *router) relay.Event {
			return relay.SubscribeReceived{Now: f.clock.Now(), Subscribe: e.Subscribe}
		})
	case relay.SendReport:
		e.Report.Payload = make([]byte, f.reportBytes(r, e.Report.IsSummary))
		f.send(r, e.To, e, nil)
	case relay.SetParent:
		r.parent = e.Parent
	case relay.SwitchStoreReading:
		r.call++
		if e.On {
			f.list(r)
		}
	case relay.ParentProgress:
		f.pull(r, f.byName[e.Parent.Name], e.Progress[relay.SetMembers].Summary.Version)
	}
}

// reportBytes returns the size of a report. That to a parent holds what the router and its subscribers
// have observed since the last one.
func (f *fleet) reportBytes(r *router, isSummary bool) int {
	if isSummary {
		return f.config.SummaryBytes
	}
	interval := relay.TimingFor(f.config.Bound).ReportInterval.Seconds()
	observed := float64(r.subscribers+1) * f.config.RequestsPerSecond * interval
	return min(int(observed*float64(f.config.ObservedBytes)), relay.MaxMessageBytes-100)
}

// send sends a message. received returns the event that it causes; nil: none that the model needs.
func (f *fleet) send(from *router, node relay.Router, effect relay.Effect, received func(*router) relay.Event) {
	b, err := relay.Encode(effect)
	if err != nil {
		panic(err) // the model sends nothing that the routers could not send
	}
	from.sent.add(len(b))
	to := f.byName[node.Name]
	f.clock.After(f.config.HopDelay, func() {
		if to.isLost {
			return
		}
		to.got.add(len(b))
		if received != nil {
			f.step(to, received(to))
		}
	})
}

// list lists the whole store and then watches it.
func (f *fleet) list(r *router) {
	f.listings[r] = true
	call := r.call
	upstreams := f.upstreams()
	f.callStore(r, configKinds+f.pages(upstreams), f.config.ConfigBytes+upstreams*f.config.EntryBytes, func() {
		if r.call == call {
			f.storeAnswered(r)
			f.watch(r)
		}
	})
}

func (f *fleet) watch(r *router) {
	call, since := r.call, f.version
	f.storeCalls += watchesAtATime
	wait := time.Duration(watchWaitShare * float64(f.config.Bound))
	end := f.clock.Now().Add(wait)
	var poll func()
	poll = func() {
		switch {
		case r.isLost || r.call != call:
		case f.version > since || !f.clock.Now().Before(end):
			f.storeAnswered(r)
			f.watch(r)
		default:
			f.clock.After(f.config.StoreDelay, poll)
		}
	}
	f.clock.After(f.config.StoreDelay, poll)
}

func (f *fleet) storeAnswered(r *router) {
	r.answeredAt = f.clock.Now()
	r.version = max(r.version, f.version)
	f.reportProgress(r)
}

func (f *fleet) reportProgress(r *router) {
	p := relay.Progress{Summary: config.Summary{Version: r.version}, Age: -1, SinceRecovery: -1}
	if !r.answeredAt.IsZero() {
		p.Age = f.clock.Now().Sub(r.answeredAt).Milliseconds()
	}
	f.step(r, relay.ProgressUpdated{Now: f.clock.Now(), Progress: relay.Sets[relay.Progress]{p, p}})
}

// pull pulls what a router lacks from its parent. The parent's link sends one pull after the other.
func (f *fleet) pull(r, parent *router, version topo.Version) {
	if r.pulling || version <= r.version || parent.isLost {
		return
	}
	r.pulling = true
	bytes := f.config.PackedShare * float64(f.config.EntryBytes)
	if r.version == 0 {
		bytes = f.config.PackedShare * float64(f.config.ConfigBytes+f.upstreams()*f.config.EntryBytes)
	}
	transfer := time.Duration(bytes * 8 / (f.config.LinkMbps * megabyte) * float64(time.Second))
	parent.linkFreeAt = latest(parent.linkFreeAt, f.clock.Now()).Add(transfer)
	f.clock.After(parent.linkFreeAt.Sub(f.clock.Now())+2*f.config.HopDelay, func() {
		r.pulling = false
		if !parent.isLost && !r.isLost {
			r.version = max(r.version, parent.version)
			f.reportProgress(r)
		}
	})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (f *fleet) upstreams() int {
	return int(f.config.UpstreamsPerRouter * float64(len(f.routers)))
}

// isCurrent reports whether every router has the newest version.
func (f *fleet) isCurrent() bool {
	for _, r := range f.routers {
		if !r.isLost && r.version < f.version {
			return false
		}
	}
	return true
}
