// Package policy names the optional mechanisms by which routers improve how requests are
// served at upstreams that have no sidecar. Each can be switched off, by operators who
// suspect that it does harm and for measurements of its benefit.
//
// The code that implements a mechanism checks the Policy before it applies the mechanism. No
// guarantee to callers depends on a mechanism, so any of them may be off. Without HotSpread and SharedLoads a
// surge of one session's requests puts upstreams over the load bound.
package policy

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Policy sets which mechanisms are on. In the zero Policy all are off.
type Policy struct {
	// HotSpread spreads a session with more requests than its home upstream may get over
	// as many upstreams as it needs, judging by the router's own share of the traffic.
	HotSpread bool
	// SoftBounds draws the load bound at random for each request, so that routers with the
	// same load reports do not all avoid an upstream at once.
	SoftBounds bool
	// DomainSpill sends requests for which a session's home upstream has no capacity to
	// upstreams of the same failure domain first.
	DomainSpill bool
	// SharedLoads makes routers report the loads of upstreams to each other.
	SharedLoads bool
	// SharedOutcomes makes routers report the outcomes of requests at upstreams to each
	// other.
	SharedOutcomes bool
	// Outliers ranks upstreams last that fail more of their requests than others.
	Outliers bool
	// Pace sends requests without a session to the upstreams with the lowest relative
	// latency.
	Pace bool
	// Waits sends requests to engines at which their first byte is expected in time, given
	// the length of the queue and the speed of each engine. It rejects a request at once
	// if there is no such engine and no free slot.
	Waits bool
	// Donors names, with each request, the upstream that is likely to have its prompt
	// cached.
	Donors bool
	// LastServed prefers the upstream that has served the session last as donor.
	LastServed bool
	// Hedges sends an idempotent read also to a second upstream if the response of the
	// first is late.
	Hedges bool
	// Switches moves a stalled stream that can be resumed to another upstream.
	Switches bool
	// Resumption continues a stream that has broken off at another upstream.
	Resumption bool
	// Linger keeps an upstream for a while after its entry was removed, so that prompts
	// cached by it can still be fetched: it gets no new requests but can be a donor.
	Linger bool
	// StartWait makes requests that arrive at a router before its first configuration wait
	// for it instead of being rejected.
	StartWait bool
}

// All returns the Policy in which all mechanisms are on.
func All() Policy {
	p := Policy{}
	for _, m := range p.mechanisms() {
		*m.enabled = true
	}
	return p
}

// Without returns All except the mechanisms in names, a comma-separated list. It returns an
// error, and All, if a name is unknown.
func Without(names string) (Policy, error) {
	p := All()
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		i := slices.IndexFunc(p.mechanisms(), func(m mechanism) bool { return m.name == name })
		if i < 0 {
			return All(), errors.Errorf("unknown mechanism %q: want one of %s", name, strings.Join(Names(), ", "))
		}
		*p.mechanisms()[i].enabled = false
	}
	return p, nil
}

// Names returns the names of all mechanisms.
func Names() []string {
	var names []string
	for _, m := range new(Policy).mechanisms() {
		names = append(names, m.name)
	}
	return names
}

// mechanism is the name of a mechanism in settings and its field in a Policy.
type mechanism struct {
	name    string
	enabled *bool
}

func (p *Policy) mechanisms() []mechanism {
	return []mechanism{
		{"hot-spread", &p.HotSpread},
		{"soft-bounds", &p.SoftBounds},
		{"domain-spill", &p.DomainSpill},
		{"shared-loads", &p.SharedLoads},
		{"shared-outcomes", &p.SharedOutcomes},
		{"outliers", &p.Outliers},
		{"pace", &p.Pace},
		{"waits", &p.Waits},
		{"donors", &p.Donors},
		{"last-served", &p.LastServed},
		{"hedges", &p.Hedges},
		{"switches", &p.Switches},
		{"resumption", &p.Resumption},
		{"linger", &p.Linger},
		{"start-wait", &p.StartWait},
	}
}
