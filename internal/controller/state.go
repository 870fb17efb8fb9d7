// Package controller implements the controller, a role of the one router that
// holds the controller's lease: it orders upstreams to load the models that
// their pools ask for, and deletes expired objects from the store.
//
// The controller persists no state. Each upstream reports what it has loaded
// and which order it works on; a new holder queries all of them first.
package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// maxQueriesInFlight is the number of calls in flight, orders included, from
	// which on no further query is sent, so that a new holder does not query
	// thousands of sidecars at once. Orders are not held back by it.
	maxQueriesInFlight = 32
	// busyQueryInterval is how often an upstream that works on an order is
	// queried.
	busyQueryInterval = time.Second
	// queryRetryDelay is the delay after a failed call before the upstream is
	// queried again.
	queryRetryDelay = 5 * time.Second
	// idleQueryInterval is how often any other upstream is queried.
	idleQueryInterval = 10 * time.Minute
	// orderRetryDelay is the delay after a failed order before it is sent again.
	orderRetryDelay = 30 * time.Second
)

// Event is an input of the controller's State.
type Event interface{ isEvent() }

// LeaseChanged reports the state of the lease. A zero token means that this
// router does not hold it.
type LeaseChanged struct {
	Now   time.Time
	Token wire.FencingToken
}

// Desired is the desired state: the pools and the upstreams.
type Desired struct {
	Pools []profile.Pool
	VMs   []topo.VM
}

// Replied is the outcome of a call to a sidecar.
type Replied struct {
	Now    time.Time
	VM     string
	Order  wire.Order
	Status wire.OrderStatus
	Err    *verdict.Error // the call failed, or the order was rejected
}

// Tick reports the current time.
type Tick struct {
	Now time.Time
}

func (LeaseChanged) isEvent() {}
func (Desired) isEvent()      {}
func (Replied) isEvent()      {}
func (Tick) isEvent()         {}

// Send is an effect: send an order to a sidecar. Replied follows.
type Send struct {
	VM    topo.VM
	Order wire.Order
}

// State is the controller's control state. Step advances it.
type State struct {
	loadInterval time.Duration // shortest time between two loads
	token        wire.FencingToken
	pools        map[string]profile.Pool
	upstreams    map[string]*upstream
	sorted       []*upstream // by VM id, so that all holders use the same order
	inFlight     int         // calls that have not ended, orders and queries
	allQueried   bool        // every upstream has been queried under the token
	nextLoad     time.Time   // earliest time of the next load
}

// upstream is the state of one upstream as observed under the current token.
type upstream struct {
	vm        topo.VM
	queried   bool // a call under the token has ended, successfully or not
	reachable bool // the last call succeeded
	managed   bool // accepts orders
	inFlight  bool
	pending   bool // the last call was an order, and its response is outstanding or lost
	status    wire.OrderStatus
	failedAt  time.Time
	nextQuery time.Time
}

// NewState returns the State of a controller that starts at most one load per
// loadInterval.
func NewState(loadInterval time.Duration) *State {
	return &State{
		loadInterval: loadInterval,
		pools:        make(map[string]profile.Pool),
		upstreams:    make(map[string]*upstream),
	}
}

// Step applies an event and returns the orders to send.
func (s *State) Step(event Event) []Send {
	switch e := event.(type) {
	case LeaseChanged:
		s.applyLease(e)
	case Desired:
		s.applyDesired(e)
	case Replied:
		s.applyReply(e)
	case Tick:
		return s.tick(e.Now)
	}
	return nil
}

// applyLease records a change of the lease. It resets the state of all
// upstreams, because another holder may have changed them in between.
func (s *State) applyLease(e LeaseChanged) {
	if e.Token == s.token {
		return
	}
	s.token, s.allQueried = e.Token, false
	for _, u := range s.upstreams {
		*u = upstream{vm: u.vm, inFlight: u.inFlight}
	}
}

func (s *State) applyDesired(e Desired) {
	clear(s.pools)
	for _, p := range e.Pools {
		if p.Model != "" {
			s.pools[p.Name] = p
		}
	}
	seen := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		if _, managed := s.pools[vm.Pool]; !managed || vm.Leaving {
			continue
		}
		seen[vm.ID] = true
		if u := s.upstreams[vm.ID]; u != nil {
			u.vm = vm
		} else {
			s.upstreams[vm.ID] = &upstream{vm: vm}
		}
	}
	s.sorted = s.sorted[:0]
	for id, u := range s.upstreams {
		if !seen[id] && !u.inFlight {
			delete(s.upstreams, id)
			continue
		}
		s.sorted = append(s.sorted, u)
	}
	slices.SortFunc(s.sorted, func(x, y *upstream) int { return strings.Compare(x.vm.ID, y.vm.ID) })
}

func (s *State) applyReply(e Replied) {
	s.inFlight--
	u := s.upstreams[e.VM]
	if u == nil {
		return
	}
	u.inFlight = false
	if e.Order.Token != s.token {
		return // sent under an earlier token
	}
	u.queried = true
	if e.Err != nil && e.Err.Reason == verdict.ReasonFenced {
		s.token = 0 // another router holds the lease
		return
	}
	u.reachable = e.Err == nil
	if e.Err != nil {
		// An order whose response was lost may have been accepted: it stays
		// pending until the next query is sent. A new order needs a successful
		// call first.
		u.managed = e.Err.Reason != verdict.ReasonNoOrders
		u.nextQuery = e.Now.Add(queryRetryDelay)
		return
	}
	u.managed, u.pending, u.status = true, false, e.Status
	switch e.Status.Phase {
	case wire.PhaseDraining, wire.PhaseReady, wire.PhaseRunning:
		u.nextQuery = e.Now.Add(busyQueryInterval)
	case wire.PhaseFailed:
		u.failedAt = e.Now
		u.nextQuery = e.Now.Add(orderRetryDelay)
	default:
		u.nextQuery = e.Now.Add(idleQueryInterval)
	}
}

func (s *State) tick(now time.Time) []Send {
	if s.token == 0 {
		return nil
	}
	s.updateAllQueried(now)
	if !s.allQueried {
		return s.query(now)
	}
	// Orders go first, because an upstream with a query in flight gets no order.
	orders := s.rollOut(now)
	return append(orders, s.query(now)...)
}

// updateAllQueried sets allQueried once every upstream has been queried under
// the token. An upstream that has responded rejects orders of former holders,
// and its status shows any order that a former holder sent just before. The
// first load may start no sooner than loadInterval after that, because a former
// holder may just have started one.
func (s *State) updateAllQueried(now time.Time) {
	if s.allQueried {
		return
	}
	for _, u := range s.upstreams {
		if !u.queried {
			return
		}
	}
	s.allQueried = true
	s.nextLoad = now.Add(s.loadInterval)
}

func (s *State) query(now time.Time) []Send {
	var sends []Send
	for _, u := range s.sorted {
		if s.inFlight >= maxQueriesInFlight {
			break
		}
		if u.inFlight || now.Before(u.nextQuery) {
			continue
		}
		sends = append(sends, s.send(u, wire.Order{Token: s.token, Action: wire.OrderQuery}))
	}
	return sends
}

func (s *State) send(u *upstream, o wire.Order) Send {
	u.inFlight = true
	u.pending = o.Action != wire.OrderQuery
	s.inFlight++
	return Send{VM: u.vm, Order: o}
}
