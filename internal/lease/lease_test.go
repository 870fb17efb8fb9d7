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
	state         *State
	offset        time.Duration
	clockPermille int64 // rate of its clock, in thousandths of true time
	paused        bool
	delayed       []Event
}

// call is a store call in flight. A write may take effect long after its caller
// has given up on it.
type call struct {
	from     *candidate
	state    *State // state of from at the time of the call; from may have restarted since
	effect   Effect
	answered bool
	applied  bool
}

type order struct {
	from  *candidate
	token wire.FencingToken
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{}
	for i := range 3 {
		w.candidates = append(w.candidates, &candidate{
			id:            fmt.Sprint("router-", i),
			state:         NewState(fmt.Sprint("router-", i), DefaultTTL),
			offset:        time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Second,
			clockPermille: int64(rapid.IntRange(950, 1050).Draw(t, "rate")),
		})
	}
	return w
}

func (w *simulation) clock(c *candidate) time.Time {
	return time.UnixMilli(1_800_000_000_000).Add(c.offset + w.now*time.Duration(c.clockPermille)/1000)
}

// step delivers an event to c, or keeps it until c is resumed. The time of a Tick is
// the time at which it was made; results are stamped when they are delivered.
func (w *simulation) step(c *candidate, event Event) {
	if c.paused {
		c.delayed = append(c.delayed, event)
		return
	}
	switch e := event.(type) {
	case GetResult:
		e.Now = w.clock(c)
		event = e
	case PutResult:
		e.Now = w.clock(c)
		event = e
	}
	for _, effect := range c.state.Step(event) {
		w.calls = append(w.calls, &call{from: c, state: c.state, effect: effect})
	}
}

// apply executes a call at the store and returns its outcome.
func (w *simulation) apply(k *call) (topo.Object, error) {
	k.applied = true
	if w.down {
		return topo.Object{}, topo.ErrRefused
	}
	put, isPut := k.effect.(Put)
	if !isPut {
		o := w.object
		if w.replicaLags {
			o = w.previous
		}
		if o.Version == 0 {
			return topo.Object{}, topo.ErrNotFound
		}
		return o, nil
	}
	if w.object.Version != put.IfVersion {
		return topo.Object{}, topo.ErrConflict
	}
	w.version++
	value, _ := json.Marshal(put.Record)
	w.previous = w.object
	w.object = topo.Object{Version: w.version, Value: value}
	return w.object, nil
}

func (w *simulation) answer(k *call, o topo.Object, err error) {
	k.answered = true
	if k.state != k.from.state {
		return
	}
	if _, writes := k.effect.(Put); writes {
		w.step(k.from, PutResult{Object: o, Err: err})
		return
	}
	w.step(k.from, GetResult{Object: o, Err: err})
}

// loseAnswer fails a call whose response is lost, before or after its effect.
func (w *simulation) loseAnswer(k *call) {
	if _, writes := k.effect.(Put); writes {
		w.answer(k, topo.Object{}, topo.ErrUnknown)
		return
	}
	w.answer(k, topo.Object{}, topo.ErrRefused)
}

func (w *simulation) callsWhere(match func(*call) bool) []*call {
	var out []*call
	for _, k := range w.calls {
		if match(k) {
			out = append(out, k)
		}
	}
	return out
}

// answerAll executes and answers all calls that have been neither executed nor answered.
func (w *simulation) answerAll() {
	for i := 0; i < len(w.calls); i++ {
		if k := w.calls[i]; !k.answered && !k.applied {
			o, err := w.apply(k)
			w.answer(k, o, err)
		}
	}
}

func (w *simulation) resume(c *candidate) {
	c.paused = false
	delayed := c.delayed
	c.delayed = nil
	for _, event := range delayed {
		w.step(c, event)
	}
}

// deliver delivers an order to the sidecar, which reads the lease's token first if
// it knows none.
func (w *simulation) deliver(o *order) {
	if !w.fence.Known() && !w.down && w.object.Version != 0 {
		var r Record
		_ = json.Unmarshal(w.object.Value, &r)
		w.fence.Learn(TokenOf(r, w.object.Version))
	}
	err := w.fence.Check(o.token)
	// The upstream executes orders in the order of their arrival.
	n := int64(len(w.history))
	w.history = append(w.history, porcupine.Operation{Call: 2 * n, Return: 2*n + 1, Input: *o, Output: err == nil})
}

// holders returns the candidates whose grant is valid by their own clock.
func (w *simulation) holders() []*candidate {
	var out []*candidate
	for _, c := range w.candidates {
		if c.state.Grant().Valid(w.clock(c)) {
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

func (w *simulation) advance(t *rapid.T, ms int) {
	w.now += time.Duration(rapid.IntRange(1, ms).Draw(t, "ms")) * time.Millisecond
}

func (w *simulation) tick() {
	for _, c := range w.candidates {
		if !c.paused {
			w.step(c, Tick{Now: w.clock(c), IsCandidate: true})
		}
	}
}

// runNormally simulates a period without new faults: all calls are executed and answered.
func (w *simulation) runNormally(t *rapid.T) {
	w.tick()
	w.answerAll()
	w.advance(t, 4000)
}

func (w *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	drawCandidate := func(t *rapid.T) *candidate { return rapid.SampledFrom(w.candidates).Draw(t, "candidate") }
	unanswered := func(k *call) bool { return !k.answered && !k.applied }
	return map[string]func(*rapid.T){
		"run":      w.runNormally,
		"run on":   w.runNormally, // more likely than faults, so that leases are acquired and lapse
		"run more": w.runNormally,
		"tick":     func(t *rapid.T) { w.tick() },
		"pass":     func(t *rapid.T) { w.advance(t, 12000) },
		"lose": func(t *rapid.T) {
			if calls := w.callsWhere(unanswered); len(calls) > 0 {
				k := rapid.SampledFrom(calls).Draw(t, "call")
				if rapid.Bool().Draw(t, "after its effect") {
					_, _ = w.apply(k)
				}
				w.loseAnswer(k)
			}
		},
		"late write": func(t *rapid.T) {
			if calls := w.callsWhere(func(k *call) bool { return k.answered && !k.applied }); len(calls) > 0 {
				_, _ = w.apply(rapid.SampledFrom(calls).Draw(t, "call"))
			}
		},
		"pause":   func(t *rapid.T) { drawCandidate(t).paused = true },
		"resume":  func(t *rapid.T) { w.resume(drawCandidate(t)) },
		"outage":  func(t *rapid.T) { w.down = rapid.IntRange(0, 2).Draw(t, "out") == 0 },
		"lag":     func(t *rapid.T) { w.replicaLags = rapid.IntRange(0, 2).Draw(t, "lag") == 0 },
		"restart": func(t *rapid.T) { w.fence = Fence{} },
		"resign": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				c := drawCandidate(t)
				w.step(c, Resign{})
				c.delayed = nil
				c.state = NewState(fmt.Sprint(c.id, "-", w.now), DefaultTTL)
			}
		},
		"prepare": func(t *rapid.T) { // a holder checks its lease and is delayed before it sends
			for _, c := range w.holders() {
				w.orders = append(w.orders, &order{from: c, token: c.state.Grant().Token})
			}
		},
		"arrive": func(t *rapid.T) {
			if len(w.orders) > 0 {
				i := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
				w.deliver(w.orders[i])
				w.orders = append(w.orders[:i], w.orders[i+1:]...)
			}
		},
		"": func(t *rapid.T) {
			if holders := w.holders(); len(holders) > 1 {
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
		w := newSimulation(t)
		t.Repeat(w.actions(t))
		if !porcupine.CheckOperations(tokenOrderModel, w.history) {
			t.Fatalf("orders were accepted out of token order: %v", w.history)
		}
		for _, op := range w.history {
			if op.Output.(bool) {
				accepted++
			} else {
				refused++
			}
		}
		w.down, w.replicaLags = false, false
		for _, c := range w.candidates {
			w.resume(c)
		}
		for range 12 {
			w.tick()
			w.answerAll()
			w.now += DefaultTTL / callDivisor
		}
		if len(w.holders()) != 1 {
			t.Fatalf("%d candidates hold the lease after a minute without faults, want 1", len(w.holders()))
		}
	})
	t.Logf("%d orders accepted, %d rejected", accepted, refused)
	if accepted == 0 || refused == 0 {
		t.Fatal("the test must see both accepted and rejected orders")
	}
}
