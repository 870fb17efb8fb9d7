package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

// takenBackFaults are the disturbances beside changes of the configuration that are taken back.
var takenBackFaults = []fault{
	{"a change is taken back while the reader stands still", false, (*harness).takeChangeBack},
	{"a change is taken back while the reader stands still", false, (*harness).takeChangeBack},
	{"runner joins", true, (*harness).addRunner},
	{"store forgets its history", false, func(h *harness) { h.store.Compact() }},
}

// swingRoute is the route that is opened to callers without a key and closed again, and swingPath a path on it.
const (
	swingRoute = "swing"
	swingPath  = "/swing/1"
)

// Operators take changes of the configuration back while the router that reads the store for the others stands still.
// Guards against routers that keep such a change for good.
func TestSoakChangesTakenBack(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = takenBackFaults
		h.moreRoutes = []map[string]any{route(swingRoute, "/swing/", "idempotent", nil)}
		h.play()
	})
}

// takeChangeBack opens a route to callers without a key and closes it again. The router that ranks first stands still
// meanwhile, so that it may miss the first change. Every router must close the route.
func (h *harness) takeChangeBack() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	reader := slices.MinFunc(h.entries, func(a, b *entry) int {
		return cmp.Compare(xxh3.HashString(a.name), xxh3.HashString(b.name))
	})
	began := time.Now()
	reader.signal(syscall.SIGSTOP)
	time.Sleep(h.randomDuration(time.Millisecond, 200*time.Millisecond))
	h.openRoute(swingRoute, true)
	time.Sleep(h.randomDuration(readerReplacedIn, readerReplacedIn+500*time.Millisecond))
	h.openRoute(swingRoute, false)
	time.Sleep(h.randomDuration(0, 100*time.Millisecond))
	reader.signal(syscall.SIGCONT)
	reader.addPause(span{began, time.Now()})
	for _, e := range h.entries {
		h.eventually(e.name+" has taken the change back", func() bool {
			return h.requestStatus(e, swingPath, "") == http.StatusUnauthorized
		})
	}
}

// openRoute writes a configuration in which a route is open to callers without a key, or not.
func (h *harness) openRoute(name string, open bool) {
	h.updateConfiguration(func(c *configuration) {
		for i, r := range c.routes {
			if r["name"] == name {
				c.routes[i] = maps.Clone(r)
				c.routes[i]["anonymous"] = open
			}
		}
		c.routes = append(c.routes, route(fmt.Sprint("g", c.version), versionPath(c.version), "idempotent", map[string]any{"anonymous": true}))
	})
}

// readerReplacedIn is about the time after which another router reads the store in place of one that stands still.
const readerReplacedIn = 500 * time.Millisecond

// lateWriteFaults are the disturbances beside writes that the store does late. No router starts again: it would know of
// no earlier write.
var lateWriteFaults = []fault{
	{"a write comes late", false, (*harness).writeLate},
	{"runner joins", true, (*harness).addRunner},
	{"router stands still", false, (*harness).pauseRouter},
	{"store is away for a router", false, (*harness).cutStore},
	{"store comes back from an older copy", false, (*harness).restoreStore},
}

// Runners leave, and the store does an earlier write of theirs afterwards. Guards against new requests to a runner that
// is about to end.
func TestSoakLateWrites(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = lateWriteFaults
		h.play()
	})
}

// writeLate lets a runner leave, and the store do its former write again after that. The entry stays until the end, and so
// does the runner. It returns once no request may reach it any more.
func (h *harness) writeLate() {
	if h.leaveAndWriteLate() {
		time.Sleep(leaveTimeout)
	}
}

// leaveAndWriteLate writes that a runner leaves, and its former write after that. The store is not restored meanwhile: a
// copy from before would take the only word of it that there is. Two runners at least stay: they are counted under the
// lock, for which several of these may wait.
func (h *harness) leaveAndWriteLate() bool {
	h.restoreMu.Lock()
	defer h.restoreMu.Unlock()
	live := h.liveRunners()
	if len(live) <= 2 {
		return false
	}
	r := live[h.intN(len(live))]
	late := h.entryOf(r, "ready")
	if !h.markLeft(r) {
		return false
	}
	h.writeEntry(r, "draining")
	time.Sleep(configBound + h.randomDuration(10*time.Millisecond, time.Second))
	h.store.Put("servers", r.ID, late)
	return true
}
