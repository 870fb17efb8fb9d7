package relay

import (
	"fmt"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	bound        = 2 * time.Second
	tickInterval = 20 * time.Millisecond
	// hopDelay is how long a message or a pull takes.
	hopDelay = tickInterval
	// watchTimeout is how long the store holds a watch without news. With news it
	// answers at once.
	watchTimeout = time.Second
	// refusedRetryDelay is the pause after a refused call.
	refusedRetryDelay = 250 * time.Millisecond
	// storeTimeout is how long a call takes to fail if the store does not answer it.
	storeTimeout = 1300 * time.Millisecond
)

// simulation runs the States of several routers, a store, and the network between them.
type simulation struct {
	now               time.Time
	version           topo.Version
	written           []time.Time // when the store accepted each version, by version
	routers           []*testRouter
	cutLinks          map[[2]string]bool
	inFlight          []delivery
	isLost            func() bool
	roleChanges       int            // how often a router started or stopped reading the store
	reportsSent       map[string]int // reports to the parent by sender; nil: not counted
	summariesReceived map[string]int // summaries sent to subscribers, by receiver
	countMessages     bool           // count subscribesSent
	subscribesSent    int            // subscriptions and announcements
}

// testRouter is a simulated router.
type testRouter struct {
	state   *State
	router  Router
	version topo.Version // its version of both sets
	parent  Router
	reading bool

	frozen           bool
	pullsFail        bool      // pulls from it fail
	storeUnreachable bool      // its calls of the store time out
	storeRefuses     bool      // the store refuses its calls at once
	failures         int       // consecutive failed calls
	storeAnsweredAt  time.Time // when the store last answered
	callDeadline     time.Time // when the current call of the store times out; zero: no call
	callCount        int
	lastFault        time.Time // when a fault last began or ended
	watchVersion     topo.Version
	callStarted      time.Time
	hasRead          bool // it has read the store since its start
}

type delivery struct {
	at time.Time
	to string
	e  func(now time.Time) Event
}

func newSimulation(n, domains int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), version: 1, cutLinks: make(map[[2]string]bool), isLost: func() bool { return false }}
	s.written = []time.Time{s.now, s.now}
	for i := range n {
		router := Router{Name: fmt.Sprintf("front-%d", i), Addr: fmt.Sprint(i), Domain: fmt.Sprintf("r/%d", i%domains)}
		s.routers = append(s.routers, newTestRouter(router))
	}
	for _, r := range s.routers {
		s.register(r)
	}
	return s
}

func newTestRouter(router Router) *testRouter { return newTestRouterWithin(router, bound) }

func newTestRouterWithin(router Router, bound time.Duration) *testRouter {
	state := New(router, TimingFor(bound))
	return &testRouter{router: router, state: state, reading: state.Reading()}
}

func (s *simulation) register(r *testRouter) {
	var all []Router
	for _, other := range s.routers {
		all = append(all, other.router)
	}
	s.apply(r, r.state.Step(Registered{Now: s.now, Routers: all}))
}

func (s *simulation) find(name string) *testRouter {
	for _, r := range s.routers {
		if r.router.Name == name {
			return r
		}
	}
	return nil
}

func (s *simulation) apply(r *testRouter, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendHeartbeat:
			s.send(r, e.To, func(now time.Time) Event { return HeartbeatReceived{Now: now, Heartbeat: e.Heartbeat} })
		case SendSubscribe:
			if s.countMessages {
				s.subscribesSent++
			}
			s.send(r, e.To, func(now time.Time) Event { return SubscribeReceived{Now: now, Subscribe: e.Subscribe} })
		case SendReport:
			switch {
			case s.reportsSent == nil:
			case e.Report.IsSummary:
				s.summariesReceived[e.To.Name]++
			case e.To.Name == r.parent.Name:
				s.reportsSent[r.router.Name]++
			}
		case SwitchStoreReading:
			r.reading = e.On
			s.roleChanges++
			r.watchVersion = 0 // it lists the store, then watches it
		case SetParent:
			r.parent = e.Parent
		case ParentProgress:
			s.pull(r, e)
		}
	}
}

func (s *simulation) send(from *testRouter, to Router, e func(time.Time) Event) {
	if s.cutLinks[linkKey(from.router.Name, to.Name)] || s.isLost() {
		return
	}
	s.inFlight = append(s.inFlight, delivery{at: s.now.Add(hopDelay), to: to.Name, e: e})
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// pull copies the parent's version, unless the link is cut or pulls from the parent
// fail.
func (s *simulation) pull(r *testRouter, e ParentProgress) {
	p := s.find(e.Parent.Name)
	if p.frozen || p.pullsFail || s.cutLinks[linkKey(r.router.Name, p.router.Name)] {
		return
	}
	if p.version > r.version {
		r.version = p.version
		s.reportProgress(r)
	}
}

func (s *simulation) reportProgress(r *testRouter) {
	progress := Progress{Summary: config.Summary{Version: r.version}, Age: -1, SinceRecovery: -1}
	if !r.storeAnsweredAt.IsZero() {
		progress.Age = s.now.Sub(r.storeAnsweredAt).Milliseconds()
	}
	failing := r.reading && r.failures >= 2
	s.apply(r, r.state.Step(ProgressUpdated{Now: s.now, Progress: Sets[Progress]{progress, progress}, StoreFailing: failing}))
}

// callStore simulates a router's calls of the store.
func (s *simulation) callStore(r *testRouter) {
	if !r.reading {
		r.callDeadline, r.failures = time.Time{}, 0
		return
	}
	r.hasRead = true
	if r.callDeadline.IsZero() {
		r.callCount++
		r.callDeadline = s.now.Add(storeTimeout)
		r.callStarted = s.now
	}
	switch {
	case r.storeRefuses && s.now.Sub(r.callStarted) >= refusedRetryDelay, r.storeUnreachable && !s.now.Before(r.callDeadline):
		r.callDeadline = time.Time{}
		r.failures++
	case r.storeRefuses, r.storeUnreachable:
	case r.watchVersion == 0 || s.version > r.watchVersion || s.now.Sub(r.callStarted) >= watchTimeout:
		r.watchVersion, r.version = s.version, max(r.version, s.version)
		r.storeAnsweredAt, r.callDeadline, r.failures = s.now, time.Time{}, 0
		s.reportProgress(r)
	}
}

// advance runs the simulation for one tickInterval.
func (s *simulation) advance() {
	s.now = s.now.Add(tickInterval)
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		r := s.find(d.to)
		if r == nil {
			continue // it is registered and gone
		}
		if s.now.Before(d.at) || r.frozen {
			s.inFlight = append(s.inFlight, d) // a frozen router receives it when it resumes
			continue
		}
		s.apply(r, r.state.Step(d.e(s.now)))
	}
	for _, r := range s.routers {
		if r.frozen {
			continue
		}
		s.callStore(r)
		s.reportProgress(r)
		s.apply(r, r.state.Step(Ticked{Now: s.now}))
	}
}

// staleRouter returns a router that is running and reaches the store, had no fault for
// minQuiet, and has not applied a version accepted more than bound ago. It returns nil
// if there is none.
func (s *simulation) staleRouter(minQuiet time.Duration) *testRouter {
	for _, r := range s.routers {
		if r.frozen || r.storeUnreachable || r.storeRefuses || s.now.Sub(r.lastFault) < minQuiet {
			continue
		}
		if next := int(r.version) + 1; next < len(s.written) && s.now.Sub(s.written[next]) > bound {
			return r
		}
	}
	return nil
}

func (s *simulation) write() {
	s.version++
	s.written = append(s.written, s.now)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance()
	}
}

func (s *simulation) readers() int {
	n := 0
	for _, router := range s.routers {
		if router.reading {
			n++
		}
	}
	return n
}
