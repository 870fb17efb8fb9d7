package soak

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// rebornFaults are the disturbances beside runners that start again while the store is away.
var rebornFaults = []fault{
	{"runners start again while the store is away", false, (*harness).restartWhileStoreIsAway},
	{"runners start again while the store is away", false, (*harness).restartWhileStoreIsAway},
	{"runners start again while the store is away", false, (*harness).restartWhileStoreIsAway},
	{"streams are broken off", false, (*harness).breakStreams},
	{"router is killed", false, (*harness).killRouter},
	{"router stands still", false, (*harness).pauseRouter},
}

// The store is away, and runners start again under their ids with the next version of their software, which their entries
// show only afterwards. Guards against streams that hold events of two versions, in one answer or over a caller's tries.
func TestSoakRunnersRebornWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults, h.takesUp = rebornFaults, true
		h.streamPath = "/stream/note/" + eventsMark + "30"
		h.play()
	})
}

// restartWhileStoreIsAway makes the store unavailable for all, in one of three ways, and starts some runners again in
// place with the next version of their software.
func (h *harness) restartWhileStoreIsAway() {
	if !h.restoreMu.TryLock() {
		return
	}
	defer h.restoreMu.Unlock()
	away := span{from: time.Now()}
	status := []int{fake.NoResponse, fake.NoResponse, 503}[h.intN(3)]
	h.store.SetOutage(func(string) int { return status })
	time.Sleep(h.randomDuration(100*time.Millisecond, 2500*time.Millisecond))
	h.mu.Lock()
	h.software++
	h.mu.Unlock()
	live := h.liveRunners()
	h.mu.Lock()
	h.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	h.mu.Unlock()
	var reborn []*runner
	for _, former := range live[:1+h.intN(len(live)-1)] {
		r, err := h.restartInPlace(former)
		if err != nil {
			h.t.Error(err)
			break
		}
		reborn = append(reborn, r)
		time.Sleep(h.randomDuration(10*time.Millisecond, 600*time.Millisecond))
	}
	h.store.SetOutage(nil)
	away.to = time.Now()
	h.mu.Lock()
	h.storeAway = append(h.storeAway, away)
	h.mu.Unlock()
	var writes sync.WaitGroup
	for _, r := range reborn {
		delay := h.randomDuration(time.Millisecond, time.Second)
		writes.Go(func() {
			time.Sleep(delay)
			h.writeEntry(r, "ready")
		})
	}
	writes.Wait()
	time.Sleep(h.randomDuration(100*time.Millisecond, 2*time.Second))
}

// restartInPlace starts a runner again at its address, with the newest version of its software and without an entry.
func (h *harness) restartInPlace(former *runner) (*runner, error) {
	h.markLeft(former)
	former.proxy.setMode(resetting)
	_ = former.Close()
	time.Sleep(h.randomDuration(10*time.Millisecond, 700*time.Millisecond))
	l, err := net.Listen("tcp", anyAddr)
	if err != nil {
		return nil, err
	}
	former.proxy.retarget(l.Addr().String())
	former.proxy.setMode(passThrough)
	r := &runner{Runner: fake.StartRunner(l, former.ID, former.proxy.addr()), harness: h, proxy: former.proxy, version: h.newestSoftware(), domain: former.domain, startedMs: time.Now().UnixMilli()}
	r.SetBorn(r.startedMs)
	r.SetHandler(h.handler(r))
	h.mu.Lock()
	defer h.mu.Unlock()
	r.incarnation = fmt.Sprintf("%s/%d", r.ID, len(h.runners))
	r.SetSignature(r.incarnation)
	h.runners = append(h.runners, r)
	return r, nil
}

// isStoreAway reports whether the store was unavailable for all at any time in a span.
func (h *harness) isStoreAway(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, away := range h.storeAway {
		if away.overlaps(s) {
			return true
		}
	}
	return false
}
