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

// chance is a trouble of single answers of runners, while it is switched on.
type chance int

const (
	loseAnswer chance = iota
	extraAnswer
	tearStream
	chanceCount
)

// oneIn is how many answers such a trouble hits one of.
const oneIn = 8

// world is the fleet, its surroundings and what was seen of them.
type world struct {
	t       *testing.T
	seed    uint64
	planned bool // planned work only
	dir     string

	store   *fake.Store
	server  *http.Server
	entries []*entry

	mu      sync.Mutex
	random  *rand.Rand
	runners []*runner
	born    int
	chances [chanceCount]bool
	config  configuration
	revoked map[string]int // keys that were taken away, by the version that did
	sent    map[string]*call
	calls   []*call
	faults  map[string]int // that befell the fleet, by kind

	running sync.WaitGroup // callers and probers
	next    atomic.Int64   // number of the next attempt
	turns   sync.Mutex     // one router at a time is stopped as planned
	drill   sync.Mutex     // one return of the store at a time
}

func newWorld(t *testing.T, seed uint64, planned bool) *world {
	return &world{
		t: t, seed: seed, planned: planned,
		dir:     t.TempDir(),
		store:   fake.NewStore(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		revoked: make(map[string]int),
		sent:    make(map[string]*call),
		faults:  make(map[string]int),
	}
}

// start starts store, runners and routers, and waits for the routers to be ready.
func (w *world) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.config = configuration{version: 1, keys: []string{"key-0"}, routes: []map[string]any{
		route("book", "/book/", "non_idempotent", nil),
		route("fetch", "/fetch/", "idempotent", map[string]any{"max_attempts": 2}),
		route("chat", "/stream/", "streaming", map[string]any{"sticky": true, "gap_aim_ms": 400}),
		route("note", "/stream/note/", "streaming", map[string]any{"sticky": true, "gap_aim_ms": 400, "resumable": true, "max_attempts": 3}),
	}}
	w.write(w.config)
	for range runnersAtStart {
		_, err := w.newRunner()
		w.must(err)
	}
	for i := range *entries {
		w.must(w.newEntry(i, l.Addr().String()))
	}
	w.eventually("the routers are ready", func() bool {
		return !slices.ContainsFunc(w.entries, func(e *entry) bool { return !e.ready() })
	})
}

// address returns where a router listens. Two runs of the soak at a time have addresses
// of their own: with the same ones, callers of one reach routers of the other.
func (w *world) address(router int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, (uint64(pid/200)+w.seed)%250, router+1)
}

func (w *world) newEntry(i int, store string) error {
	p, err := newProxy(store)
	if err != nil {
		return err
	}
	e := &entry{world: w, name: fmt.Sprint("front-", i), ip: w.address(i), store: p}
	e.dir = filepath.Join(w.dir, e.name)
	if err := os.Mkdir(e.dir, 0o700); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(e.dir, "log")); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	if err := e.settings(2); err != nil {
		return err
	}
	return e.start()
}

// close ends the processes that the soak has started, and keeps their logs if a check
// has failed.
func (w *world) close() {
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
		e.signal(syscall.SIGCONT)
		e.ended(grace)
		e.store.close()
		_ = e.log.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	for _, r := range w.allRunners() {
		_ = r.Close()
		r.proxy.close()
	}
	if w.t.Failed() && *keepLogs != "" {
		to := filepath.Join(*keepLogs, fmt.Sprint("seed-", w.seed))
		if err := os.CopyFS(to, os.DirFS(w.dir)); err != nil {
			w.t.Log(err)
		}
	}
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// patience is how long something that must come in the end is waited for. It is far
// beyond what the platform's bounds ask, so that a busy machine does not fail a run.
const patience = 40 * time.Second

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Errorf("after %v it is not so that %s", patience, what)
}

// intN draws a number below n.
func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.intN(int(most-least)))
}

// work is how long a runner takes for an answer or an event.
func (w *world) work() time.Duration { return w.between(2*time.Millisecond, 40*time.Millisecond) }

// unlucky reports whether a trouble of single answers hits this one.
func (w *world) unlucky(c chance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chances[c] && w.random.IntN(oneIn) == 0
}

func (w *world) allRunners() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runners)
}

// liveRunners returns those that have not left.
func (w *world) liveRunners() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.runners), func(r *runner) bool { return !r.left.IsZero() })
}

// change writes the next configuration.
func (w *world) change(f func(c *configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.version++
	w.config.routes = slices.Clone(w.config.routes)
	w.config.keys = slices.Clone(w.config.keys)
	f(&w.config)
	w.write(w.config)
}

func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	by := make(map[int]int)
	for _, c := range w.calls {
		by[c.status]++
	}
	return fmt.Sprintf("%d calls by status %v, configuration %d, faults %v", len(w.calls), by, w.config.version, w.faults)
}
