// Package sidecar implements the process that runs beside each upstream. All
// requests to the upstream pass through it. A single event loop decides which requests
// run and how many at a time, and ensures that each runs at most once.
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
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// maxSamples is the maximum number of other upstreams' loads in a message. The
	// reply to an admitted request has none.
	maxSamples = 5
	// maxSuspectBytes limits the evidence on suspects in a message, in bytes, unless
	// the evidence concerns the message's own request; see quarantine.Table.EvidenceFor.
	maxSuspectBytes = 256
)

// Settings holds the parameters of a sidecar's decisions.
type Settings struct {
	VM            string
	FailureDomain string
	Incarnation   uint64
	Weight        int // relative capacity of the upstream; values below one count as one
	Keys          int // maximum entries of the key table
	Admission     admission.Config
	// DetachGrace is how long a request continues while no router reads its
	// response.
	DetachGrace time.Duration
	// KeepAnswer is how long each ended response is retained at least, unless it
	// has to be dropped to make room for others.
	KeepAnswer time.Duration
	// StopTimeout limits the wait for requests in flight when the process stops.
	StopTimeout time.Duration
}

// State is the control state of a sidecar. Its Step is a pure reducer: it does
// no I/O and reads no clock.
type State struct {
	settings           Settings
	self               load.VM
	table              *idempotency.Table
	queue              *admission.Queue
	loads              *load.Table
	quarantine         *quarantine.Table
	quarantineChanges  uint64           // Changes of quarantine that queued requests were last checked against
	config             *config.Follower // copy of the configuration, served to routers
	requests           map[token.Nonce]*request
	admittedCount      uint64 // total requests admitted
	timers             timers
	retained           []*request  // ended requests whose responses are retained, oldest first
	lane               []*request  // isolation lane: suspects that wait to run alone
	delegatedPermit    wire.Permit // the latest permit to run alone at another VM
	isolated           *request    // the suspect that is running alone
	nextIsolationCheck time.Time   // when isolated is checked next
	interrupted        []*request  // requests whose call failed; a probe determines the cause
	imports            prefixImports
	probe              probe
	drainOrders        drain.Orders
	drain              drainState
	orderDrain         orderDrain
	prefixes           cachedPrefixes
	join               joinState
	availability       ReportAvailability // as last reported
}

// phase is the stage of a request.
type phase uint8

const (
	queued phase = iota
	running
	interrupted // the call failed; whether the upstream crashed is not yet known
	ended
)

// request is an admitted request whose response is pending or retained.
type request struct {
	submit      wire.Submit // Call has no body and header after the start
	seq         uint64      // order of admission
	phase       phase
	isolated    bool           // it must run alone
	cancelled   bool           // by the caller
	expires     time.Time      // latest time to start; zero: none
	deadline    time.Time      // zero: none
	exposure    exposure       // from its start to the end of its call
	failure     *verdict.Error // of an interrupted call
	readers     int
	readSeq     uint64
	delivered   bool
	unreadSince time.Time // start of the time without readers; zero: it has readers
	discarding  bool      // DiscardOverflow has been emitted
	abandoned   bool      // its call was aborted because nobody read its response
	endedAt     time.Time // when the response ended
	keepUntil   time.Time
}

func (r *request) nonce() token.Nonce { return r.submit.Key.Nonce }
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(r.submit.Fingerprint)
}

// NewState returns the State of a newly started sidecar. It starts no request
// before the first probe of the upstream has returned.
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
		imports:    make(prefixImports),
	}
}

// Step applies an event and returns the resulting effects: those of the event
// itself, then those of timers that are due, then withdrawals of queued suspects and
// starts of requests, then a change of availability.
func (s *State) Step(event Event) []Effect {
	now := event.at()
	effects := s.apply(event)
	effects = append(effects, s.runTimers(now)...)
	effects = append(effects, s.withdrawSuspects(now)...)
	effects = append(effects, s.schedule(now)...)
	return append(effects, s.updateAvailability(now)...)
}

// updateAvailability reports a change in whether the upstream is down or draining.
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
		s.drain.exports = max(0, s.drain.exports-1)
	case VMJoined:
		return s.handleVMJoined(e)
	case PrefixRead:
		return s.handlePrefixRead(e)
	case ImportRequested:
		return s.handleImport(e)
	case ImportEnded:
		return s.handleImportEnded(e)
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

// mergeControl merges the control data that is piggybacked on a message.
// Malformed parts are ignored because they are only hints.
func (s *State) mergeControl(now time.Time, from config.Peer, c wire.Control) []Effect {
	_ = s.loads.Merge(now, c.Samples)
	_ = s.quarantine.Merge(now, c.Suspects)
	summary := config.PiggybackedSummary(c.Config, c.ConfigDigest)
	return s.handleConfig(ConfigEvent{Now: now, Event: config.SummaryReceived{Now: now, Peer: from, Summary: summary}})
}

func (s *State) handleReport(e ReportReceived) []Effect {
	_ = s.quarantine.Merge(e.Now, e.Report.Suspects)
	if u := e.Report.UnusedPermit; u != nil && s.delegatedPermit == *u {
		// No sidecar has started the delegated copy. Without this report, all
		// other copies would have to wait until its deadline has passed.
		s.quarantine.Revoke(quarantine.Fingerprint(u.Fingerprint))
		s.delegatedPermit = wire.Permit{}
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

// load returns the number of requests that have been admitted and have not ended.
func (s *State) load() int {
	return s.queue.Load() + len(s.lane)
}

// observeOwnLoad records the sidecar's own load in the pool's load table.
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

// control returns the control data to piggyback on a message.
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

// reply returns a Reply with the current control data. If a already contains evidence
// on suspects, this evidence is sent instead of the current one.
func (s *State) reply(now time.Time, t Ticket, a wire.Admission) []Effect {
	suspects := a.Control.Suspects
	a.Control = s.control(now)
	if suspects != nil {
		a.Control.Suspects = suspects
	}
	return []Effect{Reply{Ticket: t, Admission: a}}
}
