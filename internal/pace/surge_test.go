package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/virtualtime"
)

// pool is a simulated pool of engines in virtual time. The interval between the events of all streams
// of an engine grows linearly with the number of requests that it holds.
type pool struct {
	clock    *virtualtime.Clock
	random   *rand.Rand
	model    *Model
	engines  []*simEngine
	limited  bool          // admits only as many requests as the limit permits
	dataAge  time.Duration // age of the loads that the router knows
	rate     float64       // requests per second
	refused  int
	finished []finished
	limits   []float64 // known limits, in order
}

type simEngine struct {
	engine
	streams  []stream
	reported float64 // the load that the router knows
}

type stream struct {
	kind          string
	arrived       time.Time
	first, events int // milliseconds to the first event, and number of events in total
	left          int
	lastEvent     time.Time
}

// finished is an answer that has ended.
type finished struct {
	arrived time.Time
	took    time.Duration
}

const (
	surgeObjective = 1900 * time.Millisecond
	surgeDeadline  = 12 * time.Second
	usualRate      = 40.0 // of 8 engines; each then holds 25 requests
	// trueLimit follows from 390 events at most in 95 of 100 long answers: 25.9 ms per event.
	trueLimit = 63.6
)

func newPool(seed uint64, limited bool, dataAge time.Duration) *pool {
	p := &pool{
		clock: virtualtime.NewClock(start), random: rand.New(rand.NewPCG(seed, 1)), model: New(),
		limited: limited, dataAge: dataAge, rate: usualRate,
	}
	p.model.SetRequirement("plan", Requirement{Objective: surgeObjective, Deadline: surgeDeadline})
	for range 8 {
		e := &simEngine{engine: typicalEngine}
		p.engines = append(p.engines, e)
		p.clock.After(10*time.Millisecond, func() { p.step(e) })
	}
	p.repeat(20*time.Millisecond, p.report)
	p.repeat(100*time.Millisecond, func() {
		if limit, known := p.model.Limit(p.clock.Now(), places); known {
			p.limits = append(p.limits, limit)
		}
	})
	p.clock.After(time.Millisecond, p.arrive)
	return p
}

// repeat calls do at the given interval, in all runs.
func (p *pool) repeat(interval time.Duration, do func()) {
	p.clock.After(interval, func() {
		do()
		p.repeat(interval, do)
	})
}

func (p *pool) report() {
	for _, e := range p.engines {
		held := float64(len(e.streams))
		if p.dataAge == 0 {
			e.reported = held
			continue
		}
		p.clock.After(p.dataAge, func() { e.reported = held })
	}
}

// step emits one event of each stream of an engine that is past its first byte.
func (p *pool) step(e *simEngine) {
	now, kept := p.clock.Now(), e.streams[:0]
	for _, s := range e.streams {
		if now.Before(s.arrived.Add(time.Duration(s.first) * time.Millisecond)) {
			kept = append(kept, s)
			continue
		}
		if !s.lastEvent.IsZero() {
			p.model.RecordEvents(now, e.reported, 1, now.Sub(s.lastEvent))
		}
		s.lastEvent = now
		if s.left--; s.left > 0 {
			kept = append(kept, s)
			continue
		}
		p.model.RecordAnswer(now, s.kind, s.events, time.Duration(s.first)*time.Millisecond)
		p.finished = append(p.finished, finished{arrived: s.arrived, took: now.Sub(s.arrived)})
	}
	e.streams = kept
	p.clock.After(e.interval(p.random, float64(len(e.streams))), func() { p.step(e) })
}

// arrive sends a request to the engine that reports less load of two.
func (p *pool) arrive() {
	p.clock.After(seconds(p.random.ExpFloat64()/p.rate), p.arrive)
	e, other := p.engines[p.random.IntN(len(p.engines))], p.engines[p.random.IntN(len(p.engines))]
	if other.reported < e.reported {
		e = other
	}
	if len(e.streams) >= places || p.limited && p.isFull() {
		p.refused++
		return
	}
	events := 200 + p.random.IntN(200)
	e.streams = append(e.streams, stream{
		kind: "plan", arrived: p.clock.Now(), first: 200 + p.random.IntN(200), events: events, left: events,
	})
}

// isFull reports whether the engines together hold as many requests as the limit permits.
func (p *pool) isFull() bool {
	limit, known := p.model.Limit(p.clock.Now(), places)
	return known && p.reported() >= limit*float64(len(p.engines))
}

func (p *pool) reported() float64 {
	sum := 0.0
	for _, e := range p.engines {
		sum += e.reported
	}
	return sum
}

func (p *pool) run(d time.Duration) { p.clock.RunFor(d, 0, nil) }

// inTime returns the fraction of the answers to requests admitted in the given period that ended
// before their deadline, and the number of these requests. Answers that have not ended count as late.
func (p *pool) inTime(from, to time.Time) (fraction float64, n int) {
	within := func(at time.Time) bool { return !at.Before(from) && at.Before(to) }
	for _, f := range p.finished {
		if within(f.arrived) {
			n++
			if f.took <= surgeDeadline {
				fraction++
			}
		}
	}
	for _, e := range p.engines {
		for _, s := range e.streams {
			if within(s.arrived) {
				n++
			}
		}
	}
	return fraction / float64(n), n
}

// Guards against a surge that fills all places of the engines: every answer is admitted and then ends
// after its deadline. The router has seen engines at 25 requests on average before, and knows loads
// that are 200 ms old.
func TestAnswersEndInTimeInSurge(t *testing.T) {
	for _, c := range []struct {
		limited     bool
		dataAge     time.Duration
		least, most float64
	}{
		{false, 0, 0, 0.5},
		{true, 0, 0.95, 1},
		{true, 200 * time.Millisecond, 0.95, 1},
	} {
		p := newPool(1, c.limited, c.dataAge)
		p.run(30 * time.Second)
		from, before := p.clock.Now(), p.limits
		p.rate, p.limits = 3.5*usualRate, nil
		p.run(40 * time.Second)
		to := p.clock.Now()
		p.run(2 * surgeDeadline)
		got, n := p.inTime(from, to)
		t.Logf("limited %v, data age %v: %.3f of %d answers in time, %d refused, limit %.1f before, %.1f to %.1f in the surge",
			c.limited, c.dataAge, got, n, p.refused, before[len(before)-1], least(p.limits), most(p.limits))
		if !(got >= c.least && got <= c.most) {
			t.Errorf("limited %v, data age %v: %.3f of answers in time, want %v to %v", c.limited, c.dataAge, got, c.least, c.most)
		}
	}
}

// Guards against a limit that swings while the load changes quickly and is known late. The load rises
// 3.5-fold and falls again every few seconds. Loads that are up to 500 ms old must not move the limit by
// more than a quarter.
func TestLimitWithOldLoads(t *testing.T) {
	for _, period := range []time.Duration{5 * time.Second, 20 * time.Second} {
		for _, age := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond} {
			p := newPool(2, true, age)
			p.run(30 * time.Second)
			before := p.limits[len(p.limits)-1]
			p.limits = nil
			for range 60 * time.Second / period {
				p.rate = 3.5 * usualRate
				p.run(period / 2)
				p.rate = 0.2 * usualRate
				p.run(period / 2)
			}
			low, high := least(p.limits), most(p.limits)
			t.Logf("period %v, data age %v: limit %.1f before, %.1f to %.1f while the load changes (true: %.1f)",
				period, age, before, low, high, trueLimit)
			if len(p.limits) == 0 {
				t.Fatal("the limit was never known")
			}
			if !(low >= 0.75*trueLimit && high <= 1.25*trueLimit) {
				t.Errorf("period %v, data age %v: limit is %.1f to %.1f, want %.1f within 25%%", period, age, low, high, trueLimit)
			}
		}
	}
}

func least(values []float64) float64 {
	result := math.Inf(1)
	for _, v := range values {
		result = min(result, v)
	}
	return result
}

func most(values []float64) float64 {
	result := math.Inf(-1)
	for _, v := range values {
		result = max(result, v)
	}
	return result
}
