package router

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
)

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

// shortShedder returns what decides for a pool of plain upstreams that reject half of the attempts,
// and the time.
func shortShedder(t *testing.T) (*shedding.Pool, time.Time) {
	t.Helper()
	p, other, now := newTestShedder(), newTestShedder(), time.Unix(1000, 0)
	r := shedding.Request{Class: demand.Class{Org: 1}}
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
	p, now := shortShedder(t)
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
