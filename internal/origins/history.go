package origins

import (
	"sync"
	"time"
)

// maxHistory is for how long a History remembers a version that is not listed any more.
const maxHistory = time.Hour

// Hosts are the routes of each host, as a hash of which paths are served by which pools.
type Hosts map[string]string

// Pools are the software versions of the upstreams that are listed in each pool and, under HostKey, the pools that serve
// the streams of each host.
type Pools map[string][]string

// HostKey returns the key of a host in Pools. It is the name of no pool.
func HostKey(host string) string { return "host " + host }

// History holds what a router has seen of the software versions in each pool, and of the routes of each host. A stream
// that its caller takes up without naming it began where requests for it went then: if one version has served it for
// longer than a stream can last, it began there. A router that has just started has not seen that, and neither has one
// whose list was not current meanwhile. The zero value is ready to use. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	since       time.Time                       // since when nothing was missed; zero: the list is not current
	wasCurrent  bool                            // the list has been current
	knownBefore time.Duration                   // how long before the list becomes current for the first time others have seen all
	listed      Pools                           // now
	unlisted    map[string]map[string]time.Time // when a version was listed last, by pool
	hosts       Hosts                           // now, or as others saw them; nil: not known
	changed     map[string]time.Time            // when the routes of a host changed last
	first       bool                            // the first routes are those from the beginning
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

// ObservePools records which versions are listed from now on.
func (h *History) ObservePools(now time.Time, listed Pools) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, versions := range h.listed {
		for _, v := range versions {
			h.recordUnlisted(now, pool, v)
		}
	}
	h.listed = listed
	h.expire(now)
}

// recordUnlisted records that a version was listed until now.
func (h *History) recordUnlisted(now time.Time, pool, version string) {
	if h.unlisted == nil {
		h.unlisted = make(map[string]map[string]time.Time)
	}
	if h.unlisted[pool] == nil {
		h.unlisted[pool] = make(map[string]time.Time)
	}
	h.unlisted[pool][version] = now
}

// expire drops the versions that were listed last before maxHistory.
func (h *History) expire(now time.Time) {
	for pool, versions := range h.unlisted {
		for v, at := range versions {
			if now.Sub(at) > maxHistory {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.unlisted, pool)
		}
	}
}

// ObserveHosts records the routes of hosts from now on. There are none before the first configuration.
func (h *History) ObserveHosts(now time.Time, hosts Hosts) {
	if len(hosts) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(map[string]time.Time)
	}
	for host, routes := range hosts {
		if former, ok := h.hosts[host]; (!ok || former != routes) && !h.first {
			h.changed[host] = now
		}
	}
	h.first = false
	for host := range h.changed {
		if _, ok := hosts[host]; !ok {
			delete(h.changed, host)
		}
	}
	h.hosts = hosts
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
		if served, ok := h.only(HostKey(host), from); !ok || served != pool {
			return "", false
		}
	}
	return h.only(pool, from)
}

// only returns what has been listed under a key since a time, if that was one and the same.
func (h *History) only(key string, from time.Time) (string, bool) {
	if len(h.listed[key]) == 0 {
		return "", false
	}
	only := h.listed[key][0]
	for _, v := range h.listed[key] {
		if v != only {
			return "", false
		}
	}
	for v, at := range h.unlisted[key] {
		if v != only && at.After(from) {
			return "", false
		}
	}
	return only, true
}
