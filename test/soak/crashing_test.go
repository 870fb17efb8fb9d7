package soak

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// crashFaults are the disturbances beside requests that crash runners.
var crashFaults = []fault{
	{"configuration", true, (*harness).reconfigure},
	{"runner joins", true, (*harness).addRunner},
	{"router is killed", false, (*harness).killRouter},
	{"router stands still", false, (*harness).pauseRouter},
}

// Callers send requests again and again that crash each runner which runs them. Guards against
// runners that are lost to one request for as long as its caller sends it.
func TestSoakRequestsThatCrashRunners(t *testing.T) {
	t.Parallel()
	for _, s := range []struct {
		name   string
		faults []fault
	}{{"alone", nil}, {"beside faults", crashFaults}} {
		t.Run(s.name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				h := newHarness(t, seed, false)
				h.faults, h.crashingCalls = s.faults, 1
				h.play()
			})
		})
	}
}

// Several requests at a time crash the few runners of a plain service, at five routers. Guards against runners that
// are lost to each of them since the runners that start in their place answer for them, or since each is
// taken for a bystander of the others.
func TestSoakSeveralRequestsThatCrashFewRunners(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.entryCount, h.runnersAtStart = 5, 3
		h.faults, h.crashingCalls, h.crashingCallsAfter = nil, 1+int(seed/2%3), time.Second
		if seed%2 == 1 {
			h.faults = crashFaults
		}
		h.play()
	})
}

// restartFaults are the disturbances that make routers forget.
var restartFaults = []fault{
	{"all routers are killed", false, (*harness).killAllRouters},
}

const (
	// routerLearnsIn is how long after its start a router knows the requests that are refused.
	routerLearnsIn = 2 * time.Second
	// restartPause is the time from a restart of all routers to the next one.
	restartPause = 2 * routerLearnsIn
)

// Several requests crash the few runners of a plain service, while all routers are killed at once, again and again.
// Guards against restarts that cost further runners, since nothing outlives what routers know. Run by hand with as many
// routers as the machine bears: -entries 30.
func TestSoakRestartsBesideRequestsThatCrashRunners(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.entryCount, h.runnersAtStart = max(5, *entryCount), 3
		h.faults, h.crashingCalls, h.crashingCallsAfter = restartFaults, 1+int(seed/2%3), time.Second
		h.crashesKnownIn = routerLearnsIn
		h.play()
	})
}

// killAllRouters kills all routers at once. They start again within a second of each other.
func (h *harness) killAllRouters() {
	if !h.restartMu.TryLock() {
		return
	}
	defer h.restartMu.Unlock()
	for _, e := range h.entries {
		e.kill()
	}
	var starting sync.WaitGroup
	for _, e := range h.entries {
		pause := h.randomDuration(time.Millisecond, time.Second)
		starting.Go(func() {
			e.signal(syscall.SIGCONT)
			e.waitExit(grace)
			time.Sleep(pause)
			h.checkError(e.start())
		})
	}
	starting.Wait()
	time.Sleep(restartPause)
}

// crashWay is how a request crashes the runner that runs it, and for how long its caller waits.
type crashWay struct {
	name     string
	after    time.Duration // from the begin of the run to the crash
	silent   bool          // the runner's connections fall silent; otherwise they are reset
	answers  bool          // a stream begins before the crash
	headOnly bool          // the head of a stream is written before the crash
	patience time.Duration // the caller leaves after it; zero: it stays
	deadline time.Duration // that the caller gives; zero: callDeadline
	atOnce   bool          // the caller sends the next copy without a pause
}

// unseenCrashes returns crashes that happen when nobody waits for the request any more, or that nothing tells of: the
// shared ways, and those in which the next copy is sent at once.
func unseenCrashes() []crashWay {
	var out []crashWay
	for _, c := range fake.UnseenCrashes {
		out = append(out, crashWay{name: c.Name, after: c.After, silent: c.Silent, answers: c.Answers, patience: c.Leaves, deadline: c.Deadline})
	}
	return append(out,
		crashWay{name: "reset while the next copy is under way", after: 400 * time.Millisecond, patience: 150 * time.Millisecond, atOnce: true},
		crashWay{name: "silent, copies at once", silent: true, patience: 150 * time.Millisecond, atOnce: true},
	)
}

// One request crashes each runner that runs it when its caller has left or its time has run out, or the
// runner falls silent. Guards against runners that are lost to it for as long as its caller sends it,
// since no attempt waits when they crash.
func TestSoakCrashesThatNoAttemptSees(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		ways := unseenCrashes()
		way := ways[seed/2%uint64(len(ways))]
		t.Log(way.name)
		h := newHarness(t, seed, false)
		h.faults, h.crashingCalls, h.crashWay = nil, 1, way
		if seed%2 == 1 {
			h.faults, h.callersLeave = slices.Concat(crashFaults, []fault{restFault}), true
			h.maxRestDelay = maxLateRest
		}
		h.play()
	})
}

// crashMark is the part of a path that makes a request crash the runner which runs it.
const crashMark = "crash-"

// crashingCalls are the kinds of requests that crash runners.
var crashingCalls = []struct {
	method, prefix string
	idempotent     bool
	maxAttempts    int
}{
	{http.MethodPost, "/book/", false, 1},
	{http.MethodGet, "/fetch/", true, 2},
	{http.MethodPost, "/stream/", false, 1},
	{http.MethodPost, "/stream/note/", true, 3},
}

const (
	// crashInterval bounds the pause between two copies of a request that crashes runners.
	minCrashInterval = 300 * time.Millisecond
	maxCrashInterval = 900 * time.Millisecond
	// atOnceInterval is the pause of a caller that repeats at once.
	atOnceInterval = 20 * time.Millisecond
	// runnerDowntime is how long after a crash a runner is usually back, with a new id.
	runnerDowntime = 2 * time.Second
)

// sendCrashingCalls sends copies of one request that crashes runners, at the routers in turn, until stop
// is closed. Its caller waits for as long as the way of the crash says.
func (h *harness) sendCrashingCalls(stop <-chan struct{}, number int) {
	kind := crashingCalls[(h.seed+uint64(number))%uint64(len(crashingCalls))]
	path := fmt.Sprint(kind.prefix, crashMark, h.seed, "-", number)
	for i := 0; !isStopped(stop); i++ {
		if l := connect(h.entries[i%len(h.entries)]); l != nil {
			c := h.newCall(kind.method, path, "key-0")
			c.idempotent, c.maxAttempts, c.stream = kind.idempotent, kind.maxAttempts, strings.HasPrefix(path, "/stream/")
			c.patience, c.deadline = cmp.Or(h.crashWay.patience, c.patience), cmp.Or(h.crashWay.deadline, c.deadline)
			if kind.method == http.MethodPost {
				c.body = "the same body in all copies"
			}
			l.send(c)
			l.close()
			h.recordCall(c)
		}
		if h.crashWay.atOnce {
			time.Sleep(atOnceInterval)
		} else {
			time.Sleep(h.randomDuration(minCrashInterval, maxCrashInterval))
		}
	}
}

// runUntilCrash runs a request that crashes its runner: after a time, in silence or with its connections
// reset, with or without a part of an answer.
func (h *harness) runUntilCrash(r *runner, c net.Conn, req *http.Request) {
	if (h.crashWay.answers || h.crashWay.headOnly) && strings.HasPrefix(req.URL.Path, "/stream/") {
		r.WriteHead(c, req, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	}
	if h.crashWay.answers && strings.HasPrefix(req.URL.Path, "/stream/") {
		fake.WriteChunk(c, streamEvent(streamName(req), r.version, 1))
	}
	time.Sleep(h.crashWay.after)
	h.crash(r)
}

// crash ends a runner that has begun to run a request, and starts another one in its place.
func (h *harness) crash(r *runner) {
	if !h.markLeft(r) {
		return // another request has crashed it
	}
	if h.crashWay.silent {
		r.proxy.goDark()
	} else {
		_ = r.Close()
		r.proxy.close()
	}
	h.running.Go(func() { h.succeed(r) })
}

// checkCrashingCalls checks that at most maxLateCopies copies of a request that crashes runners reach
// them later than stableTime after it has crashed crashesToTell of them, from routers that were not
// disturbed.
func (h *harness) checkCrashingCalls() {
	runs := make(map[string][]fake.Run)
	for _, r := range h.allRunners() {
		for _, run := range r.Runs() {
			if strings.Contains(run.Path, crashMark) {
				runs[run.Path] = append(runs[run.Path], run)
			}
		}
	}
	for path, copies := range runs {
		slices.SortFunc(copies, func(a, b fake.Run) int { return a.At.Compare(b.At) })
		h.t.Logf("%s has reached %d runners", path, len(copies))
		if len(copies) <= crashesToTell {
			continue
		}
		late := 0
		for _, run := range copies[crashesToTell:] {
			since := copies[crashesToTell-1].At.Add(stableTime)
			if run.At.After(since) && !h.disturbed(run) {
				late++
			}
		}
		h.t.Logf("%d of them late", late)
		if late > maxLateCopies {
			h.t.Errorf("%d copies of %s reached runners later than %v after it had crashed %d", late, path, stableTime, crashesToTell)
		}
	}
}

// disturbed reports whether the router that sent a run was started, killed or paused shortly before the run: within
// stableTime, or within crashesKnownIn.
func (h *harness) disturbed(run fake.Run) bool {
	h.mu.Lock()
	c := h.sent[run.ID]
	h.mu.Unlock()
	return c == nil || c.entry == nil || c.entry.disturbedDuring(span{run.At.Add(-cmp.Or(h.crashesKnownIn, stableTime)), run.At})
}

// isRefusedForCrashes reports whether a call was refused because copies of it are said to crash runners.
func isRefusedForCrashes(c *call) bool {
	return c.status == http.StatusServiceUnavailable && (strings.Contains(c.responseBody, "quarantined") || strings.Contains(c.responseBody, "suspect"))
}
