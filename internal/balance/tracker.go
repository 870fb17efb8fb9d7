// Package balance is what one router knows of the upstreams of a pool that it calls
// itself, with no sidecar to decide for them, and the choice among them: their loads as
// it counts and is told them, how fast they answer, how their requests go, and which
// sessions ask the most.
//
// Package router feeds a Tracker with what its requests meet, asks it for each request
// where it may go, and has routers tell each other what theirs know. Package model does
// the same in virtual time. A Tracker knows no clock and no connection; it is safe for
// concurrent use, and outlives the lists of upstreams that it is asked about. A Watch feeds
// it with one attempt, by the clock of the machine.
package balance

import (
	"math"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/outlier"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// HangMultiple its objective is how long an attempt may wait for its first byte before
// that speaks against its upstream. An answer that is merely late does not: at a
// start, or where a session's long prompt has to be read, many are, and upstreams
// that are well would be suspected by turns. Their sessions left them, had their
// prompts read again elsewhere, and made others late. With 1 in its place, half as
// much memory again goes between upstreams on days with faults, and in surges beside
// slow upstreams a tenth more answers are late (five days and one, three seeds each).
const HangMultiple = 2.5

// Tracker is what a router knows of the upstreams of one pool.
type Tracker struct {
	mu              sync.Mutex
	loads           *load.PoolLoad
	demand          *load.Demand
	relativeLatency *load.RelativeLatency
	outliers        *outlier.Detector
	speed           *load.Speed
	urgencies       load.UrgencyMix
	slots           int // of an engine; zero: they do not tell
}

// NewTracker returns a Tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{loads: load.NewPoolLoad(), demand: load.NewDemand(), relativeLatency: load.NewRelativeLatency(), outliers: outlier.New(), speed: load.NewSpeed()}
}

// Request is a request that looks for an upstream.
type Request struct {
	placement.Query
	Profile         string
	Urgency         int           // 0 is first
	Objective       time.Duration // for the first byte; zero: none, it goes as it is
	TimeLeft        time.Duration // of its caller's time; zero: not known
	ObjectiveMissed bool          // it cannot be answered within its objective any more
	// Unavailable reports whether upstream i of the pool may get no request now; nil: none is closed.
	Unavailable func(i int) bool
}

// Choose writes the upstreams of p to which a request is offered to out, in order, and
// returns how many there are, and what that rests on. The multiple of r is the bound on
// load of the platform's operators; what the policy has off is taken out of r.
//
// A request that cannot be answered in time waits behind all that can, if its caller has
// time for that. It is served when a surge is over, and takes no place from those that come
// meanwhile. Of 28456 callers in a surge of twice what the pool can do, 16593 get their
// answer in time, 11608 without (TestSurgeBeyondThePoolIsServedInTime).
func (t *Tracker) Choose(now time.Time, p *placement.Pool, mechanisms policy.Policy, r Request, out *[placement.MaxCandidates]placement.Choice) (int, placement.Basis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.IgnoreDomains = !mechanisms.DomainSpill
	if !mechanisms.HotSpread {
		r.SessionShare = 0
	}
	drained := p.Drained()
	if r.LoadMultiple > 0 {
		ownShare := t.loads.OwnShare(p.Len(), drained)
		r.LoadMultiple, r.BoundJitter = fillLimit(r.LoadMultiple, ownShare), boundJitter(ownShare)
	}
	if !mechanisms.SoftBounds {
		r.BoundJitter = 0
	}
	l := loadsAt{Tracker: t, mechanisms: mechanisms, now: now, upstreams: p.Len(), drained: drained, request: r}
	usesEstimates := mechanisms.Waits && t.slots > 0 && r.Objective > 0
	if usesEstimates {
		l.request.LatencyLimit, l.request.ShortestObjective = r.Objective.Seconds(), t.urgencies.ShortestObjective().Seconds()*t.speed.DurationFactor(r.Profile)
	}
	n, basis := p.ChooseBounded(l, l.request.Query, out)
	if usesEstimates && r.TimeLeft > 0 && (basis.ShouldReject || r.ObjectiveMissed) {
		l.deferred = true
		l.request.Urgency = min(r.Urgency+deferredUrgencyStep, lastUrgency)
		l.request.LatencyLimit = deferredWaitShare * r.TimeLeft.Seconds()
		l.request.Deferred = true
		n, basis = p.ChooseBounded(l, l.request.Query, out)
	}
	basis.Urgency, basis.Deferred = l.request.Urgency, l.deferred
	return n, basis
}

const (
	// deferredUrgencyStep is by how much less urgent a request is that cannot be answered in time
	// any more: after all that can.
	deferredUrgencyStep = 5
	// lastUrgency is the last one that upstreams tell apart.
	lastUrgency = 9
	// deferredWaitShare of what is left of its caller's time is how long such a request may wait
	// for the first byte of its answer: the rest is for the answer.
	deferredWaitShare = 0.5
	// deferredLoadPerSlot times its places is up to which load an engine gets such requests. Engines
	// turn away whatever comes when their queue is full, the most urgent requests too.
	deferredLoadPerSlot = 2.0
)

const (
	// minFillShare is the part of the platform's bound on the load of an upstream up to
	// which routers fill it where they go by what they are told, which is a little
	// old, and maxFillShare where they count nearly everything themselves. In between,
	// ownFillShare times the part that a router counts is added. With 4 routers that
	// makes 0.9: a fifth fewer tokens are moved than with 0.8.
	minFillShare, ownFillShare, maxFillShare = 0.8, 0.4, 0.95
)

// fillShare returns the part of the platform's bound up to which a router fills an
// upstream if it counts a part of all requests itself.
func fillShare(ownShare float64) float64 {
	return min(minFillShare+ownFillShare*ownShare, maxFillShare)
}

// fixedBoundShare is the part of all requests from which on a router that counts it keeps to one
// bound for all: what it does not count is too little for all routers to turn away at once.
const fixedBoundShare = 0.25

// boundJitter returns how far chance draws the bounds of requests of a router that counts a
// part of all requests itself.
func boundJitter(ownShare float64) float64 {
	return max(1-ownShare/fixedBoundShare, 0)
}

const (
	// headroomShare is the part of the room between the mean and the bound that a router uses
	// at least, up to maxHeadroomMultiple times the mean.
	headroomShare, maxHeadroomMultiple = 0.8, 1.5
)

// fillLimit returns up to which multiple of the mean a router fills an upstream.
//
// A part of a tight bound is next to the mean, and what a router does not know of a load
// is more than that. Most upstreams then seem to be over the bound, and routers that
// were told the same send their sessions to the same few that seem to be below. Of 60
// routers before 24 upstreams with a bound of 1.25, 800 of 1261 answers were late, and
// none with this (model.TestManyRoutersDoNotRunToTheSameUpstreams).
func fillLimit(multiple, ownShare float64) float64 {
	return max(multiple*fillShare(ownShare), min(1+headroomShare*(multiple-1), maxHeadroomMultiple))
}

// RecordRequest counts a request of a session and returns its share of the pool's.
func (t *Tracker) RecordRequest(now time.Time, session uint64, profile string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demand.RecordRequest(now, session, profile)
}

// RecordDuration takes in how long a request of a session was in flight.
func (t *Tracker) RecordDuration(profile string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand.RecordDuration(profile, d)
}

// RecordLoad takes in that an upstream says how many requests it has, those of this router
// among them.
func (t *Tracker) RecordLoad(now time.Time, vm load.VM, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Observe(now, vm, requests)
}

// SetSlots takes in how many requests an engine works on at a time. Those of a pool are
// alike.
func (t *Tracker) SetSlots(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = n
}

// RecordObjective takes in within which objective the first byte of a request is wanted.
func (t *Tracker) RecordObjective(urgency int, objective time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgencies.SetObjective(urgency, objective)
}

// BeginWait counts an attempt that waits for its first byte.
func (t *Tracker) BeginWait(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgencies.AddWaiting(a.Urgency)
}

// EndWait counts the first byte of an attempt that Sent has counted, or its end without one.
func (t *Tracker) EndWait(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgencies.RemoveWaiting(a.Urgency)
}

// RecordEvents takes in that n events of a stream came within a time after the one before.
func (t *Tracker) RecordEvents(now time.Time, vm load.VM, profile string, n int, within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed.RecordEvents(now, vm, profile, n, within)
}

// RecordAnswerTime takes in how long an answer took from its first byte to its end.
func (t *Tracker) RecordAnswerTime(now time.Time, vm load.VM, profile string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed.RecordAnswer(now, vm, profile, d)
}

// BeginAttempt counts an attempt that goes to an upstream.
func (t *Tracker) BeginAttempt(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Begin(vm)
}

// EndAttempt counts the end of an attempt that Begin has counted.
func (t *Tracker) EndAttempt(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.End(vm)
}

// Keep forgets every upstream that is not among members.
func (t *Tracker) Keep(members []load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Keep(members)
	t.relativeLatency.Keep(members)
	t.outliers.Keep(members)
	t.speed.Keep(members)
}

// Attempt is one attempt of a request at an upstream.
type Attempt struct {
	VM       load.VM
	Profile  string
	Urgency  int     // 0 is first
	Load     float64 // that was believed of the upstream when it was chosen
	Deferred bool    // as of the choice's Basis
}

// RecordOutcome takes in how an attempt went, and how long that took to show.
func (t *Tracker) RecordOutcome(now time.Time, a Attempt, d time.Duration, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !succeeded {
		t.relativeLatency.RecordFailure(now, a.VM, a.Profile, d)
		t.outliers.Failed(now, a.VM)
		return
	}
	t.relativeLatency.RecordAnswer(now, a.VM, a.Profile, d)
	t.outliers.Succeeded(now, a.VM)
	if t.slots > 0 && !a.Deferred {
		t.speed.RecordFirstByte(now, a.VM, a.Profile, d, t.requestsAhead(a.Load, a.Urgency))
	}
}

// requestsAhead returns requestsAhead how many others a request of an urgency waits at an engine with
// some load.
func (t *Tracker) requestsAhead(requests float64, urgency int) float64 {
	return max(requests+1-float64(t.slots), 0) * t.urgencies.FractionAhead(urgency)
}

// RecordFailure takes in that an attempt failed at an upstream, beside what Went has said of it.
func (t *Tracker) RecordFailure(now time.Time, vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outliers.Failed(now, vm)
}

// SuspicionChanges returns the upstreams of which the judgement has changed since it was called
// last.
func (t *Tracker) SuspicionChanges() []outlier.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outliers.Changes()
}

// Suspected reports whether an upstream fails more of its requests than others do.
func (t *Tracker) Suspected(now time.Time, vm load.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outliers.IsSuspected(now, vm)
}

// Load returns the believed load of an upstream.
func (t *Tracker) Load(now time.Time, vm load.VM) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads.Load(now, vm)
}

// loadsAt is a Tracker at one moment, for n upstreams. It implements placement.Loads.
type loadsAt struct {
	*Tracker
	mechanisms policy.Policy
	now        time.Time
	upstreams  int
	drained    int // of them, get nothing
	request    Request
	deferred   bool // the request waits behind those that can be answered in time
}

// Load implements placement.Loads.
func (l loadsAt) Load(vm load.VM) float64 { return l.loads.Load(l.now, vm) }

// Cost implements placement.Loads: the time of an answer grows with what waits before
// it, of which this router knows its own requests.
func (l loadsAt) Cost(vm load.VM) float64 {
	cost := l.loads.Load(l.now, vm) + 1
	if l.mechanisms.Pace {
		cost *= l.relativeLatency.Factor(l.now, vm)
	}
	return cost
}

// Estimate implements placement.Loads.
func (l loadsAt) Estimate(vm load.VM) placement.Estimate {
	recent := l.loads.RecentLoad(l.now, vm)
	ahead := l.Tracker.requestsAhead(recent, l.request.Urgency)
	withoutQueue := l.speed.EstimateFirstByte(l.now, vm, l.request.Profile, 0, l.slots)
	start := withoutQueue
	if ahead > 0 {
		start = l.speed.EstimateFirstByte(l.now, vm, l.request.Profile, ahead, l.slots)
	}
	if l.deferred && recent >= deferredLoadPerSlot*float64(l.slots) {
		start = math.Inf(1)
	}
	return placement.Estimate{
		Start:     start,
		QueueWait: start - withoutQueue,
		Queued:    ahead > 0,
		Slowdown:  l.speed.Slowdown(l.now, vm),
	}
}

// UpperLoad implements placement.Loads.
func (l loadsAt) UpperLoad(vm load.VM) float64 { return l.loads.UpperBound(l.now, vm) }

// Mean implements placement.Loads. It is that of all upstreams, also while some are
// suspected: measured against those that take their requests on, the bound would be far
// above the operators', who count all.
func (l loadsAt) Mean() float64 { return l.loads.Mean(l.upstreams, l.drained) }

// Unavailable implements placement.Loads.
func (l loadsAt) Unavailable(i int) bool {
	return l.request.Unavailable != nil && l.request.Unavailable(i)
}

// IsSuspected implements placement.Loads.
func (l loadsAt) IsSuspected(vm load.VM) bool {
	return l.mechanisms.Outliers && l.outliers.IsSuspected(l.now, vm)
}
