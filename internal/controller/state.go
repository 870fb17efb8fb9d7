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
	// asksAtOnce bounds the queries that are out, so that a new holder does not
	// ask thousands of sidecars at once.
	asksAtOnce = 32
	// askRunning is how often an upstream is asked that works on an order.
	askRunning = time.Second
	// askFailed is how long after a failed call an upstream is asked again.
	askFailed = 5 * time.Second
	// askIdle is how often any other upstream is asked.
	askIdle = 10 * time.Minute
	// retryFailed is how long after it an order that failed is given anew.
	retryFailed = 30 * time.Second
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
	loadEvery time.Duration // by the weight store's rate
	token     wire.FencingToken
	pools     map[string]profile.Pool
	upstreams map[string]*upstream
	order     []*upstream // by id, so that all holders go the same way
	out       int         // calls that are out
	fenced    bool        // every upstream has been asked under the token
	nextLoad  time.Time   // when the weight store allows the next load
}

// upstream is what is known of one under the present token.
type upstream struct {
	vm       topo.VM
	asked    bool // has answered, or could not
	reached  bool // answered the last time
	managed  bool // takes orders
	calling  bool
	pending  bool // an order was sent, and its answer was lost or is awaited
	status   wire.OrderStatus
	failedAt time.Time
	next     time.Time // of the next query
}

// NewState returns the State of a controller that starts at most one load in
// loadEvery.
func NewState(loadEvery time.Duration) *State {
	return &State{
		loadEvery: loadEvery,
		pools:     make(map[string]profile.Pool),
		upstreams: make(map[string]*upstream),
	}
}

// Step applies an event.
func (s *State) Step(event Event) []Send {
	switch e := event.(type) {
	case LeaseChanged:
		s.held(e)
	case Desired:
		s.desired(e)
	case Replied:
		s.replied(e)
	case Tick:
		return s.tick(e.Now)
	}
	return nil
}

// held begins or ends a holding. Whatever was known before is forgotten: the
// holder in between may have changed it.
func (s *State) held(e LeaseChanged) {
	if e.Token == s.token {
		return
	}
	s.token, s.fenced = e.Token, false
	for _, u := range s.upstreams {
		*u = upstream{vm: u.vm, calling: u.calling}
	}
}

func (s *State) desired(e Desired) {
	clear(s.pools)
	for _, p := range e.Pools {
		if p.Model != "" {
			s.pools[p.Name] = p
		}
	}
	seen := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		if _, ours := s.pools[vm.Pool]; !ours || vm.Leaving {
			continue
		}
		seen[vm.ID] = true
		if u := s.upstreams[vm.ID]; u != nil {
			u.vm = vm
		} else {
			s.upstreams[vm.ID] = &upstream{vm: vm}
		}
	}
	s.order = s.order[:0]
	for id, u := range s.upstreams {
		if !seen[id] && !u.calling {
			delete(s.upstreams, id)
			continue
		}
		s.order = append(s.order, u)
	}
	slices.SortFunc(s.order, func(x, y *upstream) int { return strings.Compare(x.vm.ID, y.vm.ID) })
}

func (s *State) replied(e Replied) {
	s.out--
	u := s.upstreams[e.VM]
	if u == nil {
		return
	}
	u.calling = false
	if e.Order.Token != s.token {
		return // of a former holding
	}
	u.asked = true
	if e.Err != nil && e.Err.Reason == verdict.ReasonFenced {
		s.token = 0 // another holds the lease
		return
	}
	u.reached = e.Err == nil
	if e.Err != nil {
		// An order whose answer was lost may have been taken: it stays pending
		// until the upstream has been asked.
		u.managed = e.Err.Reason != verdict.ReasonNoOrders
		u.next = e.Now.Add(askFailed)
		return
	}
	u.managed, u.pending, u.status = true, false, e.Status
	switch e.Status.Phase {
	case wire.PhaseDraining, wire.PhaseReady, wire.PhaseRunning:
		u.next = e.Now.Add(askRunning)
	case wire.PhaseFailed:
		u.failedAt = e.Now
		u.next = e.Now.Add(retryFailed)
	default:
		u.next = e.Now.Add(askIdle)
	}
}

func (s *State) tick(now time.Time) []Send {
	if s.token == 0 {
		return nil
	}
	s.fence(now)
	if !s.fenced {
		return s.ask(now)
	}
	// Orders go first: an upstream that is being asked is given none.
	orders := s.rollOut(now)
	return append(orders, s.ask(now)...)
}

// fence waits until every upstream has been asked under the token. From then
// on no order of a former holder is taken any more, and what one has ordered
// just before is known to be running. Only then does the time run until the
// weight store allows a load: a former holder may have used what it allows.
func (s *State) fence(now time.Time) {
	if s.fenced {
		return
	}
	for _, u := range s.upstreams {
		if !u.asked {
			return
		}
	}
	s.fenced = true
	s.nextLoad = now.Add(s.loadEvery)
}

func (s *State) ask(now time.Time) []Send {
	var sends []Send
	for _, u := range s.order {
		if s.out >= asksAtOnce {
			break
		}
		if u.calling || now.Before(u.next) {
			continue
		}
		sends = append(sends, s.send(u, wire.Order{Token: s.token, Action: wire.OrderQuery}))
	}
	return sends
}

func (s *State) send(u *upstream, o wire.Order) Send {
	u.calling = true
	u.pending = o.Action != wire.OrderQuery
	s.out++
	return Send{VM: u.vm, Order: o}
}
