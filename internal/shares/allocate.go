package shares

import (
	"cmp"
	"math"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/demand"
)

const (
	// minFraction is the part of its work that each class is admitted at least, so that no kind of
	// request starves.
	minFraction = 0.05
	// returningReserve is the part of an organisation's share that its returning callers get before
	// new requests of the same rank. If they got all of it, a long surge would serve each caller late
	// and none in time.
	returningReserve = 0.3
	// lowerRanksReserve is the part of an organisation's share that each rank leaves to the less urgent
	// ones. Short requests of these need little, and to refuse them would gain next to nothing.
	lowerRanksReserve = 0.15
	// lowerLevelsReserve is the part of a priority level's capacity that is left to the levels
	// below it.
	lowerLevelsReserve = 0.05
	// priorityLevels is the number of priorities of organisations.
	priorityLevels = 10
	// rankLevels is the number of ranks of kinds of request.
	rankLevels = 10
	// maxWeight is the largest weight of an organisation.
	maxWeight = 1000
	// maxOrgs limits the number of organisations in one demand. It is far above that of any
	// deployment, and prevents that a malformed message takes the whole pool.
	maxOrgs = 1 << 20
	// maxWork limits work and capacity, so that sums and products of them stay finite and precise.
	maxWork = 1e12
	// roundingTolerance is the relative error of sums of work that is ignored.
	roundingTolerance = 1e-9
)

// Demand is the work that is offered in a class.
type Demand struct {
	demand.Class
	// Orgs is the number of organisations that the demand covers. A demand of more than one, or
	// one with Class.Org zero, is combined: it names no organisation.
	Orgs int
	Work float64 // in the unit of the capacity
}

// combined reports whether the demand names no organisation.
func (d *Demand) combined() bool {
	return d.Orgs > 1 || d.Org == 0
}

// Allocate returns the admitted fraction of each demand, from 0.05 to 1, if a pool can take
// capacity. The admitted work is at most the capacity, plus 5% of each class whose share is
// smaller than that.
//
// Organisations with a higher priority come first, and those of the same priority share by
// weighted max-min fairness. The share of an organisation goes to its classes by rank, and within a
// rank returning callers come first, with a limited part of the share. Combined demands of the same priority are taken as the
// classes of the same organisations, which are equal to each other: their number is the largest of
// the demands, and their weight is the mean.
//
// Work that is negative or not a number counts as zero, and infinite work as a very large amount;
// the same applies to the capacity.
func Allocate(capacity float64, demands []Demand) []float64 {
	return allocate(capacity, demands).fractions
}

// allocation is the result of allocate, by demand.
type allocation struct {
	fractions []float64 // admitted
	// unordered is the fraction that would be admitted if all organisations had the same priority
	// and all classes the same rank. It tells why work is refused.
	unordered []float64
}

// group is an organisation, or several equal ones that are combined. Work is that of one of them, from
// which take takes away.
type group struct {
	priority int
	weight   float64
	orgs     float64
	work     float64
	// share is the work admitted without the floors of classes. take reduces it.
	share    float64
	weighted float64 // sum of the weights of combined demands times their organisations
	counted  float64 // sum of the organisations of combined demands
}

func allocate(capacity float64, demands []Demand) allocation {
	result := allocation{fractions: make([]float64, len(demands)), unordered: make([]float64, len(demands))}
	capacity = sanitizeWork(capacity)
	total := 0.0
	for i := range demands {
		total += sanitizeWork(demands[i].Work)
		result.fractions[i], result.unordered[i] = 1, 1
	}
	if total <= capacity*(1+roundingTolerance) {
		return result
	}
	groups, groupOf := groupByOrganisation(demands)
	byNeed := make([]*group, len(groups))
	for i := range groups {
		byNeed[i] = &groups[i]
	}
	slices.SortFunc(byNeed, func(a, b *group) int { return cmp.Compare(a.work/a.weight, b.work/b.weight) })
	level := waterLevel(capacity, byNeed)
	for i, g := range groupOf {
		result.unordered[i] = groups[g].fraction(level)
	}
	allocateByPriority(capacity, total, byNeed)
	allocateByRank(demands, groups, groupOf, result.fractions)
	return result
}

// sanitizeWork returns work, limited to between 0 and maxWork.
func sanitizeWork(work float64) float64 {
	if !(work > 0) { // including NaN
		return 0
	}
	return min(work, maxWork)
}

// sanitizeWeight returns the weight of an organisation, limited to between 1 and maxWeight.
func sanitizeWeight(weight uint16) float64 {
	return float64(min(max(weight, 1), maxWeight))
}

// sanitizePriority returns the priority of an organisation, limited to the lowest.
func sanitizePriority(priority uint8) int {
	return int(min(priority, priorityLevels-1))
}

// sanitizeRank returns the rank of a kind, limited to the least urgent.
func sanitizeRank(rank uint8) int {
	return int(min(rank, rankLevels-1))
}

// groupByOrganisation returns the organisations of the demands, and for each demand the index of
// its organisation. While a change of settings spreads, routers may report an organisation with
// different priorities and weights: the highest applies.
func groupByOrganisation(demands []Demand) ([]group, []int) {
	groups := make([]group, 0, len(demands))
	groupOf := make([]int, len(demands))
	named := make(map[uint32]int, len(demands))
	var combined [priorityLevels]int // index + 1; 0: none
	for i := range demands {
		d := &demands[i]
		priority, index, known := sanitizePriority(d.OrgPriority), 0, false
		if d.combined() {
			index, known = combined[priority]-1, combined[priority] > 0
		} else {
			index, known = named[d.Org]
		}
		if !known {
			index = len(groups)
			groups = append(groups, group{priority: priority, orgs: 1})
			if d.combined() {
				combined[priority] = index + 1
			} else {
				named[d.Org] = index
			}
		}
		groupOf[i] = index
		groups[index].add(d)
	}
	for i := range groups {
		groups[i].work /= groups[i].orgs
	}
	return groups, groupOf
}

// add adds a demand to the group. Until all are added, g.work is the sum of the organisations.
func (g *group) add(d *Demand) {
	orgs, weight := float64(min(max(d.Orgs, 1), maxOrgs)), sanitizeWeight(d.Weight)
	g.priority = min(g.priority, sanitizePriority(d.OrgPriority))
	g.orgs = max(g.orgs, orgs)
	g.work += sanitizeWork(d.Work)
	if d.combined() {
		g.weighted += orgs * weight
		g.counted += orgs
		g.weight = g.weighted / g.counted
	} else {
		g.weight = max(g.weight, weight)
	}
}

// fraction returns the part of the group's work that is admitted at a water level.
func (g *group) fraction(level float64) float64 {
	if g.work <= level*g.weight {
		return 1
	}
	return level * g.weight / g.work
}

// waterLevel returns the work per weight up to which the organisations are admitted, so that they
// use the capacity together; +Inf if all their work fits. The groups must be ordered by work per
// weight.
func waterLevel(capacity float64, byNeed []*group) float64 {
	weight := 0.0
	for _, g := range byNeed {
		weight += g.orgs * g.weight
	}
	for _, g := range byNeed {
		// Weights are multiples of small numbers, except means, so that this sum may be off by a
		// rounding error; it is never less than the weight of the current group.
		weight = max(weight, g.orgs*g.weight)
		level := capacity / weight
		if g.work/g.weight > level {
			return level
		}
		capacity = max(0, capacity-g.orgs*g.work)
		weight -= g.orgs * g.weight
	}
	return math.Inf(1)
}

// allocateByPriority sets the shares of the organisations. total is their work.
func allocateByPriority(capacity, total float64, byNeed []*group) {
	level := make([]*group, 0, len(byNeed))
	below := total
	for priority := range priorityLevels {
		level = level[:0]
		work := 0.0
		for _, g := range byNeed {
			if g.priority == priority {
				level = append(level, g)
				work += g.orgs * g.work
			}
		}
		if len(level) == 0 {
			continue
		}
		below = max(0, below-work)
		if below < total*roundingTolerance {
			below = 0
		}
		water := waterLevel(capacity-min(below, lowerLevelsReserve*capacity), level)
		for _, g := range level {
			g.share = g.work
			if g.work > water*g.weight {
				g.share = water * g.weight
			}
			capacity = max(0, capacity-g.orgs*g.share)
		}
	}
}

// allocateByRank sets the admitted fractions of the classes of each organisation.
func allocateByRank(demands []Demand, groups []group, groupOf []int, fractions []float64) {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	compare := func(a, b int) int {
		return cmp.Or(cmp.Compare(groupOf[a], groupOf[b]), cmp.Compare(sanitizeRank(demands[a].Rank), sanitizeRank(demands[b].Rank)))
	}
	slices.SortFunc(order, compare)
	for len(order) > 0 {
		g, end := &groups[groupOf[order[0]]], 0
		var work rankWork // of one organisation
		for end < len(order) && compare(order[end], order[0]) == 0 {
			d := &demands[order[end]]
			*work.of(d) += sanitizeWork(d.Work) / g.orgs
			end++
		}
		admitted := g.take(work)
		for _, i := range order[:end] {
			fractions[i] = *admitted.of(&demands[i])
		}
		order = order[end:]
	}
}

// rankWork is a value for each of the two classes of a rank of an organisation.
type rankWork struct{ returning, first float64 }

// of returns the value for the class of a demand.
func (w *rankWork) of(d *Demand) *float64 {
	if d.Returning {
		return &w.returning
	}
	return &w.first
}

// take takes the work of the next rank from the rest of the group's share, and returns the fractions
// that are admitted. A rank leaves at least lowerRanksReserve of the rest to the ones after it, while
// they have work. Of a rank that does not fit, returning callers get what the first requests of others
// leave, and at least returningReserve.
func (g *group) take(work rankWork) rankWork {
	sum := work.returning + work.first
	allFits := g.work <= g.share*(1+roundingTolerance)
	g.work = max(0, g.work-sum)
	available := g.share - min(g.work, lowerRanksReserve*g.share)
	if allFits || sum <= available*(1+roundingTolerance) {
		g.share = max(0, g.share-sum)
		return rankWork{1, 1}
	}
	g.share -= available
	reserved := max(returningReserve*available, available*work.returning/sum)
	returning := min(work.returning, max(reserved, available-work.first))
	return rankWork{admittedFraction(returning, work.returning), admittedFraction(available-returning, work.first)}
}

// admittedFraction returns the fraction of work that is admitted if a part of it fits.
func admittedFraction(part, work float64) float64 {
	if work <= part*(1+roundingTolerance) {
		return 1
	}
	return max(minFraction, part/work)
}
