package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// Loads is what a router believes of the loads of a pool's upstreams.
type Loads interface {
	Load(vm load.VM) float64
	Upper(vm load.VM) float64
	Mean() float64
	// Cost returns how long a request more is believed to take at an upstream, in
	// units that mean something only next to those of the pool's others.
	Cost(vm load.VM) float64
	// Estimate returns when the request's answer is expected to begin at an upstream.
	Estimate(vm load.VM) Estimate
	// IsSuspected reports whether an upstream fails more of its requests than others.
	IsSuspected(vm load.VM) bool
	// Unavailable reports whether upstream i of the pool may get no request now, whatever its load:
	// it leaves, or is cold and has got what it bears.
	Unavailable(i int) bool
}

const (
	// boundSlack is how many requests an upstream takes over the multiple of the
	// mean: where the mean is a few requests, chance alone puts two or three more on
	// an upstream, and sessions would leave their prompts for that.
	boundSlack = 2.25
	// jitterMultipleMin and jitterMultipleMax times the bound's multiple, and slackLow and slackHigh requests
	// on top, are between which the bound of a request lies where chance draws it.
	jitterMultipleMin, jitterMultipleMax = 0.85, 1.15
	jitterSlackMin, jitterSlackMax       = 1.5, 3.0
	// takeoverMultiple of the mean, and takeoverSlack requests, is up to which an upstream takes
	// over requests of one that is suspected. With three fifths of a pool losing answers, the others would
	// stand at the bound all the time, and chance would put them over the operators'.
	takeoverMultiple, takeoverSlack = 1.3, 1.0
	// donorMinAge is how long after it has joined an upstream is passed over as a
	// donor. Among upstreams that are replaced one after the other, it lowers the
	// shared tokens that are read again by a sixth; 15 s do no better.
	donorMinAge = 5 * time.Second
)

// Estimate is when the answer to a request is expected to begin at an upstream.
type Estimate struct {
	Start     float64 // seconds until its first byte
	QueueWait float64 // seconds of them that others take which go before it
	Queued    bool    // there is no free place
	Slowdown  float64 // how many times longer than usual the upstream takes
}

// Basis is what a choice rests on, for those who ask why.
type Basis struct {
	Mean           float64 // believed mean load of the pool
	Bound          float64 // over which an upstream comes last; infinite: none
	EstimatedStart float64 // seconds until the first byte is expected, at the first choice
	QueueWait      float64 // seconds of waiting at the session's upstreams, by what each can do
	// Urgency is with which the request is sent, 0 first, and Behind tells that it waits
	// behind all those that can still be answered in time.
	Urgency  int
	Deferred bool
	// Home is the upstream that ranks first for the session, None without one, and Passed why
	// it is not the first choice.
	Home       int
	PassedOver PassOverReason
	// ShouldReject tells that the request had better be turned away: more come than the pool
	// answers in time, and the first choice has no free place.
	ShouldReject bool
}

// PassOverReason is why the upstream that ranks first for a session is not the first choice.
type PassOverReason string

// Reasons to pass over an upstream.
const (
	NotPassedOver         PassOverReason = ""
	PassedOverUnavailable PassOverReason = "closed" // it may get no request
	PassedOverSpread      PassOverReason = "spread" // the session has more requests than it may hold
)

// passOverReasons names the classes for which an upstream is passed over.
var passOverReasons = map[class]PassOverReason{
	suspected: "suspected", loaded: "loaded", tooSlow: "slow", queued: "queued", lowerRanked: "far", overBound: "over bound",
}

// Choice is an upstream to which a request is offered.
type Choice struct {
	Index int
	Load  float64 // as it is believed
	Donor int     // upstream that is the likeliest to hold the session's prompt beside it, or None
}

// ChooseBounded writes the upstreams to which a request is offered to out, where no
// sidecar bounds their load: the session's ranking, with those behind that may be
// over the multiple of the mean. It returns how many there are, and why.
//
// The ranking keeps a session where its prompt is cached. Under a surge of one
// session it spills over to the next in the ranking, always in the same order at
// each router, so that few upstreams read the same prompt.
func (p *Pool) ChooseBounded(l Loads, q Query, out *[MaxCandidates]Choice) (int, Basis) {
	basis := Basis{Mean: l.Mean(), Bound: math.Inf(1), Home: None}
	if q.LoadMultiple > 0 {
		basis.Bound = q.bound(basis.Mean)
	}
	if q.Session == 0 {
		return p.chooseCheapest(l, q.Random, out), basis
	}
	var ranked [maxRanked]int
	order := ranked[:p.rank(q, ranked[:])]
	if len(order) > 0 {
		basis.Home = order[0]
	}
	p.spreadHotSession(l, q, basis, order)
	n, first := p.chooseRanked(l, q, &basis, order, out)
	basis.EstimatedStart = first.estimate.Start
	basis.ShouldReject = first.estimate.Queued && shouldReject(q, basis)
	// Upstreams of other regions come last.
	for _, i := range ranked[:p.remote.top(q.Session, ranked[:])] {
		n = p.add(l, out, n, i)
	}
	return n, basis
}

// boundSalt sets the draw of a bound apart from others of the same random number.
const boundSalt = 0x5bd1e995

// bound returns over which load an upstream comes last for a request.
//
// Routers are told the same loads, some tenths of a second old. With one bound for all
// requests, an upstream that is seen to pass it loses those of all routers at the same
// moment, and the one that is seen to have room gets them: with a third of the pool idle,
// one request in twenty met an upstream over the operators' bound. Drawn anew for each
// request, the bound has them leave one after the other.
func (q Query) bound(mean float64) float64 {
	draw := unitInterval(mix(q.Random ^ boundSalt))
	multiple := 1 + q.BoundJitter*(jitterMultipleMin+draw*(jitterMultipleMax-jitterMultipleMin)-1)
	slack := boundSlack + q.BoundJitter*(jitterSlackMin+draw*(jitterSlackMax-jitterSlackMin)-boundSlack)
	return multiple*q.LoadMultiple*mean + slack
}

// accepts reports whether upstream i may get a request now.
func (p *Pool) accepts(l Loads, i int) bool {
	return !p.members[i].Leaving && !l.Unavailable(i)
}

// rank writes the indices of the region's upstreams to best, in the order in which a
// session prefers them, and returns how many there are.
func (p *Pool) rank(q Query, best []int) int {
	if q.IgnoreDomains {
		return p.regional.top(q.Session, best)
	}
	return p.byDomain.top(q.Session, best)
}

// admitAllWait and rejectAllWait of the shortest objective of a pool are up to which expected wait
// all requests are taken, and from which on none is. In between chance decides: what routers
// are told of queues is some tenths of a second old, and a sharp limit has all of them turn
// away, and then all of them take, at the same time.
const admitAllWait, rejectAllWait = 0.3, 1.0

// shouldReject reports whether a request is not to be sent to its first choice as it is.
func shouldReject(q Query, b Basis) bool {
	switch {
	case q.LatencyLimit <= 0:
		return false
	case q.Deferred:
		return b.EstimatedStart > q.LatencyLimit
	}
	rejectShare := (b.QueueWait/q.ShortestObjective - admitAllWait) / (rejectAllWait - admitAllWait)
	return rejectShare > unitInterval(mix(q.Random))
}

// chooseRanked writes the upstreams of a ranking that serve to out, the best first, and
// returns how many there are, and the first of them. It notes in basis when an answer is
// expected to begin there, by what each can do: of those that work slowly few requests are
// in question.
func (p *Pool) chooseRanked(l Loads, q Query, basis *Basis, order []int, out *[MaxCandidates]Choice) (int, candidate) {
	var ranked [maxRanked]candidate
	scan := rankingScan{takeoverLimit: takeoverMultiple*basis.Mean + takeoverSlack}
	n := 0
	for _, i := range order {
		if p.accepts(l, i) {
			ranked[n] = scan.adjust(p.classify(l, q, *basis, i))
			n++
		}
	}
	if n == 0 {
		return 0, candidate{index: None, class: overBound}
	}
	basis.QueueWait = scan.weightedWait / scan.speedSum
	slices.SortStableFunc(ranked[:n], candidate.compare)
	first := ranked[0]
	basis.setPassedOver(p.accepts(l, basis.Home), ranked[:n])
	n = min(n, MaxCandidates)
	for at, w := range ranked[:n] {
		out[at] = p.newChoice(l, q, order, w.index)
	}
	return n, first
}

// setPassedOver notes why the session's home is not the first of those that were weighed, which are
// in their order.
func (b *Basis) setPassedOver(homeAccepts bool, order []candidate) {
	switch {
	case order[0].index == b.Home:
		return
	case !homeAccepts:
		b.PassedOver = PassedOverUnavailable
		return
	}
	b.PassedOver = PassedOverSpread
	for _, w := range order {
		if w.index == b.Home && w.class != eligible {
			b.PassedOver = passOverReasons[w.class]
		}
	}
}

// rankingScan goes over the upstreams of a ranking and knows of those that rank before.
type rankingScan struct {
	takeoverLimit          float64 // load up to which one takes over requests of one that is suspected
	hasSuspected           bool    // one is suspected
	hasLate                bool    // at one the answer is not expected to begin in time
	hasNormalSpeed         bool    // one works at the usual pace
	weightedWait, speedSum float64 // seconds of waiting by speed, and the speeds
}

// adjust returns the next upstream with what those before it speak against it.
func (s *rankingScan) adjust(w candidate) candidate {
	s.hasSuspected = s.hasSuspected || w.class == suspected
	switch {
	case w.class != eligible:
	case s.hasSuspected && w.upperLoad >= s.takeoverLimit:
		w.class = loaded
	case s.hasLate && s.hasNormalSpeed:
		w.class = lowerRanked
	}
	s.hasLate = s.hasLate || w.class == tooSlow || w.class == queued
	s.hasNormalSpeed = s.hasNormalSpeed || w.estimate.Slowdown < slowdownLimit
	speed := 1 / max(w.estimate.Slowdown, 1)
	s.weightedWait += speed * w.estimate.QueueWait
	s.speedSum += speed
	return w
}

// classify says what speaks against an upstream.
func (p *Pool) classify(l Loads, q Query, basis Basis, i int) candidate {
	vm := p.members[i].VM
	w := candidate{index: i, upperLoad: l.Upper(vm), estimate: l.Estimate(vm)}
	late := q.LatencyLimit > 0 && w.estimate.Start > q.LatencyLimit
	switch {
	case w.upperLoad >= basis.Bound:
		w.class = overBound
	case late && w.estimate.Queued:
		w.class = queued
	case l.IsSuspected(vm):
		w.class = suspected
	case late:
		w.class = tooSlow
	}
	return w
}

// class says how willingly an upstream is chosen, the best first.
type class uint8

const (
	eligible class = iota
	suspected
	// loaded ones would be eligible, but for a suspected one that ranks before them: they
	// have little room left for what is not their own.
	loaded
	// tooSlow ones have a free place, but work too slowly to begin in time.
	tooSlow
	// queued ones are not expected to begin in time because of what waits there.
	queued
	// lowerRanked ones would be eligible, but for one that ranks before them, works at the usual pace
	// and has a queue: a session waits there. An engine reads a long prompt for as long as it
	// takes for a hundred tokens of an answer, and in a surge all callers wait for that. With
	// three of the usual pace considered in place of one, 1134 GB of prompts were moved in
	// place of 960, and .583 of a day's worth was earned in place of .606 (one day, one seed).
	lowerRanked
	overBound
)

// slowdownLimit is how many times longer than usual an upstream takes for which no session waits.
const slowdownLimit = 2.0

// candidate is an upstream with what speaks against it.
type candidate struct {
	index     int
	class     class
	upperLoad float64 // the load that it seldom exceeds
	estimate  Estimate
}

// compare orders by class, in a class by the ranking, and those over the bound by their
// load. Sessions keep to their ranking also where all have a queue: an engine that has to
// read a prompt anew does so for as long as for a hundred tokens of an answer, and in a
// surge all callers pay for that.
func (w candidate) compare(other candidate) int {
	if by := cmp.Compare(w.class, other.class); by != 0 || w.class != overBound {
		return by
	}
	return cmp.Compare(w.upperLoad, other.upperLoad)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *Pool) newChoice(l Loads, q Query, order []int, i int) Choice {
	return Choice{Index: i, Load: l.Load(p.members[i].VM), Donor: p.donor(q.Now, order, i)}
}

// donor returns the upstream that is the likeliest to hold a session's prompt beside
// i: the first of its ranking, but for those that have just joined. They rank first
// for their part of the sessions, most of which they have not served yet.
func (p *Pool) donor(now time.Time, order []int, i int) int {
	best := None
	for _, j := range order {
		switch {
		case j == i:
		case now.Sub(p.members[j].Joined) > donorMinAge:
			return j
		case best == None:
			best = j
		}
	}
	return best
}

// leaveDomainRatio is how many times longer than elsewhere in the region a request without a
// session is believed to take in the router's own failure domain before it leaves that.
const leaveDomainRatio = 1.5

// significantRatio is how many times longer a request is believed to take at an upstream
// than at another before that is more than chance. Without it, the one that was fastest
// lately gets all requests of a quiet hour.
const significantRatio = 1.25

// chooseCheapest chooses for a request without a session: of two random upstreams of the
// router's own failure domain, the one at which it is believed to take less time, unless
// one of the region's others is far better. A domain may have one upstream: if that is
// slow, its routers would send it all their requests. In a surge of three times the
// traffic, .02 of the requests come late or are turned away, .24 to .50 if they stay in
// the domain (TestRequestsGoAroundASlowUpstream).
func (p *Pool) chooseCheapest(l Loads, random uint64, out *[MaxCandidates]Choice) int {
	n := 0
	for range p.regional.index {
		if n == MaxCandidates {
			return n
		}
		i := p.cheaperOfTwo(l, p.sameDomain, &random)
		if j := p.cheaperOfTwo(l, p.regional.index, &random); i == None || p.cheaper(l, j, i, leaveDomainRatio) {
			i = j
		}
		n = p.add(l, out, n, i)
	}
	// Chance may have picked the same few again and again.
	for _, group := range [...][]int{p.sameDomain, p.otherDomains, p.remote.index} {
		for _, i := range group {
			n = p.add(l, out, n, i)
		}
	}
	return n
}

// cheaperOfTwo returns the better of two random upstreams of a group, or None of an empty one.
func (p *Pool) cheaperOfTwo(l Loads, group []int, random *uint64) int {
	if len(group) == 0 {
		return None
	}
	*random = mix(*random)
	at := int(*random % uint64(len(group)))
	i := group[at]
	if len(group) == 1 {
		return i
	}
	*random = mix(*random)
	j := group[(at+1+int(*random%uint64(len(group)-1)))%len(group)]
	if p.cheaper(l, j, i, significantRatio) {
		return j
	}
	return i
}

// cheaper reports whether a request without a session is to go to upstream i rather than
// to j, where it takes ratio times as long at least.
func (p *Pool) cheaper(l Loads, i, j int, ratio float64) bool {
	a, b := p.members[i], p.members[j]
	return cmp.Or(
		compareBools(!p.accepts(l, i), !p.accepts(l, j)),
		compareBools(l.IsSuspected(a.VM), l.IsSuspected(b.VM)),
		cmp.Compare(ratio*l.Cost(a.VM), l.Cost(b.VM)),
	) < 0
}

// lessLoaded reports whether upstream i is to get a request of a session rather than j.
func (p *Pool) lessLoaded(l Loads, i, j int) bool {
	a, b := p.members[i].VM, p.members[j].VM
	return cmp.Or(compareBools(l.IsSuspected(a), l.IsSuspected(b)), cmp.Compare(l.Load(a), l.Load(b))) < 0
}

// add adds upstream i to the n that are chosen, if there is room and it is not
// among them, and returns how many there are then.
func (p *Pool) add(l Loads, out *[MaxCandidates]Choice, n, i int) int {
	if n == MaxCandidates || containsChoice(out[:n], i) || !p.accepts(l, i) {
		return n
	}
	out[n] = Choice{Index: i, Load: l.Load(p.members[i].VM), Donor: None}
	return n + 1
}

func containsChoice(choices []Choice, i int) bool {
	for _, c := range choices {
		if c.Index == i {
			return true
		}
	}
	return false
}
