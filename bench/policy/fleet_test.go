package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
)

const (
	domains          = 3  // failure domains
	maxSamples       = 5  // in a message, as in packages router and sidecar
	sampleFieldBytes = 10 // bytes of CBOR beside the samples
	loadFieldBytes   = 18 // bytes of CBOR with a sidecar's own load
)

// policy is what a row of the benchmark switches on.
type policy struct {
	name             string
	twoChoices       bool // two random choices, without sessions
	bound            bool // sidecars refuse what goes over the bound
	ticket           bool // callers send their tickets back
	detectConcurrent bool // turns of a chat that run at the same time are told apart
	relaySamples     bool // messages carry samples
	skipFull         bool // routers leave out upstreams that they believe full
	export           bool // a leaving upstream hands its prefixes on
	handOver         bool // a joining upstream is handed its sessions' prefixes
}

// upstream is an engine with its sidecar.
type upstream struct {
	member placement.Member
	table  *load.Table
	cache  *cache
	load   int
	state  load.State
}

// reportTo notes in a table how the upstream is.
func (u *upstream) reportTo(t *load.Table, now time.Time) {
	t.Observe(now, u.member.VM, load.Report{Load: u.load, State: u.state})
}

type router struct {
	table *load.Table
	*view
}

// view is the list of upstreams as some routers know it.
type view struct {
	pool *placement.Pool
	vms  []int // indices into fleet.upstreams
	ids  []load.VM
}

// fleet is one pool with its routers.
type fleet struct {
	policy
	scenario
	rand      *rand.Rand
	events    eventQueue
	seconds   float64 // virtual time
	now       time.Time
	upstreams []*upstream
	live      []int // those that serve
	routers   []*router
	chats     int // so far
	window    window
}

func (f *fleet) join() {
	n := len(f.upstreams)
	id := fmt.Sprint("vm-", n)
	f.live = append(f.live, n)
	f.upstreams = append(f.upstreams, &upstream{
		member: placement.Member{VM: load.Hash(id), Seed: placement.Seed(id), Domain: fmt.Sprint(n % domains)},
		table:  load.NewTable(),
		cache:  &cache{capacity: f.cacheTokens, prefixes: make(map[int]*prefix)},
	})
}

// handOverPrefixes hands the upstream that joined last copies of its sessions' prefixes.
func (f *fleet) handOverPrefixes() {
	v, n := f.newView(0), len(f.upstreams)-1
	for _, vm := range f.live[:len(f.live)-1] {
		from := f.upstreams[vm].cache
		for _, chat := range from.chats() {
			if v.vms[v.pool.Home(session(chat))] == n {
				f.upstreams[n].cache.use(chat, from.prefixes[chat].tokens, from.prefixes[chat].lastUse)
			}
		}
	}
}

// leave drains a random upstream.
func (f *fleet) leave() {
	index := f.rand.IntN(len(f.live))
	u := f.upstreams[f.live[index]]
	f.live = slices.Delete(f.live, index, index+1)
	u.state = load.Draining
	v := f.newView(0)
	for _, chat := range u.cache.chats() {
		if successor := v.vms[v.pool.Home(session(chat))]; f.export {
			f.upstreams[successor].cache.use(chat, u.cache.prefixes[chat].tokens, f.seconds)
		}
	}
}

func (f *fleet) newView(domain int) *view {
	v := &view{vms: slices.Clone(f.live)}
	var ms []placement.Member
	for _, vm := range f.live {
		ms, v.ids = append(ms, f.upstreams[vm].member), append(v.ids, f.upstreams[vm].member.VM)
	}
	v.pool = placement.NewPool(ms, placement.Locality{Domain: fmt.Sprint(domain)})
	return v
}

// session is the hash of a chat.
func session(chat int) uint64 {
	return uint64(chat)*0x9e3779b97f4a7c15 | 1
}

// request offers a turn of a chat to upstreams and returns where it runs, or
// placement.None.
func (f *fleet) request(r *router, c *chat) (vm int) {
	f.window.requests++
	q := placement.Query{Session: session(c.id), Ticket: placement.None, TicketAge: math.MaxInt64, Random: f.rand.Uint64()}
	if f.twoChoices {
		q.Session = 0
	}
	if f.ticket && c.ticketVM != placement.None {
		q.Ticket = r.pool.Index(f.upstreams[c.ticketVM].member.VM)
		if f.detectConcurrent {
			q.TicketAge = time.Duration((f.seconds - c.ticketTime) * float64(time.Second))
		}
	}
	if f.bound {
		q.LoadMultiple = f.loadMultiple
	}
	reported := r.table
	if !f.skipFull {
		reported = load.NewTable()
	}
	var out [placement.MaxCandidates]int
	n := r.pool.Choose(f.now, reported, q, &out)
	for _, i := range out[:n] {
		if f.offer(r, f.upstreams[r.vms[i]]) {
			return r.vms[i]
		}
		f.window.refusals++
	}
	f.window.rejected++
	return placement.None
}

// offer is a message to a sidecar and its reply, which tells the load that the
// request found.
func (f *fleet) offer(r *router, u *upstream) (admitted bool) {
	if f.relaySamples {
		up := r.table.Pack(f.now, maxSamples, u.member.VM)
		f.window.upBytes += len(up) + sampleFieldBytes
		_ = u.table.Merge(f.now, up)
	}
	u.reportTo(u.table, f.now)
	mean, known := u.table.Mean(f.now)
	admitted = u.state == load.Serving && (!f.bound || u.load < load.Bound(mean, known, f.loadMultiple, 1))
	f.sendReply(r, u, !admitted)
	if admitted {
		u.load++
	}
	return admitted
}

// sendReply is what a sidecar tells a router of loads.
func (f *fleet) sendReply(r *router, u *upstream, withSamples bool) {
	f.window.ownLoadBytes += loadFieldBytes
	u.reportTo(u.table, f.now)
	if withSamples && f.relaySamples {
		down := u.table.Pack(f.now, maxSamples, u.member.VM)
		f.window.downBytes += len(down) + sampleFieldBytes
		_ = r.table.Merge(f.now, down)
	}
	u.reportTo(r.table, f.now)
}

// recordSkew notes the skew: the highest load over the mean of those that serve,
// and how many requests the highest is over the bound at the true mean.
func (f *fleet) recordSkew() {
	highest, sum := 0, 0
	for _, vm := range f.live {
		highest = max(highest, f.upstreams[vm].load)
		sum += f.upstreams[vm].load
	}
	mean := float64(max(sum, 1)) / float64(len(f.live))
	f.window.skews = append(f.window.skews, float64(highest)/mean)
	f.window.overBound = max(f.window.overBound, highest-load.Bound(mean, len(f.live), f.loadMultiple, 1))
}
