// Package shedding decides, for one pool, which requests a router admits while the pool is short.
//
// It addresses a surge beyond the capacity of the pool, in which engines would fill all their places
// and finish few answers in time, and plain upstreams would reject requests of all organisations
// alike. It combines the capacity of the pool (packages pace and shares), the demand at all routers
// (package demand) and its allocation to organisations (package shares).
//
// Package router calls it for each request, and with the events of attempts and the messages of
// other routers. A Pool uses no clock and no connection of its own. It is safe for concurrent use.
package shedding

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/pace"
	"github.com/parsleyfront/parsleyfront/internal/shares"
)

const (
	// updateInterval is the interval at which the admitted fractions are computed.
	updateInterval = 100 * time.Millisecond
	// scarceShare is the used share of a pool's capacity from which routers report demand to each
	// other, so that they know it before the pool is short.
	scarceShare = 0.4
	// scarceRejections is the rate of rejections per second from which plain upstreams show that
	// their pool may be short. Rates decay exponentially and are never zero; after a single
	// rejection, this one falls below the limit after 3 s.
	scarceRejections = 0.05
	// usablePlaces is the part of an engine's places that requests may take while the pool is short.
	// Loads are uneven and some tenths of a second old: without free places urgent requests would
	// wait for their first event.
	usablePlaces = 0.85
	// usableRate is the part of the estimated capacity of plain upstreams that is allocated. Upstreams at
	// their full rate reject whoever comes when their queues are full, also within an organisation's
	// share.
	usableRate = 0.95
	// ownPartTTL is how long a router that no longer knows the demand of all routers keeps to what was
	// its part of the capacity. While upstreams reject next to nothing, its own estimate grows beyond.
	ownPartTTL = 10 * time.Second
	// minOwnAttempts is the rate of attempts per second from which a router tells what plain upstreams
	// accept by its own attempts alone.
	minOwnAttempts = 50
	// defaultWork is the work of a request whose duration is not known yet, in seconds.
	defaultWork = 1.0
	// maxNames bounds the names of organisations that are kept for operators.
	maxNames = 4096
)

// Request is a request for which Admit decides.
type Request struct {
	Class        demand.Class
	Kind         string // of request, usually its profile
	Requirement  pace.Requirement
	Organisation string // its name, for operators
}

// Situation is the state of the pool's upstreams and routers at a call of Admit.
type Situation struct {
	Upstreams int     // that take requests
	Places    int     // of an engine; zero: the upstreams report no load
	MeanLoad  float64 // of engines, in requests
	Routers   int     // that share the pool, this one included
	Root      bool    // all other routers report to this one
}

// Pool holds the state of one router about a pool that may be short.
type Pool struct {
	mu        sync.Mutex
	pace      *pace.Model
	account   *demand.Account
	gate      *shares.Gate
	rate      shares.RateCapacity // what plain upstreams accept from all routers
	ownRate   shares.RateCapacity // what they accept from this one
	names     map[uint32]string   // of organisations, by hash
	ownPart   float64             // of the capacity for all routers, in requests per second
	ownPartAt time.Time           // when ownPart was computed
	updatedAt time.Time
	latest    shares.Pool // of the last update
	complete  bool        // the latest totals cover all routers
	engines   bool        // the upstreams report their load
	wasShort  bool        // at the last call of Transition
}

// New returns a Pool without observations. r is the source of the gate's first credits.
func New(r *rand.Rand) *Pool {
	return &Pool{
		pace: pace.New(), account: demand.NewAccount(), gate: shares.NewGate(r),
		ownRate: shares.RateCapacity{MinAttempts: minOwnAttempts}, names: make(map[uint32]string),
	}
}

// Admit counts the request as demand, and decides whether it may be sent. situation is called, with
// the Pool locked, when the fractions are due to be computed.
func (p *Pool) Admit(now time.Time, r Request, situation func() Situation) shares.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.names[r.Class.Org] != r.Organisation {
		p.setName(r.Class.Org, r.Organisation)
	}
	p.pace.SetRequirement(r.Kind, r.Requirement)
	p.account.Offer(now, r.Class, p.work(now, r.Kind))
	p.updateIfDue(now, situation)
	return p.gate.Decide(now, r.Class)
}

// setName keeps the name of an organisation for operators. If there are too many, all are forgotten:
// those with requests return with the next ones.
func (p *Pool) setName(org uint32, name string) {
	if _, known := p.names[org]; !known && len(p.names) >= maxNames {
		clear(p.names)
	}
	p.names[org] = name
}

// work returns the work of a request: 1, or at engines the time that it takes there, in seconds,
// so that the work offered in a second is a number of requests that engines hold.
func (p *Pool) work(now time.Time, kind string) float64 {
	if !p.engines {
		return 1
	}
	if d, known := p.pace.Duration(now, kind); known {
		return d.Seconds()
	}
	return defaultWork
}

// updateIfDue computes the admitted fractions, at most every updateInterval.
func (p *Pool) updateIfDue(now time.Time, situation func() Situation) {
	if now.Sub(p.updatedAt) < updateInterval {
		return
	}
	p.updatedAt = now
	s := situation()
	p.account.SetRoot(s.Root)
	totals := p.account.Totals(now)
	p.complete = totals.Complete
	p.engines = s.Places > 0
	if p.engines {
		p.latest = shares.Pool{Routers: s.Routers}
		p.latest.Capacity, p.latest.Used = p.engineCapacity(now, s)
	} else {
		p.latest, totals = p.plainCapacity(now, totals)
	}
	p.gate.Update(now, p.latest, totals)
	p.account.SetScarce(now, p.isScarce(totals))
}

// engineCapacity returns how many requests the pool's engines may hold together, and how many they
// hold; zero: not known.
func (p *Pool) engineCapacity(now time.Time, s Situation) (capacity, used float64) {
	limit, known := p.pace.Limit(now, max(int(usablePlaces*float64(s.Places)), 1))
	if !known {
		return 0, 0
	}
	n := float64(s.Upstreams)
	return limit * n, s.MeanLoad * n
}

// plainCapacity returns what plain upstreams accept per second, and the demand to allocate it to. A router
// that does not know the demand of all routers, or not yet what upstreams accept of it, allocates what they
// accept from itself to its own demand.
func (p *Pool) plainCapacity(now time.Time, totals demand.Totals) (shares.Pool, demand.Totals) {
	own := p.account.Own(now)
	own.Complete = true // of what this router sends
	ownCapacity, ownUsed := p.ownRate.Update(now, own)
	if totals.Complete {
		if capacity, used := p.rate.Update(now, totals); capacity > 0 {
			p.ownPart, p.ownPartAt = capacity*min(own.Accepted/max(totals.Accepted, 1), 1), now
			return usablePool(capacity, used), totals
		}
	}
	if now.Sub(p.ownPartAt) < ownPartTTL && ownCapacity > 0 {
		ownCapacity = min(ownCapacity, p.ownPart)
		ownUsed = min(ownUsed, ownCapacity)
	}
	return usablePool(ownCapacity, ownUsed), own
}

// usablePool returns the pool of plain upstreams with an estimated capacity in requests per second.
func usablePool(capacity, used float64) shares.Pool {
	capacity *= usableRate
	return shares.Pool{Capacity: capacity, Used: min(used, capacity), Routers: 1}
}

// isScarce reports whether the pool is short or may soon be. Plain upstreams show it by their
// rejections only.
func (p *Pool) isScarce(t demand.Totals) bool {
	return p.gate.Short() || p.latest.Capacity > 0 && p.latest.Used >= scarceShare*p.latest.Capacity || !p.engines && t.Rejected >= scarceRejections
}

// RecordEvents records n events of a stream that arrived together from an engine that holds so many
// requests, with the given time since the event before them.
func (p *Pool) RecordEvents(now time.Time, held float64, n int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.RecordEvents(now, held, n, elapsed)
}

// RecordAnswer records a complete stream: its number of events, and the time to its first byte.
func (p *Pool) RecordAnswer(now time.Time, kind string, events int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.RecordAnswer(now, kind, events, first)
}

// RecordAttempt records whether an upstream accepted an attempt or rejected it without running it.
func (p *Pool) RecordAttempt(now time.Time, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account.Outcome(now, accepted)
}

// SetRoot records whether all other routers report to this one. Admit does so too, but a root may get
// no requests to the pool.
func (p *Pool) SetRoot(root bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account.SetRoot(root)
}

// Report returns the demand at this router and its subscribers, for its parent; nil: none is due.
func (p *Pool) Report(now time.Time) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Report(now)
}

// Summary returns the demand at all routers, for this router's subscribers; nil: none is due.
func (p *Pool) Summary(now time.Time) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Summary(now)
}

// MergeReport records what Report returned at a subscriber. It returns an error, and changes
// nothing, if the report is malformed.
func (p *Pool) MergeReport(now time.Time, from string, b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.MergeReport(now, from, b)
}

// MergeSummary records what Summary returned at this router's parent. It returns an error, and
// changes nothing, if the summary is malformed.
func (p *Pool) MergeSummary(now time.Time, b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.MergeSummary(now, b)
}
