// Package controller is the role of the one router that holds the lease: it
// orders upstreams to load what their pools ask for, and sweeps old objects.
//
// It keeps nothing that must last. What an upstream has loaded and which order
// it works on, the upstream itself tells; a new holder asks all of them first.
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
	// maxQueriesInFlight bounds the queries that are out, so that a new holder does not
	// ask thousands of sidecars at once.
	maxQueriesInFlight = 32
	// busyQueryInterval is how often an upstream is asked that works on an order.
	busyQueryInterval = time.Second
	// queryRetryDelay is how long after a failed call an upstream is asked again.
	queryRetryDelay = 5 * time.Second
	// idleQueryInterval is how often any other upstream is asked.
	idleQueryInterval = 10 * time.Minute
	// orderRetryDelay is how long after it an order that failed is given anew.
	orderRetryDelay = 30 * time.Second
)

// Event is something that has happened to a controller.
type Event interface{ isEvent() }

// LeaseChanged is a change of the lease. A zero token means that it is not held.
type LeaseChanged struct {
	Now   time.Time
	Token wire.FencingToken
}

// Desired is what pools there are and which upstreams.
type Desired struct {
	Pools []profile.Pool
	VMs   []topo.VM
}

// Replied is the end of a call of a sidecar.
type Replied struct {
	Now    time.Time
	VM     string
	Order  wire.Order
	Status wire.OrderStatus
	Err    *verdict.Error // the call failed, or the order was not taken
}

// Tick is the passing of time.
type Tick struct {
	Now time.Time
}

func (LeaseChanged) isEvent() {}
func (Desired) isEvent()      {}
func (Replied) isEvent()      {}
func (Tick) isEvent()         {}

// Send gives an order to a sidecar; Replied follows.
type Send struct {
	VM    topo.VM
	Order wire.Order
}

// State is the controller's control state.
type State struct {
	loadInterval time.Duration // by the weight store's rate
	token        wire.FencingToken
	pools        map[string]profile.Pool
	upstreams    map[string]*upstream
	sorted       []*upstream // by id, so that all holders go the same way
	inFlight     int         // calls that are out
	fenced       bool        // every upstream has been asked under the token
	nextLoad     time.Time   // when the weight store allows the next load
}

// upstream is what is known of one under the present token.
type upstream struct {
	vm        topo.VM
	queried   bool // has answered, or could not
	reachable bool // answered the last time
	managed   bool // takes orders
	inFlight  bool
	pending   bool // an order was sent, and its answer was lost or is awaited
	status    wire.OrderStatus
	failedAt  time.Time
	nextQuery time.Time // of the next query
}

// NewState returns the State of a controller that starts at most one load in
// loadEvery.
func NewState(loadInterval time.Duration) *State {
	return &State{
		loadInterval: loadInterval,
		pools:        make(map[string]profile.Pool),
		upstreams:    make(map[string]*upstream),
	}
}

// Step applies an event.
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

// applyLease begins or ends a holding. Whatever was known before is forgotten: the
// holder in between may have changed it.
func (s *State) applyLease(e LeaseChanged) {
	if e.Token == s.token {
		return
	}
	s.token, s.fenced = e.Token, false
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
		return // of a former holding
	}
	u.queried = true
	if e.Err != nil && e.Err.Reason == verdict.ReasonFenced {
		s.token = 0 // another holds the lease
		return
	}
	u.reachable = e.Err == nil
	if e.Err != nil {
		// An order whose answer was lost may have been taken: it stays pending
		// until the upstream has been asked.
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
	s.updateFenced(now)
	if !s.fenced {
		return s.query(now)
	}
	// Orders go first: an upstream that is being asked is given none.
	orders := s.rollOut(now)
	return append(orders, s.query(now)...)
}

// updateFenced waits until every upstream has been asked under the token. From then
// on no order of a former holder is taken any more, and what one has ordered
// just before is known to be running. Only then does the time run until the
// weight store allows a load: a former holder may have used what it allows.
func (s *State) updateFenced(now time.Time) {
	if s.fenced {
		return
	}
	for _, u := range s.upstreams {
		if !u.queried {
			return
		}
	}
	s.fenced = true
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
