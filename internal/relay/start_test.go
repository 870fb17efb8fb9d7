package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// startSpread is how far apart the starts of routers are that start together.
	startSpread = 300 * time.Millisecond
	// startBound is the bound of routers that start together. A message of the simulation takes
	// tickInterval, and a starting router waits a fiftieth of its bound for some.
	startBound = 5 * time.Second
)

// startOfAll is what a start of all routers of a region costs.
type startOfAll struct {
	listings      int           // routers that listed the store
	announcements float64       // mean number of subscriptions and announcements that a router sent
	upToDate      time.Duration // from the last start until every router has the version in force
}

// runStartOfAll starts size routers in random order within startSpread. Each enters itself into the
// register at its start, and finds there those that have started before it. With known, all are in
// the register from before, and gone of them are and stay silent.
func runStartOfAll(t *testing.T, size, domains int, known bool, gone int) startOfAll {
	s := newSimulation(0, 1)
	s.write()
	rng := rand.New(rand.NewPCG(uint64(size), 0))
	starts := make([]time.Duration, size)
	for i := range starts {
		starts[i] = time.Duration(rng.Int64N(int64(startSpread)))
	}
	var out startOfAll
	begin := s.now
	s.countMessages = true
	var register []Router
	if known {
		for i := range size {
			register = append(register, startingRouter(i, domains))
		}
		for _, i := range rng.Perm(size)[:gone] {
			starts[i] = -1
		}
	}
	size -= gone
	for started := 0; s.now.Sub(begin) < startSpread+startBound; s.advance() {
		for i, at := range starts {
			if at >= 0 && s.now.Sub(begin) >= at {
				starts[i] = -1
				started++
				r := newTestRouterWithin(startingRouter(i, domains), startBound)
				s.routers = append(s.routers, r)
				if !known {
					register = append(register, r.router)
				}
				s.apply(r, r.state.Step(Registered{Now: s.now, Routers: register}))
			}
		}
		if started == size && s.upToDate() == size && out.upToDate == 0 {
			out.upToDate = s.now.Sub(begin) - startSpread
		}
	}
	for _, r := range s.routers {
		if r.hasRead {
			out.listings++
		}
	}
	if n := s.upToDate(); n < size {
		t.Errorf("%d routers: %d are up to date %v after the start of all", size, n, startBound)
	}
	out.announcements = float64(s.subscribesSent) / float64(size)
	return out
}

func startingRouter(i, domains int) Router {
	return Router{Name: fmt.Sprintf("front-%d", i), Addr: fmt.Sprint(i), Domain: fmt.Sprintf("r/%d", i%domains), Capacity: i % 5}
}

// Power is lost while a third of the routers is cut off, and the others start again. Guards against
// routers that wait for the first ones in rank, which are among those that are gone, until a timeout
// that is as long for all, and then list the store together.
func TestStartOfAllPassesOverRoutersThatAreGone(t *testing.T) {
	const domains = 5
	for _, size := range []int{10, 40, 160, 320} {
		got := runStartOfAll(t, size, domains, true, size/3)
		t.Logf("%d routers, %d of them gone: %d list the store, up to date %v after the last start", size, size/3, got.listings, got.upToDate)
		if limit := TimingFor(startBound).StartWait; got.upToDate > limit {
			t.Errorf("%d routers: up to date %v after the last start, want %v", size, got.upToDate, limit)
		}
		// In each failure domain, one for each of the first that are gone.
		if got.listings > domains*candidatesAtOnce {
			t.Errorf("%d of %d routers list the store", got.listings, size)
		}
	}
}

// All routers start together after a loss of power. Guards against a listing of the whole store by
// each of them, and against announcements of each to every other one: calls and messages of a start
// of all then grow as the square of the fleet.
func TestStartOfAllCostsLittlePerRouter(t *testing.T) {
	const domains = 5
	for _, size := range []int{10, 40, 160, 320} {
		got := runStartOfAll(t, size, domains, false, 0)
		t.Logf("%d routers: %d list the store, %.0f announcements a router, up to date %v after the last start", size, got.listings, got.announcements, got.upToDate)
		// A router may list the store if it finds fewer than candidatesAtOnce before it in the
		// register, as do so many in a random order.
		if limit := candidatesAtOnce * (1 + math.Log(float64(size))); float64(got.listings) > limit {
			t.Errorf("%d of %d routers list the store", got.listings, size)
		}
		if limit := float64(size/domains + announcedPerDomain*domains + 10); size > maxFlatRouters && got.announcements > limit {
			t.Errorf("%.0f announcements for each of %d routers", got.announcements, size)
		}
	}
}

// The routers that rank before a starting one are listed in the register but gone. Guards against a
// router that waits for them longer than StartWait before it reads the store.
func TestStartingRouterDoesNotWaitForRoutersThatAreGone(t *testing.T) {
	s := newSimulation(3, 1)
	for _, r := range s.routers {
		r.frozen = true
	}
	s.write()
	late := newTestRouter(Router{Name: "late", Addr: "late", Domain: "r/0", Capacity: -1})
	s.routers = append(s.routers, late)
	s.register(late)
	if late.reading {
		t.Error("it reads the store although other routers rank before it")
	}
	s.run(TimingFor(bound).StartWait + 2*tickInterval)
	if late.version != s.version {
		t.Errorf("it lacks the version in force after %v (reads: %v)", TimingFor(bound).StartWait, late.reading)
	}
}

// A router without an answer from the register of routers cannot know whether others read the store.
func TestStartingRouterReadsTheStoreWithoutTheRegister(t *testing.T) {
	s := newSimulation(0, 1)
	s.write()
	r := newTestRouter(Router{Name: "alone", Addr: "alone", Domain: "r/0"})
	s.routers = append(s.routers, r)
	s.run(TimingFor(bound).StartWait + 2*tickInterval)
	if r.version != s.version {
		t.Errorf("it lacks the version in force after %v (reads: %v)", TimingFor(bound).StartWait, r.reading)
	}
}

// A router restarts while its former subscription still counts at its parent. Guards against a wait
// for the next periodic heartbeat, in which it would list the store itself.
func TestRestartedRouterIsAnsweredAtOnce(t *testing.T) {
	s := newSimulation(5, 1)
	s.run(5 * time.Second)
	var last *testRouter
	for _, r := range s.routers {
		if last == nil || last.state.rank.compare(r.state.rank) < 0 {
			last = r
		}
	}
	fresh := newTestRouter(last.router)
	*last = *fresh
	s.register(last)
	s.run(5 * hopDelay)
	if last.version != s.version || last.hasRead {
		t.Errorf("version %d in place of %d, has read the store: %v", last.version, s.version, last.hasRead)
	}
}

// All routers have started together, so that they renew their subscriptions at the same moment, and the
// reader is lost at some phase of these renewals. Guards against routers that then list the store
// together.
func TestLossOfTheReaderAtAnyPhaseOfRenewals(t *testing.T) {
	const size, domains, phases = 60, 2, 5
	for phase := range phases {
		s := newSimulation(size, domains)
		s.run(5*time.Second + time.Duration(phase)*TimingFor(bound).RenewInterval/phases)
		for _, r := range s.routers {
			r.frozen = r.reading
		}
		for _, r := range s.routers {
			r.hasRead = false
		}
		s.write()
		s.run(2 * bound)
		listed := 0
		for _, r := range s.routers {
			if r.hasRead && !r.frozen {
				listed++
			}
		}
		if listed > domains+candidatesAtOnce {
			t.Errorf("phase %d: %d of %d routers list the store", phase, listed, size)
		}
	}
}
