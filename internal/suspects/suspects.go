// Package suspects holds what a router knows of requests that may crash upstreams: the entries of its
// quarantine.Table, the requests that it has lost, and which of them are in flight. Package router calls
// it from the goroutines of requests. Suspected upstreams, which fail more requests than others, have
// nothing to do with it.
package suspects

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// maxSuspectsBytes bounds the suspects that one message to a sidecar carries, in bytes.
const maxSuspectsBytes = 256

// Registry holds what a router knows of requests that may crash upstreams. It is safe for concurrent
// use.
type Registry struct {
	mu      sync.Mutex
	book    *quarantine.Table
	account *quarantine.Account
	// alone holds the fingerprints of suspected requests that are under way.
	alone map[quarantine.Fingerprint]bool
	turns turns
	names partNames

	restarts restarts
}

// NewRegistry returns a Registry that knows of nothing.
func NewRegistry() *Registry {
	return &Registry{
		book:    quarantine.New("", 0),
		account: quarantine.NewAccount(),
		alone:   make(map[quarantine.Fingerprint]bool),

		restarts: make(restarts),
	}
}

// SetRouters sets the names of this router and of the others of its region, for the turns in which they try
// requests.
func (r *Registry) SetRouters(self string, others []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turns = turns{self: self, others: others}
}

// Merge adds the suspects that a sidecar or another router sent.
func (r *Registry) Merge(now time.Time, data json.RawMessage) error {
	if len(data) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Merge(now, data)
}

// News is what a router tells others of crashes.
type News struct {
	Crashes      json.RawMessage // of upstreams with sidecars
	Observed     []byte          // of those without
	Restrictions []byte          // of requests at upstreams without sidecars
}

// IsEmpty reports whether there is no news.
func (n News) IsEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Observed) == 0 && len(n.Restrictions) == 0
}

// Gossip returns news for other routers, in at most budget bytes.
func (r *Registry) Gossip(now time.Time, budget int) News {
	r.mu.Lock()
	defer r.mu.Unlock()
	restrictions := r.book.GossipRestrictions(now, budget/2)
	budget -= len(restrictions)
	observed := r.book.GossipObserved(now, budget)
	return News{Restrictions: restrictions, Observed: observed, Crashes: r.book.Gossip(now, budget-len(observed))}
}

// MergeNews adds the news of another router.
func (r *Registry) MergeNews(now time.Time, n News) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.book.MergeRestrictions(now, n.Restrictions); err != nil {
		return err
	}
	if err := r.book.MergeObserved(now, n.Observed); err != nil {
		return err
	}
	return r.book.Merge(now, n.Crashes)
}

// TakeDecisionChanges returns the changes of decisions on requests that may crash upstreams without a sidecar since
// the last call, in order.
func (r *Registry) TakeDecisionChanges() []quarantine.DecisionChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.TakeDecisionChanges()
}

// Decide returns how a request may run, and the suspects to send to its sidecar:
// those about the request if it is a suspect, else some of the others.
func (r *Registry) Decide(now time.Time, fingerprint uint64) (quarantine.Decision, json.RawMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := quarantine.Fingerprint(fingerprint)
	d := r.book.Decide(now, p, false)
	if d.Action == quarantine.Allow {
		return d, r.book.Gossip(now, maxSuspectsBytes)
	}
	return d, r.book.EvidenceFor(now, p)
}

// Evidence returns all that is known about a request's crashes; empty: nothing.
func (r *Registry) Evidence(now time.Time, fingerprint uint64) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.EvidenceFor(now, quarantine.Fingerprint(fingerprint))
}

// Expire drops what is no longer valid.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Expire(now)
	r.account.Expire(now)
	r.restarts.expire(now)
}

// Send records that a copy of a request is being sent to an upstream without a sidecar.
func (r *Registry) Send(now time.Time, upstream string, c quarantine.Copy) *quarantine.Sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account.Send(now, upstream, c)
}

// Sign records that something of an upstream has arrived. It reports whether a crash of the upstream was
// retracted, since it has not crashed.
func (r *Registry) Sign(now time.Time, upstream string) (retracted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sign(now, upstream)
	return r.book.RetractCrash(now, upstream, now.Add(-quarantine.SignMargin))
}

// Responded records that the response to a request has begun, and reports the same as Sign.
func (r *Registry) Responded(now time.Time, sent *quarantine.Sent) (retracted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Begun(sent)
	r.sign(now, sent.Upstream())
	return r.book.RetractCrash(now, sent.Upstream(), sent.Started())
}

func (r *Registry) sign(now time.Time, upstream string) {
	for _, survived := range r.account.Sign(now, upstream) {
		r.recordSurvived(now, survived)
	}
}

func (r *Registry) recordSurvived(now time.Time, survived quarantine.RunningRequest) {
	r.book.RecordSurvived(now, survived.Fingerprint, survived.Awaited)
	for _, part := range survived.Parts {
		r.book.RecordSurvived(now, part, survived.Awaited)
	}
}

// Answered records that the answer to a request has arrived.
func (r *Registry) Answered(now time.Time, sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.account.Answered(sent) {
		r.recordSurvived(now, sent.Running())
	}
}

// Rejected records that a request was rejected by its upstream, or by another one at its address. It has not
// run, which says nothing of what it does to one that runs it.
func (r *Registry) Rejected(sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Answered(sent)
}

// Outlived records that an upstream accepts connections after it has closed that of a request which was
// left.
func (r *Registry) Outlived(now time.Time, sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.account.Outlived(sent) {
		r.recordSurvived(now, sent.Running())
	}
}

// Lost records that the connection of a request broke, and reports whether its upstream is known to have
// crashed.
func (r *Registry) Lost(now time.Time, sent *quarantine.Sent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	awaited := r.account.IsAwaited(sent)
	crashed := r.account.Lost(now, sent)
	if awaited && !r.account.AwaitsAny(sent.Upstream()) {
		r.restarts.mayHaveEnded(now, sent.Upstream())
	}
	return r.recordAtCrash(now, sent, crashed)
}

// GivenUp records that a request was given up since nothing of its response had come in time, and reports the same.
func (r *Registry) GivenUp(now time.Time, sent *quarantine.Sent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordAtCrash(now, sent, r.account.GivenUp(now, sent))
}

// Left records that the caller of a request has left, and reports the same.
func (r *Registry) Left(now time.Time, sent *quarantine.Sent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordAtCrash(now, sent, r.account.Left(now, sent))
}

// recordAtCrash records a request at the crash of its upstream, if that is known.
func (r *Registry) recordAtCrash(now time.Time, sent *quarantine.Sent, crashed bool) bool {
	if crashed {
		r.book.RecordObservedCrash(now, sent.Upstream(), now, []quarantine.RunningRequest{sent.Running()})
	}
	return crashed
}

// Closed records that an upstream has closed the connection of a request that was left, and returns how
// long before it was left.
func (r *Registry) Closed(now time.Time, sent *quarantine.Sent) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account.Closed(now, sent)
}

// Accepted records that an upstream has accepted a connection that was opened to see whether it does.
func (r *Registry) Accepted(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Accepted(now, upstream)
}

// MayHaveRestarted reports whether an upstream may have started again though its entry does not show it.
func (r *Registry) MayHaveRestarted(now time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account.MayHaveRestarted(now, upstream)
}

// HasEnded reports whether requests were lost or left at an upstream of which nothing more is known.
func (r *Registry) HasEnded(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account.HasEnded(upstream)
}

// CrashCounts says how many requests of this router an upstream may have been running when it crashed.
type CrashCounts struct {
	Lost, Left int // whose connections broke; that nobody awaited any more
	Recorded   int // new entries of them
	// PartCrashes is how many upstreams have crashed under requests with one of the parts of their prompts, the
	// one with most, since one of these was served.
	PartCrashes int
}

// Crashed records that an upstream has crashed.
func (r *Registry) Crashed(now time.Time, upstream string) CrashCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.account.Crashed(now, upstream)
	recorded := r.book.RecordObservedCrash(now, upstream, running.LastSign, slices.Concat(running.Lost, running.Left))
	parts := r.book.MostPartCrashes(now, slices.Concat(running.Lost, running.Left))
	return CrashCounts{Lost: len(running.Lost), Left: len(running.Left), Recorded: recorded, PartCrashes: parts}
}

// PartsServed records that an upstream has written on the parts of the prompt of a request.
func (r *Registry) PartsServed(now time.Time, sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.RecordPartsServed(now, sent.Parts())
}

// Served records that a request has run to its end.
func (r *Registry) Served(now time.Time, fingerprint quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.RecordServed(now, fingerprint)
}

// TryRunAlone admits a request that a decision holds back, if no other one with the same suspected fingerprint is
// under way, and if it is this router's turn where one is to be tried. The returned function must be called when
// the request has ended.
func (r *Registry) TryRunAlone(now time.Time, d quarantine.ObservedDecision) (end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := d.Fingerprint
	if d.Action == quarantine.Try && now.Before(r.turns.begins(d)) {
		return nil, false
	}
	if r.alone[p] || r.account.HasWaiting(p) {
		return nil, false
	}
	r.alone[p] = true
	return func() { r.endAlone(p) }, true
}

func (r *Registry) endAlone(p quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.alone, p)
}

// HasOtherSuspect returns a function that reports whether an upstream has a request of this router that was lost at
// crashes, has other fingerprints, and is awaited.
func (r *Registry) HasOtherSuspect(now time.Time, prints []quarantine.Fingerprint) func(upstream string) bool {
	return func(upstream string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return slices.ContainsFunc(r.account.WaitingAt(upstream), func(p quarantine.Fingerprint) bool {
			return !slices.Contains(prints, p) && r.book.DecideObserved(now, p).SuspectedCrashes() > 0
		})
	}
}

// MayTryAt returns a function that reports whether a request that is to be tried may be tried at an upstream.
func (r *Registry) MayTryAt(now time.Time, prints []quarantine.Fingerprint) func(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.MayTryAt(now, prints)
}

// Cases returns the suspected and convicted requests.
func (r *Registry) Cases(now time.Time) []quarantine.Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Cases(now)
}
