package order

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// testUpstream carries out orders, ignores fencing tokens and loads in one second.
type testUpstream struct {
	loads   int
	order   wire.Order
	started time.Time
}

func (u *testUpstream) OrderStatus(context.Context) (wire.OrderStatus, error) {
	switch {
	case u.loads == 0:
		return wire.OrderStatus{}, nil
	case time.Since(u.started) < time.Second:
		return wire.OrderStatus{ID: u.order.ID, Phase: wire.PhaseRunning}, nil
	default:
		return wire.OrderStatus{ID: u.order.ID, Phase: wire.PhaseDone, Loaded: u.order.Want}, nil
	}
}

func (u *testUpstream) Load(_ context.Context, o wire.Order) error {
	u.loads++
	u.order, u.started = o, time.Now()
	return nil
}

// testVM is the Handler of a VM's sidecar with its upstream and the store's fencing
// token.
type testVM struct {
	*Handler
	upstream testUpstream
	serving  atomic.Bool
	stored   wire.FencingToken // zero: the store refuses calls
}

func newVM(t *testing.T) *testVM {
	v := &testVM{stored: 5}
	v.serving.Store(true)
	v.Handler = NewHandler(t.Context(), Config{
		Upstream: &v.upstream,
		Token: func(context.Context) (wire.FencingToken, error) {
			if v.stored == 0 {
				return 0, topo.ErrRefused
			}
			return v.stored, nil
		},
		Drain: func(context.Context) (func(), error) {
			v.serving.Store(false)
			time.Sleep(10 * time.Second) // until the longest response has ended
			return func() { v.serving.Store(true) }, nil
		},
	})
	return v
}

func (v *testVM) handle(t *testing.T, token wire.FencingToken, a wire.OrderAction) wire.OrderStatus {
	t.Helper()
	status, err := v.Handle(t.Context(), wire.Order{ID: "o", Token: token, Action: a, Want: wire.ModelSpec{Model: "m"}})
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// The controller sends a load order twice, since the first reply was lost, while
// requests still run. The load must not abort those requests or run twice, and the
// upstream must serve again afterwards.
func TestLoadWaitsUntilNothingRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.handle(t, 5, wire.OrderPrepare)
		time.Sleep(time.Second)
		if s := v.handle(t, 5, wire.OrderLoad); s.Phase != wire.PhaseDraining || v.upstream.loads != 0 {
			t.Fatalf("loaded while requests were running: %+v", s)
		}
		time.Sleep(10 * time.Second)
		v.handle(t, 5, wire.OrderLoad)
		v.handle(t, 5, wire.OrderLoad)
		time.Sleep(2 * time.Second)
		if s := v.handle(t, 5, wire.OrderQuery); v.upstream.loads != 1 || !v.serving.Load() || s.Loaded.Model != "m" {
			t.Fatalf("%d loads, serving %v, %+v", v.upstream.loads, v.serving.Load(), s)
		}
	})
}

// The controller fails after an upstream was drained, and no other takes over. The
// upstream must not stay out of service.
func TestPreparedUpstreamServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.handle(t, 5, wire.OrderPrepare)
		time.Sleep(20 * time.Second)
		if v.serving.Load() {
			t.Fatal("the upstream was not drained")
		}
		time.Sleep(readyTimeout)
		if !v.serving.Load() {
			t.Fatal("the upstream is still out of service")
		}
	})
}

// A sidecar restarts while the store refuses calls, and an order of a former lease
// holder arrives, and again after the store has recovered. The sidecar has seen no token
// to compare with, so it would accept any order if it did not wait for the store's.
func TestRestartedSidecarRejectsFencedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.stored = 0
		if s := v.handle(t, 4, wire.OrderPrepare); s.Error == nil || s.Error.Reason != verdict.ReasonStoreDown {
			t.Fatalf("accepted without a token to compare with: %+v", s)
		}
		v.stored = 5
		if s := v.handle(t, 4, wire.OrderPrepare); s.Error == nil || s.Error.Reason != verdict.ReasonFenced {
			t.Fatalf("an outdated order was accepted: %+v", s)
		}
		if s := v.handle(t, 5, wire.OrderQuery); s.Error != nil {
			t.Fatalf("the lease holder's order was refused: %+v", s)
		}
	})
}
