package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// scenario is what a fleet goes through while its calls to the store are counted: changes, or a
// store that is down.
type scenario struct {
	name     string
	changes  int // made by operators, evenly over the duration
	down     bool
	duration time.Duration
	maxReads float64 // reads of the store per router and second
}

var scenarios = []scenario{
	{name: "15,000 changes a day", changes: 104, duration: 10 * time.Minute, maxReads: 0.6},
	{name: "10 changes a second", changes: 600, duration: time.Minute, maxReads: 2},
	{name: "store down", down: true, duration: 10 * time.Minute, maxReads: 1},
}

// The store serves about two thousand reads a second, where a waiting watch counts as one, and
// 330 routers share it with everything else. If each router called it once per change, or
// retried without pause while it is down, the store would refuse the operators' own calls. The
// calls of a router must not grow with the size of the fleet, nor multiply in a burst of
// changes or an outage.
func TestCallsOfTheStoreAreBounded(t *testing.T) {
	for _, s := range scenarios {
		for _, routers := range []int{4, 12, 36} {
			t.Run(fmt.Sprintf("%s/routers=%d", s.name, routers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { countCalls(t, s, routers) })
			})
		}
	}
}

func countCalls(t *testing.T, s scenario, routers int) {
	ctx, stop := context.WithCancel(t.Context())
	f := newFleet(t, ctx, 1, 1, routers)
	e := change.NewEditor(f.store)
	if r := e.Commit(ctx, change.Edit{Base: change.StoredObject{Ref: f.refs[0]}, Spec: json.RawMessage(`1`)}); r.Outcome != change.Applied {
		t.Fatal(r.Cause)
	}
	time.Sleep(time.Minute)
	before, queries := f.store.Counts(), f.queries.Load()
	f.store.SetFaults(standin.ObjectFaults{Down: s.down})
	for i := range s.changes {
		base := change.StoredObject{Ref: topo.Ref{Kind: topo.KindProfile, Name: fmt.Sprint("new-", i)}}
		if r := e.Commit(ctx, change.Edit{Base: base, Spec: json.RawMessage(`1`)}); r.Outcome != change.Applied {
			t.Fatalf("%s: %v", r.Outcome, r.Cause)
		}
		time.Sleep(s.duration / time.Duration(s.changes))
	}
	if s.changes == 0 {
		time.Sleep(s.duration)
	}
	after := f.store.Counts()
	seconds := s.duration.Seconds()
	perRouter := func(n int) float64 { return float64(n) / seconds / float64(routers) }
	reads := perRouter(after.Reads - before.Reads)
	t.Logf("per router and second: %.2f reads (%d watches now waiting), %.2f queries to peers; %.2f writes per change",
		reads, after.Waiting, perRouter(int(f.queries.Load()-queries)), float64(after.Writes-before.Writes)/float64(max(s.changes, 1)))
	if reads > s.maxReads {
		t.Errorf("%.2f reads of the store per router and second, want at most %.2f", reads, s.maxReads)
	}
	stop()
	time.Sleep(time.Second) // all goroutines end
}
