package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// Loads is what a router knows about the load and state of a pool's upstreams.
type Loads interface {
	// Load returns the estimated load of an upstream, in requests.
	Load(vm load.VM) float64
	// UpperLoad returns a load that an upstream seldom exceeds.
	UpperLoad(vm load.VM) float64
	// Drift returns by how much the load of an upstream may have changed since it was reported.
	Drift(vm load.VM) float64
	// Mean returns the estimated mean load of the pool's upstreams.
	Mean() float64
	// Cost returns the estimated response time of one more request at an upstream, in units that
	// are comparable only within the pool.
	Cost(vm load.VM) float64
	// Estimate returns when the answer to the request is expected to begin at an upstream.
	Estimate(vm load.VM) Estimate
	// IsSuspected reports whether an upstream fails more of its requests than others do.
	IsSuspected(vm load.VM) bool
	// Unavailable reports whether upstream i of the pool may get no request now, whatever its
	// load: it is leaving, or it is cold and at its warm-up limit.
	Unavailable(i int) bool
}

const (
	// boundSlack is the number of requests that the load bound adds to LoadMultiple times the
	// mean. Where the mean is a few requests, chance alone puts two or three more on an
	// upstream. Without the slack, such an upstream would be over the bound, and its sessions
	// would move away from their cached prompts.
	boundSlack = 2.25
	// These are the limits of a fully randomised bound (BoundJitter 1). The lowest one is
	// jitterMultipleMin*LoadMultiple times the mean plus jitterSlackMin requests, the highest
	// one jitterMultipleMax*LoadMultiple times the mean plus jitterSlackMax requests.
	jitterMultipleMin, jitterMultipleMax = 0.85, 1.15
	jitterSlackMin, jitterSlackMax       = 1.5, 3.0
	// An upstream takes over requests of a suspected one up to a load of takeoverMultiple times
	// the mean plus takeoverSlack requests, less the drift of its load: all routers find the same
	// few upstreams with room, and send to them what they have in the time that a report takes.
	// Without this limit, when three fifths of a pool's upstreams lose responses, the rest of the
	// pool would be filled up to the bound that the router applies, and chance would put it over
	// the configured load bound.
	takeoverMultiple, takeoverSlack = 1.3, 1.0
	// donorMinAge is how long ago an upstream must have joined to be preferred as a donor. When
	// upstreams are replaced one after the other, an age of 5 s reduces the shared prompt tokens
	// that upstreams have to read again by a sixth; 15 s brings no further reduction.
	donorMinAge = 5 * time.Second
)

// Estimate is when the answer to a request is expected to begin at an upstream.
type Estimate struct {
	Start     float64 // seconds until the first byte
	QueueWait float64 // seconds of Start spent behind requests that are served earlier
	Queued    bool    // no slot is free
	Slowdown  float64 // how many times longer than usual the upstream takes
}

// Basis holds the figures that a choice rests on, for logs and for explanations to operators.
type Basis struct {
	Mean           float64 // estimated mean load of the pool
	Bound          float64 // load from which on an upstream comes last; infinite: no bound
	EstimatedStart float64 // seconds until the first byte at the first choice
	QueueWait      float64 // mean seconds of waiting at the session's upstreams, weighted by their speed
	// Urgency is the urgency that the request is sent with, 0 being the most urgent. Deferred
	// reports whether the request waits behind all those that can still be answered in time.
	// ChooseBounded sets neither; balance.Tracker does.
	Urgency  int
	Deferred bool
	// Home is the index of the session's home upstream, None without a session. Unlike
	// Pool.Home, it is ranked by failure domain, unless Query.IgnoreDomains is set. PassedOver is
	// the reason why it is not the first choice.
	Home       int
	PassedOver PassOverReason
	// ShouldReject reports whether the request should not be sent as it is, but rejected or
	// deferred: more requests come than the pool can answer in time, and the first choice has no
	// free slot. If the request is deferred already, it should be rejected.
	ShouldReject bool
}

// PassOverReason is the reason why a session's home upstream is not the first choice.
type PassOverReason string

// Reasons to pass over an upstream.
const (
	NotPassedOver         PassOverReason = ""
	PassedOverUnavailable PassOverReason = "closed" // it may get no request
	PassedOverSpread      PassOverReason = "spread" // the session has more requests than one upstream may hold
)

// passOverReasons maps the class of a passed-over upstream to the reason.
var passOverReasons = map[class]PassOverReason{
	suspected: "suspected", loaded: "loaded", tooSlow: "slow", queued: "queued", lowerRanked: "far", overBound: "over bound",
}

// Choice is an upstream that a request is offered to.
type Choice struct {
	Index int
	Load  float64 // estimated load
	// Despite is the reason that speaks against the upstream, if there is one: all others that
	// rank for the session have one too.
	Despite PassOverReason
	Donor   int // upstream other than this one that most likely holds the session's prompt, or None
}

// ChooseBounded writes the upstreams that a request is offered to into out, for pools in which
// no sidecar limits the load. Within each class of upstreams they are in the order of the
// session's ranking, and those that may exceed the load bound come last. It returns their number
// and the basis of the choice.
//
// The ranking keeps a session where its prompt is cached. In a surge of one session, requests
// spill over to the next upstreams of the ranking in the same order at each router, so that few
// upstreams read the same prompt.
func (p *Pool) ChooseBounded(l Loads, q Query, out *[MaxCandidates]Choice) (int, Basis) {
	basis := Basis{Mean: l.Mean(), Bound: math.Inf(1), Home: None}
	if q.LoadMultiple > 0 {
		basis.Bound = q.bound(basis.Mean)
	}
	if q.Session == 0 {
		return p.chooseCheapest(l, basis.Bound, q.Random, out), basis
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

// boundSalt makes the random draw of a bound independent of other draws from the same
// Query.Random.
const boundSalt = 0x5bd1e995

// bound returns the load from which on an upstream comes last for the request.
//
// Routers receive the same loads, some tenths of a second old. With one bound for all requests,
// an upstream reported over the bound loses the requests of all routers at the same moment, and
// the next one with spare capacity gets all of them: with a third of the pool idle, one request
// in twenty reached an upstream over the configured load bound. A bound drawn anew for each request
// lets them move one after the other.
func (q Query) bound(mean float64) float64 {
	draw := toUnitInterval(mix(q.Random ^ boundSalt))
	multiple := 1 + q.BoundJitter*(jitterMultipleMin+draw*(jitterMultipleMax-jitterMultipleMin)-1)
	slack := boundSlack + q.BoundJitter*(jitterSlackMin+draw*(jitterSlackMax-jitterSlackMin)-boundSlack)
	return multiple*q.LoadMultiple*mean + slack
}

// accepts reports whether upstream i may get a request now.
func (p *Pool) accepts(l Loads, i int) bool {
	return !p.members[i].Leaving && !l.Unavailable(i)
}

// rank writes the indices of the region's upstreams to best in the order of the session's
// ranking and returns their number.
func (p *Pool) rank(q Query, best []int) int {
	if q.IgnoreDomains {
		return p.regional.top(q.Session, best)
	}
	return p.byDomain.top(q.Session, best)
}

// admitAllWait and rejectAllWait are mean queue waits as multiples of the pool's shortest
// objective. All requests are admitted up to the first wait, and none from the second one on. In
// between, a random share is rejected that grows with the wait: reports of queues are some tenths
// of a second old, and with a sharp limit all routers would reject and then all admit at the same
// time.
const admitAllWait, rejectAllWait = 0.3, 1.0

// shouldReject reports whether a request whose first choice has no free slot should not be sent as
// it is, but rejected or deferred. A deferred request is rejected if its first byte would come
// after its LatencyLimit, any other with a probability that grows with the mean queue wait.
// Without a LatencyLimit, shouldReject returns false.
func shouldReject(q Query, b Basis) bool {
	switch {
	case q.LatencyLimit <= 0:
		return false
	case q.Deferred:
		return b.EstimatedStart > q.LatencyLimit
	}
	rejectShare := (b.QueueWait/q.ShortestObjective - admitAllWait) / (rejectAllWait - admitAllWait)
	return rejectShare > toUnitInterval(mix(q.Random))
}

// chooseRanked writes the available upstreams of a ranking to out, best first, and returns their
// number and the first of them. It sets basis.QueueWait to the mean wait weighted by speed,
// since slow upstreams get few of the requests.
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
	basis.setPassedOver(p.accepts(l, basis.Home), ranked[:n])
	best := ranked[:min(n, MaxCandidates)]
	if best[len(best)-1].class == overBound && len(order) < len(p.regional.index) {
		best = p.preferBelowBound(l, q, *basis, best)
	}
	for at, c := range best {
		out[at] = p.newChoice(l, q, order, c)
	}
	return len(best), best[0]
}

// setPassedOver records why the session's home is not the first of the candidates, which are
// sorted best first.
func (b *Basis) setPassedOver(homeAccepts bool, order []candidate) {
	switch {
	case order[0].index == b.Home:
		return
	case !homeAccepts:
		b.PassedOver = PassedOverUnavailable
		return
	}
	b.PassedOver = PassedOverSpread
	for _, c := range order {
		if c.index == b.Home && c.class != eligible {
			b.PassedOver = passOverReasons[c.class]
		}
	}
}

// rankingScan adjusts the classes of the upstreams of a ranking one after the other and records
// what it has seen of the higher-ranked ones.
type rankingScan struct {
	takeoverLimit          float64 // load up to which an upstream takes over requests of a suspected one
	hasSuspected           bool    // an upstream so far is suspected
	hasLate                bool    // at an upstream so far the answer is not expected to begin in time
	hasNormalSpeed         bool    // an upstream so far works at normal speed
	weightedWait, speedSum float64 // sum of queue waits in seconds times speeds, and sum of the speeds
}

// adjust returns the next candidate of the ranking, moved to a later class if the higher-ranked
// ones require it.
func (s *rankingScan) adjust(c candidate) candidate {
	s.hasSuspected = s.hasSuspected || c.class == suspected
	switch {
	case c.class != eligible:
	case s.hasSuspected && c.upperLoad+c.drift >= s.takeoverLimit:
		c.class = loaded
	case s.hasLate && s.hasNormalSpeed:
		c.class = lowerRanked
	}
	s.hasLate = s.hasLate || c.class == tooSlow || c.class == queued
	s.hasNormalSpeed = s.hasNormalSpeed || c.estimate.Slowdown < slowdownLimit
	speed := 1 / max(c.estimate.Slowdown, 1)
	s.weightedWait += speed * c.estimate.QueueWait
	s.speedSum += speed
	return c
}

// newChoice returns the Choice of a candidate for a session with the given ranking.
func (p *Pool) newChoice(l Loads, q Query, order []int, c candidate) Choice {
	return Choice{
		Index:   c.index,
		Load:    l.Load(p.members[c.index].VM),
		Despite: passOverReasons[c.class],
		Donor:   p.donor(q.Now, order, c.index),
	}
}

// donor returns the upstream other than i that most likely holds a session's prompt: the first
// of its ranking that joined at least donorMinAge ago, otherwise the first of the others.
// Upstreams that have just joined rank first for their share of the sessions, but have not
// served most of them yet.
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

// lessLoaded reports whether a request of a session should go to upstream i rather than to j: i
// is not suspected and j is, or both are alike and i has the lower load.
func (p *Pool) lessLoaded(l Loads, i, j int) bool {
	a, b := p.members[i].VM, p.members[j].VM
	return cmp.Or(compareBools(l.IsSuspected(a), l.IsSuspected(b)), cmp.Compare(l.Load(a), l.Load(b))) < 0
}

// add appends upstream i to the n choices in out if there is space left, it accepts requests and
// it is not among them. It returns the new number of choices.
func (p *Pool) add(l Loads, out *[MaxCandidates]Choice, n, i int) int {
	if n == MaxCandidates || containsChoice(out[:n], i) || !p.accepts(l, i) {
		return n
	}
	out[n] = Choice{Index: i, Load: l.Load(p.members[i].VM), Donor: None}
	return n + 1
}

// containsChoice reports whether upstream i is among the choices.
func containsChoice(choices []Choice, i int) bool {
	for _, c := range choices {
		if c.Index == i {
			return true
		}
	}
	return false
}
