package sidecar

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
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
	version  platform.Version
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
		Keys:        4,
		Admission:   admission.Config{Slots: testSlots, Reserve: 1, MaxWaiting: 4},
		DetachGrace: testGrace,
		KeepAnswer:  testGrace,
		StopWithin:  time.Hour,
	})
	n.leaving, n.version = false, 0
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
	waiting := 0
	for _, r := range n.state.requests {
		if r.phase == queued {
			waiting++
		}
		if r.phase == queued && !r.expires.IsZero() && !f.now.Before(r.expires) {
			t.Fatalf("%s holds a request past its deadline", n.vm)
		}
	}
	if have := n.state.load() - n.state.queue.Running(); have != waiting {
		t.Fatalf("%s: %d wait, and %d are counted", n.vm, waiting, have)
	}
}

// send submits a copy where its key says. Its reply, or the message itself,
// may be lost; then the router sends it again some time.
func (f *fleet) send(t *rapid.T, c *copyOf) {
	n := f.node(c.key.VM)
	sub := wire.Submit{Key: c.key, Org: "club", Fingerprint: print(c.req), Leave: c.leave}
	sub.Treatment = wire.Treatment{
		LoadMultiple: 1.25,
		FirstByte:    time.Duration(rapid.IntRange(0, 20).Draw(t, "first byte")) * time.Second,
		Idempotent:   idempotent(c.req),
	}
	if c.links < 4 {
		next := f.newKey(rapid.SampledFrom(f.nodes).Draw(t, "successor"), c.req)
		sub.Successor = &next
	}
	if rapid.IntRange(0, 3).Draw(t, "kept") == 0 {
		f.late = append(f.late, lateSubmit{to: n.vm, sub: sub})
	}
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	if a := f.submit(t, n, sub); a != nil && rapid.IntRange(0, 5).Draw(t, "reply lost") > 0 {
		f.replied(t, c, a)
	}
}

// submit delivers a submission, with what some router knows on its back, and
// checks the bound if it is admitted.
func (f *fleet) submit(t *rapid.T, n *node, sub wire.Submit) *wire.Admission {
	f.tickets++
	r := &f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
	sub.Control = wire.Control{Samples: r.loads.Pack(f.now, 8), Suspects: r.suspects}
	n.state.hear(f.now, "", sub.Control)
	before, bound := n.state.load(), n.state.bound(f.now, sub.Treatment.LoadMultiple)
	a := f.step(t, n, Submitted{Now: f.now, Ticket: f.tickets, Submit: sub})
	if a == nil {
		return nil
	}
	if a.Error == nil && !a.Joined && before+1 > bound {
		t.Fatalf("%s admits at load %d with a bound of %d", n.vm, before, bound)
	}
	r.loads.Observe(f.now, load.Hash(n.vm), load.Report{Load: a.Control.Load})
	r.suspects = a.Control.Suspects
	return a
}

func (f *fleet) replied(t *rapid.T, c *copyOf, a *wire.Admission) {
	if a.Error != nil {
		f.refused(t, c, a.Error, a.Moved, a.Leave)
		return
	}
	c.admitted = true
	n := f.node(c.key.VM)
	if r := n.state.requests[c.key.Nonce]; r == nil || r.phase == ended {
		f.refused(t, c, verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, ""), nil, false)
		return
	}
	f.readers(t, n, c.key.Nonce)
}

// readers tells a sidecar how many copies read an answer.
func (f *fleet) readers(t *rapid.T, n *node, nonce token.Nonce) {
	f.tickets++
	f.step(t, n, Readers{Now: f.now, Nonce: nonce, Seq: uint64(f.tickets), Count: f.reading(nonce)})
	if rapid.IntRange(0, 3).Draw(t, "late count") == 0 {
		f.step(t, n, Readers{Now: f.now, Nonce: nonce, Seq: 1})
	}
}

// cancel has a caller cancel a request, under the key that it holds.
func (f *fleet) cancel(t *rapid.T, req int) {
	key := f.first[req]
	f.ended[req] = true
	r := f.node(key.VM).state.requests[key.Nonce]
	waiting := r != nil && r.phase == queued
	a := f.step(t, f.node(key.VM), Cancelled{Now: f.now, Cancel: wire.Cancel{Key: key, Org: "club"}})
	if a != nil && a.Error == nil && (!a.Joined || waiting) {
		f.told[req] = append(f.told[req], verdict.NotRun) // it never came, or waited
	}
}

// endCall ends a call at the upstream in one of the ways in which calls end.
func (f *fleet) endCall(t *rapid.T, n *node) {
	c, nonce, ok := f.anyCall(t, n)
	if !ok {
		return
	}
	var err *verdict.Error
	switch fate := rapid.IntRange(0, 3).Draw(t, "fate"); {
	case !c.arrived:
		err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
	case c.aborted:
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "")
	case fate == 0:
		err = verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")
	case fate == 1: // it could not connect: nothing ran
		f.runs[c.req]--
		err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
	}
	f.step(t, n, Ended{Now: f.now, Nonce: nonce, Err: err})
	delete(n.calls, nonce)
}

func (f *fleet) anyCall(t *rapid.T, n *node) (*call, token.Nonce, bool) {
	if len(n.calls) == 0 {
		return nil, token.Nonce{}, false
	}
	nonce := rapid.SampledFrom(n.nonces()).Draw(t, "call")
	return n.calls[nonce], nonce, true
}

// nonces returns the keys of the calls under way, in order.
func (n *node) nonces() []token.Nonce {
	return slices.SortedFunc(maps.Keys(n.calls), func(x, y token.Nonce) int { return bytes.Compare(x[:], y[:]) })
}

func (f *fleet) crash(t *rapid.T, n *node) {
	n.up = false
	n.orphans = 0
	for _, nonce := range n.nonces() {
		if n.calls[nonce].arrived {
			f.step(t, n, Ended{Now: f.now, Nonce: nonce, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")})
			delete(n.calls, nonce)
		}
	}
}

func (f *fleet) probe(t *rapid.T, n *node) {
	if !n.probing {
		return
	}
	n.probing = false
	h := upstream.Health{State: upstream.Gone}
	if n.up {
		h = upstream.Health{Instance: upstream.Instance(fmt.Sprint(n.instance)), Running: n.orphans}
		for _, c := range n.calls {
			if c.arrived {
				h.Running++
			}
		}
	}
	f.step(t, n, Probed{Now: f.now, Health: h})
	if n.up && !n.exited && n.state.probe.foreign != n.orphans {
		t.Fatalf("%s counts %d calls of former sidecars, there are %d", n.vm, n.state.probe.foreign, n.orphans)
	}
}

func (f *fleet) notice(t *rapid.T, n *node) {
	v := platform.Version(rapid.IntRange(1, 20).Draw(t, "version"))
	leaving := rapid.Bool().Draw(t, "leaving")
	f.step(t, n, Noticed{Now: f.now, Notice: wire.Notice{Leaving: leaving, Version: v}})
	if v > n.version {
		n.version, n.leaving = v, leaving
	}
	if n.state.leaving(f.now) != (n.leaving || n.stopping) {
		t.Fatalf("%s: leaving after notices up to %d: %v", n.vm, n.version, !n.leaving)
	}
}

func (f *fleet) advance(t *rapid.T, d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range f.nodes {
		f.step(t, n, Ticked{Now: f.now})
	}
}

// Guests book rooms while sidecars restart, upstreams crash and come back,
// drain orders overtake each other, and messages are lost, repeated and late.
// Each booking is made at most once, none after its guest was told not-run, no
// upstream is given more than its bound, and none is cut when its VM leaves.
func TestPromisesHoldForEveryHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		anyNode := func() *node { return rapid.SampledFrom(f.nodes).Draw(t, "node") }
		requests := 0
		route := func(t *rapid.T) {
			for _, c := range f.copies {
				if !c.over && !c.admitted && rapid.IntRange(0, 2).Draw(t, "wait") > 0 {
					f.send(t, c)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"new requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 3).Draw(t, "count") {
					requests++
					f.first[requests] = f.newKey(anyNode(), requests)
					f.copies = append(f.copies, &copyOf{req: requests, key: f.first[requests], links: 1})
				}
			},
			"resend": func(t *rapid.T) {
				if requests > 0 {
					req := rapid.IntRange(1, requests).Draw(t, "request")
					f.copies = append(f.copies, &copyOf{req: req, key: f.first[req], links: 1})
				}
			},
			"route":       route,
			"route more":  route,
			"route again": route,
			"late message": func(t *rapid.T) {
				if len(f.late) > 0 {
					m := rapid.SampledFrom(f.late).Draw(t, "message")
					f.submit(t, f.node(m.to), m.sub)
				}
			},
			"router dies": func(t *rapid.T) {
				for _, c := range f.copies {
					if c.admitted && !c.over && rapid.Bool().Draw(t, "this one") {
						c.admitted = false
						f.readers(t, f.node(c.key.VM), c.key.Nonce)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if requests > 0 {
					f.cancel(t, rapid.IntRange(1, requests).Draw(t, "request"))
				}
			},
			"end":   func(t *rapid.T) { f.endCall(t, anyNode()) },
			"crash": func(t *rapid.T) { f.crash(t, anyNode()) },
			"recover": func(t *rapid.T) {
				n := anyNode()
				if !n.up {
					n.up = true
					n.instance++
				}
			},
			"probes": func(t *rapid.T) {
				for _, n := range f.nodes {
					f.probe(t, n)
				}
			},
			"notice": func(t *rapid.T) { f.notice(t, anyNode()) },
			"stop": func(t *rapid.T) {
				n := anyNode()
				n.stopping = true
				f.step(t, n, Stopping{Now: f.now})
				f.step(t, n, Exported{Now: f.now})
			},
			"restart": func(t *rapid.T) {
				n := anyNode()
				f.boot(n)
				for _, c := range f.copies {
					c.admitted = c.admitted && c.key.VM != n.vm
				}
			},
			"orphan ends": func(t *rapid.T) {
				n := anyNode()
				n.orphans = max(0, n.orphans-1)
			},
			"time": func(t *rapid.T) {
				f.advance(t, time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms"))*time.Millisecond)
			},
		})
		f.wind(t)
	})
}

// wind lets everything come to its end: nobody may be left without an answer.
func (f *fleet) wind(t *rapid.T) {
	for _, n := range f.nodes {
		if !n.up {
			n.up = true
			n.instance++
		}
		n.orphans = 0
	}
	for range 200 {
		for _, n := range f.nodes {
			f.probe(t, n)
			for _, nonce := range n.nonces() {
				var err *verdict.Error
				if !n.calls[nonce].arrived {
					err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
				}
				f.step(t, n, Ended{Now: f.now, Nonce: nonce, Err: err})
				delete(n.calls, nonce)
			}
		}
		for _, c := range f.copies {
			if c.over || c.admitted {
				continue
			}
			n := f.node(c.key.VM)
			sub := wire.Submit{Key: c.key, Org: "club", Fingerprint: print(c.req), Treatment: wire.Treatment{FirstByte: time.Second}}
			if a := f.submit(t, n, sub); a != nil {
				f.replied(t, c, a)
			} else {
				c.over, c.verdict = true, verdict.MayHaveRun // its sidecar has exited
			}
		}
		f.advance(t, time.Second)
	}
	for i, c := range f.copies {
		if !c.over {
			t.Fatalf("copy %d of request %d has no answer: %+v", i, c.req, c)
		}
	}
	for _, n := range f.nodes {
		if n.stopping && !n.exited {
			t.Fatalf("%s does not exit", n.vm)
		}
	}
}
