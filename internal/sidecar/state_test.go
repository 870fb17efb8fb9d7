package sidecar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

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

// Clip tags come by the thousand under a profile that keeps answers overnight.
// What the sidecar holds of them must not grow until the morning.
func TestAnswersKeptForLongAreBounded(t *testing.T) {
	const keys, requests = 100, 5000
	s := benchState(1, keys)
	for i := range requests {
		sub := benchSubmit(i)
		sub.Key.Expires += int64(i)
		sub.Treatment.KeepAnswer = 12 * time.Hour
		s.Step(Submitted{Now: benchStart, Submit: sub})
		s.Step(Ended{Now: benchStart, Nonce: sub.Key.Nonce})
	}
	if s.arrived != requests {
		t.Fatalf("%d requests ran", s.arrived)
	}
	if len(s.requests) > keys || s.table.Len() > keys || len(s.timers) > 8*keys+spareTimers {
		t.Errorf("%d requests, %d keys, %d timers after %d requests", len(s.requests), s.table.Len(), len(s.timers), requests)
	}
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
