package router

import (
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/residency"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// deadlineMargin is how much earlier than the router a sidecar ends a
	// request at its deadline. The sidecar knows whether the request has run, so
	// its response should arrive before the router has to report that it does not
	// know.
	deadlineMargin = 50 * time.Millisecond
	// hedgeFraction is the fraction of the objective after which an idempotent read
	// that has no first byte yet is also sent to a second upstream. A response of
	// typical duration still arrives in time then. Of calls that take 15 ms with an
	// objective of 100 ms, 1 in 30 is hedged.
	hedgeFraction = 0.5
	// switchFraction is the fraction of the objective after which a resumable stream
	// that has no first byte yet is moved to another upstream. Of streams with an
	// objective of 400 ms whose first byte takes 75 ms, 1 in 100 is moved.
	switchFraction = 0.75
	// pauseFraction is the fraction of the longest pause that the profile allows after
	// which a resumable stream without a new event is moved to another upstream.
	// Events of a healthy stream are 20 ms apart.
	pauseFraction = 0.75
	// marginDivisor limits the margin to 1/marginDivisor of a short deadline.
	marginDivisor = 10
)

// Request is a caller's request after authentication.
type Request struct {
	Org     *profile.Organisation
	Profile *profile.Profile
	Session string    // identifies the chat within the organisation; empty: none
	Parts   []string  // ids of the parts of the prompt that other requests may share; only used for upstreams without a sidecar
	Ticket  string    // placement ticket that the caller sent; empty: none
	Key     *wire.Key // request key that the caller holds; nil: none
	Call    wire.Call

	// The fields below, except Trace, are only used for upstreams without a sidecar.

	ID            string        // request id; a caller's retry has another one
	Host          string        // host name that the caller used
	Urgency       int           // as in package exchange
	Arrived       time.Time     // arrival time, from which its deadlines count
	CallerTimeout time.Duration // how long the caller waits from Arrived on; zero: not known
	LastEventID   string        // id of the last event that the caller has received of an earlier response
	Resumes       string        // id of the caller's attempt that brought the first event of the stream; empty: it is new
	CallerGone    func() bool   // reports whether the caller has closed its connection; nil: not known
	Trace         string        // W3C traceparent; empty: none
}

// regions returns the regions where the request may run: those that both its profile and its
// organisation allow.
func (r *Request) regions() residency.Regions {
	allowed := residency.NewRegions(r.Profile.Regions)
	if r.Org != nil {
		allowed = allowed.Intersect(residency.NewRegions(r.Org.Regions))
	}
	return allowed
}

// resumesStream reports whether the caller asks for the rest of a stream of which it has received a part.
func (r *Request) resumesStream() bool {
	return r.Resumes != "" || r.LastEventID != ""
}

// isRead reports whether the request's method is safe, in the sense of HTTP.
func (r *Request) isRead() bool {
	switch r.Call.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// plan returns the dispatch plan of the request.
func (r *Request) plan(now time.Time, offers int) dispatch.Plan {
	return dispatch.Plan{
		Idempotent:   r.Profile.Idempotent,
		ReadOnly:     r.isRead(),
		CallerHasKey: r.Key != nil,
		MaxOffers:    offers,
		HedgeAfter:   r.Profile.HedgeAfter.Std(),
		FirstByte:    after(now, r.Profile.FirstToken.Std()),
		Deadline:     after(now, r.Profile.Deadline.Std()),
	}
}

// directPlan returns the dispatch plan of a request to upstreams that have no sidecar.
func (r *Request) directPlan(enabled policy.Policy, offers int) dispatch.Plan {
	p := r.plan(r.Arrived, offers)
	p.Direct = true
	p.Resumable = r.Profile.Resumable && enabled.Resumption
	p.MaxSends = r.Profile.Attempts
	objective := r.Profile.Objective.Std()
	if p.HedgeAfter == 0 && r.Profile.Idempotent && enabled.Hedges {
		p.HedgeAfter = time.Duration(hedgeFraction * float64(objective))
	}
	if p.Resumable && enabled.Switches {
		p.SwitchAfter = time.Duration(switchFraction * float64(objective))
	}
	if until := after(r.Arrived, r.CallerTimeout); r.CallerTimeout > 0 && (p.Deadline.IsZero() || until.Before(p.Deadline)) {
		p.Deadline = until
	}
	return p
}

// after returns the time d after now, or the zero time if d is not positive.
func after(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// mayBeRetry reports whether the request may be the retry of a rejected one: its caller waits
// for less than the profile's deadline, by more than the objective, so the response is late
// already. A first request of a caller with so short a timeout looks the same.
func (r *Request) mayBeRetry() bool {
	return r.CallerTimeout > 0 && r.Profile.Deadline.Std()-r.CallerTimeout > r.Profile.Objective.Std()
}

// objective returns the latency objective for the first byte; zero: none. A stream that has
// begun has none, because it is to continue as soon as any upstream can take it: deferred
// behind other requests, it would pause until its caller gives up.
func (r *Request) objective(begun bool) time.Duration {
	if begun || r.LastEventID != "" {
		return 0
	}
	return r.Profile.Objective.Std()
}

// callerTimeLeft returns the time until the caller gives up, at least a millisecond; zero: not
// known.
func (r *Request) callerTimeLeft(now time.Time) time.Duration {
	if r.CallerTimeout == 0 {
		return 0
	}
	return max(r.Arrived.Add(r.CallerTimeout).Sub(now), time.Millisecond)
}

// treatment returns how the sidecar is to treat the request, with the time left
// until the deadlines of plan.
func (r *Request) treatment(now time.Time, plan dispatch.Plan) wire.RequestPolicy {
	p := r.Profile
	return wire.RequestPolicy{
		Profile:       p.Name,
		Priority:      p.Priority,
		LoadMultiple:  p.LoadMultiple,
		QueueBound:    p.Queue.PerUpstream,
		OrgQueueBound: p.Queue.PerOrganisation,
		OrgWeight:     r.Org.Weight,
		Idempotent:    p.Idempotent,
		KeepAnswer:    p.KeepAnswer.Std(),
		FirstByte:     upstreamTimeLeft(plan.FirstByte, now, p.FirstToken.Std()),
		Deadline:      upstreamTimeLeft(plan.Deadline, now, p.Deadline.Std()),
	}
}

// upstreamTimeLeft returns the time that a sidecar or upstream has until a deadline, at least
// a millisecond; zero: there is no deadline. It leaves a margin of deadlineMargin, or of
// 1/marginDivisor of the total time up to the deadline if that is less.
func upstreamTimeLeft(at, now time.Time, total time.Duration) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(upstreamDue(at, total).Sub(now), time.Millisecond)
}

// upstreamDue returns when a sidecar or upstream must have ended its work for a deadline, which
// leaves the margin of upstreamTimeLeft; the zero time if there is no deadline.
func upstreamDue(at time.Time, total time.Duration) time.Time {
	if at.IsZero() {
		return time.Time{}
	}
	return at.Add(-min(deadlineMargin, total/marginDivisor))
}

// fingerprint returns a hash of the request's content, never zero. Copies of a
// request that its caller sends again have the same fingerprint.
func (r *Request) fingerprint() uint64 {
	return r.hashContent(r.Org.Name, r.Profile.Name, r.Call.Method, r.Call.Path)
}

// maxTrackedParts is how many parts of a prompt may be known to crash upstreams. Prompts share a few: those of all
// chats of an organisation, of a document, and of a session.
const maxTrackedParts = 32

// directFingerprints returns the fingerprints of the request for upstreams without a sidecar: of its content, and of
// the parts of its prompt that other requests may share. The former does not contain the profile, which a change
// of the configuration may replace, and the organisation may be unknown. Those of parts differ between pools:
// what crashes the upstreams of one may do nothing to those of another. Of a prompt with very many parts the first
// maxTrackedParts have one: what is kept of a request, and looked up, must not grow with what callers write.
func (r *Request) directFingerprints(pool string) []quarantine.Fingerprint {
	org := ""
	if r.Org != nil {
		org = r.Org.Name
	}
	parts := r.Parts[:min(len(r.Parts), maxTrackedParts)]
	out := make([]quarantine.Fingerprint, 1, 1+len(parts))
	out[0] = quarantine.ContentFingerprint(r.hashContent(org, r.Host, r.Call.Method, r.Call.Path))
	seed := xxh3.HashString(pool)
	for _, part := range parts {
		out = append(out, quarantine.PartFingerprint(xxh3.HashStringSeed(part, seed)))
	}
	return out
}

// partOf returns the id of the part of the prompt with a fingerprint, which is one of prints; empty: it is that of
// the content.
func (r *Request) partOf(p quarantine.Fingerprint, prints []quarantine.Fingerprint) string {
	if i := slices.Index(prints, p); i > 0 {
		return r.Parts[i-1]
	}
	return ""
}

// hashContent returns a hash of the parts and of the request's body, never zero.
func (r *Request) hashContent(parts ...string) uint64 {
	h := xxh3.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Call.Body)
	return max(h.Sum64(), 1) // zero stands for not known
}

// orgHash returns the hash of an organisation's name.
func orgHash(name string) uint64 {
	return xxh3.HashString(name)
}

// sessionHash returns the hash of an organisation's session; zero: no session.
func sessionHash(org, session string) uint64 {
	if session == "" {
		return 0
	}
	return max(xxh3.HashStringSeed(session, orgHash(org)), 1)
}
