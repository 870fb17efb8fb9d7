package sidecar

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/order"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// orderDrain is the state of draining the upstream for an order of the controller, as
// opposed to the operators' orders to drain a VM. Until the order has finished, the
// sidecar drains as when its VM leaves; then it admits requests again.
type orderDrain struct {
	on     bool   // between OrderDrainStarted and OrderDrainEnded
	ticket Ticket // of the call that waits until no request runs; zero: none
}

// advanceOrderDrain replies when no request runs at the upstream and the export of
// cached prefixes has finished or timed out.
func (s *State) advanceOrderDrain(now time.Time) []Effect {
	t := s.orderDrain.ticket
	if t == 0 || !s.drain.begun || s.drain.exporting(now) || s.queue.Running() > 0 || len(s.interrupted) > 0 {
		return nil
	}
	s.orderDrain.ticket = 0
	return s.reply(now, t, wire.Admission{})
}

// newOrderHandler returns the handler of the controller's orders, or nil if the
// upstream does not support orders.
func (s *Sidecar) newOrderHandler() *order.Handler {
	if s.config.Orders == nil {
		return nil
	}
	return order.NewHandler(s.ctx, order.Config{Upstream: s.config.Orders, Token: s.config.Token, Drain: s.drainForOrder})
}

func (s *Sidecar) order(ctx context.Context, o wire.Order) (any, error) {
	if s.orderHandler == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoOrders, "the upstream takes no orders")
	}
	return s.orderHandler.Handle(ctx, o)
}

// drainForOrder stops the admission of requests and waits until none runs. resume
// starts the admission again; after an error it has already been called.
func (s *Sidecar) drainForOrder(ctx context.Context) (resume func(), err error) {
	resume = func() { s.loop.Post(OrderDrainEnded{Now: time.Now()}) }
	_, err = s.admission(ctx, func(t Ticket) Event { return OrderDrainStarted{Now: time.Now(), Ticket: t} })
	if err != nil {
		resume()
	}
	return resume, err
}
