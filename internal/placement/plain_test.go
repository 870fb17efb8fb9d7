package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// The load of a plain service in a surge: three upstreams, one in each failure domain,
// that work on six requests at a time, have 24 wait, turn others away, and tell no load.
const (
	plainUpstreams = 3
	plainRouters   = 4
	plainSlots     = 6
	plainQueue     = 24
	plainPerSecond = 125
	plainWork      = 60 * time.Millisecond
	plainAim       = 300 * time.Millisecond
	plainSlowBy    = 5
	plainSpan      = 20 * time.Second
	plainFailsIn   = time.Millisecond
)

// plain is the service, and what its routers believe.
type plain struct {
	random  *rand.Rand
	ids     []load.VM
	pools   [plainRouters]*Pool
	tallies [plainRouters]*load.PoolLoad
	paces   [plainRouters]*load.RelativeLatency
	free    [plainUpstreams][plainSlots]time.Time // when each slot of an upstream is free
	waiting [plainUpstreams]int                   // or running
	ends    dones
	slow    int // upstream that works slower, or None
	broken  int // upstream that fails its requests at once, or None
}

func newPlain(slow int) *plain {
	p := &plain{random: rand.New(rand.NewPCG(3, 4)), slow: slow, broken: None}
	ms := members(plainUpstreams)
	names := []string{"r/a", "r/b", "r/c"}
	for i := range ms {
		ms[i].Domain = names[i]
		p.ids = append(p.ids, ms[i].VM)
	}
	for i := range p.pools {
		p.pools[i] = NewPool(ms, Locality{Domain: names[i%len(names)]})
		p.tallies[i], p.paces[i] = load.NewPoolLoad(), load.NewRelativeLatency()
	}
	return p
}

// play returns which part of the requests is late or turned away.
func (p *plain) play() float64 {
	arrivals, missed := 0, 0
	for now := start; now.Before(start.Add(plainSpan)); {
		now = now.Add(time.Duration(p.random.ExpFloat64() / plainPerSecond * float64(time.Second)))
		for len(p.ends) > 0 && !p.ends[0].at.After(now) {
			e := heap.Pop(&p.ends).(done)
			p.waiting[e.member]--
			p.tallies[e.router].End(p.ids[e.member])
			p.learn(e)
		}
		router := p.random.IntN(plainRouters)
		var out [MaxCandidates]Choice
		p.pools[router].ChooseBounded(plainAt{p.tallies[router], p.paces[router], now}, Query{Random: p.random.Uint64(), Now: now}, &out)
		arrivals++
		if !p.serve(now, router, out[0].Index) {
			missed++
		}
	}
	return float64(missed) / float64(arrivals)
}

// learn has a router take in how long a request took.
func (p *plain) learn(e done) {
	pace, vm, took := p.paces[e.router], p.ids[e.member], e.at.Sub(e.began)
	if e.member == p.broken {
		pace.RecordFailure(e.at, vm, "login", took)
	} else {
		pace.RecordAnswer(e.at, vm, "login", took)
	}
}

// serve sends a request to an upstream, and reports whether it is answered in time.
func (p *plain) serve(now time.Time, router, member int) bool {
	if p.waiting[member] == plainSlots+plainQueue {
		return false
	}
	if member == p.broken {
		p.start(now, now.Add(plainFailsIn), router, member)
		return false
	}
	first := 0
	for i, at := range p.free[member] {
		if at.Before(p.free[member][first]) {
			first = i
		}
	}
	work := time.Duration((0.5 + p.random.Float64()) * float64(plainWork))
	if member == p.slow {
		work *= plainSlowBy
	}
	from := p.free[member][first]
	if from.Before(now) {
		from = now
	}
	at := from.Add(work)
	p.free[member][first] = at
	p.start(now, at, router, member)
	return at.Sub(now) <= plainAim
}

// start counts a request that an upstream ends at a time.
func (p *plain) start(now, at time.Time, router, member int) {
	p.waiting[member]++
	p.tallies[router].Begin(p.ids[member])
	heap.Push(&p.ends, done{at: at, began: now, router: router, member: member})
}

// plainAt is what a router believes at one moment. It implements Loads.
type plainAt struct {
	tally *load.PoolLoad
	pace  *load.RelativeLatency
	now   time.Time
}

func (l plainAt) Load(vm load.VM) float64   { return l.tally.Load(l.now, vm) }
func (l plainAt) Upper(vm load.VM) float64  { return l.tally.UpperBound(l.now, vm) }
func (l plainAt) Cost(vm load.VM) float64   { return l.pace.Factor(l.now, vm) * (l.Load(vm) + 1) }
func (l plainAt) IsSuspected(load.VM) bool  { return false }
func (l plainAt) Unavailable(int) bool      { return false }
func (l plainAt) Estimate(load.VM) Estimate { return Estimate{} }
func (l plainAt) Mean() float64             { return l.tally.Mean(plainUpstreams, 0) }

// Guests book in a surge of three times the traffic while one of the three booking
// services works five times slower. The routers of its failure domain see only that
// their own requests take longer. As long as they go on sending it all they have, a
// quarter of all bookings are late or turned away, beside two services with free places.
func TestRequestsGoAroundASlowUpstream(t *testing.T) {
	for slow := range plainUpstreams {
		if missed := newPlain(slow).play(); missed > 0.05 {
			t.Errorf("with upstream %d slow, %.3f of the requests are late or turned away", slow, missed)
		} else {
			t.Logf("with upstream %d slow, %.3f of the requests are late or turned away", slow, missed)
		}
	}
	if missed := newPlain(None).play(); missed > 0.01 {
		t.Errorf("with none slow, %.3f of the requests are late or turned away", missed)
	}
}

// One of three booking services answers each request at once with an error. Nobody has
// judged it an outlier yet. Taken for the fastest of the pool, it gets nearly all
// bookings, and the two that are well stand idle.
func TestAnUpstreamThatFailsAtOnceIsNotFast(t *testing.T) {
	p := newPlain(None)
	p.broken = 0
	missed := p.play()
	t.Logf("%.3f of the requests fail", missed)
	if missed > 0.4 {
		t.Errorf("%.3f of the requests fail with one upstream of three broken", missed)
	}
}
