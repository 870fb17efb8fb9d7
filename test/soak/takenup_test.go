package soak

import (
	"sync"
	"testing"
	"time"
)

// takenUpFaults are the disturbances beside streams that are taken up after all routers were lost.
var takenUpFaults = []fault{
	{"a version is replaced", true, (*harness).replaceVersion},
	{"all routers are killed while a version is replaced", false, (*harness).killAllRoutersInARollout},
	{"streams are broken off", false, (*harness).breakStreams},
	{"router stands still", false, (*harness).pauseRouter},
}

// Runners are replaced by those of the next version, all routers are killed beside that, and callers take up their streams,
// half of them without naming them. Guards against an answer that is joined from two versions because a router knows only
// what it has seen since its start.
func TestSoakTakenUpAfterAllRoutersWereLost(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults, h.takesUp, h.routersLost = takenUpFaults, true, true
		h.unnamedTakeUps, h.streamCallers = true, 20
		h.streamPath = "/stream/note/" + eventsMark + "60"
		h.play()
	})
}

// replaceVersion replaces all runners by as many of the next version, which serve alone soon.
func (h *harness) replaceVersion() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	h.replaceRunners(func() {})
}

// replaceRunners replaces all runners by as many of the next version. It calls beside once the latter have started, and
// before the former leave.
func (h *harness) replaceRunners(beside func()) {
	former := h.liveRunners()
	h.mu.Lock()
	h.software++
	h.mu.Unlock()
	for range former {
		if _, err := h.newRunner(); err != nil {
			h.t.Error(err)
			return
		}
	}
	time.Sleep(coldDuration + h.randomDuration(10*time.Millisecond, time.Second))
	beside()
	var leaving sync.WaitGroup
	for _, r := range former {
		leaving.Go(func() { h.leaveAndEnd(r) })
	}
	leaving.Wait()
}

// leaveAndEnd lets a runner leave, with or without a word, and end later.
func (h *harness) leaveAndEnd(r *runner) {
	h.markLeft(r)
	if h.intN(2) == 0 {
		h.writeEntry(r, "draining")
		time.Sleep(h.randomDuration(10*time.Millisecond, time.Second))
	}
	h.store.Remove("servers", r.ID)
	time.Sleep(configBound + h.randomDuration(10*time.Millisecond, time.Second))
	r.proxy.setMode(resetting)
	_ = r.Close()
}

// killAllRoutersInARollout kills all routers at one moment while the last runners of a version leave, and starts them
// again.
func (h *harness) killAllRoutersInARollout() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	var away sync.WaitGroup
	h.replaceRunners(func() {
		away.Go(h.killAllRouters)
		time.Sleep(h.randomDuration(time.Millisecond, 500*time.Millisecond))
	})
	away.Wait()
}

// sendStreams sends streams that may be taken up, each over a connection of its own, until stop is closed.
func (h *harness) sendStreams(stop <-chan struct{}) {
	for !isStopped(stop) {
		l := connect(h.pickEntry())
		if l == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c := h.newResumableStream()
		l.send(c)
		l.close()
		h.recordCall(c)
		h.takeUp(c)
		time.Sleep(h.randomDuration(time.Millisecond, 100*time.Millisecond))
	}
}

// takeUpWait is for how long a caller looks for a router that takes up its stream.
const takeUpWait = 4 * time.Second

// connectForTakeUp returns a connection to any router; nil: none accepts one. If all routers are lost at times, it waits for
// them.
func (h *harness) connectForTakeUp() *clientConn {
	l := connect(h.pickEntry())
	for began := time.Now(); l == nil && h.routersLost && time.Since(began) < takeUpWait; l = connect(h.pickEntry()) {
		time.Sleep(20 * time.Millisecond)
	}
	return l
}
