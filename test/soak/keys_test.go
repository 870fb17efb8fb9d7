package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// keyFaults are the disturbances beside keys that are taken away.
var keyFaults = []fault{
	{"router stops", true, (*harness).stopRouter},
	{"settings reload", true, (*harness).reloadSettings},
	{"router is killed", false, (*harness).killRouter},
	{"router stands still", false, (*harness).pauseRouter},
	{"store is away for a router", false, (*harness).cutStore},
	{"store refuses", false, (*harness).rejectAtStore},
	{"answers of the store are lost", false, (*harness).loseStoreResponses},
	{"store forgets its history", false, func(h *harness) { h.store.Compact() }},
}

// Operators take all keys away, and sometimes all tenants, and give new ones, again and again. Guards against requests
// of anybody that run while no key is left, and against keys that are valid again.
func TestSoakKeysTakenAway(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = keyFaults
		h.playKeys()
	})
}

// keyHistory is which keys were in force, as the operator has written it.
type keyHistory struct {
	mu        sync.Mutex
	version   int               // the newest
	key       string            // in force there; empty: none
	revoked   []string          // all earlier keys
	forbidden map[string]string // key by attempt, for attempts that may run at no time
}

// playKeys changes the keys under faults for the duration of a seed.
func (h *harness) playKeys() {
	playing <- struct{}{}
	defer func() { <-playing }()
	defer h.close()
	h.start()
	keys := &keyHistory{version: 1, key: "key-0", forbidden: make(map[string]string)}
	stop := make(chan struct{})
	time.AfterFunc(*duration, func() { close(stop) })
	h.running.Go(func() {
		for i := 0; !isStopped(stop); i++ {
			h.changeKeys(keys, i%2 == 0)
			time.Sleep(h.randomDuration(200*time.Millisecond, time.Second))
		}
	})
	for _, e := range h.entries {
		h.running.Go(func() {
			for !isStopped(stop) {
				h.probeKeys(keys, e)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	h.injectFaults(stop)
	h.changeKeys(keys, true)
	h.settleKeys(keys)
	h.checkForbidden(keys)
	h.changeKeys(keys, false)
	h.settleKeys(keys)
	h.t.Logf("seed %d: %d versions, %d attempts that may not run, faults %v", h.seed, keys.version, len(keys.forbidden), h.faultCounts)
}

// changeKeys writes a configuration in which one key, or none, is in force.
func (h *harness) changeKeys(keys *keyHistory, none bool) {
	noTenants := h.intN(2) == 0
	h.updateConfiguration(func(c *configuration) {
		keys.mu.Lock()
		defer keys.mu.Unlock()
		if keys.key != "" {
			keys.revoked = append(keys.revoked, keys.key)
		}
		c.routes = append(c.routes, route(fmt.Sprint("g", c.version), versionPath(c.version), "idempotent", map[string]any{"anonymous": true}))
		keys.key, c.keys, c.noTenants = "", []string{}, none && noTenants
		if !none {
			keys.key = fmt.Sprint("key-of-", c.version)
			c.keys = []string{keys.key}
		}
		keys.version = c.version
	})
}

// probeKeys sends requests that may not run to a router: with a key that was never in force, without one, and with one
// that was revoked by the version which the router has in force.
func (h *harness) probeKeys(keys *keyHistory, e *entry) {
	keys.mu.Lock()
	version, revoked := keys.version, slices.Clone(keys.revoked)
	keys.mu.Unlock()
	incarnation := e.currentIncarnation()
	inForce := h.requestStatus(e, versionPath(version), "") == http.StatusOK && e.currentIncarnation() == incarnation
	h.sendForbidden(keys, e, "key-of-nobody")
	h.sendForbidden(keys, e, "")
	if inForce && len(revoked) > 0 && e.currentIncarnation() == incarnation {
		h.sendForbidden(keys, e, revoked[h.intN(len(revoked))])
	}
}

// sendForbidden sends a request that may not run.
func (h *harness) sendForbidden(keys *keyHistory, e *entry, key string) {
	l := connect(e)
	if l == nil {
		return
	}
	defer l.close()
	c := h.newCall(http.MethodPost, "/book/1", key)
	keys.mu.Lock()
	keys.forbidden[c.id] = key
	keys.mu.Unlock()
	l.send(c)
	if c.status == http.StatusOK {
		h.t.Errorf("%s (process %d) serves a request with key %q", e.name, c.incarnation, key)
	}
}

// settleKeys ends all faults and waits until each router serves requests with the newest key only.
func (h *harness) settleKeys(keys *keyHistory) {
	h.store.SetOutage(nil)
	h.store.LoseWriteResponses(0)
	for _, e := range h.entries {
		h.eventually(e.name+" applies the newest keys", func() bool {
			h.probeKeys(keys, e)
			inForce := h.requestStatus(e, versionPath(keys.version), "") == http.StatusOK
			return inForce && (keys.key == "" || h.requestStatus(e, "/book/1", keys.key) == http.StatusOK)
		})
	}
}

// checkForbidden checks that none of the requests that may not run has run.
func (h *harness) checkForbidden(keys *keyHistory) {
	for _, r := range h.allRunners() {
		for _, run := range r.Runs() {
			if key, ok := keys.forbidden[run.ID]; ok {
				h.t.Errorf("%s ran %s with key %q for organisation %q", r.ID, run.ID, key, run.Organisation)
			}
		}
	}
}
