package lease

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "300")
	_ = flag.Set("rapid.checks", "500")
}

// simulation runs candidates, each with its own clock, against one store and one
// sidecar that receives orders, in virtual time.
type simulation struct {
	now         time.Duration // true time since the start
	candidates  []*candidate
	object      topo.Object // the lease object; version zero: it does not exist
	previous    topo.Object // what a lagging replica still holds
	replicaLags bool        // candidates read from the lagging replica
	version     topo.Version
	down        bool
	calls       []*call
	orders      []*order
	fence       Fence
	history     []porcupine.Operation
}

type candidate struct {
	id            string
	state         *State        // replaced after a resignation, as by a restart of the process
	offset        time.Duration // of its clock from true time, at the start
	clockPermille int64         // rate of its clock, in thousandths of true time
	paused        bool
	delayed       []Event
}

// call is a store call in flight. A write may take effect long after its caller
// has given up on it.
type call struct {
	from     *candidate
	state    *State // that made the call; its result is dropped if from has another one by then
	effect   Effect
	answered bool
	applied  bool
}

type order struct {
	from  *candidate
	token wire.FencingToken
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{}
	for i := range 3 {
		sim.candidates = append(sim.candidates, &candidate{
			id:            fmt.Sprint("router-", i),
			state:         NewState(fmt.Sprint("router-", i), DefaultTTL),
			offset:        time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Second,
			clockPermille: int64(rapid.IntRange(950, 1050).Draw(t, "rate")),
		})
	}
	return sim
}

func (sim *simulation) clock(c *candidate) time.Time {
	return time.UnixMilli(1_800_000_000_000).Add(c.offset + sim.now*time.Duration(c.clockPermille)/1000)
}

// step delivers an event to c, or keeps it until c is resumed. The time of a Tick is
// the time at which it was made; results are stamped when they are delivered.
func (sim *simulation) step(c *candidate, event Event) {
	if c.paused {
		c.delayed = append(c.delayed, event)
		return
	}
	switch e := event.(type) {
	case GetResult:
		e.Now = sim.clock(c)
		event = e
	case PutResult:
		e.Now = sim.clock(c)
		event = e
	}
	for _, effect := range c.state.Step(event) {
		sim.calls = append(sim.calls, &call{from: c, state: c.state, effect: effect})
	}
}

// apply executes a call at the store and returns its outcome.
func (sim *simulation) apply(k *call) (topo.Object, error) {
	k.applied = true
	if sim.down {
		return topo.Object{}, topo.ErrRefused
	}
	put, isPut := k.effect.(Put)
	if !isPut {
		o := sim.object
		if sim.replicaLags {
			o = sim.previous
		}
		if o.Version == 0 {
			return topo.Object{}, topo.ErrNotFound
		}
		return o, nil
	}
	if sim.object.Version != put.IfVersion {
		return topo.Object{}, topo.ErrConflict
	}
	sim.version++
	value, _ := json.Marshal(put.Record)
	sim.previous = sim.object
	sim.object = topo.Object{Version: sim.version, Value: value}
	return sim.object, nil
}

func (sim *simulation) answer(k *call, o topo.Object, err error) {
	k.answered = true
	if k.state != k.from.state {
		return
	}
	if _, writes := k.effect.(Put); writes {
		sim.step(k.from, PutResult{Object: o, Err: err})
		return
	}
	sim.step(k.from, GetResult{Object: o, Err: err})
}

// loseResponse fails a call as if its response were lost. The call may have been executed.
func (sim *simulation) loseResponse(k *call) {
	if _, writes := k.effect.(Put); writes {
		sim.answer(k, topo.Object{}, topo.ErrUnknown)
		return
	}
	sim.answer(k, topo.Object{}, topo.ErrRefused)
}

func (sim *simulation) callsWhere(match func(*call) bool) []*call {
	var out []*call
	for _, k := range sim.calls {
		if match(k) {
			out = append(out, k)
		}
	}
	return out
}

// answerAll executes and answers all calls that have been neither executed nor answered.
func (sim *simulation) answerAll() {
	for i := 0; i < len(sim.calls); i++ {
		if k := sim.calls[i]; !k.answered && !k.applied {
			o, err := sim.apply(k)
			sim.answer(k, o, err)
		}
	}
}

func (sim *simulation) resume(c *candidate) {
	c.paused = false
	delayed := c.delayed
	c.delayed = nil
	for _, event := range delayed {
		sim.step(c, event)
	}
}

// deliver delivers an order to the sidecar, which reads the lease's token first if
// it knows none.
func (sim *simulation) deliver(o *order) {
	if !sim.fence.Known() && !sim.down && sim.object.Version != 0 {
		var r Record
		_ = json.Unmarshal(sim.object.Value, &r)
		sim.fence.Learn(TokenOf(r, sim.object.Version))
	}
	err := sim.fence.Check(o.token)
	// The upstream executes orders in the order of their arrival.
	n := int64(len(sim.history))
	sim.history = append(sim.history, porcupine.Operation{Call: 2 * n, Return: 2*n + 1, Input: *o, Output: err == nil})
}

// holders returns the candidates whose grant is valid by their own clock.
func (sim *simulation) holders() []*candidate {
	var out []*candidate
	for _, c := range sim.candidates {
		if c.state.Grant().Valid(sim.clock(c)) {
			out = append(out, c)
		}
	}
	return out
}

// tokenOrderModel models a sidecar that stores the last accepted order. It accepts
// orders in ascending order of tokens, and orders with one token from one holder only.
var tokenOrderModel = porcupine.Model{
	Init: func() any { return order{} },
	Step: func(state, input, output any) (bool, any) {
		last, o := state.(order), input.(order)
		if !output.(bool) {
			return true, last
		}
		same := o.token == last.token && o.from == last.from
		return o.token > last.token || same, o
	},
}

func (sim *simulation) advance(t *rapid.T, ms int) {
	sim.now += time.Duration(rapid.IntRange(1, ms).Draw(t, "ms")) * time.Millisecond
}

func (sim *simulation) tick() {
	for _, c := range sim.candidates {
		if !c.paused {
			sim.step(c, Tick{Now: sim.clock(c), IsCandidate: true})
		}
	}
}

// runNormally simulates a period without new faults: all calls are executed and answered.
func (sim *simulation) runNormally(t *rapid.T) {
	sim.tick()
	sim.answerAll()
	sim.advance(t, 4000)
}

func (sim *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	drawCandidate := func(t *rapid.T) *candidate { return rapid.SampledFrom(sim.candidates).Draw(t, "candidate") }
	unanswered := func(k *call) bool { return !k.answered && !k.applied }
	return map[string]func(*rapid.T){
		"run":      sim.runNormally,
		"run on":   sim.runNormally, // more likely than faults, so that leases are acquired and lapse
		"run more": sim.runNormally,
		"tick":     func(t *rapid.T) { sim.tick() },
		"pass":     func(t *rapid.T) { sim.advance(t, 12000) },
		"lose": func(t *rapid.T) {
			if calls := sim.callsWhere(unanswered); len(calls) > 0 {
				k := rapid.SampledFrom(calls).Draw(t, "call")
				if rapid.Bool().Draw(t, "after its effect") {
					_, _ = sim.apply(k)
				}
				sim.loseResponse(k)
			}
		},
		"late write": func(t *rapid.T) {
			if calls := sim.callsWhere(func(k *call) bool { return k.answered && !k.applied }); len(calls) > 0 {
				_, _ = sim.apply(rapid.SampledFrom(calls).Draw(t, "call"))
			}
		},
		"pause":  func(t *rapid.T) { drawCandidate(t).paused = true },
		"resume": func(t *rapid.T) { sim.resume(drawCandidate(t)) },
		"outage": func(t *rapid.T) { sim.down = rapid.IntRange(0, 2).Draw(t, "out") == 0 },
		"lag":    func(t *rapid.T) { sim.replicaLags = rapid.IntRange(0, 2).Draw(t, "lag") == 0 },
		// The sidecar restarts and forgets its token.
		"restart": func(t *rapid.T) { sim.fence = Fence{} },
		// A candidate resigns and restarts under another id.
		"resign": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				c := drawCandidate(t)
				sim.step(c, Resign{})
				c.delayed = nil
				c.state = NewState(fmt.Sprint(c.id, "-", sim.now), DefaultTTL)
			}
		},
		"prepare": func(t *rapid.T) { // a holder checks its lease and is delayed before it sends
			for _, c := range sim.holders() {
				sim.orders = append(sim.orders, &order{from: c, token: c.state.Grant().Token})
			}
		},
		"arrive": func(t *rapid.T) {
			if len(sim.orders) > 0 {
				i := rapid.IntRange(0, len(sim.orders)-1).Draw(t, "order")
				sim.deliver(sim.orders[i])
				sim.orders = append(sim.orders[:i], sim.orders[i+1:]...)
			}
		},
		"": func(t *rapid.T) {
			if holders := sim.holders(); len(holders) > 1 {
				t.Fatalf("%s and %s hold the lease at the same time", holders[0].id, holders[1].id)
			}
		},
	}
}

// Guards against an upstream executing an order of a former lease holder, such as
// loading a model that is no longer wanted. A holder is paused between the check of its
// lease and the sending of an order, or the order arrives late, while another router
// acquires the lease and sends orders. Store responses are lost before and after the
// effect, writes take effect late, and the sidecar restarts.
func TestOrdersAreAcceptedOnlyInTokenOrder(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions(t))
		if !porcupine.CheckOperations(tokenOrderModel, sim.history) {
			t.Fatalf("orders were accepted out of token order: %v", sim.history)
		}
		for _, op := range sim.history {
			if op.Output.(bool) {
				accepted++
			} else {
				refused++
			}
		}
		sim.down, sim.replicaLags = false, false
		for _, c := range sim.candidates {
			sim.resume(c)
		}
		for range 12 {
			sim.tick()
			sim.answerAll()
			sim.now += DefaultTTL / callDivisor
		}
		if len(sim.holders()) != 1 {
			t.Fatalf("%d candidates hold the lease after a minute without faults, want 1", len(sim.holders()))
		}
	})
	t.Logf("%d orders accepted, %d rejected", accepted, refused)
	if accepted == 0 || refused == 0 {
		t.Fatal("the test must see both accepted and rejected orders")
	}
}
