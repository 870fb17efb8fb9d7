package relay

import (
	"cmp"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "600")
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
