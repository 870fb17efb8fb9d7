package shares

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// tolerance is the relative rounding error that the tests ignore.
const tolerance = 1e-6

// drawDemands returns demands of a few organisations, some of them combined. An organisation has
// the same priority and weight in all its demands, and no class occurs twice.
func drawDemands(t *rapid.T) []Demand {
	var out []Demand
	add := func(org uint32, priority uint8, weight uint16, orgs int) {
		for rank := range uint8(3) {
			for _, returning := range []bool{false, true} {
				if rapid.IntRange(0, 2).Draw(t, "has class") == 0 {
					continue
				}
				c := demand.Class{Org: org, OrgPriority: priority, Rank: rank, Returning: returning, Weight: weight}
				out = append(out, Demand{Class: c, Orgs: orgs, Work: rapid.Float64Range(0, 100).Draw(t, "work")})
			}
		}
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "organisations") {
		priority := uint8(rapid.IntRange(0, 3).Draw(t, "priority"))
		add(uint32(i+1), priority, uint16(rapid.IntRange(0, 8).Draw(t, "weight")), 1)
	}
	for priority := range uint8(4) {
		if rapid.IntRange(0, 2).Draw(t, "is combined") == 0 {
			add(0, priority, uint16(rapid.IntRange(1, 8).Draw(t, "weight")), rapid.IntRange(1, 50).Draw(t, "number"))
		}
	}
	return out
}

// sums returns the total and the admitted work.
func sums(demands []Demand, fractions []float64) (total, admitted float64) {
	for i, d := range demands {
		total += d.Work
		admitted += d.Work * fractions[i]
	}
	return total, admitted
}

// Guards against a pool that is overloaded because more is admitted than it can take, and against
// one that refuses work while it has capacity left.
func TestAdmittedWorkFillsTheCapacityAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 2000).Draw(t, "capacity")
		fractions := Allocate(capacity, demands)
		total, admitted := sums(demands, fractions)
		if limit := capacity + minFraction*total; admitted > limit*(1+tolerance) {
			t.Errorf("%v is admitted, the capacity and the floors are %v", admitted, limit)
		}
		if least := min(capacity, total); admitted < least*(1-tolerance) {
			t.Errorf("%v is admitted, although %v fits", admitted, least)
		}
		for i, f := range fractions {
			if total <= capacity && f != 1 {
				t.Errorf("%+v: the fraction is %v although all demand fits", demands[i], f)
			}
			if !(f >= minFraction && f <= 1) {
				t.Errorf("%+v: the fraction is %v, not between the floor and 1", demands[i], f)
			}
		}
	})
}

// orgTotals is the work of one organisation, or of each one of those that are combined.
type orgTotals struct {
	priority                uint8
	weight                  float64
	offered, admitted       float64
	isRefused, isAboveFloor bool // some class
}

func totalsByOrg(demands []Demand, fractions []float64) []orgTotals {
	type key struct {
		org      uint32
		priority uint8
	}
	byOrg := make(map[key]*orgTotals)
	for i, d := range demands {
		k := key{d.Org, d.OrgPriority}
		if byOrg[k] == nil {
			byOrg[k] = &orgTotals{priority: d.OrgPriority, weight: max(1, float64(d.Weight))}
		}
		o, work := byOrg[k], d.Work/float64(d.Orgs)
		o.offered += work
		o.admitted += work * fractions[i]
		o.isRefused = o.isRefused || (fractions[i] < 1-tolerance && work > 0)
		o.isAboveFloor = o.isAboveFloor || (fractions[i] > minFraction+tolerance && work > 0)
	}
	var out []orgTotals
	for _, o := range byOrg {
		out = append(out, *o)
	}
	return out
}

// Guards against an organisation that gets more than another by offering more, by its kinds of
// request, or because it is combined with others or is not: while an organisation has work
// refused, none of the same priority is admitted more weighted work, except by the floors.
func TestOrganisationsOfOnePriorityShareByMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		fractions := Allocate(rapid.Float64Range(0, 2000).Draw(t, "capacity"), demands)
		all := totalsByOrg(demands, fractions)
		for _, a := range all {
			for _, b := range all {
				if a.priority != b.priority || !a.isRefused {
					continue
				}
				if got, limit := (b.admitted-minFraction*b.offered)/b.weight, a.admitted/a.weight; got > limit*(1+tolerance)+tolerance {
					t.Errorf("%+v is admitted more weighted work (%v) than %+v (%v), which has work refused", b, got, a, limit)
				}
			}
		}
	})
}

// Guards against less urgent organisations that take capacity from more urgent ones: while an
// organisation has work refused, those of lower priorities get no more than what is reserved for
// them. Guards also against those that get nothing but their floors.
func TestHigherPrioritiesComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 2000).Draw(t, "capacity")
		fractions := Allocate(capacity, demands)
		for priority := range uint8(3) {
			refused, below, offeredBelow, floors := false, 0.0, 0.0, 0.0
			for i, d := range demands {
				if d.OrgPriority <= priority {
					refused = refused || (d.Work > 0 && fractions[i] < 1-tolerance)
				} else {
					below += d.Work * fractions[i]
					offeredBelow += d.Work
					floors += d.Work * minFraction
				}
			}
			if limit := lowerLevelsReserve*capacity + floors; refused && below > limit*(1+tolerance)+tolerance {
				t.Errorf("below priority %d %v is admitted, more than %v, although more urgent work is refused", priority, below, limit)
			}
			if least := min(offeredBelow, lowerLevelsReserve*capacity); priority == 0 && below < least*(1-tolerance) {
				t.Errorf("below priority 0 %v is admitted, less than the reserve of %v", below, least)
			}
		}
	})
}

// Guards against long plans that take the places of chats of the same organisation: while a more
// urgent rank is refused, all less urgent ones together get no more than what is reserved for them, and
// the floors of their classes.
func TestUrgentClassesComeFirstWithinAnOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		fractions := Allocate(rapid.Float64Range(0, 2000).Draw(t, "capacity"), demands)
		for _, a := range demands {
			refused, upper, lower, floors := false, 0.0, 0.0, 0.0
			for i, b := range demands {
				switch {
				case a.Org != b.Org || a.OrgPriority != b.OrgPriority:
				case b.Rank <= a.Rank:
					refused = refused || b.Work > 0 && fractions[i] < 1-tolerance
					upper += b.Work * fractions[i]
				default:
					lower += b.Work * fractions[i]
					floors += b.Work * minFraction
				}
			}
			if limit := lowerRanksReserve*(upper+lower) + floors; refused && lower > limit*(1+tolerance)+tolerance {
				t.Errorf("below rank %d of organisation %d %v is admitted, more than %v, although more urgent work is refused", a.Rank, a.Org, lower, limit)
			}
		}
	})
}

// Guards against short requests that are refused to gain next to nothing for long, more urgent ones.
func TestLessUrgentShortWorkIsAdmitted(t *testing.T) {
	long := Demand{Class: demand.Class{Org: 1, Rank: 0}, Orgs: 1, Work: 300}
	short := Demand{Class: demand.Class{Org: 1, Rank: 2}, Orgs: 1, Work: 10}
	if got := Allocate(100, []Demand{long, short}); got[1] != 1 || math.Abs(got[0]-0.3) > tolerance {
		t.Errorf("admitted %v, want 0.3 of the long work and all of the short", got)
	}
}

// Guards against callers who came back when they were told to and are refused again in favour of new
// ones, and against new ones of whom none is served in time because all places go to those.
func TestReturningCallersHaveAPartOfTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		fractions := Allocate(rapid.Float64Range(0, 2000).Draw(t, "capacity"), demands)
		for i, a := range demands {
			for j, b := range demands {
				if a.Org != b.Org || a.OrgPriority != b.OrgPriority || a.Rank != b.Rank || !a.Returning || b.Returning || a.Work == 0 || b.Work == 0 {
					continue
				}
				returning, others := a.Work*fractions[i], b.Work*fractions[j]
				if fractions[i] < 1-tolerance && fractions[j] > minFraction && returning < returningReserve*(returning+others)*(1-tolerance)-tolerance {
					t.Errorf("%+v gets %v, less than its part beside %v of %+v", a, returning, others, b)
				}
				if fractions[i] < fractions[j]-tolerance {
					t.Errorf("%+v gets %v, a smaller fraction than the %v of %+v", a, fractions[i], fractions[j], b)
				}
				if fractions[j] < 1-tolerance && fractions[j] > minFraction && fractions[i] > fractions[j]+tolerance && returning > returningReserve*(returning+others)+tolerance {
					t.Errorf("%+v gets %v beside %v of returning callers, who have more than their part", b, others, returning)
				}
			}
		}
	})
}

// Guards against organisations that lose by being combined in a message, or gain by it: N of the
// same size must get the same whether they are named or not, with any other demand beside them.
func TestCombinedOrganisationsGetAsMuchAsNamedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := drawDemands(t)
		for i := range others { // the other combined demands would be taken as the same organisations
			if others[i].Org == 0 {
				others[i].OrgPriority = 9
			}
		}
		n := rapid.IntRange(2, 30).Draw(t, "number")
		priority := uint8(rapid.IntRange(0, 3).Draw(t, "priority"))
		weight := uint16(rapid.IntRange(1, 8).Draw(t, "weight"))
		named, combined := append([]Demand(nil), others...), append([]Demand(nil), others...)
		for rank := range uint8(2) {
			work := rapid.Float64Range(0.1, 50).Draw(t, "work")
			c := demand.Class{OrgPriority: priority, Rank: rank, Weight: weight}
			combined = append(combined, Demand{Class: c, Orgs: n, Work: work * float64(n)})
			for i := range n {
				c.Org = uint32(1000 + i)
				named = append(named, Demand{Class: c, Orgs: 1, Work: work})
			}
		}
		capacity := rapid.Float64Range(1, 2000).Draw(t, "capacity")
		a, b := Allocate(capacity, combined), Allocate(capacity, named)
		for i := range others {
			if math.Abs(a[i]-b[i]) > tolerance {
				t.Errorf("%+v gets %v beside combined organisations, %v beside named ones", others[i], a[i], b[i])
			}
		}
		for rank := range 2 {
			x, y := a[len(others)+rank], b[len(others)+rank*n]
			if math.Abs(x-y) > tolerance {
				t.Errorf("rank %d: %d organisations get %v combined and %v named", rank, n, x, y)
			}
		}
	})
}

// Guards against malformed reports: no value may lead to a fraction outside its range, or take the
// share of organisations whose demand is small.
func TestAllocateToleratesInvalidValues(t *testing.T) {
	values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64, -math.MaxFloat64, math.SmallestNonzeroFloat64}
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		for i := range demands {
			if rapid.Bool().Draw(t, "is invalid") {
				demands[i].Work = rapid.SampledFrom(values).Draw(t, "work")
				demands[i].Weight = rapid.Uint16().Draw(t, "weight")
				demands[i].OrgPriority = rapid.Uint8().Draw(t, "priority")
				demands[i].Rank = rapid.Uint8().Draw(t, "rank")
				demands[i].Orgs = rapid.Int().Draw(t, "organisations")
			}
		}
		capacity := rapid.SampledFrom(append(values, 100)).Draw(t, "capacity")
		for i, f := range Allocate(capacity, demands) {
			if !(f >= minFraction && f <= 1) {
				t.Errorf("%+v: the fraction is %v", demands[i], f)
			}
		}
	})
	small := Demand{Class: demand.Class{Org: 1}, Orgs: 1, Work: 10}
	for _, work := range values {
		for _, weight := range []uint16{0, 1, math.MaxUint16} {
			// A weight is at most 1,000, so the other organisation gets at least 100,100 / 1,001.
			large := Demand{Class: demand.Class{Org: 2, Weight: weight}, Orgs: 1, Work: work}
			if got := Allocate(100_100, []Demand{small, large})[0]; got != 1 {
				t.Errorf("beside an organisation with weight %d and work %v, a small one gets %v", weight, work, got)
			}
		}
	}
}

// The share of a combined demand does not depend on its Org field, and an Orgs field of 0 counts as 1.
func TestWhichDemandsAreCombined(t *testing.T) {
	for _, c := range []struct {
		demand Demand
		want   bool
	}{
		{Demand{Class: demand.Class{Org: 7}, Orgs: 1}, false},
		{Demand{Class: demand.Class{Org: 7}, Orgs: 0}, false},
		{Demand{Class: demand.Class{Org: 7}, Orgs: 2}, true},
		{Demand{Orgs: 1}, true},
	} {
		if got := c.demand.combined(); got != c.want {
			t.Errorf("%+v: combined is %v", c.demand, got)
		}
	}
}

func BenchmarkAllocate24Orgs3Ranks(b *testing.B) {
	demands := demandsOf(ratesOf(24, 24))
	b.ReportAllocs()
	for b.Loop() {
		Allocate(100, demands)
	}
}

// ratesOf returns the rates of organisations with 3 ranks each, of which some are named and the
// others combined. Each offers 10 in each rank.
func ratesOf(organisations, named int) []demand.Rate {
	var out []demand.Rate
	for rank := range uint8(3) {
		for i := range named {
			out = append(out, demand.Rate{Class: demand.Class{Org: uint32(i + 1), Rank: rank, Weight: 1}, Orgs: 1, Offered: 10})
		}
		if n := organisations - named; n > 0 {
			out = append(out, demand.Rate{Class: demand.Class{Rank: rank, Weight: 1}, Orgs: n, Offered: 10 * float64(n)})
		}
	}
	return out
}

func demandsOf(rates []demand.Rate) []Demand {
	var out []Demand
	for _, r := range rates {
		out = append(out, Demand{Class: r.Class, Orgs: r.Orgs, Work: r.Offered})
	}
	return out
}
