package router

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/condition"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// newTestMesh returns the mesh of a router with a pool "llm" of upstreams.
func newTestMesh(upstreams ...string) *mesh {
	vms := make([]topo.VM, len(upstreams))
	for i, id := range upstreams {
		vms[i] = topo.VM{ID: id, Role: topo.RoleDirect, Pool: "llm"}
	}
	r := &Router{suspects: suspects.NewRegistry(), conditions: condition.NewObservations()}
	r.tuning.Store(&Tuning{Policy: policy.All()})
	r.view.Store(&View{Pools: map[string]*Pool{"llm": newPool(asUpstreams(vms), newLoadReports(), balance.NewTracker(), placement.Locality{})}})
	return &mesh{router: r}
}

// newTestPool returns a pool with a number of upstreams that are named after it.
func newTestPool(upstreams int, name string) *Pool {
	vms := make([]topo.VM, upstreams)
	for i := range vms {
		vms[i] = topo.VM{ID: fmt.Sprint(name, "-", i), Role: topo.RoleDirect, Pool: name}
	}
	return newPool(asUpstreams(vms), newLoadReports(), balance.NewTracker(), placement.Locality{})
}

func (m *mesh) pool() *Pool { return m.router.View().Pools["llm"] }

// loadOf returns a router's estimate of an upstream's load.
func loadOf(p *Pool, now time.Time, id string) float64 {
	return p.tracker.Load(now, load.Hash(id))
}

// A router observes a load and reports it to its parent, which reports it to another subscriber,
// through the encoded messages between routers. Guards against a load that gets lost on the way:
// the third router would know only the loads that it observed itself.
func TestLoadsAreRelayedThroughTheParent(t *testing.T) {
	now := time.Unix(1000, 0)
	first, parent, third := newTestMesh("a", "b"), newTestMesh("a", "b"), newTestMesh("a", "b")
	first.pool().tracker.RecordLoad(now, load.Hash("b"), 17)
	up, err := relay.Encode(relay.SendReport{Report: relay.Report{From: "first", Payload: first.reportsForParent(now)[0]}})
	if err != nil {
		t.Fatal(err)
	}
	parent.handleMessage(&net.UDPAddr{}, up)
	down, err := relay.Encode(relay.SendReport{Report: relay.Report{From: "reader", IsSummary: true, Payload: parent.reportForSubscribers(time.Now())}})
	if err != nil {
		t.Fatal(err)
	}
	third.handleMessage(&net.UDPAddr{}, down)
	if got := loadOf(third.pool(), time.Now(), "b"); got < 16 || got > 18 {
		t.Errorf("load at the third router: %.1f, want 17", got)
	}
}

// Each change of the list of upstreams reaches routers at different moments. Guards against
// routers that ignore each other's loads of all upstreams while their lists differ, and know
// only the loads that they observed themselves.
func TestLoadsAreSharedBetweenDifferentLists(t *testing.T) {
	now := time.Unix(1000, 0)
	older, newer := newTestMesh("a", "b"), newTestMesh("b", "c")
	older.pool().tracker.RecordLoad(now, load.Hash("b"), 17)
	newer.mergeSharing(now, "sender", older.reportForSubscribers(now), fromParent)
	if got := loadOf(newer.pool(), now, "b"); got < 16 || got > 18 {
		t.Errorf("load of b, which both lists have: %.1f, want 17", got)
	}
}

// The loads of 30 pools of 100 upstreams do not fit into one message. Guards against a message
// that is too long for a datagram, which would not be sent at all, and against pools that are
// never reported because others fill each message.
func TestManyPoolsAreReportedInTurn(t *testing.T) {
	const pools, upstreams = 30, 100
	parent, other := newTestMesh(), newTestMesh()
	now := time.Unix(1000, 0)
	for _, m := range []*mesh{parent, other} {
		view := &View{Pools: make(map[string]*Pool)}
		for i := range pools {
			view.Pools[fmt.Sprint("llm-", i)] = newTestPool(upstreams, fmt.Sprint("vm-", i))
		}
		m.router.view.Store(view)
	}
	for range pools {
		now = now.Add(time.Second)
		for name, p := range parent.router.View().Pools {
			for _, vm := range p.VMs {
				p.tracker.RecordLoad(now, load.Hash(vm.ID), len(name))
			}
		}
		report := parent.reportForSubscribers(now)
		if _, err := relay.Encode(relay.SendReport{Report: relay.Report{From: "router-1", IsSummary: true, Payload: report}}); err != nil {
			t.Fatal(err)
		}
		other.mergeSharing(now, "sender", report, fromParent)
	}
	for name, p := range other.router.View().Pools {
		if got := loadOf(p, now, p.VMs[upstreams-1].ID); got == 0 {
			t.Errorf("no load is known of pool %s", name)
		}
	}
}

// A router may receive 4 KB of control traffic a second. Guards against reports of loads that
// take more than their part of it, because pools are large or many or their loads change often.
func TestReportsKeepToTheirRate(t *testing.T) {
	for _, c := range []struct{ pools, upstreams int }{{1, 5}, {1, 117}, {22, 132}} {
		m := newTestMesh()
		view := &View{Pools: make(map[string]*Pool)}
		for i := range c.pools {
			view.Pools[fmt.Sprint("llm-", i)] = newTestPool(c.upstreams, fmt.Sprint("vm-", i))
		}
		m.router.view.Store(view)
		now, bytes := time.Unix(1000, 0), 0
		const seconds = 20
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			for _, p := range view.Pools {
				for _, vm := range p.VMs {
					p.tracker.RecordLoad(now, load.Hash(vm.ID), 7)
				}
			}
			bytes += len(m.reportForSubscribers(now))
		}
		if rate := bytes / seconds; rate > reportBytesPerSecond*11/10 {
			t.Errorf("%d pools of %d upstreams: %d bytes a second, want %d", c.pools, c.upstreams, rate, reportBytesPerSecond)
		}
	}
}

// While upstreams come and go, the lists of routers differ for a moment. Guards against the load
// of an upstream that only the sender lists being counted for one that the receiver lists.
func TestLoadsOfUnlistedUpstreamsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	older, newer := newTestMesh("a", "b"), newTestMesh("b", "c")
	older.pool().tracker.RecordLoad(now, load.Hash("a"), 17)
	newer.mergeSharing(now, "sender", older.reportForSubscribers(now), fromParent)
	for _, id := range []string{"b", "c"} {
		if got := loadOf(newer.pool(), now, id); got != 0 {
			t.Errorf("load %.1f of %s, want none", got, id)
		}
	}
}

// asUpstreams returns listed VMs as upstreams that are not drained.
func asUpstreams(vms []topo.VM) []upstream {
	out := make([]upstream, len(vms))
	for i, vm := range vms {
		out[i].vm = vm
	}
	return out
}

// pooledBytes returns how many bytes of a report are of its pools.
func pooledBytes(t *testing.T, report []byte) int {
	var s sharingMessage
	if err := cbor.Unmarshal(report, &s); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, p := range s.Pools {
		n += len(p.Loads) + len(p.Outcomes) + len(p.Speeds)
	}
	return n
}

// Crashes, leaving upstreams and the loads of a large pool come together. Guards against a message that
// is too long for a datagram, which would not be sent at all.
func TestReportWithCrashesFitsOneDatagram(t *testing.T) {
	const upstreams = 640
	now := time.Unix(1000, 0)
	pool := newTestPool(upstreams, "a-pool-with-a-long-name")
	m := newTestMesh()
	view := &View{Pools: map[string]*Pool{"llm": pool}, VMs: make(map[string]topo.VM)}
	for i, vm := range pool.VMs {
		view.VMs[vm.ID] = vm
		pool.tracker.RecordLoad(now, load.Hash(vm.ID), 1000+i)
		if i < 2*maxLeavingShared {
			m.router.conditions.RecordLeaving(now, vm.ID)
		}
	}
	m.router.view.Store(view)
	for i := range 8 {
		m.router.suspects.Lost(now, m.router.suspects.Send(now, pool.VMs[i].ID, quarantine.Copy{Fingerprint: 1<<63 + quarantine.Fingerprint(i)}))
		m.router.suspects.Crashed(now, pool.VMs[i].ID)
	}
	reports := append(m.reportsForParent(now), m.reportForSubscribers(now.Add(time.Second)))
	for _, report := range reports {
		b, err := relay.Encode(relay.SendReport{Report: relay.Report{From: "front-of-a-long-name-1", IsSummary: true, Payload: report}})
		if err != nil {
			t.Error(err)
		}
		t.Logf("%d bytes", len(b))
		if most := relay.MaxMessageBytes - maxSharingBytes + pooledBytes(t, report); len(b) > most {
			t.Errorf("%d bytes, more than %d with as many of its pool", len(b), most)
		}
	}
}

// Guards against routers that take a part of the demand for that of all routers: while the store does not answer,
// several routers try to read it, some of which follow another.
func TestWhichRouterIsTheRootOfTheTree(t *testing.T) {
	for _, c := range []struct {
		name                          string
		reads, fails, follows, others bool
		routers                       int
		want                          bool
	}{
		{"the only router", true, false, false, false, 1, true},
		{"the only router, the store does not answer", true, true, false, false, 1, true},
		{"reads the store for others", true, false, false, true, 5, true},
		{"reads the store, and no other router has found it yet", true, false, false, false, 5, false},
		{"reads the store in vain", true, true, false, true, 5, false},
		{"begins to read the store, and follows another router", true, false, true, true, 5, false},
		{"follows another router", false, false, true, true, 5, false},
	} {
		m := newTestMesh("a")
		m.readsStore.Store(c.reads)
		m.storeFails.Store(c.fails)
		m.followed.Store(c.others)
		if c.follows {
			m.setParent(relay.Router{Name: "parent"})
		}
		if got := m.isRoot(c.routers); got != c.want {
			t.Errorf("%s: is the root: %v, want %v", c.name, got, c.want)
		}
	}
}
