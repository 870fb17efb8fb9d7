package sidecar

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// send submits a copy to the VM of its key. The message or its reply may be lost; a
// later route action then sends it again.
func (f *fleet) send(t *rapid.T, c *requestCopy) {
	n := f.vm(c.key.VM)
	sub := wire.Submit{Key: c.key, Org: "org", Fingerprint: fingerprintOf(c.req), HasPermit: c.hasPermit}
	sub.Policy = wire.RequestPolicy{
		LoadMultiple: 1.25,
		FirstByte:    time.Duration(rapid.IntRange(0, 20).Draw(t, "first byte")) * time.Second,
		Idempotent:   idempotent(c.req),
	}
	if c.hops < 4 {
		next := f.newKey(rapid.SampledFrom(f.vms).Draw(t, "successor"), c.req)
		sub.Successor = &next
	}
	if rapid.IntRange(0, 3).Draw(t, "delayed") == 0 {
		f.delayed = append(f.delayed, delayedSubmit{to: n.id, sub: sub})
	}
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	if a := f.submit(t, n, sub); a != nil && rapid.IntRange(0, 5).Draw(t, "reply lost") > 0 {
		f.onReply(t, c, a)
	}
}

// submit delivers a submission with the control data of a random router. If it is
// admitted, submit checks the load bound.
func (f *fleet) submit(t *rapid.T, n *testVM, sub wire.Submit) *wire.Admission {
	f.tickets++
	r := &f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
	sub.Control = wire.Control{Samples: r.loads.Pack(f.now, 8), Suspects: r.suspects}
	n.state.mergeControl(f.now, "", sub.Control)
	before, bound := n.state.load(), n.state.loadBound(f.now, sub.Policy.LoadMultiple)
	a := f.step(t, n, Submitted{Now: f.now, Ticket: f.tickets, Submit: sub})
	if a == nil {
		return nil
	}
	if a.Error == nil && !a.Joined && before+1 > bound {
		t.Fatalf("%s admitted at load %d with a bound of %d", n.id, before, bound)
	}
	r.loads.Observe(f.now, load.Hash(n.id), load.Report{Load: a.Control.Load})
	r.suspects = a.Control.Suspects
	return a
}

func (f *fleet) onReply(t *rapid.T, c *requestCopy, a *wire.Admission) {
	if a.Error != nil {
		f.onRejected(t, c, a.Error, a.Moved, a.HasPermit)
		return
	}
	c.admitted = true
	n := f.vm(c.key.VM)
	if r := n.state.requests[c.key.Nonce]; r == nil || r.phase == ended {
		f.onRejected(t, c, verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, ""), nil, false)
		return
	}
	f.updateReaders(t, n, c.key.Nonce)
}

// updateReaders posts how many copies read a response, and sometimes an outdated
// count.
func (f *fleet) updateReaders(t *rapid.T, n *testVM, nonce token.Nonce) {
	f.tickets++
	f.step(t, n, ReadersChanged{Now: f.now, Nonce: nonce, Seq: uint64(f.tickets), Count: f.readerCount(nonce)})
	if rapid.IntRange(0, 3).Draw(t, "late count") == 0 {
		f.step(t, n, ReadersChanged{Now: f.now, Nonce: nonce, Seq: 1})
	}
}

// cancel cancels a request under the key that its caller holds.
func (f *fleet) cancel(t *rapid.T, req int) {
	key := f.firstKey[req]
	f.cancelled[req] = true
	r := f.vm(key.VM).state.requests[key.Nonce]
	isQueued := r != nil && r.phase == queued
	a := f.step(t, f.vm(key.VM), Cancelled{Now: f.now, Cancel: wire.Cancel{Key: key, Org: "org"}})
	if a != nil && a.Error == nil && (!a.Joined || isQueued) {
		f.verdicts[req] = append(f.verdicts[req], verdict.NotRun) // it never arrived, or was queued
	}
}

// endCall ends a random call at the upstream with a random outcome.
func (f *fleet) endCall(t *rapid.T, n *testVM) {
	c, nonce, ok := f.anyCall(t, n)
	if !ok {
		return
	}
	var err *verdict.Error
	switch outcome := rapid.IntRange(0, 3).Draw(t, "outcome"); {
	case !c.received:
		err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
	case c.aborted:
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "")
	case outcome == 0:
		err = verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "")
	case outcome == 1: // the connection failed: nothing ran
		f.runs[c.req]--
		err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
	}
	f.step(t, n, CallEnded{Now: f.now, Nonce: nonce, Err: err})
	delete(n.calls, nonce)
}

func (f *fleet) anyCall(t *rapid.T, n *testVM) (*call, token.Nonce, bool) {
	if len(n.calls) == 0 {
		return nil, token.Nonce{}, false
	}
	nonce := rapid.SampledFrom(n.nonces()).Draw(t, "call")
	return n.calls[nonce], nonce, true
}

// nonces returns the sorted nonces of the calls in progress.
func (n *testVM) nonces() []token.Nonce {
	return slices.SortedFunc(maps.Keys(n.calls), func(x, y token.Nonce) int { return bytes.Compare(x[:], y[:]) })
}

func (f *fleet) crash(t *rapid.T, n *testVM) {
	n.up = false
	n.external = 0
	for _, nonce := range n.nonces() {
		if n.calls[nonce].received {
			f.broken[nonce] = true
			f.step(t, n, CallEnded{Now: f.now, Nonce: nonce, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")})
			delete(n.calls, nonce)
		}
	}
}

// health returns the answer of an upstream to a probe.
func (n *testVM) health() upstream.Health {
	if !n.up {
		return upstream.Health{State: upstream.Gone}
	}
	h := upstream.Health{Instance: upstream.Instance(fmt.Sprint(n.instance)), Running: n.external}
	for _, c := range n.calls {
		if c.received {
			h.Running++
		}
	}
	return h
}

// answerProbe has the upstream answer the probe in progress. The answer arrives with the
// next call of probe.
func (n *testVM) answerProbe() {
	if n.probing && n.sample == nil {
		h := n.health()
		n.sample = &h
	}
}

// probe delivers the answer to the probe in progress, if there is one, or has the upstream
// answer now. The calls of earlier sidecars must never be counted too low. Only calls that
// have started since the probe began, and that the answer may include or not, may be counted
// among them until the next probe.
func (f *fleet) probe(t *rapid.T, n *testVM) {
	if !n.probing {
		return
	}
	h, most := n.health(), n.external+n.startedSinceProbe()
	if n.sample != nil {
		h, most = *n.sample, n.sample.Running
	}
	n.probing, n.sample = false, nil
	f.step(t, n, Probed{Now: f.now, Health: h})
	if counted := n.state.probe.external; n.up && !n.exited && (counted < n.external || counted > most) {
		t.Fatalf("%s counts %d calls of earlier sidecars, want %d, at most %d", n.id, counted, n.external, most)
	}
}

// startedSinceProbe returns the number of calls that have started since the probe in
// progress began.
func (n *testVM) startedSinceProbe() int {
	count := 0
	for _, r := range n.state.requests {
		if r.phase == running && r.exposure.probesAtStart >= n.state.probe.begun {
			count++
		}
	}
	return count
}

func (f *fleet) notice(t *rapid.T, n *testVM) {
	v := topo.Version(rapid.IntRange(0, 20).Draw(t, "version")) // zero: from the list of VMs
	leaving := rapid.Bool().Draw(t, "leaving")
	f.step(t, n, NoticeReceived{Now: f.now, Notice: wire.Notice{Leaving: leaving, Version: v}})
	if v == 0 && leaving {
		n.listNoticeUntil = f.now.Add(listNoticeTTL)
	}
	if v > n.version {
		n.version, n.leaving = v, leaving
	}
	if n.state.draining(f.now) != (n.leaving || n.stopping || f.now.Before(n.listNoticeUntil)) {
		t.Fatalf("%s: draining after notices up to version %d: %v", n.id, n.version, !n.leaving)
	}
}

func (f *fleet) advance(t *rapid.T, d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range f.vms {
		f.step(t, n, Ticked{Now: f.now})
	}
}
