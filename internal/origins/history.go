package origins

import (
	"maps"
	"sync"
	"time"
)

// maxHistory is for how long a History remembers a version that is not listed any more.
const maxHistory = time.Hour

// Routes are the routes of each host, as a hash of which paths are served by which pools.
type Routes map[string]string

// History holds what a router has seen of the software versions in each pool, and of the routes of each host. A stream
// that its caller takes up without naming it began where requests for it went then: if one version has served it for
// longer than a stream can last, it began there. A router that has just started has not seen that, and neither has one
// whose list was not current meanwhile. The zero value is ready to use. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	since       time.Time            // since when nothing was missed; zero: the list is not current
	wasCurrent  bool                 // the list has been current
	knownBefore time.Duration        // how long before the list becomes current for the first time others have seen all
	versions    setHistory           // of the software of upstreams, by pool
	pools       setHistory           // that serve streams, by host
	routes      Routes               // now, or as others saw them; nil: not known
	changed     map[string]time.Time // when the routes of a host changed last
	isFirst     bool                 // the first routes are those from the beginning
}

// ObserveCurrency records whether the list of upstreams is current: versions may come and go unseen while it is not.
func (h *History) ObserveCurrency(now time.Time, isCurrent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !isCurrent:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now.Add(-h.knownBefore)
		h.knownBefore = 0
		h.wasCurrent = true
	}
}

// ObserveVersions records which software versions are listed in each pool from now on.
func (h *History) ObserveVersions(now time.Time, versions Sets) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions.observe(now, versions)
}

// ObserveRoutes records the routes of hosts, and the pools that serve streams of each, from now on. There are no routes
// before the first configuration.
func (h *History) ObserveRoutes(now time.Time, routes Routes, pools Sets) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pools.observe(now, pools)
	if len(routes) == 0 {
		return
	}
	if h.changed == nil {
		h.changed = make(map[string]time.Time)
	}
	for host, latest := range routes {
		if former, ok := h.routes[host]; (!ok || former != latest) && !h.isFirst {
			h.changed[host] = now
		}
	}
	h.isFirst = false
	for host := range h.changed {
		if _, ok := routes[host]; !ok {
			delete(h.changed, host)
		}
	}
	h.routes = routes
}

// OnlyVersion returns the version of the software at which every stream began that a caller has begun at a host and in a
// pool within the given time. It returns false if there may have been several, or other pools, or if this router can't
// know.
func (h *History) OnlyVersion(now time.Time, host, pool string, within time.Duration) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := now.Add(-within)
	if within > maxHistory || h.since.IsZero() || h.since.After(from) {
		return "", false
	}
	if h.changed[host].After(from) {
		if served, ok := h.pools.only(host, from); !ok || served != pool {
			return "", false
		}
	}
	return h.versions.only(pool, from)
}

// SeveralVersions returns the versions of the software of each pool that has had several within the given time, as far
// as this router has seen.
func (h *History) SeveralVersions(now time.Time, within time.Duration) Sets {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.versions.since(now.Add(-within))
	maps.DeleteFunc(out, func(_ string, versions []string) bool { return len(versions) < 2 })
	return out
}
