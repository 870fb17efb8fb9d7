package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "400")
}

const (
	loadInterval          = 10 * time.Second
	maxUnavailableEngines = 2
)

// engine is a model engine with its sidecar.
type engine struct {
	vm     topo.VM
	fence  lease.Fence
	status wire.OrderStatus
}

// handleOrder applies an order as a sidecar does.
func (e *engine) handleOrder(o wire.Order, onLoad func()) (wire.OrderStatus, *verdict.Error) {
	if err := e.fence.Check(o.Token); err != nil {
		return e.status, err
	}
	switch {
	case o.Action == wire.OrderQuery || e.status.Phase == wire.PhaseRunning:
	case o.Action == wire.OrderPrepare && e.status.Phase == wire.PhaseReady:
		e.status.ID = o.ID
	case o.Action == wire.OrderPrepare:
		e.status.ID, e.status.Phase = o.ID, wire.PhaseDraining
	case e.status.ID == o.ID && e.status.Phase == wire.PhaseReady:
		e.status.Phase, e.status.Loaded = wire.PhaseRunning, o.Want
		onLoad()
	}
	return e.status, nil
}

// isUnavailable reports whether the engine works on an order and so serves no
// requests.
func (e *engine) isUnavailable() bool {
	return e.status.Phase != wire.PhaseNone && e.status.Phase != wire.PhaseDone
}

// rollout simulates, in virtual time, routers that hold the lease in turn and
// six engines that are to load another version.
type rollout struct {
	now        time.Time
	engines    []*engine
	holder     *State
	token      wire.FencingToken
	sent       []Send // by the current holder
	late       []Send // by former holders
	loaded     map[string]int
	lastLoad   time.Time
	earlyLoads int
}

func newRollout() *rollout {
	r := &rollout{now: time.Unix(1_800_000_000, 0), loaded: make(map[string]int)}
	for i := range 6 {
		e := &engine{vm: topo.VM{ID: fmt.Sprint("vm-", i), Pool: "notes"}}
		e.fence.Learn(0)
		e.status.Loaded = wire.ModelSpec{Model: "notes-7b", Version: "1"}
		r.engines = append(r.engines, e)
	}
	r.takeOver()
	return r
}

// takeOver gives the lease to a router without any state.
func (r *rollout) takeOver() {
	r.late = append(r.late, r.sent...)
	r.sent = nil
	r.token++
	r.holder = NewState(loadInterval)
	d := Desired{Pools: []profile.Pool{{Name: "notes", Model: "notes-7b", Version: "2", MaxUnavailable: float64(maxUnavailableEngines) / 6}}}
	for _, e := range r.engines {
		d.VMs = append(d.VMs, e.vm)
	}
	r.holder.Step(LeaseChanged{Now: r.now, Token: r.token})
	r.holder.Step(d)
}

// deliverOrder delivers an order to its engine.
func (r *rollout) deliverOrder(s Send) (wire.OrderStatus, *verdict.Error) {
	i := slices.IndexFunc(r.engines, func(e *engine) bool { return e.vm.ID == s.VM.ID })
	return r.engines[i].handleOrder(s.Order, func() {
		if !r.lastLoad.IsZero() && r.now.Sub(r.lastLoad) < loadInterval {
			r.earlyLoads++
		}
		r.lastLoad = r.now
		r.loaded[s.VM.ID]++
	})
}

// completeCalls ends the calls in flight. It calls nextOutcome once for each of
// them: 0 loses the order, 1 loses the reply, any other number loses neither.
func (r *rollout) completeCalls(nextOutcome func() int) {
	sent := r.sent
	r.sent = nil
	for _, s := range sent {
		reply := Replied{Now: r.now, VM: s.VM.ID, Order: s.Order}
		lostErr := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
		switch nextOutcome() {
		case 0:
			reply.Err = lostErr // the order
		case 1:
			_, _ = r.deliverOrder(s)
			reply.Err = lostErr // the reply
		default:
			reply.Status, reply.Err = r.deliverOrder(s)
		}
		r.holder.Step(reply)
	}
}

func (r *rollout) tick() {
	r.sent = append(r.sent, r.holder.Step(Tick{Now: r.now})...)
}

// progress advances engines that work on an order. It calls isSelected once for
// each of them, and skips those for which it returns false.
func (r *rollout) progress(isSelected func() bool) {
	for _, e := range r.engines {
		switch {
		case !e.isUnavailable() || !isSelected():
		case e.status.Phase == wire.PhaseDraining:
			e.status.Phase = wire.PhaseReady
		case e.status.Phase == wire.PhaseRunning:
			e.status.Phase = wire.PhaseDone
		}
	}
}

func (r *rollout) check(t *rapid.T) {
	unavailable := 0
	for _, e := range r.engines {
		if e.isUnavailable() {
			unavailable++
		}
		if n := r.loaded[e.vm.ID]; n > 1 {
			t.Fatalf("%s loaded the version %d times, want at most once", e.vm.ID, n)
		}
	}
	if unavailable > maxUnavailableEngines {
		t.Fatalf("%d engines are unavailable, want at most %d", unavailable, maxUnavailableEngines)
	}
	if r.earlyLoads > 0 {
		t.Fatal("two loads started within the load interval")
	}
}

func (r *rollout) actions() map[string]func(*rapid.T) {
	step := func(t *rapid.T) {
		r.tick()
		r.completeCalls(func() int { return rapid.IntRange(0, 7).Draw(t, "lost") })
		r.now = r.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"step":     step,
		"step on":  step,
		"tick":     func(*rapid.T) { r.tick() },
		"progress": func(t *rapid.T) { r.progress(func() bool { return rapid.Bool().Draw(t, "this") }) },
		"take over": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				r.tick() // orders that the former holder had decided on when it was paused
				r.takeOver()
			}
		},
		"late order": func(t *rapid.T) {
			if len(r.late) > 0 {
				i := rapid.IntRange(0, len(r.late)-1).Draw(t, "order")
				_, _ = r.deliverOrder(r.late[i])
				r.late = append(r.late[:i], r.late[i+1:]...)
			}
		},
		"": r.check,
	}
}

// Rolls out a new version while the controller's lease changes hands, orders
// and replies are lost, and orders of former holders arrive late. Guards
// against loads above the weight store's rate, more unavailable engines in a
// pool than allowed, and an engine that loads the same version twice. These
// would come about if a new holder loaded at once, or if a holder assumed that
// an order without a reply was not executed.
func TestRolloutAcrossLeaseHolders(t *testing.T) {
	loads := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRollout()
		t.Repeat(r.actions())
		for range 300 {
			r.tick()
			r.completeCalls(func() int { return 7 })
			r.progress(func() bool { return true })
			r.check(t)
			r.now = r.now.Add(time.Second)
		}
		for _, e := range r.engines {
			loads += r.loaded[e.vm.ID]
			if e.status.Loaded.Version != "2" {
				t.Fatalf("%s still has version %s", e.vm.ID, e.status.Loaded.Version)
			}
		}
	})
	if loads == 0 {
		t.Fatal("no engine loaded the version, so the test checked nothing")
	}
}
