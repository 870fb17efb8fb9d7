package soak

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

// takenBackFaults are the disturbances beside changes of the configuration that are taken back.
var takenBackFaults = []fault{
	{"a change is taken back while the reader stands still", false, (*harness).takeChangeBack},
	{"a change is taken back while the reader stands still", false, (*harness).takeChangeBack},
	{"configuration", true, (*harness).reconfigure},
	{"router stands still", false, (*harness).pauseRouter},
	{"router is killed", false, (*harness).killRouter},
	{"store is away for a router", false, (*harness).cutStore},
	{"store forgets its history", false, func(h *harness) { h.store.Compact() }},
}

// Operators take changes of the configuration back while the router that reads the store for the others stands still.
// Guards against routers that keep such a change for good.
func TestSoakChangesTakenBack(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults = takenBackFaults
		h.play()
	})
}

// takeChangeBack adds a key and takes it away again. The router that ranks first meanwhile stands still, so that it may
// miss the first change.
func (h *harness) takeChangeBack() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	reader := slices.MinFunc(h.entries, func(a, b *entry) int {
		return cmp.Compare(xxh3.HashString(a.name), xxh3.HashString(b.name))
	})
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		reader.pauseFor(h.randomDuration(500*time.Millisecond, 1200*time.Millisecond))
	}()
	time.Sleep(h.randomDuration(time.Millisecond, 200*time.Millisecond))
	key := ""
	h.updateConfiguration(func(c *configuration) {
		key = fmt.Sprint("brief-", c.version)
		c.keys = append(c.keys, key)
	})
	time.Sleep(h.randomDuration(50*time.Millisecond, 700*time.Millisecond))
	h.updateConfiguration(func(c *configuration) {
		c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
		h.revoked[key] = c.version
		c.routes = append(c.routes, route(fmt.Sprint("g", c.version), versionPath(c.version), "idempotent", map[string]any{"anonymous": true}))
	})
	<-paused
}

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
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	late := h.entryOf(r, "ready")
	if !h.markLeft(r) {
		return
	}
	h.writeEntry(r, "draining")
	time.Sleep(configBound + h.randomDuration(10*time.Millisecond, time.Second))
	h.store.Put("servers", r.ID, late)
	time.Sleep(leaveTimeout)
}
