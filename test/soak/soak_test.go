// Package soak runs the shipped daemon as separate processes on loopback, against fakes of
// the platform's store and runners. It injects faults in a random order set by a seed, and
// checks what callers and runners observe.
//
//	go test ./test/soak                                            # what CI runs: two short seeds of each test
//	go test ./test/soak -run 'TestSoak$' -seeds 50 -from 1 -for 20s  # a longer run by hand
//	go test ./test/soak -run 'TestSoak$' -seeds 1 -from 17 -v        # repeat one seed
//	go test ./test/soak -run 'TestSoakBadClients$' -timely -fleets 1 # bad clients, and how soon others are answered
//
// Every fifth seed has planned operations only (stops, reloads, configuration changes, runners
// that leave). In these, every request must get a complete response. In others, by seed, runners reject
// late, callers leave early or take up streams, and one caller sends requests that crash runners. In half of the
// seeds, five in turn, routers share short pools (--share-pools=on).
package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var (
	seeds      = flag.Int("seeds", 2, "number of seeds to run")
	from       = flag.Uint64("from", 4, "the first seed")
	duration   = flag.Duration("for", 4*time.Second, "how long faults are injected")
	entryCount = flag.Int("entries", 3, "routers")

	runnersAtStart = flag.Int("runners", 4, "runners")

	timely = flag.Bool("timely", false, "check also when callers and readiness checks are answered beside bad clients; the machine must have nothing else to do")

	coreShare = flag.Float64("core-share", 0, "share of a core that routers with bad clients have; 0: all cores")

	callers  = flag.Int("callers", 6, "callers")
	fleets   = flag.Int("fleets", 3, "fleets that are played at the same time")
	daemon   = flag.String("daemon", "", "path of a daemon to play instead of the one that is built")
	keepLogs = flag.String("logs", filepath.Join(os.TempDir(), "parsleyfront-soak"), "folder for the logs of seeds that fail")
)

// regressionSeeds holds seeds that have failed, with the cause. They run in addition to the seeds
// from the flags.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{}

// playing holds an element for each fleet that is being played.
var playing chan struct{}

// daemonPath is the path of the daemon, which TestMain builds once.
var daemonPath string

func TestMain(m *testing.M) {
	flag.Parse()
	playing = make(chan struct{}, *fleets)
	if daemonPath = *daemon; daemonPath != "" {
		os.Exit(m.Run())
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "parsleyd")
	build := exec.Command("go", "build", "-o", daemonPath, "github.com/parsleyfront/parsleyfront/cmd/parsleyd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

func TestSoak(t *testing.T) {
	t.Parallel()
	eachSeed(t, soak)
	for _, k := range regressionSeeds {
		runSeed(t, k.seed, soak)
	}
}

// eachSeed runs a test with each of the seeds from the flags, several at a time.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	for i := range uint64(*seeds) {
		runSeed(t, *from+i, test)
	}
}

func runSeed(t *testing.T, seed uint64, test func(t *testing.T, seed uint64)) {
	name := t.Name()
	t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
		t.Parallel()
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("failed: go test ./test/soak -run '%s$' -seeds 1 -for %v -entries %d -from %d", name, *duration, *entryCount, seed)
			}
		})
		test(t, seed)
	})
}

// plannedEvery is the interval of seeds that have planned operations only.
const plannedEvery = 5

func soak(t *testing.T, seed uint64) {
	h := newHarness(t, seed, seed%plannedEvery == 0)
	if seed/plannedEvery%2 == 1 {
		h.sharePools()
	}
	if !h.planned {
		h.varyCallersAndRunners()
	}
	h.play()
}

// varyCallersAndRunners makes runners reject late, callers leave early or take up streams and a caller send
// requests that crash runners, in all combinations over the seeds.
func (h *harness) varyCallersAndRunners() {
	if h.seed%2 == 1 {
		h.maxRestDelay = maxLateRest
	}
	h.callersLeave = h.seed%3 == 1
	if h.seed%3 == 2 {
		h.crashingCalls = 1 + int(h.seed/3%3)
	}
	if h.seed%4 < 2 {
		h.takesUp = true
		h.faults = append(slices.Clone(faults), rolloutFault)
	}
}

// play runs the fleet under its faults for the duration of a seed, and checks what was observed.
func (h *harness) play() {
	playing <- struct{}{}
	defer func() { <-playing }()
	defer h.close()
	h.start()
	stop := make(chan struct{})
	go func() {
		time.Sleep(*duration)
		close(stop)
	}()
	h.callers(stop)
	for range h.streamCallers {
		h.running.Go(func() {
			if h.streamCallersWithin > 0 {
				time.Sleep(h.randomDuration(0, h.streamCallersWithin))
			}
			h.sendStreams(stop)
		})
	}
	h.probers(stop)
	if h.maxMemoryMB > 0 {
		h.watchMemory(stop)
	}
	if h.badClients {
		h.sendBadClients(stop)
	}
	h.calmUntil = time.Now().Add(h.crashingCallsAfter)
	for i := range h.badParts {
		h.running.Go(func() {
			time.Sleep(h.crashingCallsAfter)
			h.sendBadParts(stop, i)
		})
	}
	for i := range h.crashingCalls {
		h.running.Go(func() {
			time.Sleep(h.crashingCallsAfter)
			h.sendCrashingCalls(stop, i)
		})
	}
	h.injectFaults(stop)
	h.settle()
	h.check()
	h.t.Logf("seed %d: %s", h.seed, h.summary())
}
