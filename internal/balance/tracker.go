// Package balance holds what one router knows of the upstreams of a pool that it calls directly,
// without a sidecar that limits their load, and chooses among them: their loads as counted and
// reported, their response times, the outcomes of their requests, and the sessions with the most
// requests.
//
// Package router feeds a Tracker with the events of its requests, asks it where each request may
// go, and exchanges its state with other routers. Package model does the same in virtual time. A
// Tracker uses no clock and no connection of its own. It is safe for concurrent use and outlives
// the lists of upstreams that it chooses from. A Watch feeds it the events of one attempt by the
// system clock.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/outlier"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// HangMultiple is how many times its objective an attempt may wait for its first byte before
// that counts as a failure of its upstream. A response that is merely late does not count as one:
// after a start, or where the long prompt of a session has to be read, many responses are late,
// and one healthy upstream after the other would be suspected. Sessions would leave them, have
// their prompts read again elsewhere, and make other requests late. With a multiple of 1, half as
// much cache memory again is transferred between upstreams on days with faults (five days, three
// seeds each), and in surges with slow upstreams a tenth more responses are late (one day, three
// seeds).
const HangMultiple = 2.5

// Tracker is what a router knows of the upstreams of one pool.
type Tracker struct {
	mu              sync.Mutex
	loads           *load.PoolLoad
	demand          *load.Demand
	relativeLatency *load.RelativeLatency
	outliers        *outlier.Detector
	speed           *load.Speed
	slowdowns       *load.ReportedSlowdowns
	urgencies       load.UrgencyMix
	slots           int // of an engine; zero: engines do not report them

	// slowed reports whether any upstream has ever reported a slowdown. Every request reads it
	// several times, so it is not under the mutex, which other requests hold for their choices.
	slowed atomic.Bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{loads: load.NewPoolLoad(), demand: load.NewDemand(), relativeLatency: load.NewRelativeLatency(), outliers: outlier.New(), speed: load.NewSpeed(), slowdowns: load.NewReportedSlowdowns()}
}

// Request is a request for which Choose chooses upstreams.
type Request struct {
	placement.Query
	Profile         string
	Urgency         int           // 0 is the most urgent
	Objective       time.Duration // for the first byte; zero: none, the request is never deferred or rejected
	TimeLeft        time.Duration // until the caller gives up; zero: unknown
	ObjectiveMissed bool          // the request can no longer be answered within its objective
	// HearsAll reports whether this router hears of all loads that upstreams report to any
	// router, since all others report to it.
	HearsAll bool
	// Unavailable reports whether upstream i of the pool may get no request now; nil: all
	// upstreams are available.
	Unavailable func(i int) bool
}

// Choose writes the upstreams of p that a request is offered to into out, in order of
// preference, and returns their number and the basis of the choice. r.LoadMultiple is the
// configured load bound as a multiple of the mean load, which Choose lowers to fillLimit.
// r.SessionShare has no effect while HotSpread is off, and r.Objective and r.TimeLeft have none
// while Waits is off.
//
// A request that cannot be answered in time is deferred behind all those that can, if its caller
// has enough time left. It is served when the surge is over and takes no slot from requests that
// arrive in the meantime. Of 28456 callers in a surge of twice the pool's capacity, 16593 get
// their response in time, and 11608 without deferral
// (model.TestSurgeBeyondThePoolIsServedInTime).
func (t *Tracker) Choose(now time.Time, p *placement.Pool, mechanisms policy.Policy, r Request, out *[placement.MaxCandidates]placement.Choice) (int, placement.Basis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.IgnoreDomains = !mechanisms.DomainSpill
	if !mechanisms.HotSpread {
		r.SessionShare = 0
	}
	if r.HearsAll && mechanisms.SharedLoads {
		t.loads.HearAllIfDue(now)
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
	// deferredUrgencyStep is added to the urgency of deferred requests, so that they come after
	// all requests that can still be answered in time.
	deferredUrgencyStep = 5
	// lastUrgency is the least urgent value that upstreams distinguish.
	lastUrgency = 9
	// deferredWaitShare is the share of the caller's remaining time that a deferred request may
	// wait for the first byte; the rest is for the answer.
	deferredWaitShare = 0.5
	// deferredLoadPerSlot times its slots is the load up to which an engine gets deferred
	// requests. An engine whose queue is full rejects all requests, including the most urgent
	// ones.
	deferredLoadPerSlot = 2.0
)

const (
	// minFillShare is the share of the configured load bound up to which a router fills
	// upstreams if it counts next to no requests itself and depends on reported loads, which are
	// slightly old. The share grows by fillPerOwnShare times the share of all requests that the
	// router counts itself, up to maxFillShare. With 4 routers the result is 0.9: a fifth fewer
	// tokens are transferred between upstreams than with 0.8.
	minFillShare, fillPerOwnShare, maxFillShare = 0.85, 0.2, 0.95
)

// fillShare returns the share of the configured load bound up to which a router fills upstreams
// if it counts ownShare of all requests itself.
func fillShare(ownShare float64) float64 {
	return min(minFillShare+fillPerOwnShare*ownShare, maxFillShare)
}

// fixedBoundShare is the share of all requests that a router must count itself to apply the same
// load bound to all its requests, without random variation. The requests that it does not count
// are then too few for all routers to leave an upstream at the same moment.
const fixedBoundShare = 0.25

// boundJitter returns how far the bounds of requests are randomised at a router that counts
// ownShare of all requests itself, from 0 to 1.
func boundJitter(ownShare float64) float64 {
	return max(1-ownShare/fixedBoundShare, 0)
}

const (
	// minHeadroomShare is the minimum share that a router uses of the headroom between the mean
	// and the configured load bound. The fill limit that results from this minimum is at most
	// maxHeadroomMultiple times the mean.
	minHeadroomShare, maxHeadroomMultiple = 0.8, 1.5
)

// fillLimit returns the multiple of the mean load up to which a router fills an upstream.
//
// A fixed share of a tight bound is close to the mean, and the part of a load that a router has to
// estimate is larger than the difference between the two. Most upstreams then appear to be over
// the bound, and routers that received the same reports send their sessions to the same few that
// appear to be below it. With 60 routers, 24 upstreams and a bound of 1.25, 800 of 1261 responses
// were late, and none with the minimum headroom
// (model.TestManyRoutersDoNotRunToTheSameUpstreams).
func fillLimit(multiple, ownShare float64) float64 {
	return max(multiple*fillShare(ownShare), min(1+minHeadroomShare*(multiple-1), maxHeadroomMultiple))
}

// RecordRequest counts a request of a session and returns a lower estimate of the session's
// share of the pool's requests.
func (t *Tracker) RecordRequest(now time.Time, session uint64, profile string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demand.RecordRequest(now, session, profile)
}

// RecordDuration records how long a request with a session was in flight, for the mean duration
// of its profile's requests.
func (t *Tracker) RecordDuration(profile string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand.RecordDuration(profile, d)
}

// RecordLoad records the number of requests that an upstream reports, including those of this
// router.
func (t *Tracker) RecordLoad(now time.Time, vm load.VM, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Observe(now, vm, requests)
}

// RecordReportedSlowdown records that an upstream reports that work on its machine takes factor times
// as long as usual.
func (t *Tracker) RecordReportedSlowdown(now time.Time, vm load.VM, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdowns.Record(now, vm, factor)
	if factor > 1 {
		t.slowed.Store(true)
	}
}

// ReportedSlowdown returns the slowdown that an upstream has reported lately, or zero if there is
// none. No choice depends on it: it changes several times a second, faster than reports of it reach
// the other routers, and to follow it would move sessions away from their cached prompts.
func (t *Tracker) ReportedSlowdown(now time.Time, vm load.VM) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowdowns.Get(now, vm)
}

// ReportsSlowdowns reports whether any upstream has ever reported that work on its machine takes
// longer than usual: the pool's upstreams share their machines.
func (t *Tracker) ReportsSlowdowns() bool {
	return t.slowed.Load()
}

// Slots returns how many requests an engine serves at a time; zero: the upstreams do not report it.
func (t *Tracker) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots
}

// MeanLoad returns the mean of the estimated loads of n upstreams of which idle get no requests.
func (t *Tracker) MeanLoad(n, idle int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads.Mean(n, idle)
}

// SetSlots sets how many requests an engine serves at a time. All engines of a pool have the
// same number.
func (t *Tracker) SetSlots(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = n
}

// RecordObjective records the first-byte objective of a request.
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

// EndWait ends the wait of an attempt that BeginWait has counted, at its first byte or at its
// end without one.
func (t *Tracker) EndWait(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgencies.RemoveWaiting(a.Urgency)
}

// RecordEvents records that n events of a stream arrived, the last of them the given time after
// the event that preceded all n.
func (t *Tracker) RecordEvents(now time.Time, vm load.VM, profile string, n int, within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed.RecordEvents(now, vm, profile, n, within)
}

// RecordAnswerTime records the time from the first byte of an answer to its end.
func (t *Tracker) RecordAnswerTime(now time.Time, vm load.VM, profile string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed.RecordAnswer(now, vm, profile, d)
}

// BeginAttempt counts an attempt that is sent to an upstream.
func (t *Tracker) BeginAttempt(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Begin(vm)
}

// EndAttempt counts the end of an attempt that BeginAttempt has counted.
func (t *Tracker) EndAttempt(vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.End(vm)
}

// Keep removes every upstream that is not among members.
func (t *Tracker) Keep(members []load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.Keep(members)
	t.relativeLatency.Keep(members)
	t.outliers.Keep(members)
	t.speed.Keep(members)
	t.slowdowns.Keep(members)
}

// Attempt is one attempt of a request at an upstream.
type Attempt struct {
	VM       load.VM
	Profile  string
	Urgency  int     // 0 is the most urgent
	Load     float64 // estimated load of the upstream when it was chosen
	Deferred bool    // from the Basis of the choice
}

// RecordOutcome records whether an attempt succeeded. d is the time from sending it to the first
// byte of the response or, if it failed, to the failure.
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

// requestsAhead returns the number of queued requests that are served before a request of the
// given urgency, at an engine that has so many requests in total.
func (t *Tracker) requestsAhead(requests float64, urgency int) float64 {
	return max(requests+1-float64(t.slots), 0) * t.urgencies.FractionAhead(urgency)
}

// RecordFailure records a failure at an upstream in addition to what RecordOutcome has recorded
// of the attempt.
func (t *Tracker) RecordFailure(now time.Time, vm load.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outliers.Failed(now, vm)
}

// SuspicionChanges returns the upstreams that came to be suspected, or ceased to be, since the
// last call.
func (t *Tracker) SuspicionChanges() []outlier.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outliers.Changes()
}

// IsSuspected reports whether an upstream fails more of its requests than others do.
func (t *Tracker) IsSuspected(now time.Time, vm load.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outliers.IsSuspected(now, vm)
}

// LoadAge returns the time since an upstream's load was last reported, or a negative value if it
// never was.
func (t *Tracker) LoadAge(now time.Time, vm load.VM) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads.Age(now, vm)
}

// SuspectedCount returns the number of upstreams that fail more of their requests than others do.
func (t *Tracker) SuspectedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outliers.SuspectedCount(now)
}

// Load returns the estimated load of an upstream.
func (t *Tracker) Load(now time.Time, vm load.VM) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads.Load(now, vm)
}
