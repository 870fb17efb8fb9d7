package shedding

import "github.com/parsleyfront/parsleyfront/internal/shares"

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
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Status{Short: p.gate.Short(), Capacity: p.latest.Capacity, Used: p.latest.Used, Complete: p.complete}
	for _, c := range p.gate.Classes() {
		status := ClassStatus{Admitted: c}
		if !status.Combined() {
			status.Organisation = p.names[c.Org]
		}
		out.Classes = append(out.Classes, status)
	}
	return out
}

// Transition reports whether the pool has become short, or has ceased to be, since the last call.
func (p *Pool) Transition() (s Status, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	short := p.gate.Short()
	changed = short != p.wasShort
	p.wasShort = short
	return Status{Short: short, Capacity: p.latest.Capacity, Used: p.latest.Used}, changed
}
