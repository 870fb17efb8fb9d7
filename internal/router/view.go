package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/residency"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// View is an immutable snapshot of a router's control state, which requests read.
// Consecutive views share the parts that have not changed.
type View struct {
	Version      topo.Version // of the configuration, as reported to other nodes
	Digest       uint64       // of the configuration at that version
	ConfigRecent bool         // the configuration is known to be recent
	Profiles     profile.ByName
	Orgs         map[string]*profile.Organisation // by the hash of each API key
	Limits       *profile.Limits                  // on requests of callers; nil: the defaults
	hosts        profile.Hosts
	routes       origins.Routes // by host
	streamPools  origins.Sets   // by host
	longestAway  time.Duration  // for which after its beginning any stream may be taken up
	versions     origins.Sets   // of the software of upstreams, by pool
	urgencies    urgencyTable
	Pools        map[string]*Pool
	VMs          map[string]topo.VM
	PoolSpecs    map[string]*profile.Pool // by pool
	Leaving      map[string]bool          // VMs that are to leave
	ConfigCopies map[string]bool          // VMs whose sidecars keep a copy of the configuration
	Routers      int                      // routers in the list of VMs that are not leaving, at least one
}

// Pool holds the upstreams of one pool, with their load reports and conditions. Upstreams with
// a sidecar that are leaving or drained are not in it; those without one are, because others can
// still fetch cached prompts from them. Its contents are immutable but for loadReports, tracker,
// shedder and parts, which are safe for concurrent use.
type Pool struct {
	VMs         []topo.VM
	members     []placement.Member // in the order of VMs
	placed      *placement.Pool    // of members
	loadReports *loadReports
	tracker     *balance.Tracker
	shedder     *shedding.Pool
	serving     []load.VM // upstreams that are neither leaving nor drained

	locality placement.Locality
	parts    sync.Map // *Pool of some of the upstreams, by partKey

	listed     map[string]condition.Set // conditions from the list and operators' orders, by id
	warmupRate float64                  // requests a second that a cold upstream may get; zero: no limit
	warmup     time.Duration            // for which an upstream is cold after its start
	warmAt     map[string]time.Time     // when cold upstreams become warm, by id
}

// View returns a view of the present state. It returns the previous one if nothing in
// it has changed.
func (s *State) View() *View {
	summary, recent := s.follower.Set().Summary(), s.follower.Ready()
	same := s.view.Version == summary.Version && s.view.Digest == summary.Digest && s.view.ConfigRecent == recent
	if s.stale == (staleParts{}) && same {
		return s.view
	}
	v := *s.view
	v.Version, v.Digest, v.ConfigRecent = summary.Version, summary.Digest, recent
	if s.stale.profiles {
		v.Profiles = maps.Clone(s.profiles)
		v.hosts = profile.ByHost(s.profiles)
		v.routes, v.streamPools = routesOf(v.hosts), streamPools(v.hosts)
		v.longestAway = longestAway(v.Profiles)
		v.Limits = s.limits
	}
	if s.stale.orgs {
		v.Orgs = byKey(s.orgs)
	}
	if s.stale.profiles || s.stale.orgs {
		v.urgencies = newUrgencyTable(s.orgs, s.profiles)
	}
	if s.stale.pools {
		s.buildPools(&v)
	}
	s.view, s.stale = &v, staleParts{}
	return s.view
}

// byKey returns the organisations by the hashes of their API keys.
func byKey(orgs map[string]*profile.Organisation) map[string]*profile.Organisation {
	out := make(map[string]*profile.Organisation, len(orgs))
	for _, o := range orgs {
		for _, k := range o.Keys {
			out[k.SHA256] = o
		}
	}
	return out
}

// buildPools builds the parts of a view that follow from the list of VMs, operators' orders
// and pool specifications.
func (s *State) buildPools(v *View) {
	members := make(map[string][]upstream)
	v.VMs = make(map[string]topo.VM, len(s.vms.Entries))
	v.Routers = 0
	for _, vm := range s.vms.Entries {
		v.VMs[vm.ID] = vm
		order, _ := s.orders.Lookup(vm.ID, vm.FailureDomain)
		switch {
		case vm.Role == topo.RoleRouter:
			if !vm.Leaving {
				v.Routers++
			}
		case vm.Role == topo.RoleDirect:
			// Direct upstreams that leave or are drained stay in the pool, because others
			// can still fetch cached prompts from them.
			members[vm.Pool] = append(members[vm.Pool], upstream{vm: vm, firstSeen: s.firstSeen[vm.ID], drained: order.Leave})
		case !vm.Leaving && !order.Leave:
			members[vm.Pool] = append(members[vm.Pool], upstream{vm: vm, firstSeen: s.firstSeen[vm.ID]})
		}
	}
	v.Routers = max(v.Routers, 1)
	v.ConfigCopies = make(map[string]bool)
	for _, p := range s.configPeers() {
		v.ConfigCopies[string(p)] = true
	}
	v.PoolSpecs = maps.Clone(s.poolSpecs)
	v.Leaving = make(map[string]bool)
	for vm, n := range s.desiredNotices {
		if n.Leaving {
			v.Leaving[vm] = true
		}
	}
	v.Pools = make(map[string]*Pool, len(members))
	for name, upstreams := range members {
		if s.loadReports[name] == nil {
			s.loadReports[name], s.trackers[name] = newLoadReports(), balance.NewTracker()
			s.shedders[name] = shedding.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		}
		v.Pools[name] = newPool(upstreams, s.loadReports[name], s.trackers[name], s.self)
		v.Pools[name].shedder = s.shedders[name]
		if spec := s.poolSpecs[name]; spec != nil {
			v.Pools[name].setWarmup(spec.WarmupRate, spec.Warmup.Std())
		}
	}
	v.versions = versionsOf(v.Pools)
}

// upstream is an upstream of a pool, with the control state about it.
type upstream struct {
	vm        topo.VM
	firstSeen time.Time // when it was first seen in the list
	drained   bool      // it takes no new work by operators' order
}

// member returns the upstream as a member for package placement.
func (u upstream) member() placement.Member {
	return placement.Member{
		VM:      load.Hash(u.vm.ID),
		Seed:    placement.Seed(u.vm.Name()), // a restart does not move the sessions of other upstreams
		Weight:  max(u.vm.Weight, 1),
		Domain:  u.vm.FailureDomain,
		Leaving: takesNoWork(u.listedConditions()),
		Drained: u.drained && !u.vm.Leaving,
		Joined:  u.firstSeen,
	}
}

// takesNoWork reports whether an upstream with these conditions may get no requests.
func takesNoWork(s condition.Set) bool {
	permission, _ := s.Permission(condition.Work)
	return permission == condition.Never
}

func newPool(upstreams []upstream, reports *loadReports, t *balance.Tracker, self placement.Locality) *Pool {
	p := &Pool{loadReports: reports, tracker: t, locality: self, listed: make(map[string]condition.Set, len(upstreams))}
	var ids []load.VM
	for _, u := range upstreams {
		m := u.member()
		p.VMs, p.members, ids = append(p.VMs, u.vm), append(p.members, m), append(ids, m.VM)
		p.listed[u.vm.ID] = u.listedConditions()
		if !m.Leaving {
			p.serving = append(p.serving, m.VM)
		}
	}
	reports.retain(ids)
	t.Keep(ids)
	p.placed = placement.NewPool(p.members, self)
	return p
}

// partKey identifies a part of a pool.
type partKey struct {
	regions string // key of the regions; empty: all
	version string // of the software; only if ofVersion
	// ofVersion reports whether the part is limited to upstreams of a version.
	ofVersion bool
}

// inRegions returns the pool restricted to the upstreams in some regions; nil if there are none.
func (p *Pool) inRegions(regions residency.Regions) *Pool {
	if p == nil || regions.Unrestricted() {
		return p
	}
	return p.part(partKey{regions: regions.Key()}, func(vm topo.VM) bool {
		return regions.Has(topo.Region(vm.FailureDomain))
	})
}

// atVersion returns the pool restricted to the upstreams with a version of their software; nil if there
// are none.
func (p *Pool) atVersion(version string) *Pool {
	if p == nil {
		return nil
	}
	return p.part(partKey{version: version, ofVersion: true}, func(vm topo.VM) bool {
		return vm.SoftwareVersion == version
	})
}

// severalVersions reports whether upstreams of the pool have different versions of the software.
func (p *Pool) severalVersions() bool {
	return slices.ContainsFunc(p.VMs, func(vm topo.VM) bool { return vm.SoftwareVersion != p.VMs[0].SoftwareVersion })
}

// part returns the pool restricted to some of its upstreams; nil if there are none. The result
// shares the load reports, tracker, shedder and conditions of the whole pool.
func (p *Pool) part(key partKey, contains func(topo.VM) bool) *Pool {
	if part, ok := p.parts.Load(key); ok {
		return part.(*Pool)
	}
	part := &Pool{loadReports: p.loadReports, tracker: p.tracker, shedder: p.shedder, locality: p.locality, listed: p.listed, warmupRate: p.warmupRate, warmup: p.warmup, warmAt: p.warmAt}
	for i, vm := range p.VMs {
		if contains(vm) {
			part.VMs, part.members = append(part.VMs, vm), append(part.members, p.members[i])
		}
	}
	if len(part.VMs) == 0 {
		part = nil
	} else {
		part.placed = p.placed.Subset(part.members, p.locality)
	}
	p.parts.Store(key, part)
	return part
}

// setWarmup sets how many requests a second a cold upstream may get, and for how long one is cold after its start. It
// records which upstreams are cold. It does nothing if rate is not positive: there is no limit then.
func (p *Pool) setWarmup(rate float64, duration time.Duration) {
	if rate <= 0 {
		return
	}
	p.warmupRate, p.warmup = rate, duration
	p.warmAt = make(map[string]time.Time)
	for _, vm := range p.VMs {
		if !vm.WarmAt.IsZero() && !vm.Leaving {
			p.warmAt[vm.ID] = vm.WarmAt
		}
	}
}

// ForModel returns the profile that applies to requests of org for a model.
func (v *View) ForModel(org *profile.Organisation, name, model string) *profile.Profile {
	return v.Profiles.ForModel(org, name, model)
}

// ForService returns the profile that applies to calls of org to a service.
func (v *View) ForService(org *profile.Organisation, name, service, method, path string) *profile.Profile {
	return v.Profiles.ForService(org, name, service, method, path)
}

// ForHost returns the profile for calls to a path of a host; nil if there is none.
func (v *View) ForHost(host, path string) *profile.Profile {
	return v.hosts.Find(host, path)
}
