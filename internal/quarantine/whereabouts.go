package quarantine

import "time"

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
	if a.ended[p] == 0 {
		return out
	}
	var heard []time.Duration
	for upstream, r := range a.upstreams {
		latest := r.lastSign
		if r.acceptedAt.After(latest) {
			latest = r.acceptedAt
		}
		isSilent := false
		for _, s := range r.ended {
			if !s.copy.has(p) || s.state != left || s.survived || s.begun {
				continue
			}
			awaited := s.endedAt.Sub(s.started)
			if !latest.Before(s.endedAt) {
				heard = append(heard, awaited)
				continue
			}
			if len(out.Silent) == 0 && !isSilent || awaited < out.Awaited {
				out.Awaited = awaited
			}
			isSilent = true
		}
		if isSilent {
			out.Silent = append(out.Silent, upstream)
		}
	}
	for _, awaited := range heard {
		if awaited >= out.Awaited {
			out.Heard++
		}
	}
	return out
}
