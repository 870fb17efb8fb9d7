// Package policy names the mechanisms by which routers serve upstreams without a sidecar
// better than by chance, so that each can be switched off: by an operator who suspects
// one of them at night, and by whoever measures what it is worth.
//
// Package router reads a Policy where a mechanism begins; none of them guards a promise
// to callers, so that any may be off. Without HotSpread and SharedLoads a surge of one
// session puts upstreams over the operators' bound on load.
package policy

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Policy says which mechanisms are on. Its zero value has all off.
type Policy struct {
	// HotSpread spreads a session that has more requests than its home may hold over as
	// many upstreams as it needs, from the router's own sample of the traffic.
	HotSpread bool
	// SoftBounds draws the bound on load for each request, so that routers that are told the
	// same do not turn away from an upstream together.
	SoftBounds bool
	// DomainSpill lets a session's requests that its home has no room for go to upstreams
	// of the same failure domain first.
	DomainSpill bool
	// SharedLoads has routers tell each other the loads of upstreams.
	SharedLoads bool
	// SharedOutcomes has routers tell each other how requests went at upstreams.
	SharedOutcomes bool
	// Outliers puts upstreams last that fail more of their requests than others.
	Outliers bool
	// Pace sends requests without a session to the upstreams that answer fastest.
	Pace bool
	// Waits sends requests where their first byte is expected in time, by how much waits
	// at each engine and how fast it works, and turns those away at once for which there
	// is no such engine and no free place.
	Waits bool
	// Donors names, with each request, the upstream that is likely to hold its prompt.
	Donors bool
	// LastServed prefers as donor the upstream that has served the session last.
	LastServed bool
	// Hedges asks a second upstream when an idempotent read is late.
	Hedges bool
	// Switches gives a silent stream that may be resumed up for another upstream.
	Switches bool
	// Resumption goes on at another upstream with a stream that has broken off.
	Resumption bool
	// Linger keeps upstreams whose entry is gone for a while, as donors.
	Linger bool
	// StartWait lets requests wait for the first configuration of a router.
	StartWait bool
}

// All returns the Policy that has all mechanisms on.
func All() Policy {
	p := Policy{}
	for _, s := range p.mechanisms() {
		*s.enabled = true
	}
	return p
}

// Without returns All but for the mechanisms of a list of names, separated by commas.
func Without(names string) (Policy, error) {
	p := All()
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		i := slices.IndexFunc(p.mechanisms(), func(s mechanism) bool { return s.name == name })
		if i < 0 {
			return All(), errors.Errorf("no mechanism is called %q: there are %s", name, strings.Join(Names(), ", "))
		}
		*p.mechanisms()[i].enabled = false
	}
	return p, nil
}

// Names returns the names of all mechanisms.
func Names() []string {
	var names []string
	for _, s := range new(Policy).mechanisms() {
		names = append(names, s.name)
	}
	return names
}

// mechanism is a mechanism as operators name it.
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
