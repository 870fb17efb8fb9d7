package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// fault is a kind of disturbance of the fleet. Its inject function returns when the disturbance is
// over.
type fault struct {
	name    string
	planned bool
	inject  func(h *harness)
}

var faults = []fault{
	{"configuration", true, (*harness).reconfigure},
	{"configurations in quick succession", true, (*harness).reconfigureOften},
	{"runner leaves", true, (*harness).drainRunner},
	{"runner says that it leaves", true, (*harness).drainRunnerByHeader},
	{"runner joins", true, (*harness).addRunner},
	{"failure domain is drained", true, (*harness).drainDomain},
	{"router stops", true, (*harness).stopRouter},
	{"settings reload", true, (*harness).reloadSettings},
	{"router is killed", false, (*harness).killRouter},
	{"router stands still", false, (*harness).pauseRouter},
	{"store is away for a router", false, (*harness).cutStore},
	{"store refuses", false, (*harness).rejectAtStore},
	{"answers of the store are lost", false, (*harness).loseStoreResponses},
	{"store comes back from an older copy", false, (*harness).restoreStore},
	{"store forgets its history", false, func(h *harness) { h.store.Compact() }},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner crashes", false, (*harness).crashRunner},
	{"runner starts again", false, (*harness).restartRunner},
	{"runner wants rest", false, (*harness).restRunner},
	{"entries of others", false, (*harness).writeForeignEntries},
	{"answers of runners", false, (*harness).injectResponseFault},
}

// injectFaults injects random faults, several at a time, until stop is closed, and waits until the
// last is over. It begins when the requests that crash runners do.
func (h *harness) injectFaults(stop <-chan struct{}) {
	var active sync.WaitGroup
	time.Sleep(h.crashingCallsAfter)
	for !isStopped(stop) && len(h.faults) > 0 {
		f := h.faults[h.intN(len(h.faults))]
		if h.planned && !f.planned {
			continue
		}
		h.mu.Lock()
		h.faultCounts[f.name]++
		h.mu.Unlock()
		active.Go(func() { f.inject(h) })
		time.Sleep(h.randomDuration(20*time.Millisecond, 500*time.Millisecond))
	}
	<-stop
	active.Wait()
	h.running.Wait()
}

func (h *harness) reconfigure() {
	h.updateConfiguration(func(c *configuration) {
		c.routes = append(c.routes, route(fmt.Sprint("g", c.version), versionPath(c.version), "idempotent", map[string]any{"anonymous": true}))
		switch {
		case len(c.keys) < 3:
			key := fmt.Sprint("key-", c.version)
			c.keys = append(c.keys, key)
		default: // the first key stays: callers use it
			h.revoked[c.keys[1]] = c.version
			c.keys = slices.Delete(c.keys, 1, 2)
		}
	})
}

func (h *harness) reconfigureOften() {
	for range 5 {
		h.reconfigure()
		time.Sleep(h.randomDuration(time.Millisecond, 60*time.Millisecond))
	}
}

// drainRunner lets a runner leave as planned, if more than two are live.
func (h *harness) drainRunner() {
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	h.writeEntry(r, "draining")
	h.markLeft(r)
	time.Sleep(2 * configBound)
	h.store.Remove("servers", r.ID)
}

// drainRunnerByHeader lets a runner leave that announces it in its responses first. Its entry still
// says that it is ready, as a late heartbeat would, and is updated later.
func (h *harness) drainRunnerByHeader() {
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	r.SetExtraHeaders(leavingHeader)
	time.Sleep(h.randomDuration(10*time.Millisecond, time.Second))
	h.writeEntry(r, "ready")
	time.Sleep(h.randomDuration(10*time.Millisecond, 2*time.Second))
	h.writeEntry(r, "draining")
	h.markLeft(r)
	time.Sleep(2 * configBound)
	h.store.Remove("servers", r.ID)
}

// restValues are the Retry-After values, in seconds, of runners that reject requests. The last
// three are invalid.
var restValues = []string{"0.6", "1", "1.7", "3", "", "-1", "soon"}

// restRunner lets a runner reject all requests for a short time and ask for rest by Retry-After.
func (h *harness) restRunner() {
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	seconds := restValues[h.intN(len(restValues))]
	r.restSeconds.Store(&seconds)
	time.Sleep(h.randomDuration(50*time.Millisecond, 1500*time.Millisecond))
	r.restSeconds.Store(nil)
}

// markLeft records that a runner has left, and reports whether it had not before.
func (h *harness) markLeft(r *runner) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.leftAt.IsZero() {
		return false
	}
	r.leftAt = time.Now()
	return true
}

// drainKind is the kind of the platform's orders to drain a failure domain.
const drainKind = "evacuations"

// drainDomain orders the drain of a failure domain and revokes the order.
func (h *harness) drainDomain() {
	zone := zones[h.intN(len(zones))]
	h.store.Put(drainKind, zone, map[string]any{})
	time.Sleep(h.randomDuration(200*time.Millisecond, 2*time.Second))
	h.store.Remove(drainKind, zone)
}

func (h *harness) addRunner() {
	if len(h.liveRunners()) < 2*h.runnersAtStart {
		_, err := h.newRunner()
		if err != nil {
			h.t.Error(err)
		}
	}
}

func (h *harness) randomEntry() *entry { return h.entries[h.intN(len(h.entries))] }

// stopRouter stops a router by SIGTERM and starts it again.
func (h *harness) stopRouter() {
	if !h.restartMu.TryLock() {
		return
	}
	defer h.restartMu.Unlock()
	e := h.randomEntry()
	e.signal(syscall.SIGTERM)
	if !e.waitExit(grace) {
		if h.planned {
			h.t.Errorf("%s runs %v after SIGTERM", e.name, grace)
		}
		e.kill()
		e.waitExit(grace)
	}
	h.checkError(e.start())
	h.eventually(e.name+" is ready after a planned stop", e.ready)
}

// checkError is must for goroutines other than the test's own, which may not call Fatal.
func (h *harness) checkError(err error) {
	if err != nil {
		h.t.Error(err)
	}
}

func (h *harness) reloadSettings() {
	e := h.randomEntry()
	h.checkError(e.settings(2 + float64(h.intN(10))/10))
	e.signal(syscall.SIGHUP)
}

func (h *harness) killRouter() {
	if !h.restartMu.TryLock() {
		return
	}
	defer h.restartMu.Unlock()
	e := h.randomEntry()
	e.kill()
	e.signal(syscall.SIGCONT)
	e.waitExit(grace)
	time.Sleep(h.randomDuration(time.Millisecond, time.Second))
	h.checkError(e.start())
}

func (h *harness) pauseRouter() {
	h.randomEntry().pauseFor(h.randomDuration(100*time.Millisecond, 3*time.Second))
}

// pauseFor stops the current process by SIGSTOP for a time.
func (e *entry) pauseFor(d time.Duration) {
	began := time.Now()
	e.signal(syscall.SIGSTOP)
	time.Sleep(d)
	e.signal(syscall.SIGCONT)
	e.addPause(span{began, time.Now()})
}

// cutStore impairs the connection from one router to the store.
func (h *harness) cutStore() {
	e := h.randomEntry()
	e.store.setMode(proxyMode(1 + h.intN(int(proxyModeCount)-1)))
	time.Sleep(h.randomDuration(200*time.Millisecond, 3*time.Second))
	e.store.setMode(passThrough)
}

// rejectAtStore lets the store reject all requests.
func (h *harness) rejectAtStore() {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[h.intN(2)]
	h.store.SetOutage(func(string) int { return status })
	time.Sleep(h.randomDuration(200*time.Millisecond, 2*time.Second))
	h.store.SetOutage(nil)
}

// entryExpiry is how long after the last heartbeat the store drops a runner's entry.
const entryExpiry = 3600 * time.Millisecond

// restoreStore makes the store unavailable for a short time and restores it from a copy that is up
// to two seconds old. Its writers repeat their lost changes one after the other, and the restored
// entries of runners that are gone expire again.
func (h *harness) restoreStore() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	c := h.store.Snapshot()
	time.Sleep(h.randomDuration(10*time.Millisecond, 2*time.Second))
	h.store.SetOutage(func(string) int { return http.StatusServiceUnavailable })
	time.Sleep(h.randomDuration(10*time.Millisecond, time.Second))
	lost := h.store.Snapshot()
	h.store.Restore(c)
	h.store.SetOutage(nil)
	for _, kind := range []string{"config", drainKind, "servers"} {
		time.Sleep(h.randomDuration(time.Millisecond, 300*time.Millisecond))
		h.store.RewriteLost(c, lost, kind)
	}
	h.store.RemoveRestored(c, lost, drainKind)
	time.Sleep(entryExpiry)
	h.store.RemoveRestored(c, lost, "servers")
}

func (h *harness) loseStoreResponses() { h.store.LoseWriteResponses(1 + h.intN(3)) }

func (h *harness) cutRunner() {
	live := h.liveRunners()
	if len(live) == 0 {
		return
	}
	r := live[h.intN(len(live))]
	r.proxy.setMode(proxyMode(1 + h.intN(int(proxyModeCount)-1)))
	time.Sleep(h.randomDuration(100*time.Millisecond, 2*time.Second))
	r.proxy.setMode(passThrough)
}

// crashRunner ends a runner without notice. Its entry is removed later.
func (h *harness) crashRunner() {
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	r.proxy.setMode(resetting)
	_ = r.Close()
	h.markLeft(r)
	h.succeed(r)
}

// successions are the times after which the next runner starts in the place of one that has ended, at its address
// and with a new id: long before the former entry ends, beside that, and after it.
var successions = []time.Duration{50 * time.Millisecond, runnerDowntime, entryExpiry, entryExpiry + 1500*time.Millisecond}

// succeed lets another runner take the place of one that has ended without a word, and returns when that has
// started and the former entry has ended.
func (h *harness) succeed(r *runner) {
	downtime := successions[h.intN(len(successions))]
	var steps sync.WaitGroup
	steps.Go(func() {
		time.Sleep(entryExpiry)
		h.store.Remove("servers", r.ID)
	})
	steps.Go(func() {
		time.Sleep(downtime)
		r.proxy.close()
		_, err := h.startRunner(runnerID(h.nextRunner()), r.proxy.addr(), r.domain)
		h.checkError(err)
	})
	steps.Wait()
}

// restartRunner ends a runner without notice and starts it again under its id. The store may apply
// a heartbeat of the former incarnation after the first of the present one.
func (h *harness) restartRunner() {
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	former := live[h.intN(len(live))]
	h.markLeft(former)
	former.proxy.setMode([]proxyMode{resetting, stalled}[h.intN(2)])
	_ = former.Close()
	time.Sleep(h.randomDuration(10*time.Millisecond, time.Second))
	present, err := h.startRunner(former.ID, h.runnerAddr(h.nextRunner()), former.domain)
	if err != nil {
		h.t.Error(err)
		return
	}
	if h.intN(2) == 0 {
		time.Sleep(h.randomDuration(time.Millisecond, 300*time.Millisecond))
		h.writeEntry(former, "ready")
		time.Sleep(h.randomDuration(time.Millisecond, time.Second))
		h.rewriteEntry(present)
	}
}

// rewriteEntry writes the entry of a runner again, unless the runner has left meanwhile.
func (h *harness) rewriteEntry(r *runner) {
	h.mu.Lock()
	left := !r.leftAt.IsZero()
	h.mu.Unlock()
	if !left {
		h.writeEntry(r, "ready")
	}
}

// writeForeignEntries writes invalid or incomplete entries among those of the runners, and for a
// short time in place of one of them.
func (h *harness) writeForeignEntries() {
	specs := []any{"?", 7, map[string]any{}, map[string]any{"service": "llm", "address": "127.0.0.1:9", "state": "ready"}}
	spec := specs[h.intN(len(specs))]
	h.store.Put("servers", fmt.Sprint("other-", h.intN(3)), spec)
	live := h.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[h.intN(len(live))]
	h.store.Put("servers", r.ID, spec)
	time.Sleep(h.randomDuration(time.Millisecond, time.Second))
	h.rewriteEntry(r)
}

func (h *harness) injectResponseFault() {
	h.causeResponseFault(h.intN(int(endlessResponse))) // answers without an end have tests of their own
}

// causeResponseFault makes runners answer with a fault for a short time.
func (h *harness) causeResponseFault(c int) {
	h.setResponseFault(c, true)
	time.Sleep(h.randomDuration(200*time.Millisecond, 2*time.Second))
	h.setResponseFault(c, false)
}

func (h *harness) setResponseFault(c int, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responseFaults[c] = on
}
