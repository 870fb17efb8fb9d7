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
	maxSamples       = 5  // load samples per message, as in packages router and sidecar
	sampleFieldBytes = 10 // CBOR overhead of the samples, in bytes
	loadFieldBytes   = 18 // CBOR encoding of a sidecar's own load, in bytes
)

// policy lists the mechanisms that a row of the benchmark enables.
type policy struct {
	name             string
	twoChoices       bool // choose the better of two random upstreams, ignoring sessions
	bound            bool // sidecars reject requests over the load bound
	ticket           bool // callers return their tickets
	detectConcurrent bool // requests carry the ticket's age, which identifies concurrent turns of a chat
	relaySamples     bool // messages carry samples of other upstreams' loads
	skipFull         bool // routers skip upstreams that are full by their reported load
	export           bool // a leaving upstream exports its prefixes to its successors
	handOver         bool // a joining upstream receives its sessions' prefixes
}

// upstream is an engine with its sidecar.
type upstream struct {
	member placement.Member
	table  *load.Table
	cache  *cache
	load   int
	state  load.State
}

// reportTo records the upstream's load and state in a table.
func (u *upstream) reportTo(t *load.Table, now time.Time) {
	t.Observe(now, u.member.VM, load.Report{Load: u.load, State: u.state})
}

type router struct {
	table *load.Table
	*view
}

// view is the list of upstreams that some routers currently use.
type view struct {
	pool *placement.Pool
	vms  []int // indices into fleet.upstreams
	ids  []load.VM
}

// fleet simulates one pool with its routers.
type fleet struct {
	policy
	scenario
	rand      *rand.Rand
	events    eventQueue
	seconds   float64 // virtual time
	now       time.Time
	upstreams []*upstream
	live      []int // indices of the upstreams that serve
	routers   []*router
	chats     int // started so far
	window    window
}

// join adds an upstream.
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

// handOverPrefixes copies to the latest upstream the cached prefixes of the sessions that
// have it as their home.
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

// leave drains a random upstream and, if the policy says so, exports its prefixes.
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

// newView returns the current list of upstreams for routers in a failure domain.
func (f *fleet) newView(domain int) *view {
	v := &view{vms: slices.Clone(f.live)}
	var ms []placement.Member
	for _, vm := range f.live {
		ms, v.ids = append(ms, f.upstreams[vm].member), append(v.ids, f.upstreams[vm].member.VM)
	}
	v.pool = placement.NewPool(ms, placement.Locality{Domain: fmt.Sprint(domain)})
	return v
}

// session returns the session hash of a chat.
func session(chat int) uint64 {
	return uint64(chat)*0x9e3779b97f4a7c15 | 1
}

// request offers a turn of a chat to candidate upstreams and returns the index of the one
// that runs it, or placement.None.
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
	reportedLoads := r.table
	if !f.skipFull {
		reportedLoads = load.NewTable()
	}
	var out [placement.MaxCandidates]int
	n := r.pool.Choose(f.now, reportedLoads, q, &out)
	for _, i := range out[:n] {
		if f.offer(r, f.upstreams[r.vms[i]]) {
			return r.vms[i]
		}
		f.window.refusals++
	}
	f.window.rejected++
	return placement.None
}

// offer simulates a request message to a sidecar and its reply, which reports the load
// before the request, and returns whether the request is admitted.
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

// sendReply simulates the loads that a sidecar reports to a router: its own, and samples
// of others if withSamples is set.
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

// recordSkew records the skew, which is the highest load divided by the mean load of the
// serving upstreams, and by how many requests the highest load exceeds the bound at the
// true mean.
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
