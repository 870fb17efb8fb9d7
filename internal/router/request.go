package router

import (
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/residency"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// deadlineMargin is how much earlier than the router a sidecar ends a
	// request at its deadline. The sidecar knows whether the request has run,
	// so its word should arrive before the router has to say that it does not.
	deadlineMargin = 50 * time.Millisecond
	// hedgeFraction of its objective is how long an idempotent read waits for its first
	// byte before a second upstream is asked too: an answer of usual length still
	// comes in time. Of calls that take 15 ms with an objective of 100 ms, 1 in 30
	// is hedged.
	hedgeFraction = 0.5
	// switchFraction of its objective is how long a stream that may be resumed waits
	// for its first byte before it is given up for another upstream. Of notes with
	// an objective of 400 ms, whose first byte takes 75 ms, 1 in 100 is.
	switchFraction = 0.75
	// pauseFraction of the longest pause that its profile wants is how long a stream
	// that may be resumed waits for its next event. Events lie 20 ms apart.
	pauseFraction = 0.75
	// marginDivisor limits the margin to a part of a short deadline.
	marginDivisor = 10
)

// Request is a caller's request after authentication.
type Request struct {
	Org     *profile.Organisation
	Profile *profile.Profile
	Session string    // names the chat within the organisation; empty: none
	Ticket  string    // as the caller sent it back, or empty
	Key     *wire.Key // that the caller holds, or nil
	Call    wire.Call

	// The rest is for upstreams without a sidecar.

	ID            string        // of the caller's attempt, unlike those of its repeats
	Host          string        // that the caller named
	Urgency       int           // as in package exchange
	Arrived       time.Time     // from when on its deadlines count
	CallerTimeout time.Duration // for which the caller waits; zero: it does not say
	LastEvent     string        // id of the last event that the caller has of an earlier answer
	CallerGone    func() bool   // reports whether the caller has closed its connection; nil: not known
	Trace         string        // W3C traceparent for the sidecar, or empty
}

// regions returns where the request may run: where its profile and its organisation both
// allow it.
func (r *Request) regions() residency.Regions {
	allowed := residency.NewRegions(r.Profile.Regions)
	if r.Org != nil {
		allowed = allowed.Intersect(residency.NewRegions(r.Org.Regions))
	}
	return allowed
}

// isRead reports whether the request's method is safe, in the sense of HTTP.
func (r *Request) isRead() bool {
	switch r.Call.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// plan returns what dispatch needs to know of the request.
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

// directPlan is plan for upstreams that have no sidecar.
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

// after returns the time d after now, or the zero time if there is no d.
func after(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// mayBeReturning reports whether the caller has less time than its first try would have,
// by more than the objective: its answer is late already. Callers that are less patient
// than others look alike.
func (r *Request) mayBeReturning() bool {
	return r.CallerTimeout > 0 && r.Profile.Deadline.Std()-r.CallerTimeout > r.Profile.Objective.Std()
}

// objective returns in which time the first byte is wanted; zero: no matter. A stream that
// has begun goes on as soon as any upstream can: put behind other requests, it would pause
// until its caller gives it up.
func (r *Request) objective(begun bool) time.Duration {
	if begun || r.LastEvent != "" {
		return 0
	}
	return r.Profile.Objective.Std()
}

// callerTimeLeft returns how much of its caller's time is callerTimeLeft; zero: it is not known.
func (r *Request) callerTimeLeft(now time.Time) time.Duration {
	if r.CallerTimeout == 0 {
		return 0
	}
	return max(r.Arrived.Add(r.CallerTimeout).Sub(now), time.Millisecond)
}

// treatment returns what the sidecar is to know, with what is left of the
// deadlines of plan at now.
func (r *Request) treatment(now time.Time, plan dispatch.Plan) wire.Treatment {
	p := r.Profile
	return wire.Treatment{
		Profile:       p.Name,
		Priority:      p.Priority,
		LoadMultiple:  p.LoadMultiple,
		QueueBound:    p.Queue.PerUpstream,
		OrgQueueBound: p.Queue.PerOrganisation,
		OrgWeight:     r.Org.Weight,
		Idempotent:    p.Idempotent,
		KeepAnswer:    p.KeepAnswer.Std(),
		FirstByte:     sidecarTimeLeft(plan.FirstByte, now, p.FirstToken.Std()),
		Deadline:      sidecarTimeLeft(plan.Deadline, now, p.Deadline.Std()),
	}
}

// sidecarTimeLeft returns what a sidecar may use of the time until a deadline.
func sidecarTimeLeft(at, now time.Time, total time.Duration) time.Duration {
	if at.IsZero() {
		return 0
	}
	margin := min(deadlineMargin, total/marginDivisor)
	return max(at.Sub(now)-margin, time.Millisecond)
}

// fingerprint identifies a request by its content: copies of a request that
// its caller sends again have the same.
func (r *Request) fingerprint() uint64 {
	h := xxh3.New()
	for _, part := range []string{r.Org.Name, r.Profile.Name, r.Call.Method, r.Call.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Call.Body)
	return max(h.Sum64(), 1) // zero means not known
}

func orgHash(name string) uint64 {
	return xxh3.HashString(name)
}

// sessionHash returns the hash of a session, or zero for none.
func sessionHash(org, session string) uint64 {
	if session == "" {
		return 0
	}
	return max(xxh3.HashStringSeed(session, orgHash(org)), 1)
}
