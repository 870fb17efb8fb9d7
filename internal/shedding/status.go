package shedding

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/shares"
)

// shortValidity is how long a pool counts as short after the last request. It is the time for which
// package shares applies admitted fractions: after it, all requests are admitted.
const shortValidity = 2 * time.Second

// Status is what operators are shown of a Pool.
type Status struct {
	Short    bool
	Capacity float64 // requests that engines may hold, or that plain upstreams accept per second; zero: not known
	Used     float64 // in the unit of Capacity
	Complete bool    // the demand of all routers is known
	Classes  []ClassStatus
}

// ClassStatus is what is admitted of a class of requests.
type ClassStatus struct {
	Organisation string // its name; empty: several organisations, or one whose name is not known
	shares.Admitted
}

// Combined reports whether the class names no organisation.
func (c ClassStatus) Combined() bool { return c.Orgs > 1 || c.Org == 0 }

// Status returns the present state of the pool.
func (p *Pool) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Status{Short: p.isShort(now), Capacity: p.latest.Capacity, Used: p.latest.Used, Complete: p.complete}
	for _, c := range p.gate.Classes() {
		status := ClassStatus{Admitted: c}
		if !status.Combined() {
			status.Organisation = p.names[c.Org]
		}
		out.Classes = append(out.Classes, status)
	}
	return out
}

// isShort reports whether requests are held back. A pool that gets no requests any more is not short.
func (p *Pool) isShort(now time.Time) bool {
	return p.gate.Short() && now.Sub(p.updatedAt) <= shortValidity
}

// Transition reports whether the pool has become short, or has ceased to be, since the last call. A
// pool ceases to be short without a request, so the caller also asks at intervals.
func (p *Pool) Transition(now time.Time) (s Status, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	short := p.isShort(now)
	changed = short != p.wasShort
	p.wasShort = short
	return Status{Short: short, Capacity: p.latest.Capacity, Used: p.latest.Used}, changed
}
