package demand

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// merger adds up the demand of this router and of messages: the rest of a summary, and reports.
type merger struct {
	sources  []*message
	orgs     []organisation // sum by organisation: first those of this router, then those only in messages
	own      map[uint32]int // index of this router's organisations in orgs; read only
	index    map[uint32]int // index of the others
	accepted float64
	rejected float64
}

// newMerger returns a merger with this router's own demand, which it takes over. The index is that
// of the organisations.
func newMerger(own *message, index map[uint32]int) *merger {
	return &merger{
		orgs: own.orgs, own: index, index: make(map[uint32]int),
		accepted: own.accepted, rejected: own.rejected,
	}
}

// find returns the index of an organisation in orgs.
func (g *merger) find(id uint32) (at int, known bool) {
	if at, known = g.own[id]; !known {
		at, known = g.index[id]
	}
	return at, known
}

// add adds a message. The priority and weight of an organisation are those that this router
// knows, or those of the first message.
func (g *merger) add(m *message) {
	g.sources = append(g.sources, m)
	g.accepted += m.accepted
	g.rejected += m.rejected
	for i := range m.orgs {
		g.addOrganisation(&m.orgs[i])
	}
}

func (g *merger) addOrganisation(o *organisation) {
	at, known := g.find(o.id)
	if !known {
		g.index[o.id] = len(g.orgs)
		g.orgs = append(g.orgs, *o)
		return
	}
	sum := &g.orgs[at]
	for set := o.classes; set != 0; set &= set - 1 {
		class := bits.TrailingZeros32(set)
		sum.add(class, o.offered[class])
	}
}

// detailed returns the sum with every organisation named.
func (g *merger) detailed() *message {
	var sum combiner
	isNamed := make([]bool, len(g.orgs))
	named := make([]organisation, 0, len(g.orgs))
	for i := range g.orgs {
		if g.orgs[i].id == 0 {
			sum.addOrganisation(&g.orgs[i])
			continue
		}
		isNamed[i] = true
		named = append(named, g.orgs[i])
	}
	return g.message(&sum, isNamed, named)
}

// reduced returns the sum with at most maxNamed organisations named, those with the most work,
// and fewer if it would not fit into a message. eligible decides which organisations may be named
// given their work.
func (g *merger) reduced(eligible func(id uint32, work float64) bool) *message {
	top := g.top(eligible)
	isNamed := make([]bool, len(g.orgs))
	named := make([]organisation, 0, len(top))
	for _, at := range top {
		isNamed[at] = true
		named = append(named, g.orgs[at])
	}
	var sum combiner
	for i := range g.orgs {
		if !isNamed[i] {
			sum.addOrganisation(&g.orgs[i])
		}
	}
	for {
		withSources := sum
		m := g.message(&withSources, isNamed, named)
		last := len(named) - 1
		if m.size() <= maxMessageSize || last < 0 {
			return m
		}
		isNamed[top[last]] = false
		sum.addOrganisation(&named[last])
		named = named[:last]
	}
}

// top returns the indexes of at most maxNamed eligible organisations with the most work, in
// descending order. The hash 0 denotes combined rates in Totals and is never eligible.
func (g *merger) top(eligible func(id uint32, work float64) bool) []int {
	type candidate struct {
		at   int
		work float64
	}
	first := make([]candidate, 0, maxNamed+1)
	for i := range g.orgs {
		o := &g.orgs[i]
		c := candidate{i, o.work()}
		if len(first) == maxNamed && c.work < first[maxNamed-1].work {
			continue
		}
		if o.id == 0 || encodeRate(c.work) == 0 || !eligible(o.id, c.work) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(g.orgs[a.at].id, g.orgs[b.at].id))
		})
		first = slices.Insert(first, at, c)
		first = first[:min(len(first), maxNamed)]
	}
	var indexes []int
	for _, c := range first {
		indexes = append(indexes, c.at)
	}
	return indexes
}

// message returns the sum with the given organisations named. The combiner contains the others,
// and gets the combined rates of the sources.
func (g *merger) message(sum *combiner, isNamed []bool, named []organisation) *message {
	for _, s := range g.sources {
		sum.addSource(s, func(id uint32) bool {
			at, known := g.find(id)
			return known && isNamed[at]
		})
	}
	return &message{accepted: g.accepted, rejected: g.rejected, orgs: named, combined: sum.combinations()}
}

// combiner adds up combined rates.
type combiner struct {
	offered [priorityCount][classCount]float64
	orgs    [priorityCount][classCount]int
	// weights is the sum of the weights of weighted organisations of each priority.
	weights  [priorityCount]float64
	weighted [priorityCount]float64
}

// addOrganisation adds an organisation that is not named. It must be called once for each, with
// its rates of all sources, and before addSource.
func (c *combiner) addOrganisation(o *organisation) {
	if o.classes == 0 {
		return
	}
	p := o.priority
	for set := o.classes; set != 0; set &= set - 1 {
		class := bits.TrailingZeros32(set)
		c.offered[p][class] += o.offered[class]
		c.orgs[p][class]++
	}
	c.weights[p] += float64(o.weight)
	c.weighted[p]++
}

// addSource adds the combined rates of a source. The number of organisations becomes the maximum
// of those that the sources know: the combined ones of a source and those that it names and that
// are not named any more are different organisations, those of two sources may be the same.
func (c *combiner) addSource(m *message, isNamed func(id uint32) bool) {
	if len(m.combined) == 0 {
		return
	}
	var orgs [priorityCount][classCount]int
	for i := range m.orgs {
		o := &m.orgs[i]
		if isNamed(o.id) {
			continue
		}
		for set := o.classes; set != 0; set &= set - 1 {
			orgs[o.priority][bits.TrailingZeros32(set)]++
		}
	}
	var most [priorityCount]float64
	var weight [priorityCount]float64
	for _, r := range m.combined {
		c.offered[r.priority][r.class] += r.offered
		n := orgs[r.priority][r.class] + r.orgs
		c.orgs[r.priority][r.class] = max(c.orgs[r.priority][r.class], n)
		most[r.priority], weight[r.priority] = max(most[r.priority], float64(r.orgs)), float64(r.weight)
	}
	for p := range most {
		c.weights[p] += weight[p] * most[p]
		c.weighted[p] += most[p]
	}
}

// combinations returns the combined rates. The weight is the mean over organisations, so that the
// organisations of a priority have the same claim in total as with their own weights.
func (c *combiner) combinations() []combination {
	var all []combination
	for p := range c.offered {
		weight := uint16(1)
		if c.weighted[p] > 0 {
			weight = uint16(min(max(math.Round(c.weights[p]/c.weighted[p]), 1), maxWeight))
		}
		for class, offered := range c.offered[p] {
			if encodeRate(offered) == 0 {
				continue
			}
			all = append(all, combination{
				priority: uint8(p), class: uint8(class), weight: weight,
				orgs: min(max(c.orgs[p][class], 1), maxOrgs), offered: offered,
			})
		}
	}
	return all
}

// fit prepares a reduced message for encoding: it removes rates that are too small to be sent,
// and the combined rates with the least work if the message is too long.
func (m *message) fit() {
	for i := range m.orgs {
		o := &m.orgs[i]
		for set := o.classes; set != 0; set &= set - 1 {
			if class := bits.TrailingZeros32(set); encodeRate(o.offered[class]) == 0 {
				o.classes &^= 1 << class
			}
		}
	}
	m.orgs = slices.DeleteFunc(m.orgs, func(o organisation) bool { return o.classes == 0 })
	for m.size() > maxMessageSize {
		least := 0
		for i, c := range m.combined {
			if c.offered < m.combined[least].offered {
				least = i
			}
		}
		m.combined = slices.Delete(m.combined, least, least+1)
	}
}

// minus returns the demand of m without that of an earlier message that is part of it. A rate
// that would become negative is zero.
func (m *message) minus(part *message) *message {
	rest := &message{
		accepted: max(m.accepted-part.accepted, 0), rejected: max(m.rejected-part.rejected, 0),
		orgs: slices.Clone(m.orgs),
	}
	var combined [priorityCount][classCount]float64
	for _, c := range part.combined {
		combined[c.priority][c.class] += c.offered
	}
	for i := range part.orgs {
		o := &part.orgs[i]
		named := rest.named(o.id)
		for set := o.classes; set != 0; set &= set - 1 {
			class := bits.TrailingZeros32(set)
			if named == nil { // combined by a router between this one and the root
				combined[o.priority][class] += o.offered[class]
				continue
			}
			named.offered[class] = max(named.offered[class]-o.offered[class], 0)
			if named.offered[class] == 0 {
				named.classes &^= 1 << class
			}
		}
	}
	for _, c := range m.combined {
		c.offered = max(c.offered-combined[c.priority][c.class], 0)
		rest.combined = append(rest.combined, c)
	}
	return rest
}

// lowestNamed returns the work of the named organisation with the least, or 0 if the message has
// no combined rates: then an organisation that it does not name is not in it.
func (m *message) lowestNamed() float64 {
	if len(m.combined) == 0 {
		return 0
	}
	lowest := math.Inf(1)
	for i := range m.orgs {
		lowest = min(lowest, m.orgs[i].work())
	}
	return lowest
}
