package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/vocabulary"
)

// States of an upstream in the operators' API.
const (
	serving    = "serving"
	draining   = "draining" // ordered to leave, or leaving by itself
	down       = "down"
	unreported = "unheard" // no recent report of its load
)

// States of a quarantined request in the operators' API.
const (
	suspected = "suspect"   // runs alone, at one upstream only
	onTrial   = "trial"     // one is run alone, to see whether it is the cause
	convicted = "convicted" // rejected without being run
)

// AdminNode adapts a Router to the operators' API. It implements admin.Node.
type AdminNode struct {
	router  *Router
	vm      string
	started time.Time
}

// AdminNode returns the adapter of the router on a VM to the operators' API.
func (r *Router) AdminNode(vm string) *AdminNode {
	return &AdminNode{router: r, vm: vm, started: time.Now()}
}

// Status implements admin.Node.
func (n *AdminNode) Status(brief bool) admin.Status {
	now := time.Now()
	view := n.router.View()
	s := admin.Status{
		VM:            n.vm,
		FailureDomain: n.router.config.FailureDomain,
		Started:       n.started,
		Ready:         n.router.Ready(),
		Config:        n.router.ledger.Status(),
		Control:       controlRates(now.Sub(n.started)),
		Quarantined:   n.router.Quarantined(now),
		UnknownWords:  vocabulary.UnknownWords(),
	}
	for name, out := range n.upstreams() {
		var p admin.PoolStatus
		if pool := view.Pools[name]; pool != nil {
			p = pool.status(now, brief)
			out = slices.DeleteFunc(out, pool.has)
		}
		p.Name = name
		addLeaving(&p, out, brief)
		s.Pools = append(s.Pools, p)
	}
	slices.SortFunc(s.Pools, func(x, y admin.PoolStatus) int { return cmp.Compare(x.Name, y.Name) })
	return s
}

// upstreams returns the upstreams in the list of VMs by pool, including those
// that take no new work because they are to leave.
func (n *AdminNode) upstreams() map[string][]topo.VM {
	pools := make(map[string][]topo.VM)
	for _, vm := range n.VMs() {
		if vm.Role == topo.RoleUpstream {
			pools[vm.Pool] = append(pools[vm.Pool], vm)
		}
	}
	return pools
}

// addLeaving adds upstreams that are to leave. Their loads are not known, because the
// view contains only upstreams that take new work.
func addLeaving(p *admin.PoolStatus, vms []topo.VM, brief bool) {
	p.Known += len(vms)
	p.Draining += len(vms)
	if brief {
		return
	}
	for _, vm := range vms {
		p.Upstreams = append(p.Upstreams, admin.UpstreamStatus{VM: vm.ID, FailureDomain: vm.FailureDomain, State: draining})
	}
}

func (p *Pool) has(vm topo.VM) bool {
	return slices.ContainsFunc(p.VMs, func(other topo.VM) bool { return other.ID == vm.ID })
}

// Quarantined returns the requests and the parts of prompts that are suspected or convicted of crashing
// upstreams, as far as this router knows.
func (r *Router) Quarantined(now time.Time) []admin.Quarantined {
	out := []admin.Quarantined{}
	for _, c := range r.suspects.Cases(now) {
		out = append(out, admin.Quarantined{
			Fingerprint: c.Fingerprint.String(),
			Part:        r.suspects.PartName(c.Fingerprint),
			State:       quarantineState(c.Action),
			Crashes:     c.Crashes,
			Upstreams:   c.Upstreams,
			Until:       c.Until,
		})
	}
	return out
}

func quarantineState(a quarantine.Action) string {
	switch a {
	case quarantine.Refuse:
		return convicted
	case quarantine.Try:
		return onTrial
	}
	return suspected
}

func controlRates(since time.Duration) []admin.ControlRate {
	var rates []admin.ControlRate
	telemetry.ControlBytes.Do(func(kind telemetry.ControlKind, n int64) {
		rates = append(rates, admin.ControlRate{Kind: string(kind), Bytes: n, BytesPerSecond: float64(n) / max(since.Seconds(), 1)})
	})
	return rates
}

// InForce implements admin.Node.
func (n *AdminNode) InForce(ref topo.Ref) admin.InForce { return n.router.ledger.InForce(ref) }

// Complete implements admin.Node.
func (n *AdminNode) Complete() topo.Version { return n.router.ledger.Complete() }

// Rejected implements admin.Node.
func (n *AdminNode) Rejected() []topo.Ref {
	var refs []topo.Ref
	for _, p := range n.router.ledger.Status().Rejected {
		refs = append(refs, p.Ref)
	}
	return refs
}

// Changed implements admin.Node.
func (n *AdminNode) Changed() <-chan struct{} { return n.router.ledger.Changed() }

// Refresh implements admin.Node.
func (n *AdminNode) Refresh() { n.router.refreshConfig() }

// VMs implements admin.Node.
func (n *AdminNode) VMs() []topo.VM {
	view := n.router.View()
	vms := make([]topo.VM, 0, len(view.VMs))
	for _, vm := range view.VMs {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(x, y topo.VM) int { return cmp.Compare(x.ID, y.ID) })
	return vms
}

// status returns the state of the pool's upstreams according to their latest reports.
func (p *Pool) status(now time.Time, brief bool) admin.PoolStatus {
	s := admin.PoolStatus{Known: len(p.VMs)}
	p.loadReports.mu.Lock()
	defer p.loadReports.mu.Unlock()
	s.Mean, _ = p.loadReports.table.Mean(now)
	for _, vm := range p.VMs {
		report, known := p.loadReports.table.Get(now, load.Hash(vm.ID))
		state := stateName(report, known)
		switch state {
		case draining:
			s.Draining++
		case down:
			s.Down++
		default:
			s.Serving++
		}
		perWeight := float64(report.Load) / float64(max(report.Weight, 1))
		if s.Mean > 0 && perWeight/s.Mean > s.Skew {
			s.Skew, s.Max, s.Busiest = perWeight/s.Mean, report.Load, vm.ID
		}
		if !brief {
			s.Upstreams = append(s.Upstreams, admin.UpstreamStatus{VM: vm.ID, FailureDomain: vm.FailureDomain, State: state, Load: report.Load})
		}
	}
	return s
}

func stateName(r load.Report, known bool) string {
	switch {
	case !known:
		return unreported
	case r.State == load.Draining:
		return draining
	case r.State == load.Down:
		return down
	default:
		return serving
	}
}

// Explain implements admin.Node.
func (n *AdminNode) Explain(q admin.Query) (admin.Explanation, error) {
	now := time.Now()
	view := n.router.View()
	org, p, err := view.find(q)
	if err != nil {
		return admin.Explanation{}, err
	}
	pool := view.Pools[p.Pool]
	if pool == nil {
		return admin.Explanation{}, errors.Errorf("pool %q has no upstream in the list of VMs", p.Pool)
	}
	resp := &Response{
		router:  n.router,
		req:     Request{Org: org, Profile: p, Session: q.Session, Ticket: q.Ticket},
		view:    view,
		pool:    pool,
		session: sessionHash(org.Name, q.Session),
	}
	e := admin.Explanation{VM: n.vm, Profile: p.Name, Pool: p.Pool, Multiple: p.LoadMultiple}
	named, _ := n.router.ticketVM(now, q.Ticket, resp.session)
	e.TicketNote = ticketNote(q, pool, named)
	chosen := n.router.chooseCandidates(now, resp)
	pool.loadReports.mu.Lock()
	defer pool.loadReports.mu.Unlock()
	var known int
	e.Mean, known = pool.loadReports.table.Mean(now)
	for _, vm := range chosen {
		report, reported := pool.loadReports.table.Get(now, load.Hash(vm.ID))
		bound := load.Bound(e.Mean, known, p.LoadMultiple, max(vm.Weight, 1))
		if p.LoadMultiple <= 0 {
			bound = 0
		}
		e.Candidates = append(e.Candidates, admin.Candidate{
			VM: vm.ID, FailureDomain: vm.FailureDomain, State: stateName(report, reported),
			Load: report.Load, Bound: bound,
			Reason: n.explainPlace(now, vm, resp.session != 0, vm.ID == named, report, bound),
		})
	}
	return e, nil
}

// explainPlace returns why an upstream is among the candidates, and what affects its
// place there.
func (n *AdminNode) explainPlace(now time.Time, vm topo.VM, bySession, byTicket bool, r load.Report, bound int) string {
	var parts []string
	switch {
	case byTicket:
		parts = append(parts, "the ticket names it")
	case bySession:
		parts = append(parts, "ranks high for the session")
	default:
		parts = append(parts, "less loaded of two random upstreams; no session")
	}
	if r.State != load.Serving {
		parts = append(parts, "believed to refuse")
	} else if bound > 0 && r.Load >= bound {
		parts = append(parts, "believed full, after those with room")
	}
	if n.router.isUnreachable(vm.ID, now) {
		parts = append(parts, "could not be reached lately, so last")
	}
	return strings.Join(parts, "; ")
}

// ticketNote returns whether the ticket of a query is followed, or why not.
func ticketNote(q admin.Query, pool *Pool, followed string) string {
	switch {
	case q.Ticket == "":
		return "none given"
	case followed == "":
		return "not followed: not of this session, or not signed by this fleet"
	case pool.placed.Index(load.Hash(followed)) == placement.None:
		return "not followed: " + followed + " is not in the pool any more"
	default:
		return "followed to " + followed
	}
}

// find returns the organisation and the profile that apply to a request.
func (v *View) find(q admin.Query) (*profile.Organisation, *profile.Profile, error) {
	var org *profile.Organisation
	for _, o := range v.Orgs {
		if o.Name == q.Organisation {
			org = o
		}
	}
	if org == nil {
		return nil, nil, errors.Errorf("organisation %q does not exist or has no key", q.Organisation)
	}
	p := v.ForModel(org, q.Profile, q.Model)
	if q.Service != "" {
		p = v.ForService(org, q.Profile, q.Service, q.Method, q.Path)
	}
	if p == nil {
		return nil, nil, errors.Errorf("no profile of organisation %q fits the request", q.Organisation)
	}
	return org, p, nil
}
