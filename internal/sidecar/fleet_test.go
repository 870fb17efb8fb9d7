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
	testKeys  = 4
	testGrace = 10 * time.Second
)

// testVM is one upstream with its sidecar.
type testVM struct {
	id              string
	state           *State
	incarnation     uint64
	up              bool
	instance        int
	calls           map[token.Nonce]*call // at the upstream, started by this incarnation of the sidecar
	external        int                   // calls at the upstream, started by earlier incarnations
	probing         bool
	sample          *upstream.Health // answer to the probe in progress; nil: not answered yet
	leaving         bool
	version         topo.Version
	listNoticeUntil time.Time // until when a notice from the list of VMs is valid
	stopping        bool
	exited          bool
}

type call struct {
	req      int  // request that runs
	received bool // the upstream was up
	aborted  bool
}

// requestCopy is one router's copy of a request, which follows the chain of
// successor keys.
type requestCopy struct {
	req       int
	key       wire.Key
	hops      int
	hasPermit bool
	admitted  bool
	finished  bool
	verdict   verdict.Verdict
}

// fleet simulates three upstreams with their sidecars, and routers that disagree
// on where a request should run.
type fleet struct {
	now       time.Time
	vms       []*testVM
	copies    []*requestCopy
	runs      map[int]int // by request
	verdicts  map[int][]verdict.Verdict
	firstKey  map[int]wire.Key // key under which the caller sends each request
	cancelled map[int]bool     // requests cancelled by their caller
	requestOf map[token.Nonce]int
	broken    map[token.Nonce]bool // calls that a crash of their upstream has broken off
	delayed   []delayedSubmit
	keyCount  uint64
	routers   [2]routerView
	tickets   Ticket
}

// routerView is what a router has received from sidecars in replies.
type routerView struct {
	loads    *load.Table
	suspects json.RawMessage
}

// delayedSubmit is a copy of a message that the network delivers late.
type delayedSubmit struct {
	to  string
	sub wire.Submit
}

func newFleet() *fleet {
	f := &fleet{
		now:       time.Unix(1_000_000, 0),
		runs:      make(map[int]int),
		verdicts:  make(map[int][]verdict.Verdict),
		firstKey:  make(map[int]wire.Key),
		cancelled: make(map[int]bool),
		requestOf: make(map[token.Nonce]int),
		broken:    make(map[token.Nonce]bool),
	}
	for i := range f.routers {
		f.routers[i].loads = load.NewTable()
	}
	for i := range testVMs {
		n := &testVM{id: fmt.Sprintf("vm-%d", i), up: true}
		f.vms = append(f.vms, n)
		f.startSidecar(n)
	}
	return f
}

// startSidecar starts a new incarnation of a sidecar. The upstream may still run
// calls of the previous one.
func (f *fleet) startSidecar(n *testVM) {
	n.incarnation += 1000
	for _, c := range n.calls {
		if c.received {
			n.external++
		}
	}
	n.calls = make(map[token.Nonce]*call)
	n.sample = nil
	n.probing, n.stopping, n.exited = false, false, false
	n.state = NewState(Settings{
		VM:          n.id,
		Incarnation: n.incarnation,
		Keys:        testKeys,
		Admission:   admission.Config{Slots: testSlots, Reserve: 1, MaxWaiting: 4, MaxBytes: 1 << 20},
		DetachGrace: testGrace,
		KeepAnswer:  testGrace,
		StopTimeout: time.Hour,
	})
	n.leaving, n.version, n.listNoticeUntil = false, 0, time.Time{}
	n.probing = true
	n.state.probe.begun++
}

func (f *fleet) vm(id string) *testVM {
	for _, n := range f.vms {
		if n.id == id {
			return n
		}
	}
	panic(id)
}

// newKey returns a new key under which a request may run.
func (f *fleet) newKey(n *testVM, req int) wire.Key {
	f.keyCount++
	var nonce token.Nonce
	binary.BigEndian.PutUint64(nonce[:], f.keyCount)
	f.requestOf[nonce] = req
	return wire.Key{VM: n.id, Incarnation: n.incarnation, Nonce: nonce, Expires: f.now.Unix() + 60}
}

// step applies an event to a sidecar and simulates its effects. It returns the
// reply to the event, if there is one.
func (f *fleet) step(t *rapid.T, n *testVM, e Event) *wire.Admission {
	if n.exited {
		return nil
	}
	var reply *wire.Admission
	var finished []token.Nonce
	for _, effect := range n.state.Step(e) {
		switch e := effect.(type) {
		case Start:
			f.onStart(t, n, e)
		case Abort:
			f.onAbort(t, n, e)
		case Finish:
			f.onFinish(t, n, e)
			finished = append(finished, e.Nonce)
		case Reply:
			reply = &e.Admission
		case Probe:
			n.probing = true
		case Exit:
			if len(n.calls) > 0 {
				t.Fatalf("%s exits with %d calls in progress", n.id, len(n.calls))
			}
			n.exited = true
		}
	}
	f.checkInvariants(t, n)
	for _, nonce := range finished {
		f.tickets++
		f.step(t, n, ReadersChanged{Now: f.now, Nonce: nonce, Seq: uint64(f.tickets), Delivered: true})
	}
	return reply
}

func (f *fleet) onStart(t *rapid.T, n *testVM, e Start) {
	if n.state.draining(f.now) || n.state.probe.down {
		t.Fatalf("%s starts a request though it is draining or down", n.id)
	}
	req := f.requestOf[e.Submit.Key.Nonce]
	n.calls[e.Submit.Key.Nonce] = &call{req: req, received: n.up}
	if n.up {
		f.runs[req]++
	}
	if len(n.calls)+n.external > testSlots {
		t.Fatalf("%s runs %d calls of its own and %d of earlier sidecars", n.id, len(n.calls), n.external)
	}
	if isolated := n.state.isolated; isolated != nil && len(n.calls) > 1 {
		t.Fatalf("%s runs %d requests beside a suspect", n.id, len(n.calls))
	}
}

// onAbort checks that only idempotent requests, or those that their caller has
// cancelled, are aborted.
func (f *fleet) onAbort(t *rapid.T, n *testVM, e Abort) {
	c := n.calls[e.Nonce]
	if c == nil {
		return
	}
	if !idempotent(c.req) && !f.cancelled[c.req] {
		t.Fatalf("request %d is not idempotent and is aborted", c.req)
	}
	f.checkUnread(t, e.Nonce)
	c.aborted = true
}

// checkUnread checks that no copy reads the response to an aborted request.
func (f *fleet) checkUnread(t *rapid.T, nonce token.Nonce) {
	if req := f.requestOf[nonce]; f.readerCount(nonce) > 0 && !f.cancelled[req] {
		t.Fatalf("request %d is aborted while it has readers", req)
	}
}

// readerCount returns the number of copies that read a response.
func (f *fleet) readerCount(nonce token.Nonce) int {
	count := 0
	for _, c := range f.copies {
		if c.admitted && !c.finished && c.key.Nonce == nonce {
			count++
		}
	}
	return count
}

func idempotent(req int) bool { return req%2 == 0 }

// fingerprintOf returns the fingerprint of a request. Some requests share one, as
// when callers resend a request under another key.
func fingerprintOf(req int) uint64 { return uint64(req%6) + 1 }

// onFinish passes the end of a response to the copies that read it.
func (f *fleet) onFinish(t *rapid.T, n *testVM, e Finish) {
	r := n.state.requests[e.Nonce]
	if e.Error != nil && e.Error.Verdict == verdict.NotRun && e.Moved == nil && r.submit.Successor != nil && !r.cancelled {
		t.Fatalf("%s: a request that has not run is not redirected to its successor: %v", n.id, e.Error)
	}
	if e.Error != nil && e.Error.Reason == verdict.ReasonCancelled {
		f.checkUnread(t, e.Nonce)
	}
	if f.broken[e.Nonce] && !r.exposure.isRecorded {
		t.Fatalf("%s: the response of a request that ran during a crash ends without evidence", n.id)
	}
	for _, c := range f.copies {
		if c.finished || !c.admitted || c.key.Nonce != e.Nonce || c.key.Incarnation != n.incarnation {
			continue
		}
		c.admitted = false
		f.onRejected(t, c, e.Error, e.Moved, false)
	}
	delete(n.calls, e.Nonce)
}

// onRejected redirects a copy to its next key, or ends it with the verdict that its
// caller gets.
func (f *fleet) onRejected(t *rapid.T, c *requestCopy, err *verdict.Error, moved *wire.Key, hasPermit bool) {
	switch {
	case err == nil:
		c.finished, c.verdict = true, verdict.Ran
	case moved != nil:
		c.key, c.hasPermit = *moved, hasPermit
		c.hops++
		return
	default:
		c.finished, c.verdict = true, err.Verdict
	}
	f.verdicts[c.req] = append(f.verdicts[c.req], c.verdict)
}

// checkInvariants checks the invariants that must hold after each event.
func (f *fleet) checkInvariants(t *rapid.T, n *testVM) {
	for req, verdicts := range f.verdicts {
		for _, v := range verdicts {
			if v == verdict.NotRun && f.runs[req] > 0 {
				t.Fatalf("request %d: a caller got the verdict not-run, but it ran", req)
			}
		}
	}
	for req, runs := range f.runs {
		if runs > 1 {
			t.Fatalf("request %d ran %d times", req, runs)
		}
	}
	queuedCount, retained := 0, 0
	for _, r := range n.state.requests {
		if r.phase == ended && r.readers == 0 {
			retained++
		}
		if r.phase == queued {
			queuedCount++
		}
		if r.phase == queued && !r.expires.IsZero() && !f.now.Before(r.expires) {
			t.Fatalf("%s keeps a request queued past its deadline", n.id)
		}
	}
	if retained > testKeys {
		t.Fatalf("%s retains %d responses without readers", n.id, retained)
	}
	if timers := len(n.state.timers); timers > 8*len(n.state.requests)+maxStaleTimers {
		t.Fatalf("%s has %d timers for %d requests", n.id, timers, len(n.state.requests))
	}
	if have := n.state.load() - n.state.queue.Running(); have != queuedCount {
		t.Fatalf("%s: %d requests are queued, %d are counted", n.id, queuedCount, have)
	}
}
