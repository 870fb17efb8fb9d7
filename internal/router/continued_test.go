package router

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// viewOf returns a view of a pool of upstreams.
func viewOf(vms []topo.VM) *View {
	v := &View{VMs: make(map[string]topo.VM), Pools: make(map[string]*Pool)}
	var members []upstream
	for _, vm := range vms {
		v.VMs[vm.ID] = vm
		members = append(members, upstream{vm: vm})
	}
	if len(members) > 0 {
		v.Pools["llm"] = newPool(members, newLoadReports(), balance.NewTracker(), placement.Locality{Domain: "r/a"})
	}
	return v
}

// The list of upstreams changes in any way while a stream is served and breaks off again and again. Guards against
// upstreams of another version than that of the first event among those that may go on with it.
func TestEligibleUpstreamsHaveTheVersionOfTheFirstEvent(t *testing.T) {
	upstreams := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) topo.VM {
		name := fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "name"))
		incarnation := rapid.IntRange(0, 2).Draw(t, "incarnation")
		return topo.VM{
			ID: fmt.Sprint(name, "@", incarnation), Instance: name, Role: topo.RoleDirect, Pool: "llm",
			FailureDomain:   rapid.SampledFrom([]string{"r/a", "r/b", "s/a"}).Draw(t, "domain"),
			SoftwareVersion: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
			Leaving:         rapid.Bool().Draw(t, "leaving"),
		}
	}), 0, 8)
	rapid.Check(t, func(t *rapid.T) {
		resp := &Response{
			router: &Router{origins: newOriginExchange("front-0", "r/a", nil)}, poolName: "llm",
			req: Request{ID: "a", Profile: &profile.Profile{}},
		}
		var first *topo.VM
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			resp.view = viewOf(upstreams.Draw(t, "list"))
			pool := resp.eligiblePool()
			if pool == nil {
				continue
			}
			for _, vm := range pool.VMs {
				if first != nil && vm.SoftwareVersion != first.SoftwareVersion {
					t.Fatalf("%s of %s may go on with a stream that began at %s", vm.ID, vm.SoftwareVersion, first.SoftwareVersion)
				}
			}
			served := pool.VMs[rapid.IntRange(0, len(pool.VMs)-1).Draw(t, "served")]
			if rapid.Bool().Draw(t, "passes events on") {
				resp.recordOrigin(served)
				if first == nil {
					first = &served
				}
			}
		}
	})
}
