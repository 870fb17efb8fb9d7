package sidecar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Requests are sent while sidecars restart, upstreams crash and recover, drain
// orders arrive out of order, and messages are lost, repeated and delayed. Each
// request must run at most once, and never if its caller got the verdict not-run.
// No upstream may exceed its load bound, and no call may be interrupted when its VM
// leaves.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(f.actions())
		f.finishAll(t)
	})
}

// Guards against crashes that are not recorded, and upstreams that run more requests than
// they have slots, because the answer to a probe is old when it arrives.
func TestInvariantsHoldWithDelayedProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		actions := f.actions()
		actions["probe is answered"] = func(t *rapid.T) {
			rapid.SampledFrom(f.vms).Draw(t, "vm").answerProbe()
		}
		t.Repeat(actions)
		f.finishAll(t)
	})
}

// actions returns the events of the simulation for rapid's Repeat.
func (f *fleet) actions() map[string]func(*rapid.T) {
	anyVM := func(t *rapid.T) *testVM { return rapid.SampledFrom(f.vms).Draw(t, "vm") }
	requestCount := 0
	route := func(t *rapid.T) {
		for _, c := range f.copies {
			if !c.finished && !c.admitted && rapid.IntRange(0, 2).Draw(t, "wait") > 0 {
				f.send(t, c)
			}
		}
	}
	return map[string]func(*rapid.T){
		"new requests": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "count") {
				requestCount++
				f.firstKey[requestCount] = f.newKey(anyVM(t), requestCount)
				f.copies = append(f.copies, &requestCopy{req: requestCount, key: f.firstKey[requestCount], hops: 1})
			}
		},
		"resend": func(t *rapid.T) {
			if requestCount > 0 {
				req := rapid.IntRange(1, requestCount).Draw(t, "request")
				f.copies = append(f.copies, &requestCopy{req: req, key: f.firstKey[req], hops: 1})
			}
		},
		"route":       route,
		"route more":  route,
		"route again": route,
		"late message": func(t *rapid.T) {
			if len(f.delayed) > 0 {
				m := rapid.SampledFrom(f.delayed).Draw(t, "message")
				f.submit(t, f.vm(m.to), m.sub)
			}
		},
		"router dies": func(t *rapid.T) {
			for _, c := range f.copies {
				if c.admitted && !c.finished && rapid.Bool().Draw(t, "this one") {
					c.admitted = false
					f.updateReaders(t, f.vm(c.key.VM), c.key.Nonce)
				}
			}
		},
		"cancel": func(t *rapid.T) {
			if requestCount > 0 {
				f.cancel(t, rapid.IntRange(1, requestCount).Draw(t, "request"))
			}
		},
		"end":   func(t *rapid.T) { f.endCall(t, anyVM(t)) },
		"crash": func(t *rapid.T) { f.crash(t, anyVM(t)) },
		"recover": func(t *rapid.T) {
			n := anyVM(t)
			if !n.up {
				n.up = true
				n.instance++
			}
		},
		"probes": func(t *rapid.T) {
			for _, n := range f.vms {
				f.probe(t, n)
			}
		},
		"notice": func(t *rapid.T) { f.notice(t, anyVM(t)) },
		"stop": func(t *rapid.T) {
			n := anyVM(t)
			n.stopping = true
			f.step(t, n, StopRequested{Now: f.now})
			f.step(t, n, ExportFinished{Now: f.now})
		},
		"restart": func(t *rapid.T) {
			n := anyVM(t)
			f.startSidecar(n)
			for _, c := range f.copies {
				c.admitted = c.admitted && c.key.VM != n.id
			}
		},
		"orphan ends": func(t *rapid.T) {
			n := anyVM(t)
			n.external = max(0, n.external-1)
		},
		"time": func(t *rapid.T) {
			f.advance(t, time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms"))*time.Millisecond)
		},
	}
}

// Thousands of requests have a profile that retains responses for twelve hours. The
// memory for requests, keys and timers must stay bounded.
func TestRetainedResponsesAreBounded(t *testing.T) {
	const keys, requests = 100, 5000
	s := benchState(1, keys)
	for i := range requests {
		sub := benchSubmit(i)
		sub.Key.Expires += int64(i)
		sub.Policy.KeepAnswer = 12 * time.Hour
		s.Step(Submitted{Now: benchStart, Submit: sub})
		s.Step(CallEnded{Now: benchStart, Nonce: sub.Key.Nonce})
	}
	if s.admittedCount != requests {
		t.Fatalf("%d requests ran", s.admittedCount)
	}
	if len(s.requests) > keys || s.table.Len() > keys || len(s.timers) > 8*keys+maxStaleTimers {
		t.Errorf("%d requests, %d keys, %d timers after %d requests", len(s.requests), s.table.Len(), len(s.timers), requests)
	}
}

// finishAll recovers all upstreams, lets all calls end and routes all copies for
// 200 seconds. Then each copy must have a verdict, and each stopping sidecar must
// have exited.
func (f *fleet) finishAll(t *rapid.T) {
	for _, n := range f.vms {
		if !n.up {
			n.up = true
			n.instance++
		}
		n.external = 0
	}
	for range 200 {
		for _, n := range f.vms {
			f.probe(t, n)
			for _, nonce := range n.nonces() {
				var err *verdict.Error
				if !n.calls[nonce].received {
					err = verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "")
				}
				f.step(t, n, CallEnded{Now: f.now, Nonce: nonce, Err: err})
				delete(n.calls, nonce)
			}
		}
		for _, c := range f.copies {
			if c.finished || c.admitted {
				continue
			}
			n := f.vm(c.key.VM)
			sub := wire.Submit{Key: c.key, Org: "org", Fingerprint: fingerprintOf(c.req), Policy: wire.RequestPolicy{FirstByte: time.Second}}
			if a := f.submit(t, n, sub); a != nil {
				f.onReply(t, c, a)
			} else {
				c.finished, c.verdict = true, verdict.MayHaveRun // the sidecar has exited
			}
		}
		f.advance(t, time.Second)
	}
	for i, c := range f.copies {
		if !c.finished {
			t.Fatalf("copy %d of request %d has no verdict: %+v", i, c.req, c)
		}
	}
	for _, n := range f.vms {
		if n.stopping && !n.exited {
			t.Fatalf("%s has not exited", n.id)
		}
	}
}
