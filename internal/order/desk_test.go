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

// engine takes orders, ignores fencing tokens and loads in a second.
type engine struct {
	loads   int
	order   wire.Order
	started time.Time
}

func (e *engine) OrderStatus(context.Context) (wire.OrderStatus, error) {
	switch {
	case e.loads == 0:
		return wire.OrderStatus{}, nil
	case time.Since(e.started) < time.Second:
		return wire.OrderStatus{ID: e.order.ID, Phase: wire.PhaseRunning}, nil
	default:
		return wire.OrderStatus{ID: e.order.ID, Phase: wire.PhaseDone, Loaded: e.order.Want}, nil
	}
}

func (e *engine) Load(_ context.Context, o wire.Order) error {
	e.loads++
	e.order, e.started = o, time.Now()
	return nil
}

// vm is a sidecar's desk with what it works with.
type vm struct {
	*Handler
	engine  engine
	serving atomic.Bool
	stored  wire.FencingToken // zero: the store is out
}

func newVM(t *testing.T) *vm {
	v := &vm{stored: 5}
	v.serving.Store(true)
	v.Handler = NewHandler(t.Context(), Config{
		Upstream: &v.engine,
		Token: func(context.Context) (wire.FencingToken, error) {
			if v.stored == 0 {
				return 0, topo.ErrRefused
			}
			return v.stored, nil
		},
		Drain: func(context.Context) (func(), error) {
			v.serving.Store(false)
			time.Sleep(10 * time.Second) // until the longest answer has ended
			return func() { v.serving.Store(true) }, nil
		},
	})
	return v
}

func (v *vm) handle(t *testing.T, token wire.FencingToken, a wire.OrderAction) wire.OrderStatus {
	t.Helper()
	status, err := v.Handle(t.Context(), wire.Order{ID: "o", Token: token, Action: a, Want: wire.Loaded{Model: "m"}})
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// The controller orders a load twice, since the first answer was lost, while
// requests still run. Cut requests, two loads at the weight store, or an
// upstream that never serves again would be what users see.
func TestLoadWaitsUntilNothingRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.handle(t, 5, wire.OrderPrepare)
		time.Sleep(time.Second)
		if s := v.handle(t, 5, wire.OrderLoad); s.Phase != wire.PhaseDraining || v.engine.loads != 0 {
			t.Fatalf("loaded while requests ran: %+v", s)
		}
		time.Sleep(10 * time.Second)
		v.handle(t, 5, wire.OrderLoad)
		v.handle(t, 5, wire.OrderLoad)
		time.Sleep(2 * time.Second)
		if s := v.handle(t, 5, wire.OrderQuery); v.engine.loads != 1 || !v.serving.Load() || s.Loaded.Model != "m" {
			t.Fatalf("%d loads, serving %v, %+v", v.engine.loads, v.serving.Load(), s)
		}
	})
}

// The controller is gone after it has had an upstream emptied, and no other
// takes over. The upstream must not stay out of service.
func TestPreparedUpstreamServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.handle(t, 5, wire.OrderPrepare)
		time.Sleep(20 * time.Second)
		if v.serving.Load() {
			t.Fatal("not emptied")
		}
		time.Sleep(readyTimeout)
		if !v.serving.Load() {
			t.Fatal("still out of service")
		}
	})
}

// A sidecar restarts while the store is out, and an order of a former holder of
// the lease arrives. It knows no token, so it would take any.
func TestRestartedSidecarRejectsFencedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.stored = 0
		if s := v.handle(t, 4, wire.OrderPrepare); s.Error == nil || s.Error.Reason != verdict.ReasonStoreDown {
			t.Fatalf("taken without a token to compare with: %+v", s)
		}
		v.stored = 5
		if s := v.handle(t, 4, wire.OrderPrepare); s.Error == nil || s.Error.Reason != verdict.ReasonFenced {
			t.Fatalf("an old order was taken: %+v", s)
		}
		if s := v.handle(t, 5, wire.OrderQuery); s.Error != nil {
			t.Fatalf("the holder's order was refused: %+v", s)
		}
	})
}
