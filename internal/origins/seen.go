package origins

import (
	"maps"
	"slices"
	"time"
)

// Seen is what routers have seen of where streams begin, for routers that start when no other is left that has seen it.
// The router that reads the platform's store for others keeps it there.
type Seen struct {
	Within time.Duration `json:"within_ns"` // for how long before it was written; zero: something was missed
	Pools  Pools         `json:"pools"`     // the versions that were listed then
	Hosts  Hosts         `json:"hosts"`     // the routes of hosts that had the same ones all the time
}

// Equal reports whether two Seen say the same.
func (s Seen) Equal(other Seen) bool {
	return s.Within == other.Within && maps.Equal(s.Hosts, other.Hosts) && maps.EqualFunc(s.Pools, other.Pools, slices.Equal)
}

// Extend returns s with what has been seen since by a router that has missed something: further versions, and without hosts
// whose routes have changed. It vouches for no time.
func (s Seen) Extend(since Seen) Seen {
	out := Seen{Pools: maps.Clone(s.Pools), Hosts: make(Hosts)}
	if out.Pools == nil {
		out.Pools = make(Pools)
	}
	for pool, versions := range since.Pools {
		out.Pools[pool] = sortedSet(slices.Concat(out.Pools[pool], versions))
	}
	for host, routes := range s.Hosts {
		if now, ok := since.Hosts[host]; ok && now == routes {
			out.Hosts[host] = routes
		}
	}
	return out
}

func sortedSet(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Seed records what routers had seen before this one started.
func (h *History) Seed(now time.Time, s Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendBack(now, s.Within)
	for pool, versions := range s.Pools {
		for _, v := range versions {
			h.recordUnlisted(now, pool, v)
		}
	}
	if h.hosts == nil {
		h.hosts = s.Hosts
	}
	for host, routes := range h.hosts {
		if before, ok := s.Hosts[host]; ok && before == routes {
			delete(h.changed, host)
		}
	}
}

// SeedFirst records that there were no routers before: the whole system starts for the first time.
func (h *History) SeedFirst(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendBack(now, maxHistory)
	h.first = h.hosts == nil
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

// Seen returns what has been seen within the given time. It returns false if the list has never been current.
func (h *History) Seen(now time.Time, within time.Duration) (Seen, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := now.Add(-within)
	out := Seen{Pools: make(Pools), Hosts: make(Hosts)}
	if !h.since.IsZero() && !h.since.After(from) {
		out.Within = within
	}
	for pool, versions := range h.listed {
		out.Pools[pool] = slices.Clone(versions)
	}
	for pool, versions := range h.unlisted {
		for v, at := range versions {
			if at.After(from) {
				out.Pools[pool] = append(out.Pools[pool], v)
			}
		}
	}
	for pool := range out.Pools {
		out.Pools[pool] = sortedSet(out.Pools[pool])
	}
	for host, routes := range h.hosts {
		if !h.changed[host].After(from) {
			out.Hosts[host] = routes
		}
	}
	return out, h.wasCurrent
}
