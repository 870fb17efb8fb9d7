package relay

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "600")
}

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

// Without faults, one router reads the store for all, and a write reaches every router
// at once. If each router read the store, calls would grow with the fleet and soon
// exceed the store's capacity.
func TestOneRouterReadsTheStore(t *testing.T) {
	for _, size := range []int{1, 2, 5, 28, 100} {
		s := newSimulation(size, 4)
		s.run(5 * time.Second)
		if n := s.readers(); n != 1 {
			t.Errorf("%d of %d routers read the store", n, size)
		}
		s.write()
		s.run(10 * hopDelay)
		for _, r := range s.routers {
			if r.version != s.version {
				t.Errorf("%s of %d routers lacks the new version after %v", r.router.Name, size, 10*hopDelay)
			}
		}
	}
}

// Routers freeze and resume, lose the store or each other, and messages are lost, with
// several faults at a time. A router that is running and reaches the store must apply
// within the bound what the store has accepted, whichever router it follows. Otherwise
// its callers are served with routes and keys that were removed.
func TestConnectedRoutersStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 7).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "domains"))
		lossPercent := rapid.IntRange(0, 10).Draw(t, "loss")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.isLost = func() bool { return rng.IntN(100) < lossPercent }
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.injectFault(t)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				s.advance()
				if r := s.staleRouter(3 * time.Second); r != nil {
					t.Fatalf("%s has version %d, %d was written %v ago (reads: %v, parent %q)",
						r.router.Name, r.version, r.version+1, s.now.Sub(s.written[r.version+1]), r.reading, r.parent.Name)
				}
			}
		}
	})
}

// injectFault starts or ends a random fault, or writes a new version.
func (s *simulation) injectFault(t *rapid.T) {
	r := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "router")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		r.frozen, r.lastFault = !r.frozen, s.now
	case 1:
		r.storeUnreachable, r.lastFault = !r.storeUnreachable, s.now
	case 2:
		other := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "other")]
		p := linkKey(r.router.Name, other.router.Name)
		s.cutLinks[p] = !s.cutLinks[p]
	case 3: // pulls fail, messages arrive
		r.pullsFail = !r.pullsFail
	case 4:
		r.storeRefuses, r.lastFault = !r.storeRefuses, s.now
	default:
		s.write()
	}
}

// Routers report observed loads to their parent once per ReportInterval, and the parent
// sends its summary to each subscriber at the same interval. If either were sent less
// often, routers would choose upstreams by outdated loads. A router that reads the store
// itself has no parent to report to.
func TestReportsAreSentAtTheirInterval(t *testing.T) {
	s := newSimulation(5, 1)
	s.run(5 * time.Second)
	s.reportsSent, s.summariesReceived = make(map[string]int), make(map[string]int)
	const intervals = 8
	s.run(intervals * TimingFor(bound).ReportInterval)
	for _, r := range s.routers {
		if got := s.reportsSent[r.router.Name]; r.reading && got > 0 || !r.reading && (got < intervals-1 || got > intervals) {
			t.Errorf("%s sent %d reports in %d intervals (reads: %v)", r.router.Name, got, intervals, r.reading)
		}
		if got := s.summariesReceived[r.router.Name]; r.reading && got > 0 || !r.reading && (got < intervals-1 || got > intervals) {
			t.Errorf("%s received %d summaries in %d intervals (reads: %v)", r.router.Name, got, intervals, r.reading)
		}
	}
}

// With a bound of seven seconds for configuration, a heartbeat every second would be
// enough, but loads would be outdated at that interval. Whatever the bound, a load must
// get from a router to the reader and from there to all others within a second, over
// the four hops of a region with failure domains.
func TestLoadsArriveWithinASecondForAnyBound(t *testing.T) {
	const hops = 4
	for _, bound := range []time.Duration{time.Second, 4 * time.Second, 7 * time.Second} {
		if worst := hops * TimingFor(bound).ReportInterval; worst > time.Second {
			t.Errorf("bound %v: a load report takes %v", bound, worst)
		}
	}
}

// The reader loses the store but still reaches the other routers. Another router must
// start to read for all, and the former reader must follow it. Neither may follow
// itself through the other.
func TestReaderThatLosesTheStoreIsReplaced(t *testing.T) {
	s := newSimulation(5, 1)
	s.run(5 * time.Second)
	reader := s.routers[slices.IndexFunc(s.routers, func(r *testRouter) bool { return r.reading })]
	reader.storeUnreachable = true
	s.run(5 * time.Second)
	s.write()
	s.run(time.Second)
	for _, r := range s.routers {
		if r.version != s.version {
			t.Errorf("%s lacks the new version", r.router.Name)
		}
	}
	if n := s.readers(); n != 2 {
		t.Errorf("%d routers read the store, want 2: the new reader and the former one, which keeps trying", n)
	}
	changes := s.roleChanges
	s.run(10 * time.Second)
	if s.roleChanges != changes {
		t.Errorf("%d role changes while nothing changed", s.roleChanges-changes)
	}
	reader.storeUnreachable = false
	s.run(10 * time.Second)
	if n := s.readers(); n != 1 {
		t.Errorf("%d routers read the store after it has recovered", n)
	}
}

// The store refuses a third of the routers, including the reader, and at that moment an
// upstream announces that it is leaving. Requests still go to it until the routers
// learn of it. Refused routers must learn it from others without waiting until the
// reader's state has grown too old, and no router may follow one that follows it.
func TestReaderRefusedByTheStoreIsReplaced(t *testing.T) {
	const soon = bound / 2
	for _, size := range []int{3, 5, 21, 28, 100} {
		maxChanges := 0
		for seed := range uint64(200 / size) {
			s := newSimulation(size, 4)
			rng := rand.New(rand.NewPCG(seed, 0))
			s.run(5 * time.Second)
			for _, r := range s.routers {
				r.storeRefuses = r.reading || rng.IntN(3) == 0
			}
			if !slices.ContainsFunc(s.routers, func(r *testRouter) bool { return !r.storeRefuses }) {
				continue // the store answers no router
			}
			s.run(5 * hopDelay)
			s.write()
			changesBefore := s.roleChanges
			upToDateSoon := 0
			for end := s.now.Add(bound); s.now.Before(end); {
				s.advance()
				if s.now.Sub(s.written[s.version]) <= soon {
					upToDateSoon = s.upToDate()
				}
			}
			if upToDateCount := s.upToDate(); upToDateCount < size {
				t.Errorf("seed %d: %d of %d routers are up to date after %v", seed, upToDateCount, size, bound)
			}
			if upToDateSoon < size*9/10 {
				t.Errorf("seed %d: %d of %d routers are up to date after %v", seed, upToDateSoon, size, soon)
			}
			maxChanges = max(maxChanges, s.roleChanges-changesBefore)
			if maxChanges > 24 {
				t.Errorf("seed %d: %d routers had %d role changes", seed, size, maxChanges)
			}
		}
	}
}

// The reader freezes for a moment and has lost the store when it resumes. Its messages
// still arrive, but pulls from it fail; another router is frozen all the while. A
// subscriber first waits until the reader's state is too old, and then again until the
// failure of pulls is detected. If both delays together exceeded the bound, callers
// would be served with outdated configuration.
func TestStaleReaderThatCannotBePulledFrom(t *testing.T) {
	s := newSimulation(4, 1)
	s.run(3040 * time.Millisecond)
	reader := s.routers[slices.IndexFunc(s.routers, func(r *testRouter) bool { return r.reading })]
	reader.pullsFail = true
	s.routers[2].frozen, s.routers[2].lastFault = true, s.now
	s.run(2 * tickInterval)
	reader.frozen, reader.lastFault = true, s.now
	s.write()
	s.run(3 * tickInterval)
	reader.storeUnreachable = true
	s.run(2 * tickInterval)
	reader.frozen = false
	for range 2 * bound / tickInterval {
		s.advance()
		if r := s.staleRouter(3 * time.Second); r != nil {
			t.Fatalf("%s lacks a version written %v ago", r.router.Name, s.now.Sub(s.written[r.version+1]))
		}
	}
}

// upToDate counts the routers that have the version written last.
func (s *simulation) upToDate() int {
	n := 0
	for _, router := range s.routers {
		if router.version == s.version {
			n++
		}
	}
	return n
}

// The reader freezes just after a heartbeat, and a key is revoked at that moment. The
// other routers must detect the missing heartbeats long before their state has grown
// too old.
func TestFrozenReaderIsDetectedByHeartbeatTimeout(t *testing.T) {
	for phase := range 10 {
		s := newSimulation(5, 1)
		s.run(5*time.Second + time.Duration(phase)*watchTimeout/10)
		reader := s.routers[slices.IndexFunc(s.routers, func(r *testRouter) bool { return r.reading })]
		reader.frozen = true
		s.write()
		s.run(TimingFor(bound).HeartbeatTimeout + 5*hopDelay)
		for _, r := range s.routers {
			if r != reader && r.version != s.version {
				t.Fatalf("%s lacks the new version after %v", r.router.Name, TimingFor(bound).HeartbeatTimeout+5*hopDelay)
			}
		}
	}
}

// In a large region with twelve failure domains, a router may send heartbeats to no
// more than the routers of its own failure domain and the first router of each. If all
// routers subscribed to the reader directly, its traffic would grow with the region.
func TestFanOutIsBounded(t *testing.T) {
	const size, domains = 240, 12
	s := newSimulation(size, domains)
	s.run(5 * time.Second)
	busiest := slices.MaxFunc(s.routers, func(a, b *testRouter) int { return cmp.Compare(a.subscribers(s.now), b.subscribers(s.now)) })
	if n := busiest.subscribers(s.now); n > size/domains+domains {
		t.Errorf("%s has %d subscribers", busiest.router.Name, n)
	}
}

func (r *testRouter) subscribers(now time.Time) int {
	count := 0
	for _, p := range r.state.sorted {
		if now.Before(p.subscribedUntil) {
			count++
		}
	}
	return count
}

// The reader of a large region freezes or loses the store. If all other routers
// detected this at the same moment, each would list the whole store. Only a few may do
// so, and every router must still receive what is written meanwhile.
func TestLossOfTheReaderCausesFewRoleChanges(t *testing.T) {
	for _, size := range []int{5, 20, 28, 100} {
		for _, fault := range []string{"frozen", "without the store"} {
			s := newSimulation(size, 4)
			s.run(5 * time.Second)
			reader := s.routers[slices.IndexFunc(s.routers, func(r *testRouter) bool { return r.reading })]
			reader.frozen, reader.storeUnreachable = fault == "frozen", fault == "without the store"
			changesBefore := s.roleChanges
			s.write()
			s.run(bound)
			for _, r := range s.routers {
				if r != reader && r.version != s.version {
					t.Errorf("%d routers, reader %s: %s lacks the new version after %v", size, fault, r.router.Name, bound)
				}
			}
			s.run(3 * bound)
			if changes := s.roleChanges - changesBefore; changes > 10 {
				t.Errorf("%d routers, reader %s: %d role changes", size, fault, changes)
			}
		}
	}
}
