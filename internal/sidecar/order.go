package sidecar

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/order"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// emptying is an order at hand that needs the upstream to itself. Until it is
// over the sidecar does as when its VM leaves, but goes on afterwards.
type emptying struct {
	on     bool
	ticket Ticket // of who waits until nothing runs; zero: nobody
}

// reviewEmptying replies once nothing is in flight at the upstream and its
// cached prefixes have been handed on.
func (s *State) reviewEmptying(now time.Time) []Effect {
	t := s.emptying.ticket
	handedOn := s.leave.exported || !now.Before(s.leave.patience)
	if t == 0 || !s.leave.left || !handedOn || s.queue.Running() > 0 || len(s.broken) > 0 {
		return nil
	}
	s.emptying.ticket = 0
	return s.reply(now, t, wire.Admission{})
}

// newDesk returns what takes the controller's orders.
func (s *Sidecar) newDesk() *order.Handler {
	if s.config.Orders == nil {
		return nil
	}
	return order.NewHandler(s.ctx, order.Config{Upstream: s.config.Orders, Token: s.config.Token, Drain: s.empty})
}

func (s *Sidecar) order(ctx context.Context, o wire.Order) (any, error) {
	if s.desk == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoOrders, "the upstream takes no orders")
	}
	return s.desk.Handle(ctx, o)
}

// empty takes the upstream out of service and waits until nothing runs.
func (s *Sidecar) empty(ctx context.Context) (resume func(), err error) {
	resume = func() { s.loop.Post(Refilled{Now: time.Now()}) }
	_, err = s.admission(ctx, func(t Ticket) Event { return Emptying{Now: time.Now(), Ticket: t} })
	if err != nil {
		resume()
	}
	return resume, err
}
