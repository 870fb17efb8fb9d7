package router

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// meshOf returns a mesh of a router that knows a list of upstreams.
func meshOf(upstreams ...string) *mesh {
	vms := make([]topo.VM, len(upstreams))
	for i, id := range upstreams {
		vms[i] = topo.VM{ID: id, Role: topo.RoleDirect, Pool: "llm"}
	}
	r := &Router{}
	r.tuning.Store(&Tuning{Policy: policy.All()})
	r.view.Store(&View{Pools: map[string]*Pool{"llm": newPool(vms, newBeliefs(), balance.NewTracker(), placement.Locality{}, nil)}})
	return &mesh{router: r}
}

func (m *mesh) pool() *Pool { return m.router.View().Pools["llm"] }

// loadOf returns what a router believes of an upstream's load.
func loadOf(p *Pool, now time.Time, id string) float64 {
	return p.tracker.Load(now, load.Hash(id))
}

// A router hears of a load, tells the one that it relies on, and a third learns of it
// from there, through the messages that go between them.
func TestLoadsGoThroughTheReader(t *testing.T) {
	now := time.Unix(1000, 0)
	first, reader, third := meshOf("a", "b"), meshOf("a", "b"), meshOf("a", "b")
	first.pool().tracker.Report(now, load.Hash("b"), 17)
	up, err := relay.Encode(relay.SendShare{Share: relay.Share{From: "first", Sharing: first.heard(now)}})
	if err != nil {
		t.Fatal(err)
	}
	reader.take(up)
	down, err := relay.Encode(relay.SendShare{Share: relay.Share{From: "reader", Sharing: reader.known(time.Now())}})
	if err != nil {
		t.Fatal(err)
	}
	third.take(down)
	if got := loadOf(third.pool(), time.Now(), "b"); got < 16 || got > 18 {
		t.Errorf("the third router believes in a load of %.1f, want 17", got)
	}
}

// While upstreams come and go, routers hold different lists for a moment, and the
// same place means different upstreams. A load that is told then is left out.
func TestLoadsOfAnotherListAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	behind, ahead := meshOf("a", "b"), meshOf("b", "c")
	behind.pool().tracker.Report(now, load.Hash("a"), 17)
	ahead.merge(now, behind.known(now), fromReader)
	for _, id := range []string{"b", "c"} {
		if got := loadOf(ahead.pool(), now, id); got != 0 {
			t.Errorf("load %.1f of %s, want nothing", got, id)
		}
	}
}
