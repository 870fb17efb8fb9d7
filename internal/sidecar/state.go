// Package sidecar is the one small process beside an upstream. It is the only
// way into its upstream and the point at which everything about it is decided
// in order: which requests run, how many at a time, and that each runs once.
package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/drain"
	"github.com/parsleyfront/parsleyfront/internal/idempotency"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// maxSamples is how many loads of other upstreams a refusal or the end of
	// an answer carries.
	maxSamples = 5
	// maxSuspectBytes is how much of a reply may be word of suspects, in bytes.
	maxSuspectBytes = 256
)

// Settings is what a sidecar's decisions depend on.
type Settings struct {
	VM            string
	FailureDomain string
	Incarnation   uint64
	Weight        int // relative capacity of the upstream; below one counts as one
	Keys          int // entries of the key table
	Admission     admission.Config
	// DetachGrace is how long a request goes on that nobody reads.
	DetachGrace time.Duration
	// KeepAnswer is how long each answer is kept at least.
	KeepAnswer time.Duration
	// StopTimeout bounds the wait for requests in flight when the process ends.
	StopTimeout time.Duration
}

// State is a sidecar's control state.
type State struct {
	settings           Settings
	self               load.VM
	table              *idempotency.Table
	queue              *admission.Queue
	loads              *load.Table
	quarantine         *quarantine.Table
	config             *config.Follower // a copy, for routers
	requests           map[token.Nonce]*request
	admittedCount      uint64 // requests admitted so far
	timers             timers
	retained           []*request  // whose answers have ended, the first of them first
	lane               []*request  // suspects that wait to run alone
	delegated          wire.Permit // the latest leave to run alone elsewhere
	isolated           *request    // the suspect that runs alone
	nextIsolationCheck time.Time   // when it is looked at next
	interrupted        []*request  // calls that broke off, until it is known why
	probe              probe
	orders             drain.Orders
	drain              drainState
	orderDrain         orderDrain
	recent             recentSessionSet
	join               joinState
	availability       ReportAvailability // as told last
}

// phase is how far a request has come.
type phase uint8

const (
	queued phase = iota
	running
	interrupted // its call broke off, and it is not known yet whether the upstream crashed
	ended
)

// request is a request whose answer is awaited or kept.
type request struct {
	submit        wire.Submit // without the call once it has started
	seq           uint64      // of its arrival
	phase         phase
	isolated      bool
	cancelled     bool      // by its caller
	crashRecorded bool      // it is entered in the book for a crash that its call has not noticed yet
	expires       time.Time // when it is too late to start; zero: never
	deadline      time.Time // zero: none
	started       time.Time
	failure       *verdict.Error // of a broken call
	readers       int
	readSeq       uint64
	delivered     bool
	unreadSince   time.Time // since when nobody has read; zero: somebody does
	discarding    bool
	endedAt       time.Time // when the answer ended
	keepUntil     time.Time
}

func (r *request) nonce() token.Nonce { return r.submit.Key.Nonce }
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(r.submit.Fingerprint)
}

// NewState returns the State of a sidecar that has just started. It starts no
// request before it has heard from its upstream.
func NewState(c Settings) *State {
	return &State{
		settings:   c,
		self:       load.Hash(c.VM),
		table:      idempotency.NewTable(c.Incarnation, c.Keys),
		queue:      admission.NewQueue(c.Admission),
		loads:      load.NewTable(),
		quarantine: quarantine.New(c.VM, c.Incarnation),
		config:     config.NewSidecarFollower(c.Incarnation),
		requests:   make(map[token.Nonce]*request),
	}
}

// Step applies an event: what the event itself asks for, then what has come
// due, then what may start.
func (s *State) Step(event Event) []Effect {
	now := event.at()
	effects := s.apply(event)
	effects = append(effects, s.runTimers(now)...)
	effects = append(effects, s.schedule(now)...)
	return append(effects, s.updateAvailability(now)...)
}

// updateAvailability notes a change of what operators see of the upstream.
func (s *State) updateAvailability(now time.Time) []Effect {
	current := ReportAvailability{Down: s.probe.down, Draining: s.draining(now)}
	if current == s.availability {
		return nil
	}
	s.availability = current
	return []Effect{current}
}

func (s *State) apply(event Event) []Effect {
	switch e := event.(type) {
	case Submitted:
		return s.handleSubmit(e)
	case HelloReceived:
		return s.reply(e.Now, e.Ticket, wire.Admission{})
	case Attached:
		return s.handleAttach(e)
	case Cancelled:
		return s.handleCancel(e)
	case StatusRequested:
		return s.handleStatus(e)
	case ReadersChanged:
		return s.handleReaders(e)
	case FirstByteReceived:
		s.queue.FirstByte(e.Now, e.Nonce)
	case CallEnded:
		return s.handleCallEnd(e)
	case Probed:
		return s.handleProbe(e)
	case NoticeReceived:
		return s.handleNotice(e)
	case ReportReceived:
		return s.handleReport(e)
	case ExportFinished:
		s.drain.exported = true
	case VMJoined:
		return s.handleVMJoined(e)
	case PrefixImported:
		s.recent.touch(e.Session)
	case ConfigEvent:
		return s.handleConfig(e)
	case ConfigRequested:
		return s.handleConfigRequest(e)
	case OrderDrainStarted:
		s.orderDrain = orderDrain{on: true, ticket: e.Ticket}
	case OrderDrainEnded:
		s.orderDrain = orderDrain{}
	case StopRequested:
		s.beginStop(e.Now)
	}
	return nil
}

// mergeControl takes in what came on the back of a message. Malformed parts are
// dropped: they are hints.
func (s *State) mergeControl(now time.Time, from config.Peer, c wire.Control) []Effect {
	_ = s.loads.Merge(now, c.Samples)
	_ = s.quarantine.Merge(now, c.Suspects)
	summary := config.PiggybackedSummary(c.Config, c.ConfigDigest)
	return s.handleConfig(ConfigEvent{Now: now, Event: config.SummaryReceived{Now: now, Peer: from, Summary: summary}})
}

func (s *State) handleReport(e ReportReceived) []Effect {
	_ = s.quarantine.Merge(e.Now, e.Report.Suspects)
	if u := e.Report.UnusedPermit; u != nil && s.delegated == *u {
		// No sidecar has started it. Without this word all copies would have to
		// wait until the deadline of that one has passed.
		s.quarantine.Revoke(quarantine.Fingerprint(u.Fingerprint))
		s.delegated = wire.Permit{}
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

// load is the number of requests that have been admitted and have not ended.
func (s *State) load() int {
	return s.queue.Load() + len(s.lane)
}

// observeOwnLoad enters the sidecar's own load among those of the pool.
func (s *State) observeOwnLoad(now time.Time) {
	r := load.Report{Load: s.load(), Weight: s.settings.Weight}
	switch {
	case s.draining(now):
		r.State = load.Draining
	case s.probe.down:
		r.State = load.Down
	}
	s.loads.Observe(now, s.self, r)
}

// control is what goes out on the back of a message.
func (s *State) control(now time.Time) wire.Control {
	s.observeOwnLoad(now)
	c := wire.Control{
		Load:     s.load(),
		Running:  s.queue.Running(),
		Draining: s.draining(now),
		Down:     s.probe.down,
		Samples:  s.loads.Pack(now, maxSamples, s.self),
		Suspects: s.quarantine.Gossip(now, maxSuspectBytes),
	}
	if summary := s.config.Set().Summary(); summary.Version > 0 {
		c.Config, c.ConfigDigest = summary.Version, summary.Digest
	}
	return c
}

func (s *State) reply(now time.Time, t Ticket, a wire.Admission) []Effect {
	suspects := a.Control.Suspects
	a.Control = s.control(now)
	if suspects != nil {
		a.Control.Suspects = suspects
	}
	return []Effect{Reply{Ticket: t, Admission: a}}
}

// probe is what is known of the upstream's health.
type probe struct {
	pending  bool // a probe is under way
	known    bool // one has come back since the start
	next     time.Time
	down     bool
	frozen   int // probes in a row that timed out
	instance upstream.Instance
	external int // requests at the upstream from before this incarnation
}
