package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	seedCount       = 40
	phaseCount      = 8
	objectCount     = 3
	maxPhaseSeconds = 20

	maxRouters = 4
)

// faultKinds are the faults of which each phase has one. blocksChanges is set where the store
// serves no call, so that changes reach no router.
var faultKinds = []struct {
	faults        standin.ObjectFaults
	blocksChanges bool
	compactsAfter bool
	hasWatchGaps  bool
}{
	{},
	{faults: standin.ObjectFaults{Down: true}, blocksChanges: true, compactsAfter: true},
	{faults: standin.ObjectFaults{Unresponsive: true}, blocksChanges: true},
	{faults: standin.ObjectFaults{Delay: profile.Duration(800 * time.Millisecond)}},
	{faults: standin.ObjectFaults{LoseResponses: 12}},
	{faults: standin.ObjectFaults{LoseResponses: 6, LoseKind: topo.KindProfile, WritesPerSecond: 1}},
	{faults: standin.ObjectFaults{LoseResponses: 6, LoseKind: topo.KindProfile, StaleEvery: 2, StaleBy: profile.Duration(3 * time.Second)}},
	{faults: standin.ObjectFaults{LateWrites: 6, LateBy: profile.Duration(3 * time.Second), LoseKind: topo.KindProfile}},
	{faults: standin.ObjectFaults{LoseRequests: 1000, LoseKind: topo.KindProfile}},
	{faults: standin.ObjectFaults{LoseRequests: 20}},
	{faults: standin.ObjectFaults{StaleEvery: 2, StaleBy: profile.Duration(3 * time.Second)}},
	{hasWatchGaps: true},
	{faults: standin.ObjectFaults{UnresponsiveWatches: 1}},
	{faults: standin.ObjectFaults{ReadsPerSecond: 8, WritesPerSecond: 3}},
}

// Operators change profiles while the store is down, slow or lagging, loses answers or lets
// watches miss changes, and while routers restart. After parsleyctl has reported a change as
// applied, no router may serve by the former profile or return to it. That would happen if its
// watch stopped responding, missed the change or was restarted from a lagging listing, or if the
// router started from a sidecar that lacked the change. A change that parsleyctl has reported as
// not applied must never be in force.
//
// Each router's configuration must have been in force within the last 7 s, and the outcomes
// that operators got must fit one order of the changes.
func TestAcceptedChangesAreInForceAndStay(t *testing.T) {
	for seed := range uint64(seedCount) {
		var f *fleet
		synctest.Test(t, func(t *testing.T) { f = runFaults(t, seed) })
		f.history.check(t, f.refs)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// runFaults runs operators through a sequence of phases with random faults.
func runFaults(t *testing.T, seed uint64) *fleet {
	ctx, stop := context.WithCancel(t.Context())
	f := newFleet(t, ctx, seed, objectCount, 1+int(seed%maxRouters))
	for range 3 {
		go f.runOperator(ctx)
	}
	go f.recordReads(ctx)
	for range phaseCount {
		kind := faultKinds[f.intN(len(faultKinds))]
		if kind.hasWatchGaps {
			// A change that all routers have missed is found only by the next listing.
			kind.faults.WatchGaps = len(f.routers) - 1
		}
		f.store.SetFaults(kind.faults)
		f.isolated.Store(f.sidecars[f.intN(sidecarCount)])
		from := f.now()
		for range 1 + f.intN(maxPhaseSeconds) {
			time.Sleep(time.Second)
			if !kind.hasWatchGaps && f.intN(4) == 0 {
				f.restart(ctx, f.intN(len(f.routers)))
			}
		}
		if kind.compactsAfter {
			f.store.Compact(0)
		}
		f.store.SetFaults(standin.ObjectFaults{})
		f.isolated.Store(nil)
		if kind.blocksChanges {
			f.history.addBlocked(from, f.now())
		}
		time.Sleep(time.Duration(f.intN(5)) * time.Second)
	}
	time.Sleep(2 * maxPropagation)
	stop()
	synctest.Wait()
	time.Sleep(time.Minute) // for late writes and abandoned calls to end
	return f
}

// An operator applies a change and waits for it with apply --wait just after the watch of a
// router has stopped responding. Without a hint, the command would take as long as that watch's
// wait. The hint must start a new watch at once.
func TestHintEndsSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(t, ctx, 1, 1, 2)
		time.Sleep(time.Minute)
		n := f.routers[0]
		f.store.SetFaults(standin.ObjectFaults{UnresponsiveWatches: len(f.routers)})
		time.Sleep(3 * time.Second)
		f.store.SetFaults(standin.ObjectFaults{})
		f.createFirst(ctx, "c")
		n.step(config.Hinted{Now: time.Now()})
		time.Sleep(config.TickInterval)
		if id, _ := n.inForce(f.refs[0]); id != "c" {
			t.Errorf("the change is not in force %s after the hint", config.TickInterval)
		}
		n.mu.Lock()
		failures := n.follower.Status().Failures
		n.mu.Unlock()
		if failures != 0 {
			t.Errorf("%d failed calls to the store are counted, want 0", failures)
		}
		stop()
		time.Sleep(time.Second) // all goroutines end
	})
}

// All routers start while the store accepts calls and does not answer them. Half a minute later
// the store works again. The routers must not keep waiting for the listings that they started
// before, or they would never serve.
func TestStartWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(t, ctx, 1, 1, 2)
		f.store.SetFaults(standin.ObjectFaults{Unresponsive: true})
		time.Sleep(30 * time.Second)
		f.store.SetFaults(standin.ObjectFaults{})
		f.createFirst(ctx, "c")
		time.Sleep(maxPropagation)
		for _, n := range f.routers {
			if id, ready := n.inForce(f.refs[0]); id != "c" || !ready {
				t.Errorf("%s has %q in force %s later, ready: %t; want \"c\", ready: true", n.name, id, maxPropagation, ready)
			}
		}
		stop()
		time.Sleep(time.Second) // all goroutines end
	})
}
