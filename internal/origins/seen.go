package origins

import (
	"maps"
	"time"
)

// Seen is what routers have seen of where streams begin, for routers that start when no other is left that has seen it.
// The router that reads the platform's store for others keeps it there.
type Seen struct {
	Within   time.Duration `json:"within_ns"` // for how long before it was written; zero: something was missed
	Versions Sets          `json:"versions"`  // that were listed within that time, by pool
	Pools    Sets          `json:"pools"`     // that served streams within that time, by host
	Routes   Routes        `json:"routes"`    // of hosts that had the same ones all the time
}

// Equal reports whether two Seen say the same.
func (s Seen) Equal(other Seen) bool {
	return s.Within == other.Within && s.Versions.equal(other.Versions) && s.Pools.equal(other.Pools) && maps.Equal(s.Routes, other.Routes)
}

// Extend returns s with what has been seen since by a router that has missed something: further versions and pools, and
// without hosts whose routes have changed. It vouches for no time.
func (s Seen) Extend(since Seen) Seen {
	out := Seen{Versions: s.Versions.union(since.Versions), Pools: s.Pools.union(since.Pools), Routes: make(Routes)}
	for host, routes := range s.Routes {
		if now, ok := since.Routes[host]; ok && now == routes {
			out.Routes[host] = routes
		}
	}
	return out
}

// Seen returns what has been seen within the given time. It returns false if the list has never been current.
func (h *History) Seen(now time.Time, within time.Duration) (Seen, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := now.Add(-within)
	out := Seen{Versions: h.versions.since(from), Pools: h.pools.since(from), Routes: make(Routes)}
	if !h.since.IsZero() && !h.since.After(from) {
		out.Within = within
	}
	for host, routes := range h.routes {
		if !h.changed[host].After(from) {
			out.Routes[host] = routes
		}
	}
	return out, h.wasCurrent
}

// Seed records what routers had seen before this one started.
func (h *History) Seed(now time.Time, s Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendBack(now, s.Within)
	h.versions.recordFormer(now, s.Versions)
	h.pools.recordFormer(now, s.Pools)
	if h.routes == nil {
		h.routes = s.Routes
	}
	for host, routes := range h.routes {
		if before, ok := s.Routes[host]; ok && before == routes {
			delete(h.changed, host)
		}
	}
}

// SeedFirst records that there were no routers before: the whole system starts for the first time.
func (h *History) SeedFirst(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendBack(now, maxHistory)
	h.isFirst = h.routes == nil
	clear(h.changed)
}

// extendBack makes the time in which nothing was missed begin earlier.
func (h *History) extendBack(now time.Time, by time.Duration) {
	if h.since.IsZero() {
		h.knownBefore = by
		return
	}
	if earlier := now.Add(-by); earlier.Before(h.since) {
		h.since = earlier
	}
}
