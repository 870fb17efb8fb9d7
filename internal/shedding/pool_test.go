package shedding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/pace"
)

// A pool of engines in virtual time, before routers that shed and tell each other what they are
// offered. The time between two events of a stream grows with the number of streams at its engine.
const (
	simRouters    = 6
	simEngines    = 10
	simPlaces     = 64
	simTick       = 10 * time.Millisecond
	simReport     = 90 * time.Millisecond
	eventBase     = 0.027  // seconds between events of a stream that is alone
	eventPerHeld  = 0.0016 // seconds more for each stream at the engine
	surgeBegins   = 12 * time.Second
	surgeEnds     = 21 * time.Second
	simEnds       = 40 * time.Second
	organisations = 8
	greedy        = 1 // the organisation that sends many times its usual
)

// kind is a kind of request of the simulation.
type kind struct {
	name      string
	rank      uint8
	perSecond float64 // of all organisations
	events    float64 // mean of an answer
	objective time.Duration
	deadline  time.Duration
}

var (
	chat = kind{name: "chat", rank: 0, perSecond: 60, events: 36, objective: 500 * time.Millisecond, deadline: 12 * time.Second}
	plan = kind{name: "plan", rank: 2, perSecond: 25, events: 48, objective: 1500 * time.Millisecond, deadline: 15 * time.Second}
)

// stream is a request at an engine.
type stream struct {
	kind      kind
	org       int
	arrived   time.Time
	router    int
	remaining float64 // events
	events    int
	lastEvent time.Time
	first     time.Time
	surge     bool
}

// tally counts the requests of one organisation and kind.
type tally struct{ offered, admitted, inTime int }

type simulation struct {
	r       *rand.Rand
	now     time.Time
	begin   time.Time
	routers []*Pool // nil: they do not shed
	engines [simEngines][]*stream
	waiting [simEngines][]*stream
	tallies map[string]*tally
	surge   func(org int) float64 // times the usual traffic
	routes  func(org int) int     // the router that a request of an organisation comes to
}

func newSimulation(seed uint64, sheds bool, surge func(org int) float64) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1000, 0), tallies: make(map[string]*tally), surge: surge}
	s.now = s.begin
	s.routes = func(int) int { return s.r.IntN(simRouters) }
	for range simRouters {
		if sheds {
			s.routers = append(s.routers, New(rand.New(rand.NewPCG(s.r.Uint64(), 2))))
		}
	}
	return s
}

func (s *simulation) at() time.Duration { return s.now.Sub(s.begin) }

func (s *simulation) inSurge() bool { return s.at() >= surgeBegins && s.at() < surgeEnds }

// tally returns the count of the requests of a kind and organisation in the present phase.
func (s *simulation) tally(k kind, org int, surge bool) *tally {
	key := fmt.Sprintf("%s %d %v", k.name, org, surge)
	if s.tallies[key] == nil {
		s.tallies[key] = &tally{}
	}
	return s.tallies[key]
}

// sum returns the counts of a kind over organisations.
func (s *simulation) sum(k kind, surge bool, include func(org int) bool) tally {
	var out tally
	for org := range organisations {
		if include(org) {
			t := s.tally(k, org, surge)
			out = tally{out.offered + t.offered, out.admitted + t.admitted, out.inTime + t.inTime}
		}
	}
	return out
}

func (s *simulation) run() {
	next := s.begin
	for s.at() < simEnds {
		s.arrivals()
		for e := range s.engines {
			s.advance(e)
		}
		if !s.now.Before(next) {
			s.exchange()
			next = s.now.Add(simReport)
		}
		s.now = s.now.Add(simTick)
	}
}

// arrivals draws the requests that arrive within a tick.
func (s *simulation) arrivals() {
	for _, k := range []kind{chat, plan} {
		for org := range organisations {
			rate := k.perSecond / organisations
			if s.inSurge() {
				rate *= s.surge(org)
			}
			if s.r.Float64() < rate*simTick.Seconds() {
				s.arrive(k, org)
			}
		}
	}
}

func (s *simulation) arrive(k kind, org int) {
	t := s.tally(k, org, s.inSurge())
	t.offered++
	router := s.routes(org)
	if s.routers != nil && !s.routers[router].Admit(s.now, s.request(k, org), func() Situation { return s.situation(router) }).Admit {
		return
	}
	t.admitted++
	e := s.leastLoaded()
	s.waiting[e] = append(s.waiting[e], &stream{
		kind: k, org: org, arrived: s.now, router: router, surge: s.inSurge(), remaining: max(k.events*(0.4+1.2*s.r.Float64()), 1),
	})
}

func (s *simulation) request(k kind, org int) Request {
	return Request{
		Class:        demand.Class{Org: uint32(org + 1), Rank: k.rank},
		Kind:         k.name,
		Requirement:  pace.Requirement{Objective: k.objective, Deadline: k.deadline},
		Organisation: fmt.Sprint(org),
	}
}

func (s *simulation) held(e int) int { return len(s.engines[e]) + len(s.waiting[e]) }

func (s *simulation) situation(router int) Situation {
	held := 0
	for e := range s.engines {
		held += s.held(e)
	}
	return Situation{Upstreams: simEngines, Places: simPlaces, MeanLoad: float64(held) / simEngines, Routers: simRouters, Root: router == 0}
}

func (s *simulation) leastLoaded() int {
	best := 0
	for e := range s.engines {
		if s.held(e) < s.held(best) {
			best = e
		}
	}
	return best
}

// advance lets an engine work for a tick.
func (s *simulation) advance(e int) {
	for len(s.engines[e]) < simPlaces && len(s.waiting[e]) > 0 {
		begun := s.waiting[e][0]
		begun.first, begun.lastEvent = s.now, s.now
		s.engines[e], s.waiting[e] = append(s.engines[e], begun), s.waiting[e][1:]
	}
	held := float64(len(s.engines[e]))
	step := simTick.Seconds() / (eventBase + eventPerHeld*held)
	left := s.engines[e][:0]
	for _, st := range s.engines[e] {
		before := int(st.remaining)
		st.remaining -= step
		if n := before - int(max(st.remaining, 0)); n > 0 {
			s.recordEvents(st, held, n)
		}
		switch {
		case s.now.Sub(st.arrived) > st.kind.deadline:
		case st.remaining <= 0:
			s.end(st)
		default:
			left = append(left, st)
		}
	}
	s.engines[e] = left
}

func (s *simulation) recordEvents(st *stream, held float64, n int) {
	st.events += n
	if s.routers != nil {
		s.routers[st.router].RecordEvents(s.now, held, n, s.now.Sub(st.lastEvent))
	}
	st.lastEvent = s.now
}

func (s *simulation) end(st *stream) {
	s.tally(st.kind, st.org, st.surge).inTime++
	if s.routers != nil {
		s.routers[st.router].RecordAnswer(s.now, st.kind.name, st.events, st.first.Sub(st.arrived))
	}
}

// exchange carries the messages between the routers, of which the first is the root. Messages are
// encoded and decoded as they are on the wire.
func (s *simulation) exchange() {
	for i := 1; i < len(s.routers); i++ {
		if b := s.routers[i].Report(s.now); b != nil {
			if err := s.routers[0].MergeReport(s.now, fmt.Sprint(i), b); err != nil {
				panic(err)
			}
		}
	}
	if s.routers == nil {
		return
	}
	if b := s.routers[0].Summary(s.now); b != nil {
		for _, r := range s.routers[1:] {
			if err := r.MergeSummary(s.now, b); err != nil {
				panic(err)
			}
		}
	}
}

func everyone(int) bool { return true }

func fraction(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// Guards against engines that take all requests of a surge and finish few of them in time: each
// answer slows down all others at its engine.
func TestAdmittedUrgentStreamsEndInTimeInASurge(t *testing.T) {
	surge := func(int) float64 { return 3.5 }
	for seed := range uint64(4) {
		for _, sheds := range []bool{false, true} {
			s := newSimulation(seed, sheds, surge)
			s.run()
			chats, plans := s.sum(chat, true, everyone), s.sum(plan, true, everyone)
			t.Logf("seed %d, sheds %v: in the surge, chats %+v, plans %+v", seed, sheds, chats, plans)
			inTime := fraction(chats.inTime, chats.admitted)
			if !sheds && inTime > 0.9 {
				t.Errorf("seed %d: %.2f of the chats end in time without shedding: the surge is too small for this test", seed, inTime)
			}
			if sheds && inTime < 0.95 {
				t.Errorf("seed %d: %.2f of the admitted chats end in time, want 0.95", seed, inTime)
			}
			if sheds && fraction(plans.inTime, plans.offered) < 0.04 {
				t.Errorf("seed %d: %d of %d plans are served: they starve", seed, plans.inTime, plans.offered)
			}
			if sheds && fraction(chats.inTime, chats.offered) < fraction(plans.inTime, plans.offered) {
				t.Errorf("seed %d: chats %+v are served less often than the less urgent plans %+v", seed, chats, plans)
			}
		}
	}
}

// Guards against one organisation that takes the places of all others: it sends 12 times its usual
// traffic, over all routers or to one of them.
func TestGreedyOrganisationCostsTheOthersNothing(t *testing.T) {
	surge := func(org int) float64 {
		if org == greedy {
			return 12
		}
		return 1
	}
	others := func(org int) bool { return org != greedy }
	for seed := range uint64(4) {
		s := newSimulation(seed, true, surge)
		if seed%2 == 1 {
			spread := s.routes
			s.routes = func(org int) int {
				if org == greedy {
					return 3
				}
				return spread(org)
			}
		}
		s.run()
		for _, k := range []kind{chat, plan} {
			before, during := s.sum(k, false, others), s.sum(k, true, others)
			t.Logf("seed %d, %s: others before %+v, in the surge %+v, greedy %+v", seed, k.name, before, during, *s.tally(k, greedy, true))
			if kept := fraction(during.inTime, during.offered) / fraction(before.inTime, before.offered); kept < 0.95 {
				t.Errorf("seed %d, %s: the others keep %.2f of what they had, want 0.95", seed, k.name, kept)
			}
		}
	}
}

// Guards against messages between routers that do not stop: the decayed rate of the rejections is above
// zero for minutes after a single one.
func TestSingleRejectionEndsTheReportsSoon(t *testing.T) {
	p, now := New(rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
	reports := 0
	for i := range 2000 {
		now = now.Add(simTick)
		p.Admit(now, Request{Class: demand.Class{Org: 1}}, func() Situation { return Situation{Upstreams: 3, Routers: 2} })
		p.RecordAttempt(now, i != 0)
		if p.Report(now) == nil {
			continue
		}
		reports++
		if i*int(simTick) > int(6*time.Second) {
			t.Fatalf("a report %v after the last rejection", time.Duration(i)*simTick)
		}
	}
	if reports == 0 {
		t.Error("no report after a rejection")
	}
}

// Guards against operators who see no names in a fleet with more organisations than are kept: the names of
// those that came first would stay for good.
func TestNamesOfPresentOrganisationsAreKept(t *testing.T) {
	p, now := New(rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
	situation := func() Situation { return Situation{Upstreams: 3, Routers: 1, Root: true} }
	for i := range 3 * maxNames {
		p.Admit(now, Request{Class: demand.Class{Org: uint32(i + 1)}, Organisation: fmt.Sprint("old-", i)}, situation)
	}
	now = now.Add(time.Minute)
	for range 2 {
		now = now.Add(updateInterval)
		p.Admit(now, Request{Class: demand.Class{Org: 1 << 20}, Organisation: "present"}, situation)
	}
	if len(p.names) > maxNames {
		t.Errorf("%d names are kept, want at most %d", len(p.names), maxNames)
	}
	if c := p.Status(now).Classes; len(c) != 1 || c[0].Organisation != "present" {
		t.Errorf("%+v, want the class of the present organisation", c)
	}
}

// Guards against engines with one place that are never short, because three quarters of it are none.
func TestEnginesWithOnePlaceHaveACapacity(t *testing.T) {
	p, now := New(rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
	r := Request{Class: demand.Class{Org: 1}, Kind: "chat", Requirement: pace.Requirement{Objective: time.Second, Deadline: 12 * time.Second}}
	situation := func() Situation { return Situation{Upstreams: 4, Places: 1, MeanLoad: 3, Routers: 1, Root: true} }
	for i := range 400 {
		now = now.Add(simTick)
		p.Admit(now, r, situation)
		p.RecordEvents(now, float64(1+i%5), 3, time.Duration(1+i%5)*50*time.Millisecond)
		p.RecordAnswer(now, r.Kind, 40, 100*time.Millisecond)
	}
	if s := p.Status(now); s.Capacity != 4 || !s.Short {
		t.Errorf("capacity %.1f of 4 engines that hold 3 requests each, short %v; want 4 and true", s.Capacity, s.Short)
	}
}
