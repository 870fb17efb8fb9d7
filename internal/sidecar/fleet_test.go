package sidecar

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.shrinktime", "1s")
}

const (
	testVMs   = 3
	testSlots = 2
	testKeys  = 4
	testGrace = 10 * time.Second
)

// node is one upstream with its sidecar.
type node struct {
	vm       string
	state    *State
	inc      uint64
	up       bool
	instance int
	calls    map[token.Nonce]*call // at the upstream, of this incarnation
	orphans  int                   // at the upstream, of former ones
	probing  bool
	leaving  bool
	version  topo.Version
	listed   time.Time // until when the list of VMs counts
	stopping bool
	exited   bool
}

type call struct {
	req     int  // request that runs
	arrived bool // the upstream was up
	aborted bool
}

// copyOf is one router's copy of a request, on its way along the chain of keys.
type copyOf struct {
	req      int
	key      wire.Key
	links    int
	leave    bool
	admitted bool
	over     bool
	verdict  verdict.Verdict
}

// fleet is three upstreams and any number of routers that disagree on where a
// request should go.
type fleet struct {
	now     time.Time
	nodes   []*node
	copies  []*copyOf
	runs    map[int]int // by request
	told    map[int][]verdict.Verdict
	first   map[int]wire.Key // under which the caller sends each request
	ended   map[int]bool     // cancelled by its caller
	owner   map[token.Nonce]int
	late    []lateSubmit
	keys    uint64
	routers [2]routerView
	tickets Ticket
}

// routerView is what a router has heard from the sidecars that it has asked.
type routerView struct {
	loads    *load.Table
	suspects json.RawMessage
}

// lateSubmit is a copy of a message that something in between has kept.
type lateSubmit struct {
	to  string
	sub wire.Submit
}

func newFleet() *fleet {
	f := &fleet{
		now:   time.Unix(1_000_000, 0),
		runs:  make(map[int]int),
		told:  make(map[int][]verdict.Verdict),
		first: make(map[int]wire.Key),
		ended: make(map[int]bool),
		owner: make(map[token.Nonce]int),
	}
	for i := range f.routers {
		f.routers[i].loads = load.NewTable()
	}
	for i := range testVMs {
		n := &node{vm: fmt.Sprintf("vm-%d", i), up: true}
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

// boot starts a sidecar beside an upstream that may still run calls of the
// former one.
func (f *fleet) boot(n *node) {
	n.inc += 1000
	for _, c := range n.calls {
		if c.arrived {
			n.orphans++
		}
	}
	n.calls = make(map[token.Nonce]*call)
	n.probing, n.stopping, n.exited = false, false, false
	n.state = NewState(Settings{
		VM:          n.vm,
		Incarnation: n.inc,
		Keys:        testKeys,
		Admission:   admission.Config{Slots: testSlots, Reserve: 1, MaxWaiting: 4, MaxBytes: 1 << 20},
		DetachGrace: testGrace,
		KeepAnswer:  testGrace,
		StopTimeout: time.Hour,
	})
	n.leaving, n.version, n.listed = false, 0, time.Time{}
	n.probing = true
	n.state.probe.asked = true
}

func (f *fleet) node(vm string) *node {
	for _, n := range f.nodes {
		if n.vm == vm {
			return n
		}
	}
	panic(vm)
}

// newKey draws a key under which a request may run.
func (f *fleet) newKey(n *node, req int) wire.Key {
	f.keys++
	var nonce token.Nonce
	binary.BigEndian.PutUint64(nonce[:], f.keys)
	f.owner[nonce] = req
	return wire.Key{VM: n.vm, Incarnation: n.inc, Nonce: nonce, Expires: f.now.Unix() + 60}
}

// step feeds a sidecar and carries out what it asks for. It returns the reply
// to the event, if there was one.
func (f *fleet) step(t *rapid.T, n *node, e Event) *wire.Admission {
	if n.exited {
		return nil
	}
	var reply *wire.Admission
	var finished []token.Nonce
	for _, effect := range n.state.Step(e) {
		switch e := effect.(type) {
		case Start:
			f.started(t, n, e)
		case Abort:
			f.aborted(t, n, e)
		case Finish:
			f.finished(t, n, e)
			finished = append(finished, e.Nonce)
		case Reply:
			reply = &e.Admission
		case Probe:
			n.probing = true
		case Exit:
			if len(n.calls) > 0 {
				t.Fatalf("%s exits with %d calls under way", n.vm, len(n.calls))
			}
			n.exited = true
		}
	}
	f.check(t, n)
	for _, nonce := range finished {
		f.tickets++
		f.step(t, n, Readers{Now: f.now, Nonce: nonce, Seq: uint64(f.tickets), Delivered: true})
	}
	return reply
}

func (f *fleet) started(t *rapid.T, n *node, e Start) {
	if n.state.leaving(f.now) || n.state.probe.down {
		t.Fatalf("%s starts a request though it leaves or is down", n.vm)
	}
	req := f.owner[e.Submit.Key.Nonce]
	n.calls[e.Submit.Key.Nonce] = &call{req: req, arrived: n.up}
	if n.up {
		f.runs[req]++
	}
	if len(n.calls)+n.orphans > testSlots {
		t.Fatalf("%s runs %d of its own and %d others", n.vm, len(n.calls), n.orphans)
	}
	if solo := n.state.solo; solo != nil && len(n.calls) > 1 {
		t.Fatalf("%s runs %d requests beside a suspect", n.vm, len(n.calls))
	}
}

// aborted checks that nothing is cut that may not be repeated, unless its
// caller asked for it.
func (f *fleet) aborted(t *rapid.T, n *node, e Abort) {
	c := n.calls[e.Nonce]
	if c == nil {
		return
	}
	if !idempotent(c.req) && !f.ended[c.req] {
		t.Fatalf("request %d is not idempotent and is cut", c.req)
	}
	f.mayCut(t, e.Nonce)
	c.aborted = true
}

// mayCut checks that nobody reads the answer to a request that is cut.
func (f *fleet) mayCut(t *rapid.T, nonce token.Nonce) {
	if req := f.owner[nonce]; f.reading(nonce) > 0 && !f.ended[req] {
		t.Fatalf("request %d is cut while it is read", req)
	}
}

// reading counts the copies that read an answer.
func (f *fleet) reading(nonce token.Nonce) int {
	count := 0
	for _, c := range f.copies {
		if c.admitted && !c.over && c.key.Nonce == nonce {
			count++
		}
	}
	return count
}

func idempotent(req int) bool { return req%2 == 0 }

// print is the fingerprint of a request: some are alike, as when callers send
// a request again under another key.
func print(req int) uint64 { return uint64(req%6) + 1 }

// finished tells the copies that read the answer.
func (f *fleet) finished(t *rapid.T, n *node, e Finish) {
	r := n.state.requests[e.Nonce]
	if e.Error != nil && e.Error.Verdict == verdict.NotRun && e.Moved == nil && r.submit.Successor != nil && !r.cancelled {
		t.Fatalf("%s: a request that has not run is not sent on: %v", n.vm, e.Error)
	}
	if e.Error != nil && e.Error.Reason == verdict.ReasonCancelled {
		f.mayCut(t, e.Nonce)
	}
	for _, c := range f.copies {
		if c.over || !c.admitted || c.key.Nonce != e.Nonce || c.key.Incarnation != n.inc {
			continue
		}
		c.admitted = false
		f.refused(t, c, e.Error, e.Moved, false)
	}
	delete(n.calls, e.Nonce)
}

// refused follows the chain, or ends the copy with what its caller is told.
func (f *fleet) refused(t *rapid.T, c *copyOf, err *verdict.Error, moved *wire.Key, leave bool) {
	switch {
	case err == nil:
		c.over, c.verdict = true, verdict.Ran
	case moved != nil:
		c.key, c.leave = *moved, leave
		c.links++
		return
	default:
		c.over, c.verdict = true, err.Verdict
	}
	f.told[c.req] = append(f.told[c.req], c.verdict)
}

// check looks at what must hold after each event.
func (f *fleet) check(t *rapid.T, n *node) {
	for req, verdicts := range f.told {
		for _, v := range verdicts {
			if v == verdict.NotRun && f.runs[req] > 0 {
				t.Fatalf("request %d: a caller was told not-run, and it ran", req)
			}
		}
	}
	for req, runs := range f.runs {
		if runs > 1 {
			t.Fatalf("request %d ran %d times", req, runs)
		}
	}
	waiting, kept := 0, 0
	for _, r := range n.state.requests {
		if r.phase == ended && r.readers == 0 {
			kept++
		}
		if r.phase == queued {
			waiting++
		}
		if r.phase == queued && !r.expires.IsZero() && !f.now.Before(r.expires) {
			t.Fatalf("%s holds a request past its deadline", n.vm)
		}
	}
	if kept > testKeys {
		t.Fatalf("%s keeps %d answers that nobody reads", n.vm, kept)
	}
	if timers := len(n.state.timers); timers > 8*len(n.state.requests)+spareTimers {
		t.Fatalf("%s has %d timers for %d requests", n.vm, timers, len(n.state.requests))
	}
	if have := n.state.load() - n.state.queue.Running(); have != waiting {
		t.Fatalf("%s: %d wait, and %d are counted", n.vm, waiting, have)
	}
}
