package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

var start = time.Unix(1000, 0)

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0))
}

// shortGate returns a gate of a pool that is short and exactly full.
func shortGate(capacity float64, rates ...demand.Rate) *Gate {
	g := NewGate(newRandom(1))
	g.Update(start, Pool{Capacity: capacity, Used: capacity, Routers: 1}, demand.Totals{Rates: rates, Complete: true})
	return g
}

func rateOf(org uint32, rank uint8, offered float64) demand.Rate {
	return demand.Rate{Class: demand.Class{Org: org, Rank: rank, Weight: 1}, Orgs: 1, Offered: offered}
}

// admittedOf returns how many of n requests of a class are admitted.
func admittedOf(g *Gate, c demand.Class, n int) int {
	admitted := 0
	for range n {
		if g.Decide(start, c).Admit {
			admitted++
		}
	}
	return admitted
}

// Guards against an admitted part that depends on chance: after any number of requests the number
// of those admitted is off by less than one, for classes that the totals name and for those that
// are part of a combined rate.
func TestAdmittedPartIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named, n := rapid.Float64Range(1, 1000).Draw(t, "named"), rapid.IntRange(2, 100).Draw(t, "number")
		others := demand.Rate{Class: demand.Class{Weight: 1}, Orgs: n, Offered: rapid.Float64Range(1, 1000).Draw(t, "others")}
		g := shortGate(100, rateOf(1, 0, named), others)
		for _, c := range []demand.Class{{Org: 1}, {Org: 500}, {Org: 501}} {
			f := g.Decide(start, c).Fraction
			requests := rapid.IntRange(1, 300).Draw(t, "requests")
			if got, want := admittedOf(g, c, requests), f*float64(requests); math.Abs(float64(got)-want) > 1+tolerance {
				t.Fatalf("%+v: %d of %d requests are admitted at a fraction of %v", c, got, requests, f)
			}
		}
	})
}

// Many routers get one request each of an organisation. Guards against credits that start at the
// same value, so that all routers admit it or all refuse it.
func TestCreditsOfManyRoutersDiffer(t *testing.T) {
	admitted, random := 0, newRandom(1)
	for range 1000 {
		g := NewGate(random)
		g.Update(start, Pool{Capacity: 30, Used: 30, Routers: 1000}, demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 100)}, Complete: true})
		if g.Decide(start, demand.Class{Org: 1}).Admit {
			admitted++
		}
	}
	if admitted < 250 || admitted > 350 {
		t.Errorf("%d of 1000 routers admit their first request at a fraction of 0.3", admitted)
	}
}

// Guards against a pool that changes between short and not short with its random load, and against
// requests that are held back although the pool is not short.
func TestPoolBecomesShortAndCeasesToBe(t *testing.T) {
	g := NewGate(newRandom(1))
	rates := []demand.Rate{rateOf(1, 0, 1000)}
	for _, c := range []struct {
		used  float64
		short bool
	}{{69, false}, {70, true}, {60, true}, {59, false}, {69, false}, {500, true}} {
		g.Update(start, Pool{Capacity: 100, Used: c.used, Routers: 1}, demand.Totals{Rates: rates, Complete: true})
		if g.Short() != c.short {
			t.Errorf("with %v of 100 used, short is %v", c.used, g.Short())
		}
		if admitted := admittedOf(g, rates[0].Class, 100); (admitted == 100) == c.short {
			t.Errorf("with %v of 100 used, %d of 100 requests are admitted", c.used, admitted)
		}
	}
}

// Guards against a pool that stays full or stays empty: the capacity for new work is below that of
// the pool while it is overfull, and above it while there is room.
func TestCapacityForNewWorkDependsOnUse(t *testing.T) {
	for _, c := range []struct{ used, want float64 }{{70, 190}, {90, 130}, {100, 100}, {110, 70}, {120, 50}, {400, 50}} {
		g := NewGate(newRandom(1))
		g.Update(start, Pool{Capacity: 100, Used: c.used, Routers: 1}, demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 1000)}, Complete: true})
		if got := 1000 * g.Classes()[0].Fraction; math.Abs(got-c.want) > tolerance {
			t.Errorf("with %v of 100 used, %v is admitted, want %v", c.used, got, c.want)
		}
	}
}

// A router that is cut off does not know what the others admit. Guards against several such
// routers that each use the whole pool; also while the pool has room.
func TestRouterWithIncompleteTotalsUsesItsPart(t *testing.T) {
	for _, used := range []float64{70, 100, 150} {
		g := NewGate(newRandom(1))
		rates := []demand.Rate{rateOf(1, 0, 20), rateOf(2, 0, 2)}
		g.Update(start, Pool{Capacity: 100, Used: used, Routers: 10}, demand.Totals{Rates: rates})
		sum := 0.0
		for _, c := range g.Classes() {
			sum += c.Work * c.Fraction
		}
		if sum > 10*(1+tolerance) || sum < 5*(1-tolerance) {
			t.Errorf("with %v of 100 used, one of 10 routers uses %v", used, sum)
		}
		if got := g.Classes()[1].Fraction; got != 1 {
			t.Errorf("with %v of 100 used, the organisation within its share gets %v", used, got)
		}
	}
}

// Guards against fractions that stay in force when nobody updates them, such as after a suspension
// of the process, and against requests that are held back for lack of data about them.
func TestRequestsWithoutCurrentFractionAreAdmitted(t *testing.T) {
	g := shortGate(100, rateOf(1, 0, 10_000))
	if got := admittedOf(g, demand.Class{Org: 2}, 100); got != 100 {
		t.Errorf("%d of 100 requests of an organisation without any rate are admitted", got)
	}
	combined := shortGate(100, demand.Rate{Orgs: 10, Offered: 10_000})
	combined.Update(start, Pool{Capacity: 100, Used: 100, Routers: 1}, demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 10_000)}, Complete: true})
	if got := admittedOf(combined, demand.Class{Org: 2}, 100); got != 100 {
		t.Errorf("%d of 100 requests are admitted by a combined rate that the totals no longer have", got)
	}
	if got := admittedOf(g, demand.Class{Org: 1}, 100); got > 6 {
		t.Errorf("%d of 100 requests are admitted at the floor", got)
	}
	for range 100 {
		if !g.Decide(start.Add(fractionValidity+time.Millisecond), demand.Class{Org: 1}).Admit {
			t.Fatal("a request is refused by a fraction that has expired")
		}
	}
}

// Callers are told whether their organisation exceeds its share or gives way to more urgent work.
func TestCauseOfRefusal(t *testing.T) {
	important := rateOf(3, 0, 1000)
	important.OrgPriority = 0
	for _, c := range []struct {
		name  string
		rates []demand.Rate
		class demand.Class
		want  Cause
	}{
		{"more than its share", []demand.Rate{rateOf(1, 0, 1000), rateOf(2, 0, 10)}, demand.Class{Org: 1}, CauseShare},
		{"most urgent kind", []demand.Rate{rateOf(1, 0, 300), rateOf(1, 5, 300)}, demand.Class{Org: 1}, CauseShare},
		{"less urgent kind", []demand.Rate{rateOf(1, 0, 300), rateOf(1, 5, 300)}, demand.Class{Org: 1, Rank: 5}, CauseOrder},
		{"lower priority", []demand.Rate{important, {Class: demand.Class{Org: 1, OrgPriority: 4}, Orgs: 1, Offered: 40}}, demand.Class{Org: 1, OrgPriority: 4}, CauseOrder},
	} {
		g := shortGate(100, c.rates...)
		var got Cause
		for range 100 {
			if d := g.Decide(start, c.class); !d.Admit {
				got = d.Cause
			}
		}
		if got != c.want {
			t.Errorf("%s: the cause is %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against refusals that operators do not see, for named classes and combined ones.
func TestClassesCountRefusals(t *testing.T) {
	others := demand.Rate{Class: demand.Class{Weight: 1}, Orgs: 10, Offered: 1000}
	g := shortGate(110, rateOf(1, 0, 100), others)
	refused := [2]int64{}
	for i, c := range []demand.Class{{Org: 1}, {Org: 50}, {Org: 51}} {
		refused[min(i, 1)] += int64(100 - admittedOf(g, c, 100))
	}
	for i, c := range g.Classes() {
		if c.Refused != refused[i] || c.Refused == 0 {
			t.Errorf("%+v: %d refusals, want %d", c.Demand, c.Refused, refused[i])
		}
	}
}

// Organisations come and go by the thousand. Guards against memory that grows with them, and
// against classes of the totals whose fraction is lost with it.
func TestNumberOfClassesIsBounded(t *testing.T) {
	g := shortGate(100, rateOf(1, 0, 1000))
	for i := range uint32(3 * maxClasses) {
		g.Decide(start, demand.Class{Org: 10 + i})
		g.Decide(start, demand.Class{Org: 1})
	}
	if g.classes.Len() > maxClasses {
		t.Errorf("%d classes are kept", g.classes.Len())
	}
	if got := g.Decide(start, demand.Class{Org: 1}).Fraction; got > 0.2 {
		t.Errorf("the fraction of a named class is %v after many others were asked for", got)
	}
}

// Guards against malformed pools and totals.
func TestGateToleratesInvalidValues(t *testing.T) {
	values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64, 1e-300, 100}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SampledFrom(values)
		g, c := NewGate(newRandom(1)), RateCapacity{}
		now := start
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms")) * time.Millisecond)
			rates := []demand.Rate{rateOf(1, 0, value.Draw(t, "offered")), rateOf(2, 0, 10)}
			totals := demand.Totals{Rates: rates, Accepted: value.Draw(t, "accepted"), Rejected: value.Draw(t, "rejected"), Complete: rapid.Bool().Draw(t, "complete")}
			capacity, used := c.Update(now, totals)
			if !(capacity >= 0 && used >= 0 && used <= capacity && !math.IsInf(capacity, 0)) {
				t.Fatalf("the capacity is %v and its use %v", capacity, used)
			}
			g.Update(now, Pool{Capacity: value.Draw(t, "capacity"), Used: value.Draw(t, "used"), Routers: rapid.IntRange(-1, 3).Draw(t, "routers")}, totals)
			for org := range uint32(4) {
				if f := g.Decide(now, demand.Class{Org: org}).Fraction; !(f >= minFraction && f <= 1) {
					t.Fatalf("the fraction of organisation %d is %v", org, f)
				}
			}
		}
	})
	g := NewGate(newRandom(1))
	for _, v := range values[:5] {
		g.Update(start, Pool{Capacity: v, Used: 1, Routers: 1}, demand.Totals{Rates: []demand.Rate{rateOf(1, 0, 100)}, Complete: true})
		if g.Short() {
			t.Errorf("a pool with the capacity %v is short", v)
		}
	}
}

// Guards against garbage for each request.
func TestDecideDoesNotAllocate(t *testing.T) {
	g := shortGate(100, ratesOf(14_000, 8)...)
	for _, c := range []demand.Class{{Org: 1}, {Org: 5000}} {
		g.Decide(start, c)
		if n := testing.AllocsPerRun(100, func() { g.Decide(start, c) }); n != 0 {
			t.Errorf("%+v: %v allocations per decision", c, n)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	notShort := NewGate(newRandom(1))
	notShort.Update(start, Pool{Capacity: 100, Used: 10, Routers: 1}, demand.Totals{Rates: ratesOf(24, 24), Complete: true})
	for _, c := range []struct {
		name string
		gate *Gate
	}{{"not short", notShort}, {"short", shortGate(100, ratesOf(24, 24)...)}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			i := uint32(0)
			for b.Loop() {
				i++
				c.gate.Decide(start, demand.Class{Org: 1 + i%24, Rank: uint8(i % 3)})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, c := range []struct{ organisations, named int }{{24, 24}, {14_000, 8}} {
		b.Run(fmt.Sprintf("%d organisations, %d named", c.organisations, c.named), func(b *testing.B) {
			g, totals := NewGate(newRandom(1)), demand.Totals{Rates: ratesOf(c.organisations, c.named), Complete: true}
			for i := range uint32(maxClasses) { // known classes must not slow the update
				g.class(demand.Class{Org: 100 + i})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Update(start, Pool{Capacity: 100, Used: 100, Routers: 24}, totals)
			}
		})
	}
}
