package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// A plain service in a surge: three upstreams, one in each failure domain, that each serve six
// requests at a time, queue up to 24, reject the rest, and do not report their load.
const (
	plainUpstreams         = 3
	plainRouters           = 4
	plainSlots             = 6
	plainQueue             = 24
	plainRequestsPerSecond = 125
	plainDuration          = 60 * time.Millisecond
	plainObjective         = 300 * time.Millisecond
	plainSlowdown          = 5
	plainRunTime           = 20 * time.Second
	plainFailureTime       = time.Millisecond
)

// plainSim simulates the service and the state of its routers.
type plainSim struct {
	random    *rand.Rand
	ids       []load.VM
	pools     [plainRouters]*Pool
	loads     [plainRouters]*load.PoolLoad
	latencies [plainRouters]*load.RelativeLatency
	free      [plainUpstreams][plainSlots]time.Time // when each slot of an upstream becomes free
	inFlight  [plainUpstreams]int                   // requests queued or running at an upstream
	pending   completions
	slow      int // index of the slow upstream, or None
	broken    int // index of the upstream that fails its requests at once, or None
}

func newPlainSim(slow int) *plainSim {
	p := &plainSim{random: rand.New(rand.NewPCG(3, 4)), slow: slow, broken: None}
	ms := newMembers(plainUpstreams)
	names := []string{"r/a", "r/b", "r/c"}
	for i := range ms {
		ms[i].Domain = names[i]
		p.ids = append(p.ids, ms[i].VM)
	}
	for i := range p.pools {
		p.pools[i] = NewPool(ms, Locality{Domain: names[i%len(names)]})
		p.loads[i], p.latencies[i] = load.NewPoolLoad(), load.NewRelativeLatency()
	}
	return p
}

// run returns the share of the requests that are late or rejected.
func (p *plainSim) run() float64 {
	arrivals, missed := 0, 0
	for now := start; now.Before(start.Add(plainRunTime)); {
		now = now.Add(time.Duration(p.random.ExpFloat64() / plainRequestsPerSecond * float64(time.Second)))
		for len(p.pending) > 0 && !p.pending[0].at.After(now) {
			c := heap.Pop(&p.pending).(completion)
			p.inFlight[c.member]--
			p.loads[c.router].End(p.ids[c.member])
			p.recordLatency(c)
		}
		router := p.random.IntN(plainRouters)
		var out [MaxCandidates]Choice
		p.pools[router].ChooseBounded(plainLoads{p.loads[router], p.latencies[router], now}, Query{Random: p.random.Uint64(), Now: now}, &out)
		arrivals++
		if !p.serve(now, router, out[0].Index) {
			missed++
		}
	}
	return float64(missed) / float64(arrivals)
}

// recordLatency records the duration of a request at its router.
func (p *plainSim) recordLatency(e completion) {
	latency, vm, took := p.latencies[e.router], p.ids[e.member], e.at.Sub(e.began)
	if e.member == p.broken {
		latency.RecordFailure(e.at, vm, "login", took)
	} else {
		latency.RecordAnswer(e.at, vm, "login", took)
	}
}

// serve sends a request to an upstream and reports whether it is answered in time.
func (p *plainSim) serve(now time.Time, router, member int) bool {
	if p.inFlight[member] == plainSlots+plainQueue {
		return false
	}
	if member == p.broken {
		p.start(now, now.Add(plainFailureTime), router, member)
		return false
	}
	first := 0
	for i, at := range p.free[member] {
		if at.Before(p.free[member][first]) {
			first = i
		}
	}
	work := time.Duration((0.5 + p.random.Float64()) * float64(plainDuration))
	if member == p.slow {
		work *= plainSlowdown
	}
	from := p.free[member][first]
	if from.Before(now) {
		from = now
	}
	at := from.Add(work)
	p.free[member][first] = at
	p.start(now, at, router, member)
	return at.Sub(now) <= plainObjective
}

// start adds a request that its upstream completes at the given time.
func (p *plainSim) start(now, at time.Time, router, member int) {
	p.inFlight[member]++
	p.loads[router].Begin(p.ids[member])
	heap.Push(&p.pending, completion{at: at, began: now, router: router, member: member})
}

// plainLoads is what a router knows at one moment. It implements Loads.
type plainLoads struct {
	loads   *load.PoolLoad
	latency *load.RelativeLatency
	now     time.Time
}

func (l plainLoads) Load(vm load.VM) float64  { return l.loads.Load(l.now, vm) }
func (l plainLoads) Drift(vm load.VM) float64 { return l.loads.Drift(l.now, vm) }

func (l plainLoads) UpperLoad(vm load.VM) float64 { return l.loads.UpperBound(l.now, vm) }
func (l plainLoads) Cost(vm load.VM) float64      { return l.latency.Factor(l.now, vm) * (l.Load(vm) + 1) }
func (l plainLoads) IsSuspected(load.VM) bool     { return false }
func (l plainLoads) Unavailable(int) bool         { return false }
func (l plainLoads) Estimate(load.VM) Estimate    { return Estimate{} }
func (l plainLoads) Mean() float64                { return l.loads.Mean(plainUpstreams, 0) }

// In a surge of three times the usual traffic, one of three upstreams works five times slower.
// The routers of its failure domain notice it only because their own requests take longer. If
// they kept sending it all their requests, a quarter of all requests would be late or rejected
// while the other two upstreams have free slots.
func TestRequestsGoAroundASlowUpstream(t *testing.T) {
	for slow := range plainUpstreams {
		if missed := newPlainSim(slow).run(); missed > 0.05 {
			t.Errorf("with upstream %d slow, %.3f of the requests are late or rejected", slow, missed)
		} else {
			t.Logf("with upstream %d slow, %.3f of the requests are late or rejected", slow, missed)
		}
	}
	if missed := newPlainSim(None).run(); missed > 0.01 {
		t.Errorf("with none slow, %.3f of the requests are late or rejected", missed)
	}
}

// One of three upstreams answers each request at once with an error and is not suspected yet. If
// its short response times counted as fast, it would get nearly all requests while the two
// healthy upstreams stay idle.
func TestAnUpstreamThatFailsAtOnceIsNotFast(t *testing.T) {
	p := newPlainSim(None)
	p.broken = 0
	missed := p.run()
	t.Logf("%.3f of the requests fail", missed)
	if missed > 0.4 {
		t.Errorf("%.3f of the requests fail with one upstream of three broken", missed)
	}
}
