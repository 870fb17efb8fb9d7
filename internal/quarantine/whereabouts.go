package quarantine

import (
	"slices"
	"time"
)

// Accepted records that an upstream has accepted a connection. That is no sign of life at a crash: the
// connections of a process that stands still are accepted as well.
func (a *Account) Accepted(now time.Time, upstream string) {
	if r := a.upstreams[upstream]; r != nil {
		r.acceptedAt = now
	}
}

// Whereabouts is what an Account knows of the requests with a fingerprint that were left lately, before their
// responses had begun: copies of one request, or requests with one part of prompts.
type Whereabouts struct {
	Silent  []string      // upstreams of which nothing was heard since they had a copy
	Awaited time.Duration // the shortest time for which one of these copies was awaited
	Heard   int           // copies that were awaited as long at upstreams that were heard of since
}

// Whereabouts returns where requests with a fingerprint were left.
func (a *Account) Whereabouts(p Fingerprint) Whereabouts {
	var out Whereabouts
	var heard []time.Duration
	for _, s := range a.ended[p] {
		if s.state != left || s.survived || s.begun {
			continue
		}
		awaited := s.endedAt.Sub(s.started)
		if !a.upstreams[s.upstream].lastHeard().Before(s.endedAt) {
			heard = append(heard, awaited)
			continue
		}
		if len(out.Silent) == 0 || awaited < out.Awaited {
			out.Awaited = awaited
		}
		if !slices.Contains(out.Silent, s.upstream) {
			out.Silent = append(out.Silent, s.upstream)
		}
	}
	for _, awaited := range heard {
		if awaited >= out.Awaited {
			out.Heard++
		}
	}
	return out
}

// lastHeard returns when the upstream sent something last, or accepted a connection.
func (r *record) lastHeard() time.Time {
	if r.acceptedAt.After(r.lastSign) {
		return r.acceptedAt
	}
	return r.lastSign
}
