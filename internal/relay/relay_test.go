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
	// watchTimeout is how long a watchTimeout of the store waits; it answers at once on news.
	watchTimeout = time.Second
	// refusedRetryDelay is the pause after a refused call.
	refusedRetryDelay = 250 * time.Millisecond
	// storeTimeout is how long a call of a store that does not answer takes.
	storeTimeout = 1300 * time.Millisecond
)

// simulation is routers that play by their States, a store, and what lies between.
type simulation struct {
	now               time.Time
	version           topo.Version
	written           []time.Time // when each version was accepted, by version
	routers           []*testRouter
	cutLinks          map[[2]string]bool
	inFlight          []delivery
	isLost            func() bool
	roleChanges       int            // how often a router began or ceased to read the store
	reportsSent       map[string]int // how often each router has shared what it heard; nil: not counted
	summariesReceived map[string]int // what routers that are relied on know, by who is told
}

// testRouter is a router in the world.
type testRouter struct {
	state   *State
	router  Router
	version topo.Version // that it knows, of both sets
	parent  Router
	reading bool

	frozen           bool
	pullsFail        bool      // nobody can pull from it
	storeUnreachable bool      // it cannot reach the store
	storeRefuses     bool      // the store answers it at once that it will not serve it
	failures         int       // of calls in a row
	storeAnsweredAt  time.Time // when the store answered it last
	callDeadline     time.Time // when its present call of the store ends in a timeout; zero: none
	callCount        int
	lastFault        time.Time // when anything befell it last
	watchVersion     topo.Version
	callStarted      time.Time
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
		s.routers = append(s.routers, &testRouter{router: router, state: New(router, TimingFor(bound)), reading: true})
	}
	for _, n := range s.routers {
		s.register(n)
	}
	return s
}

func (s *simulation) register(n *testRouter) {
	var all []Router
	for _, o := range s.routers {
		all = append(all, o.router)
	}
	s.apply(n, n.state.Step(Registered{Now: s.now, Routers: all}))
}

func (s *simulation) find(name string) *testRouter {
	for _, n := range s.routers {
		if n.router.Name == name {
			return n
		}
	}
	return nil
}

func (s *simulation) apply(n *testRouter, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendHeartbeat:
			s.send(n, e.To, func(now time.Time) Event { return HeartbeatReceived{Now: now, Heartbeat: e.Heartbeat} })
		case SendSubscribe:
			s.send(n, e.To, func(now time.Time) Event { return SubscribeReceived{Now: now, Subscribe: e.Subscribe} })
		case SendReport:
			switch {
			case s.reportsSent == nil:
			case e.Report.IsSummary:
				s.summariesReceived[e.To.Name]++
			case e.To.Name == n.parent.Name:
				s.reportsSent[n.router.Name]++
			}
		case SwitchStoreReading:
			n.reading = e.On
			s.roleChanges++
			n.watchVersion = 0 // a listing, then watches
		case SetParent:
			n.parent = e.Parent
		case ParentProgress:
			s.pull(n, e)
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

// pull takes over what the parent has, unless the way is cut.
func (s *simulation) pull(n *testRouter, e ParentProgress) {
	p := s.find(e.Parent.Name)
	if p.frozen || p.pullsFail || s.cutLinks[linkKey(n.router.Name, p.router.Name)] {
		return
	}
	if p.version > n.version {
		n.version = p.version
		s.reportProgress(n)
	}
}

func (s *simulation) reportProgress(n *testRouter) {
	k := Progress{Summary: config.Summary{Version: n.version}, Age: -1, SinceRecovery: -1}
	if !n.storeAnsweredAt.IsZero() {
		k.Age = s.now.Sub(n.storeAnsweredAt).Milliseconds()
	}
	failing := n.reading && n.failures >= 2
	s.apply(n, n.state.Step(ProgressUpdated{Now: s.now, Progress: Sets[Progress]{k, k}, StoreFailing: failing}))
}

// callStore plays a router's calls of the store.
func (s *simulation) callStore(n *testRouter) {
	if !n.reading {
		n.callDeadline, n.failures = time.Time{}, 0
		return
	}
	if n.callDeadline.IsZero() {
		n.callCount++
		n.callDeadline = s.now.Add(storeTimeout)
		n.callStarted = s.now
	}
	switch {
	case n.storeRefuses && s.now.Sub(n.callStarted) >= refusedRetryDelay, n.storeUnreachable && !s.now.Before(n.callDeadline):
		n.callDeadline = time.Time{}
		n.failures++
	case n.storeRefuses, n.storeUnreachable:
	case n.watchVersion == 0 || s.version > n.watchVersion || s.now.Sub(n.callStarted) >= watchTimeout:
		n.watchVersion, n.version = s.version, max(n.version, s.version)
		n.storeAnsweredAt, n.callDeadline, n.failures = s.now, time.Time{}, 0
		s.reportProgress(n)
	}
}

// advance lets the world go on for a step.
func (s *simulation) advance() {
	s.now = s.now.Add(tickInterval)
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		n := s.find(d.to)
		if s.now.Before(d.at) || n.frozen {
			s.inFlight = append(s.inFlight, d) // a frozen router reads it when it wakes
			continue
		}
		s.apply(n, n.state.Step(d.e(s.now)))
	}
	for _, n := range s.routers {
		if n.frozen {
			continue
		}
		s.callStore(n)
		s.reportProgress(n)
		s.apply(n, n.state.Step(Ticked{Now: s.now}))
	}
}

// staleRouter returns a router that is in touch and does not know what the store
// accepted bound ago.
func (s *simulation) staleRouter(minQuiet time.Duration) *testRouter {
	for _, n := range s.routers {
		if n.frozen || n.storeUnreachable || n.storeRefuses || s.now.Sub(n.lastFault) < minQuiet {
			continue
		}
		if next := int(n.version) + 1; next < len(s.written) && s.now.Sub(s.written[next]) > bound {
			return n
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

// On a calm day one router reads the store for all, and what is written is known
// everywhere at once. Were each to read it, calls would grow with the fleet and
// soon pass what the store serves.
func TestOneRouterReadsTheStore(t *testing.T) {
	for _, size := range []int{1, 2, 5, 28, 100} {
		s := newSimulation(size, 4)
		s.run(5 * time.Second)
		if n := s.readers(); n != 1 {
			t.Errorf("%d of %d routers read the store", n, size)
		}
		s.write()
		s.run(10 * hopDelay)
		for _, n := range s.routers {
			if n.version != s.version {
				t.Errorf("%s of %d routers does not know after %v", n.router.Name, size, 10*hopDelay)
			}
		}
	}
}

// Routers freeze and wake, lose their way to the store or to each other, and
// messages are lost, several at a time. A router that is in touch itself must
// know what the store has accepted within the bound, whoever it relied on: else
// its callers are served by routes and keys that were taken away.
func TestConnectedRoutersStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 7).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "domains"))
		lossPercent := rapid.IntRange(0, 10).Draw(t, "loss")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "luck"), 0))
		s.isLost = func() bool { return rng.IntN(100) < lossPercent }
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "troubles") {
			s.injectFault(t)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				s.advance()
				if n := s.staleRouter(3 * time.Second); n != nil {
					t.Fatalf("%s knows version %d, %d was written %v ago (reads: %v, relies on %q)",
						n.router.Name, n.version, n.version+1, s.now.Sub(s.written[n.version+1]), n.reading, n.parent.Name)
				}
			}
		}
	})
}

// injectFault lets something befall the world, or end.
func (s *simulation) injectFault(t *rapid.T) {
	n := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "who")]
	switch rapid.IntRange(0, 6).Draw(t, "trouble") {
	case 0:
		n.frozen, n.lastFault = !n.frozen, s.now
	case 1:
		n.storeUnreachable, n.lastFault = !n.storeUnreachable, s.now
	case 2:
		other := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "other")]
		p := linkKey(n.router.Name, other.router.Name)
		s.cutLinks[p] = !s.cutLinks[p]
	case 3: // calls get nowhere, messages do
		n.pullsFail = !n.pullsFail
	case 4:
		n.storeRefuses, n.lastFault = !n.storeRefuses, s.now
	default:
		s.write()
	}
}

// What routers have heard of loads goes up to the one that they rely on at its own pace,
// and what that one knows comes down to each at the same. A router that reads the store
// itself has nobody to tell.
func TestReportsAreSentAtTheirInterval(t *testing.T) {
	s := newSimulation(5, 1)
	s.run(5 * time.Second)
	s.reportsSent, s.summariesReceived = make(map[string]int), make(map[string]int)
	const intervals = 8
	s.run(intervals * TimingFor(bound).ReportInterval)
	for _, n := range s.routers {
		if got := s.reportsSent[n.router.Name]; n.reading && got > 0 || !n.reading && (got < intervals-1 || got > intervals) {
			t.Errorf("%s shares %d times in %d turns (reads: %v)", n.router.Name, got, intervals, n.reading)
		}
		if got := s.summariesReceived[n.router.Name]; n.reading && got > 0 || !n.reading && (got < intervals-1 || got > intervals) {
			t.Errorf("%s is told %d times in %d turns (reads: %v)", n.router.Name, got, intervals, n.reading)
		}
	}
}

// Operators want configuration in force within seven seconds, so that a beat a second is
// enough for it. Loads are old by then: a load goes from a router to the reader and from
// there to all within a second, over the four hops of a region with domains.
func TestLoadsArriveWithinASecondForAnyBound(t *testing.T) {
	const hops = 4
	for _, bound := range []time.Duration{time.Second, 4 * time.Second, 7 * time.Second} {
		if worst := hops * TimingFor(bound).ReportInterval; worst > time.Second {
			t.Errorf("a bound of %v: a load is %v on its way", bound, worst)
		}
	}
}

// The reader loses the store while it reaches the others. Another one reads for
// all, the former reader relies on it, and neither relies on itself through the
// other.
func TestReaderThatLosesTheStoreIsReplaced(t *testing.T) {
	s := newSimulation(5, 1)
	s.run(5 * time.Second)
	reader := s.routers[slices.IndexFunc(s.routers, func(n *testRouter) bool { return n.reading })]
	reader.storeUnreachable = true
	s.run(5 * time.Second)
	s.write()
	s.run(time.Second)
	for _, n := range s.routers {
		if n.version != s.version {
			t.Errorf("%s does not know", n.router.Name)
		}
	}
	if n := s.readers(); n != 2 {
		t.Errorf("%d routers read the store: the new reader, and the former that goes on trying, make two", n)
	}
	changes := s.roleChanges
	s.run(10 * time.Second)
	if s.roleChanges != changes {
		t.Errorf("routers began or ceased to read %d times while nothing changed", s.roleChanges-changes)
	}
	reader.storeUnreachable = false
	s.run(10 * time.Second)
	if n := s.readers(); n != 1 {
		t.Errorf("%d routers read the store after it is back", n)
	}
}

// The store turns a third of the routers away, the one that reads for all among them,
// and a runner says at that moment that it leaves. Its requests go on until the
// routers know. Those that are turned away learn it from others: nobody waits until
// what the reader knew has grown too old, and nobody relies in a circle on those who
// rely on it.
func TestReaderRefusedByTheStoreIsReplaced(t *testing.T) {
	const soon = bound / 2
	for _, size := range []int{3, 5, 21, 28, 100} {
		maxChanges := 0
		for seed := range uint64(200 / size) {
			s := newSimulation(size, 4)
			rng := rand.New(rand.NewPCG(seed, 0))
			s.run(5 * time.Second)
			for _, n := range s.routers {
				n.storeRefuses = n.reading || rng.IntN(3) == 0
			}
			if !slices.ContainsFunc(s.routers, func(n *testRouter) bool { return !n.storeRefuses }) {
				continue // the store answers nobody
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
				t.Errorf("seed %d: %d of %d routers know after %v", seed, upToDateCount, size, bound)
			}
			if upToDateSoon < size*9/10 {
				t.Errorf("seed %d: %d of %d routers know after %v", seed, upToDateSoon, size, soon)
			}
			maxChanges = max(maxChanges, s.roleChanges-changesBefore)
			if maxChanges > 24 {
				t.Errorf("seed %d: %d routers began or ceased to read %d times", seed, size, maxChanges)
			}
		}
	}
}

// The reader freezes for a moment, has lost its way to the store when it wakes, and
// nobody can pull from it, while its messages arrive. A router that relies on it waits
// until what it knew is too old, and then again until it is clear that nothing can be
// pulled: both together must fit into the bound.
func TestStaleReaderThatCannotBePulledFrom(t *testing.T) {
	s := newSimulation(4, 1)
	s.run(3040 * time.Millisecond)
	reader := s.routers[slices.IndexFunc(s.routers, func(n *testRouter) bool { return n.reading })]
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
		if n := s.staleRouter(3 * time.Second); n != nil {
			t.Fatalf("%s does not know what was written %v ago", n.router.Name, s.now.Sub(s.written[n.version+1]))
		}
	}
}

// upToDate counts the routers that know what was written last.
func (s *simulation) upToDate() int {
	n := 0
	for _, router := range s.routers {
		if router.version == s.version {
			n++
		}
	}
	return n
}

// The reader freezes just after it has told the others that all is well. A key is
// taken away at that moment; the others notice the silence long before what they
// know has grown too old.
func TestFrozenReaderIsDetectedByHeartbeatTimeout(t *testing.T) {
	for phase := range 10 {
		s := newSimulation(5, 1)
		s.run(5*time.Second + time.Duration(phase)*watchTimeout/10)
		reader := s.routers[slices.IndexFunc(s.routers, func(n *testRouter) bool { return n.reading })]
		reader.frozen = true
		s.write()
		s.run(TimingFor(bound).HeartbeatTimeout + 5*hopDelay)
		for _, n := range s.routers {
			if n != reader && n.version != s.version {
				t.Fatalf("%s does not know after %v", n.router.Name, TimingFor(bound).HeartbeatTimeout+5*hopDelay)
			}
		}
	}
}

// A thousand routers in twelve failure domains: none sends to more than those of
// its own domain and the first of each.
func TestFanOutIsBounded(t *testing.T) {
	const size, domains = 240, 12
	s := newSimulation(size, domains)
	s.run(5 * time.Second)
	busiest := slices.MaxFunc(s.routers, func(a, b *testRouter) int { return cmp.Compare(a.subscribers(s.now), b.subscribers(s.now)) })
	if n := busiest.subscribers(s.now); n > size/domains+domains {
		t.Errorf("%s has %d subscribers", busiest.router.Name, n)
	}
}

func (n *testRouter) subscribers(now time.Time) int {
	count := 0
	for _, p := range n.state.sorted {
		if now.Before(p.subscribedUntil) {
			count++
		}
	}
	return count
}

// The router that reads the store for a large region is lost, or loses the store.
// Were all others to notice at the same moment, each would list the whole store.
// Few do, and everybody knows what is written meanwhile.
func TestLossOfTheReaderCausesFewRoleChanges(t *testing.T) {
	for _, size := range []int{5, 20, 28, 100} {
		for _, fault := range []string{"frozen", "blind"} {
			s := newSimulation(size, 4)
			s.run(5 * time.Second)
			reader := s.routers[slices.IndexFunc(s.routers, func(n *testRouter) bool { return n.reading })]
			reader.frozen, reader.storeUnreachable = fault == "frozen", fault == "blind"
			changesBefore := s.roleChanges
			s.write()
			s.run(bound)
			for _, n := range s.routers {
				if n != reader && n.version != s.version {
					t.Errorf("%d routers, reader %s: %s does not know after %v", size, fault, n.router.Name, bound)
				}
			}
			s.run(3 * bound)
			if changes := s.roleChanges - changesBefore; changes > 10 {
				t.Errorf("%d routers, reader %s: routers began or ceased to read %d times", size, fault, changes)
			}
		}
	}
}
