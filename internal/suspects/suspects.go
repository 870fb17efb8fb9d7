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
	// inFlight holds the attempts at upstreams without a sidecar whose requests were lost at a crash
	// before, by upstream.
	inFlight map[string][]quarantine.Fingerprint
	// alone holds the suspected requests of which a copy is under way.
	alone map[quarantine.Fingerprint]bool
	turns turns
	// partCrashes counts, for parts of prompts, the upstreams that have crashed under requests with them since
	// one of these was served.
	partCrashes map[quarantine.Fingerprint]int
}

// NewRegistry returns a Registry that knows of nothing.
func NewRegistry() *Registry {
	return &Registry{
		book:     quarantine.New("", 0),
		account:  quarantine.NewAccount(),
		inFlight: make(map[string][]quarantine.Fingerprint),
		alone:    make(map[quarantine.Fingerprint]bool),

		partCrashes: make(map[quarantine.Fingerprint]int),
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
	Crashes  json.RawMessage // of upstreams with sidecars
	Observed []byte          // of those without
}

// IsEmpty reports whether there is no news.
func (n News) IsEmpty() bool { return len(n.Crashes) == 0 && len(n.Observed) == 0 }

// Gossip returns news for other routers, in at most budget bytes.
func (r *Registry) Gossip(now time.Time, budget int) News {
	r.mu.Lock()
	defer r.mu.Unlock()
	observed := r.book.GossipObserved(now, budget)
	return News{Observed: observed, Crashes: r.book.Gossip(now, budget-len(observed))}
}

// MergeNews adds the news of another router.
func (r *Registry) MergeNews(now time.Time, n News) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.book.MergeObserved(now, n.Observed); err != nil {
		return err
	}
	return r.book.Merge(now, n.Crashes)
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
		r.book.RecordSurvived(now, survived.Fingerprint, survived.Awaited)
	}
}

// Answered records that the answer to a request has arrived.
func (r *Registry) Answered(now time.Time, sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSurvivedIf(r.account.Answered(sent), now, sent)
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
	r.recordSurvivedIf(r.account.Outlived(sent), now, sent)
}

func (r *Registry) recordSurvivedIf(survived bool, now time.Time, sent *quarantine.Sent) {
	if survived {
		running := sent.Running()
		r.book.RecordSurvived(now, running.Fingerprint, running.Awaited)
	}
}

// Lost records that the connection of a request broke, and reports whether its upstream is known to have
// crashed.
func (r *Registry) Lost(now time.Time, sent *quarantine.Sent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordIf(r.account.Lost(now, sent), now, sent)
}

// Left records that nobody awaits the answer to a request any more, and reports the same.
func (r *Registry) Left(now time.Time, sent *quarantine.Sent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordIf(r.account.Left(now, sent), now, sent)
}

// recordIf records a request at the crash of its upstream, if that is known.
func (r *Registry) recordIf(crashed bool, now time.Time, sent *quarantine.Sent) bool {
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

// Unaccounted returns the upstreams at which copies of a request were left and of which nothing was heard
// since; nil if upstreams have survived most of its other copies, or it was served lately.
func (r *Registry) Unaccounted(fingerprint uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := quarantine.Fingerprint(fingerprint)
	at := r.account.Whereabouts(p)
	if len(at.Silent) == 0 || r.book.WasServed(p) || r.book.IsMostlySurvived(p, at) {
		return nil
	}
	return at.Silent
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
	parts := r.countParts(slices.Concat(running.Lost, running.Left))
	return CrashCounts{Lost: len(running.Lost), Left: len(running.Left), Recorded: recorded, PartCrashes: parts}
}

// maxCountedParts bounds the parts of which crashes are counted. All counts are dropped when there are more.
const maxCountedParts = 4096

// countParts counts a crash for each part of the prompts of requests, and returns the largest count among them.
func (r *Registry) countParts(running []quarantine.RunningRequest) int {
	if len(r.partCrashes) > maxCountedParts {
		clear(r.partCrashes)
	}
	seen := make(map[quarantine.Fingerprint]bool)
	most := 0
	for _, request := range running {
		for _, part := range request.Parts {
			if !seen[part] {
				seen[part] = true
				r.partCrashes[part]++
				most = max(most, r.partCrashes[part])
			}
		}
	}
	return most
}

// PartsServed records that an upstream has written on the parts of the prompt of a request.
func (r *Registry) PartsServed(sent *quarantine.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range sent.Parts() {
		delete(r.partCrashes, part)
	}
}

// DecideObserved returns how a request may run at an upstream without a sidecar.
func (r *Registry) DecideObserved(now time.Time, fingerprint uint64) quarantine.ObservedDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.DecideObserved(now, quarantine.Fingerprint(fingerprint))
}

// WasLostAt reports whether a crash of an upstream is recorded at which a request was lost.
func (r *Registry) WasLostAt(now time.Time, fingerprint uint64, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.WasLostAt(now, quarantine.Fingerprint(fingerprint), upstream)
}

// Served records that a request has run to its end.
func (r *Registry) Served(now time.Time, fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.RecordServed(now, quarantine.Fingerprint(fingerprint))
}

// BeginInFlight records an attempt at an upstream if its request was lost at a crash before. The
// returned function ends the record.
func (r *Registry) BeginInFlight(now time.Time, upstream string, fingerprint uint64) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := quarantine.Fingerprint(fingerprint)
	if r.book.DecideObserved(now, p).SuspectedCrashes() == 0 {
		return func() {}
	}
	r.inFlight[upstream] = append(r.inFlight[upstream], p)
	return func() { r.endInFlight(upstream, p) }
}

func (r *Registry) endInFlight(upstream string, p quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.inFlight[upstream]
	i := slices.Index(at, p)
	if at = slices.Delete(at, i, i+1); len(at) == 0 {
		delete(r.inFlight, upstream)
	} else {
		r.inFlight[upstream] = at
	}
}

// IsTurn reports whether this router may try a request now that is to be tried.
func (r *Registry) IsTurn(now time.Time, fingerprint uint64, d quarantine.ObservedDecision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.turns.begins(quarantine.Fingerprint(fingerprint), d))
}

// MayTryAt returns a function that reports whether a request that is to be tried may be tried at an upstream.
func (r *Registry) MayTryAt(now time.Time, fingerprint uint64) func(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.MayTryAt(now, quarantine.Fingerprint(fingerprint))
}

// TryRunAlone admits a copy of a suspected request if no other one is under way. The returned function
// must be called when the copy has ended.
func (r *Registry) TryRunAlone(fingerprint uint64) (end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := quarantine.Fingerprint(fingerprint)
	if r.alone[p] || r.account.HasWaiting(p) || r.hasInFlight(p) {
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

// hasInFlight reports whether an attempt of a request is recorded at any upstream.
func (r *Registry) hasInFlight(p quarantine.Fingerprint) bool {
	for _, at := range r.inFlight {
		if slices.Contains(at, p) {
			return true
		}
	}
	return false
}

// HasOtherInFlight reports whether an attempt of another request is recorded at an upstream.
func (r *Registry) HasOtherInFlight(upstream string, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := quarantine.Fingerprint(fingerprint)
	return slices.ContainsFunc(r.inFlight[upstream], func(q quarantine.Fingerprint) bool { return q != p })
}

// Cases returns the suspected and convicted requests.
func (r *Registry) Cases(now time.Time) []quarantine.Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Cases(now)
}
