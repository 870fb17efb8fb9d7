package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const callerHost = "app.example"

// responseFault is a kind of fault that affects random responses of runners while it is enabled.
type responseFault int

const (
	loseResponse responseFault = iota
	extraResponse
	truncateStream
	endlessResponse
	slowResponse
	brokenHeadResponse
	responseFaultCount
)

// responsesPerFault is the mean number of responses for each one that an enabled fault affects.
const responsesPerFault = 8

// harness is the fleet under test with its fakes and callers, and a record of what they observed.
type harness struct {
	t       *testing.T
	seed    uint64
	number  uint64 // unique among the harnesses of this process
	planned bool   // planned operations only
	dir     string
	faults  []fault // kinds of faults to inject

	entryCount, runnersAtStart int
	routerArgs                 []string         // further arguments of routers
	moreRoutes                 []map[string]any // beside the usual ones
	organisations              int              // beside the usual one
	pool                       *poolShape       // nil: runners have places for all that comes

	// callersLeave makes callers close their connection after a short random time.
	callersLeave bool
	// streamPath is the path of streams that may be taken up; empty: the usual one.
	streamPath string
	// takesUp makes callers take up streams that broke off.
	takesUp bool
	// streamCallers is the number of callers that send nothing but streams which may be taken up, beside the usual ones.
	streamCallers int
	// streamCallersWithin is the time within which these callers come; zero: at once.
	streamCallersWithin time.Duration
	// unnamedTakeUps makes callers take up every other stream without naming it.
	unnamedTakeUps bool
	// routersLost is set if all routers are lost at times, and with them the knowledge where streams began. Whether the
	// streams go on is not checked then.
	routersLost bool
	// streamsOutlive is set if most streams are to go on all the same.
	streamsOutlive bool
	// crashingCalls is the number of requests that crash runners, of which callers send copies.
	crashingCalls      int
	crashingCallsAfter time.Duration // from the start to the first of these copies
	calmUntil          time.Time
	beforeSurge        time.Duration // how long organisations send their usual traffic before a surge
	surge              span          // in which organisations send more
	crashWay           crashWay      // how they crash their runners
	crashesKnownIn     time.Duration // how long after a start or a pause routers know what is refused; zero: stableTime
	badParts           int           // parts of prompts that crash runners
	// maxRestDelay is how long after a request a resting runner rejects it at most; zero: at once.
	maxRestDelay time.Duration

	// routeTimeout is the timeout of routes; zero: the usual one.
	routeTimeout time.Duration
	// endsWithin is the time within which requests end that runners answer without an end; zero: not checked.
	endsWithin time.Duration

	// machine is what the settings say of each router's machine.
	machine machine
	// withoutProxies is set if routers call runners without a proxy between.
	withoutProxies bool
	// bodyLimit is the operators' limit on bodies, in bytes; zero: the usual one.
	bodyLimit int

	// badClients is set if some clients do not behave. Runners answer them and record nothing.
	badClients bool

	// maxMemoryMB is the memory of a router, in MiB; zero: not watched.
	maxMemoryMB int

	store   *fake.Store
	server  *http.Server
	entries []*entry

	mu             sync.Mutex
	random         *rand.Rand
	runners        []*runner
	runnersStarted int
	software       int // version that new runners have
	responseFaults [responseFaultCount]bool
	config         configuration
	revoked        map[string]int // version that revoked a key, by key
	sent           map[string]*call
	calls          []*call
	faultCounts    map[string]int  // injected faults, by name
	storeAway      []span          // when the store was unavailable for all
	endless        map[string]bool // attempts that a runner has answered without an end

	running     sync.WaitGroup // callers and probers
	nextAttempt atomic.Int64   // number of the newest attempt
	restartMu   sync.Mutex     // serialises stops and kills of routers
	restoreMu   sync.Mutex     // serialises restores of the store
}

func newHarness(t *testing.T, seed uint64, planned bool) *harness {
	return &harness{
		t: t, seed: seed, planned: planned,
		dir:        t.TempDir(),
		faults:     faults,
		machine:    usualMachine,
		number:     harnesses.Add(1),
		entryCount: *entryCount, runnersAtStart: *runnersAtStart,
		store:       fake.NewStore(),
		random:      rand.New(rand.NewPCG(seed, 1)),
		revoked:     make(map[string]int),
		sent:        make(map[string]*call),
		faultCounts: make(map[string]int),
		endless:     make(map[string]bool),
	}
}

// start starts the store, runners and routers, and waits until the routers are ready.
func (h *harness) start() {
	l, err := net.Listen("tcp", anyAddr)
	h.must(err)
	h.server = &http.Server{Handler: h.store, ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(l) }()
	h.config = configuration{version: 1, keys: []string{"key-0"}, others: h.organisations, routes: append([]map[string]any{
		route("book", "/book/", "non_idempotent", nil),
		route("fetch", "/fetch/", "idempotent", map[string]any{"max_attempts": 2}),
		route("chat", "/stream/", "streaming", map[string]any{"sticky": true, "gap_aim_ms": 400}),
		route("note", "/stream/note/", "streaming", map[string]any{"sticky": true, "gap_aim_ms": 400, "resumable": true, "max_attempts": 3}),
	}, h.moreRoutes...)}
	if h.routeTimeout > 0 {
		for _, r := range h.config.routes {
			r["timeout_ms"] = h.routeTimeout.Milliseconds()
		}
	}
	h.writeConfiguration(h.config)
	for range h.runnersAtStart {
		_, err := h.newRunner()
		h.must(err)
	}
	for i := range h.entryCount {
		h.must(h.newEntry(i, l.Addr().String()))
	}
	h.eventually("the routers are ready", func() bool {
		return !slices.ContainsFunc(h.entries, func(e *entry) bool { return !e.ready() })
	})
}

// harnesses counts the harnesses of this process.
var harnesses atomic.Uint64

// address returns the IP address of a router. It depends on the process id and the number of the harness: with
// equal addresses, callers of one soak run would reach routers of another that runs at the same time.
func (h *harness) address(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, (uint64(pid/200)+h.number)%250, index+1)
}

func (h *harness) newEntry(i int, store string) error {
	p, err := newProxy(anyAddr, store)
	if err != nil {
		return err
	}
	e := &entry{harness: h, name: fmt.Sprint("front-", i), ip: h.address(i), store: p}
	e.dir = filepath.Join(h.dir, e.name)
	if err := os.Mkdir(e.dir, 0o700); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(e.dir, "log")); err != nil {
		return err
	}
	h.entries = append(h.entries, e)
	if err := e.settings(2); err != nil {
		return err
	}
	return e.start()
}

// close kills the processes of the fleet, and copies their logs if a check has failed.
func (h *harness) close() {
	for _, e := range h.entries {
		e.signal(syscall.SIGKILL)
		e.signal(syscall.SIGCONT)
		e.waitExit(grace)
		e.store.close()
		_ = e.log.Close()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
	for _, r := range h.allRunners() {
		_ = r.Close()
		r.proxy.close()
	}
	if h.t.Failed() {
		h.saveLogs()
	}
}

// saveLogs copies the logs of the routers to a new folder, and logs its path.
func (h *harness) saveLogs() {
	if err := os.MkdirAll(*keepLogs, 0o700); err != nil {
		h.t.Log(err)
		return
	}
	to, err := os.MkdirTemp(*keepLogs, fmt.Sprintf("seed-%d-", h.seed))
	if err == nil {
		err = os.CopyFS(to, os.DirFS(h.dir))
	}
	if err != nil {
		h.t.Log(err)
		return
	}
	h.t.Logf("seed %d: the logs of its routers are in %s", h.seed, to)
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// eventuallyTimeout limits how long a condition may take to hold. It is far beyond the platform's
// bounds, so that a busy machine does not fail a run.
const eventuallyTimeout = 40 * time.Second

func (h *harness) eventually(condition string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	h.t.Errorf("condition does not hold after %v: %s", eventuallyTimeout, condition)
}

// intN returns a random number in [0,n).
func (h *harness) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// randomDuration returns a random duration in [least,most).
func (h *harness) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(h.intN(int(most-least)))
}

// randomServiceTime returns how long a runner takes for a response or an event.
func (h *harness) randomServiceTime() time.Duration {
	return h.randomDuration(2*time.Millisecond, 40*time.Millisecond)
}

// drawResponseFault reports whether a fault affects the current response.
func (h *harness) drawResponseFault(c responseFault) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.responseFaults[c] && h.random.IntN(responsesPerFault) == 0
}

func (h *harness) allRunners() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.runners)
}

// liveRunners returns the runners that have not left.
func (h *harness) liveRunners() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.runners), func(r *runner) bool { return !r.leftAt.IsZero() })
}

// updateConfiguration writes the next version of the configuration, as edited by f.
func (h *harness) updateConfiguration(f func(c *configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config.version++
	h.config.routes = slices.Clone(h.config.routes)
	h.config.keys = slices.Clone(h.config.keys)
	f(&h.config)
	h.writeConfiguration(h.config)
}

func (h *harness) summary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	byStatus := make(map[int]int)
	for _, c := range h.calls {
		byStatus[c.status]++
	}
	return fmt.Sprintf("%d calls by status %v, configuration %d, faults %v", len(h.calls), byStatus, h.config.version, h.faultCounts)
}
