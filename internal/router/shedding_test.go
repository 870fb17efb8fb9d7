package router

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// newSheddingMesh returns the mesh of a router with a pool of plain upstreams, of two routers.
func newSheddingMesh(t *testing.T, mode ShareMode, isRoot bool) *mesh {
	m := newTestMesh("a")
	m.router.mesh = m
	m.router.tuning.Store(&Tuning{Policy: policy.All(), SharePools: mode})
	m.router.coldStart.registeredRouters.Store(2)
	t.Cleanup(func() { m.router.shortages.announceEnded(time.Now().Add(24 * time.Hour)) }) // the metric is shared by all tests
	m.readsStore.Store(isRoot)
	m.followed.Store(isRoot)
	m.pool().shedder = newTestShedder()
	return m
}

// A router that reads the store gets no requests of callers, as while the balancer does not send to it.
// Guards against a root that sends no summaries then: the others would know no complete demand, and use
// only their parts of the pool. It does not know either that engines report slowdowns.
func TestRootWithoutRequestsSendsSummaries(t *testing.T) {
	for _, mode := range []ShareMode{ShareAlways, ShareAuto} {
		root, other, now := newSheddingMesh(t, mode, true), newSheddingMesh(t, ShareAlways, false), time.Unix(1000, 0)
		for i := range 300 {
			now = now.Add(10 * time.Millisecond)
			p := other.pool().shedder
			p.Admit(now, shedding.Request{Class: demand.Class{Org: 1}}, func() shedding.Situation { return other.router.situation(other.pool()) })
			p.RecordAttempt(now, i%2 == 0)
			if i%9 > 0 {
				continue
			}
			for _, b := range other.demandForParent(now) {
				root.mergeSharing(now, "other", b, fromSubscriber)
			}
			for _, b := range root.demandForSubscribers(now) {
				other.mergeSharing(now, "root", b, fromParent)
			}
		}
		if s := other.pool().shedder.Status(now); !s.Complete || !s.Short {
			t.Errorf("mode %d: complete is %v and short %v, want both", mode, s.Complete, s.Short)
		}
	}
}

func newTestShedder() *shedding.Pool {
	return shedding.New(rand.New(rand.NewPCG(1, 2)))
}

// A hedge chooses its upstream from the present view, and replaces the pool of the Response, while the
// first attempt is under way. Guards against an attempt that reads that pool at the same time, which
// the race detector reports.
func TestAttemptsAreRecordedWhileAnotherUpstreamIsChosen(t *testing.T) {
	m := newTestMesh("a")
	m.router.tuning.Store(&Tuning{SharePools: ShareAlways})
	m.pool().shedder = newTestShedder()
	resp := &Response{router: m.router, pool: m.pool()}
	d := directTransport{resp}
	at := &attempt{shedder: resp.shedder()}
	if at.shedder == nil {
		t.Fatal("a pool that is always shared has no shedder")
	}
	var attempts sync.WaitGroup
	attempts.Go(func() { d.recordAccepted(at, exchange.Signal{}) })
	d.pool = newTestPool(1, "llm")
	attempts.Wait()
}

// shortShedder returns what decides for a pool of plain upstreams that reject half of the attempts of an
// organisation from the given time on, and the time at which the pool is short.
func shortShedder(t *testing.T, now time.Time, org uint32) (*shedding.Pool, time.Time) {
	t.Helper()
	p, other := newTestShedder(), newTestShedder()
	r := shedding.Request{Class: demand.Class{Org: org}}
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		p.Admit(now, r, func() shedding.Situation { return shedding.Situation{Upstreams: 1, Routers: 2, Root: true} })
		p.RecordAttempt(now, i%2 == 0)
		// The reports of the other router make the totals complete.
		other.Admit(now, r, func() shedding.Situation { return shedding.Situation{Upstreams: 1, Routers: 2} })
		other.RecordAttempt(now, i%2 == 0)
		if b := other.Report(now); b != nil {
			if err := p.MergeReport(now, "other", b); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !p.Status(now).Short {
		t.Fatalf("the pool is not short: %+v", p.Status(now))
	}
	return p, now
}

// A pool is short while its traffic ends, it leaves the view, or the sharing of pools is switched off:
// no request reaches it any more. Guards against a pool that counts as short for good, at the metric and
// in what operators are shown.
func TestShortPoolWithoutRequestsIsNoLongerShort(t *testing.T) {
	var s shortages
	p, now := shortShedder(t, time.Unix(1000, 0), 1)
	before := shortPools.Value()
	s.announce(now, "chat", p)
	s.announceEnded(now.Add(time.Second))
	if n := shortPools.Value() - before; n != 1 {
		t.Errorf("%d short pools a second after the last request, want 1", n)
	}
	now = now.Add(3 * time.Second)
	s.announceEnded(now)
	s.announceEnded(now)
	if n := shortPools.Value() - before; n != 0 || len(s.pools) != 0 || p.Status(now).Short {
		t.Errorf("%d short pools 3 s after the last request, %d kept, short is %v; want none", n, len(s.pools), p.Status(now).Short)
	}
}

// Guards against the rejection of a stream that resumes in a short pool, whether its caller names the last
// event or the attempt that brought the first one.
func TestStreamsThatResumeAreNotShed(t *testing.T) {
	m := newSheddingMesh(t, ShareAlways, true)
	m.router.retries = retry.NewPoolBudgets()
	p, now := shortShedder(t, time.Unix(1000, 0), shortHash("greedy"))
	m.pool().shedder = p
	rejected := func(req Request) int {
		n := 0
		for range 20 {
			req.Profile = &profile.Profile{}
			resp := &Response{router: m.router, view: m.router.View(), pool: m.pool(), poolName: "llm", req: req}
			if resp.shed(now) != nil {
				n++
			}
		}
		return n
	}
	org := &profile.Organisation{Name: "greedy"}
	if rejected(Request{Org: org}) == 0 {
		t.Fatal("no new request is rejected")
	}
	for _, req := range []Request{{Org: org, LastEventID: "7"}, {Org: org, Resumes: "attempt-1"}} {
		if n := rejected(req); n != 0 {
			t.Errorf("%d streams of 20 that resume are rejected: %+v", n, req)
		}
	}
}

// Guards against a session that counts as one with the most requests of its pool, and is spread over several
// upstreams, because of requests that were shed and reached none.
func TestShedRequestsDoNotCountForTheirSession(t *testing.T) {
	const requests = 200
	m := newSheddingMesh(t, ShareAlways, true)
	m.router.retries = retry.NewPoolBudgets()
	// All requests, which have the time of the system clock, are before the next update of the fractions.
	m.pool().shedder, _ = shortShedder(t, time.Now().Add(time.Hour), shortHash("greedy"))
	req := Request{Org: &profile.Organisation{Name: "greedy"}, Profile: &profile.Profile{Name: "chat", Pool: "llm", Regions: []string{"none"}}, Session: "s"}
	m.pool().parts.Store(partKey{regions: req.regions().Key()}, &Pool{tracker: m.pool().tracker, shedder: m.pool().shedder, placed: placement.NewPool(nil, placement.Locality{})})
	shed := 0
	for range requests {
		if _, err := m.router.dispatchDirect(t.Context(), m.router.View(), req); verdict.From(err).Reason == verdict.ReasonOverShare {
			shed++
		}
	}
	if shed == 0 || shed == requests {
		t.Fatalf("%d of %d requests are shed", shed, requests)
	}
	// The others found no upstream; they count.
	reference := balance.NewTracker()
	now := time.Now()
	for range requests - shed {
		reference.RecordRequest(now, 2, "chat")
	}
	session := sessionHash("", "s")
	m.pool().tracker.RecordRequest(now, 1, "chat")
	reference.RecordRequest(now, 1, "chat")
	got, want := m.pool().tracker.RecordRequest(now, session, "chat"), reference.RecordRequest(now, 2, "chat")
	if got > want {
		t.Errorf("the session's share is %.4f, want at most the %.4f of %d requests", got, want, requests-shed)
	}
}

// Many pools are short, with organisations of many priorities and kinds. Guards against a message with their
// demand that is too long for a datagram, which would not be sent at all, and against a pool that is in none.
func TestMessagesWithDemandFitOneDatagram(t *testing.T) {
	const pools = 31
	m, now := newSheddingMesh(t, ShareAlways, false), time.Unix(1000, 0)
	view := &View{Pools: make(map[string]*Pool)}
	for i := range pools {
		p := newTestPool(1, fmt.Sprint("a-pool-with-a-long-name-", i))
		p.shedder = newTestShedder()
		view.Pools[fmt.Sprint("a-pool-with-a-long-name-", i)] = p
	}
	m.router.view.Store(view)
	for _, p := range view.Pools {
		p.shedder.RecordAttempt(now, false)
		for i := range 4000 {
			c := demand.Class{Org: uint32(i%200 + 1), OrgPriority: uint8(i % 200 % 10), Rank: uint8(i / 200 % 10), Returning: i >= 2000, Weight: 1000}
			p.shedder.Admit(now, shedding.Request{Class: c}, func() shedding.Situation { return shedding.Situation{Upstreams: 1, Routers: 330} })
		}
	}
	sent := make(map[uint32]bool)
	for _, payload := range m.demandForParent(now) {
		b, err := relay.Encode(relay.SendReport{Report: relay.Report{From: "front-of-a-long-name-1", Payload: payload}})
		if err != nil {
			t.Error(err)
		}
		t.Logf("%d bytes", len(b))
		var s sharingMessage
		if err := cbor.Unmarshal(payload, &s); err != nil {
			t.Fatal(err)
		}
		for _, p := range s.Pools {
			sent[p.Pool] = len(p.Demand) > 200
		}
	}
	if len(sent) != pools {
		t.Errorf("the demand for %d of %d pools is sent", len(sent), pools)
	}
	for name := range view.Pools {
		if !sent[shortHash(name)] {
			t.Errorf("the demand for %s is not sent, or is too small for this test", name)
		}
	}
}
