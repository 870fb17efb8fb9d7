package router

import (
	"math/rand/v2"
	"sync"
	"testing"

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
