package soak

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	runnerPrefix = "runner-"
	// configBound and grace are bounds that the settings from the platform contain.
	configBound = 2 * time.Second
	grace       = 8 * time.Second

	// A runner that starts while callers send requests is cold for coldDuration. During that time
	// all routers together may send it coldRatePerSecond requests a second, times coldOverage, plus
	// coldSlack.
	coldDuration      = 2 * time.Second
	coldRatePerSecond = 2
	coldOverage       = 1.5
	coldSlack         = 2
	maxColdPerSecond  = int(coldRatePerSecond*coldOverage) + coldSlack
)

// zones are the failure domains of runners.
var zones = []string{"a", "b"}

// entry is a router: a sequence of processes that serve at the same addresses.
type entry struct {
	harness *harness
	name    string
	ip      string
	dir     string
	store   *proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	paused      bool
	log         *os.File
	incarnation int         // number of the current process, counted from 1
	startedAt   []time.Time // when each process was started
	killedAt    []time.Time // when processes were killed
	pauses      []span      // periods in which the process was stopped by SIGSTOP
}

// span is a period of time.
type span struct{ from, to time.Time }

// overlaps reports whether the two spans overlap.
func (s span) overlaps(other span) bool { return s.from.Before(other.to) && other.from.Before(s.to) }

func (e *entry) addPause(s span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauses = append(e.pauses, s)
}

// kill kills the current process.
func (e *entry) kill() {
	e.mu.Lock()
	e.killedAt = append(e.killedAt, time.Now())
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}

// killedDuring reports whether a process was killed at any time in a span.
func (e *entry) killedDuring(s span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.killedAt, func(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) })
}

// pausedDuring reports whether the process was paused at any time in a span.
func (e *entry) pausedDuring(s span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.pauses, s.overlaps)
}

// disturbedDuring reports whether a process was started or paused at any time in a span.
func (e *entry) disturbedDuring(s span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	started := slices.ContainsFunc(e.startedAt, func(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) })
	return started || slices.ContainsFunc(e.pauses, s.overlaps)
}

// startsDuring returns how many processes of the router were started in a span.
func (e *entry) startsDuring(s span) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.startedAt {
		if !at.Before(s.from) && !at.After(s.to) {
			n++
		}
	}
	return n
}

// startsDuring returns how many processes of routers were started in a span.
func (h *harness) startsDuring(s span) int {
	n := 0
	for _, e := range h.entries {
		n += e.startsDuring(s)
	}
	return n
}

// Ports of a router.
const (
	callerPort  = "8080"
	readyPort   = "8081"
	metricsPort = "9464" // if routers serve metrics
	peerPort    = "7340" // of the calls of other routers
)

func (e *entry) addr() string { return net.JoinHostPort(e.ip, callerPort) }

// machine is what the settings say of a router's machine.
type machine struct{ memoryMB, descriptors int }

// usualMachine is the machine of routers whose limits a soak does not reach.
var usualMachine = machine{memoryMB: memoryMB, descriptors: 2048}

// settings writes the boot settings file that the platform provides for a process.
func (e *entry) settings(loadMultiple float64) error {
	text := fmt.Sprintf(`node: %q
ip: %q
zone: "a"
region: "r"
zones: {a: "r", b: "r"}
listen: {front: %q, ready: %q}
internal_ports: [%s, 7355]
limits: {cpu_share: 0.5, cores: 1, memory_mb: %d, max_fds: %d, link_mbps: 1000.0}
heartbeat_ms: 1200
bounds: {config_apply_ms: %d, drain_ms: %d, grace_s: %d, retry_ratio: %g, retry_slack: %d, budget_window_s: %g, cap_factor: %g, warmup_overage: %g, warmup_slack: %d}
platform: {address: %q}
`, e.name, e.ip, e.addr(), net.JoinHostPort(e.ip, readyPort), peerPort, e.harness.machine.memoryMB, e.harness.machine.descriptors, configBound.Milliseconds(), configBound.Milliseconds(), int(grace.Seconds()), retryRatio, retrySlack, retryWindow.Seconds(), loadMultiple, coldOverage, coldSlack, e.store.addr())
	next := filepath.Join(e.dir, "next.yaml")
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, e.settingsPath())
}

func (e *entry) settingsPath() string { return filepath.Join(e.dir, "local.yaml") }

// start starts a new process of the router.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	args := append([]string{"entry", "--log-format", "json", "--metrics-port", "0"}, e.harness.routerArgs...)
	cmd := exec.Command(daemonPath, args...)
	cmd.Env = append(os.Environ(), "PARSLEYFRONT_BOOT="+e.settingsPath(), "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return err
	}
	if err := limitDescriptors(cmd.Process.Pid, e.harness.machine.descriptors); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited, e.paused = cmd, exited, false
	e.incarnation++
	e.startedAt = append(e.startedAt, time.Now())
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process, which this test has started.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// waitExit waits for the process to exit, up to a timeout, and reports whether it did.
func (e *entry) waitExit(within time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

func (e *entry) currentIncarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// readyPath is the path of the balancer's readiness check.
const readyPath = "/v1/ready"

// ready reports whether the router passes the balancer's readiness check.
func (e *entry) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + net.JoinHostPort(e.ip, readyPort) + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runner is a fake runner behind a proxy. Its entry in the store has the address of the proxy.
type runner struct {
	*fake.Runner
	harness   *harness
	proxy     *proxy
	version   string    // of its software
	domain    string    // its failure domain
	startedMs int64     // start time, in Unix milliseconds
	leftAt    time.Time // when its entry announced that it leaves, or was removed; zero: it has not left
	coldUntil time.Time // end of its warm-up; zero: never cold

	// incarnation is unique among all runners, also among those with the same id. It is the
	// signature of the runner's responses.
	incarnation string

	places *places // nil: unlimited

	restSeconds  atomic.Pointer[string] // Retry-After value of its rejections; nil: accepts
	mu           sync.Mutex
	restRequests []restRequest
}

// leavingHeader is the header line in all responses of a runner that leaves.
const leavingHeader = "Server-Leaving: 1"

// restRequest is a runner's request for a pause, made by Retry-After in its response to an attempt.
type restRequest struct {
	attempt string
	span
}

// rejectWhileResting rejects a request if the runner is resting, and reports whether it did.
func (r *runner) rejectWhileResting(c net.Conn, req *http.Request) bool {
	seconds := r.restSeconds.Load()
	if seconds == nil {
		return false
	}
	lines := []string{"Not-Executed: 1", "Content-Length: 0"}
	if *seconds != "" {
		lines = append(lines, "Retry-After: "+*seconds)
	}
	if delay := r.harness.maxRestDelay; delay > 0 {
		time.Sleep(r.harness.randomDuration(0, delay))
	}
	now := time.Now()
	if d, err := strconv.ParseFloat(*seconds, 64); err == nil && d > 0 {
		r.mu.Lock()
		until := now.Add(time.Duration(d * float64(time.Second)))
		r.restRequests = append(r.restRequests, restRequest{attempt: req.Header.Get("Attempt-Id"), span: span{now, until}})
		r.mu.Unlock()
	}
	r.WriteHead(c, req, http.StatusServiceUnavailable, lines...)
	return true
}

// newRunner starts a runner with a new id at a new address, and writes its entry to the store.
func (h *harness) newRunner() (*runner, error) {
	number := h.nextRunner()
	return h.startRunner(runnerID(number), h.runnerAddr(number), zones[number%len(zones)])
}

const (
	// firstRunnerHost and runnerHosts are the host numbers of runners, those below are of routers, and
	// firstRunnerPort is the port of the first runner at each.
	firstRunnerHost = 100
	runnerHosts     = 150
	firstRunnerPort = 8080
)

// runnerAddr returns the address of a runner that takes nobody's place. Its port stays free for the next one
// there: nothing else listens or connects from that host.
func (h *harness) runnerAddr(number int) string {
	return net.JoinHostPort(h.address(firstRunnerHost+number%runnerHosts), strconv.Itoa(firstRunnerPort+number/runnerHosts))
}

// nextRunner returns the number of the next runner with a new id.
func (h *harness) nextRunner() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runnersStarted++
	return h.runnersStarted
}

func runnerID(number int) string { return runnerPrefix + strconv.Itoa(number) }

// startRunner starts a runner under an id and at an address that an earlier runner may have had.
func (h *harness) startRunner(id, addr, domain string) (*runner, error) {
	l, err := net.Listen("tcp", anyAddr)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(addr, l.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &runner{Runner: fake.StartRunner(l, id, p.addr()), harness: h, proxy: p, version: h.newestSoftware(), domain: domain, startedMs: time.Now().UnixMilli()}
	if h.pool != nil {
		r.places = h.pool.newPlaces(r.Runner)
	}
	r.SetBorn(r.startedMs)
	r.SetHandler(h.handler(r))
	h.mu.Lock()
	r.incarnation = fmt.Sprintf("%s/%d", id, len(h.runners))
	r.SetSignature(r.incarnation)
	if len(h.calls) > 0 {
		r.coldUntil = time.Now().Add(coldDuration)
	}
	h.runners = append(h.runners, r)
	h.mu.Unlock()
	h.writeEntry(r, "ready")
	return r, nil
}

func (h *harness) writeEntry(r *runner, state string) {
	h.store.Put("servers", r.ID, h.entryOf(r, state))
}

// entryOf returns the next entry of a runner.
func (h *harness) entryOf(r *runner, state string) map[string]any {
	addr := r.proxy.addr()
	if h.withoutProxies {
		addr = r.proxy.target
	}
	return map[string]any{
		"service": "llm", "address": addr, "zone": r.domain, "version": r.version,
		"slots": h.slots(), "state": state, "warmup_left_ms": max(0, time.Until(r.coldUntil).Milliseconds()), "sequence": r.NextSequence(), "born": r.startedMs,
	}
}

// handler returns the behaviour of a runner. Its responses contain the id of the attempt, so that a
// response delivered to the wrong caller is detected.
func (h *harness) handler(r *runner) fake.Handler {
	return func(c net.Conn, req *http.Request, body string) fake.HandlerResult {
		if h.handleBadClient(r, c, req) {
			return fake.KeepOpen
		}
		if r.rejectWhileResting(c, req) {
			return fake.KeepOpen
		}
		if r.places != nil {
			if !r.places.take(urgencyOf(req)) {
				r.WriteHead(c, req, http.StatusServiceUnavailable, "Not-Executed: 1", "Content-Length: 0")
				return fake.KeepOpen
			}
			defer r.places.release()
		}
		r.RecordRun(req, body)
		if strings.Contains(req.URL.Path, crashMark) || badPartOf(req.Header) != "" {
			h.runUntilCrash(r, c, req)
			return fake.CloseConn
		}
		id := req.Header.Get("Attempt-Id")
		if h.drawResponseFault(loseResponse) {
			return fake.CloseConn
		}
		if h.drawResponseFault(endlessResponse) {
			return h.writeEndlessAnswer(r, c, req)
		}
		if h.drawResponseFault(slowResponse) {
			return h.writeSlowBody(r, c, req)
		}
		if h.drawResponseFault(brokenHeadResponse) {
			brokenHeads[h.intN(len(brokenHeads))].send(r, c, req)
			return fake.CloseConn
		}
		if len(req.URL.Path) < 8 || req.URL.Path[:8] != "/stream/" {
			time.Sleep(h.serviceTime())
			text := plainResponse(r.incarnation, id)
			r.WriteHead(c, req, http.StatusOK, "Content-Length: "+strconv.Itoa(len(text)))
			fmt.Fprint(c, text)
			if h.drawResponseFault(extraResponse) {
				r.WriteHead(c, req, http.StatusOK, "Content-Length: 5")
				fmt.Fprint(c, "extra")
			}
			return fake.KeepOpen
		}
		return h.writeStream(r, c, req)
	}
}

const (
	// streamEvents is the number of events in a stream whose path doesn't give another one after eventsMark.
	streamEvents = 6
	eventsMark   = "events-"
)

// streamLength returns the number of events in a stream.
func streamLength(path string) int {
	_, text, _ := strings.Cut(path, eventsMark)
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return streamEvents
}

func plainResponse(incarnation, attempt string) string { return incarnation + " for " + attempt }

// streamName returns the name in the events of a stream: the id of the attempt that began it, which stays the
// same when another runner resumes the stream.
func streamName(r *http.Request) string {
	if first := cmp.Or(r.Header.Get("Resumes"), r.Header.Get(nameOfUnnamed)); first != "" {
		return first
	}
	return r.Header.Get("Attempt-Id")
}

// streamEvent returns event i of a stream, as a runner of a version writes it.
func streamEvent(name, version string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d@%s\n\n", i, name, i, version)
}

// configuration is the configuration that the operator writes.
type configuration struct {
	version int
	routes  []map[string]any
	keys    []string // of the organisation club
	others  int      // number of further organisations, each with one key

	noTenants bool // the list of organisations is empty
}

func route(name, prefix, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "path_prefix": prefix, "service": "llm", "kind": kind,
		"timeout_ms": 5000, "target_latency_ms": 400, "max_attempts": 1, "priority": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// club is the organisation that has the keys which change, and otherPrefix begins the names of the others.
const (
	club        = "club"
	otherPrefix = "org-"
	otherSuffix = "-key" // after the name of an organisation: its key
)

// organisationOf returns the organisation that a key belongs to.
func organisationOf(key string) string {
	if name, ok := strings.CutSuffix(key, otherSuffix); ok || key == "" {
		return name
	}
	return club
}

func otherKey(number int) string { return fmt.Sprint(otherPrefix, number, otherSuffix) }

// writeConfiguration writes a configuration to the store.
func (h *harness) writeConfiguration(c configuration) {
	tenants := []map[string]any{{"name": club, "api_keys": c.keys}}
	for i := range c.others {
		key := otherKey(i)
		tenants = append(tenants, map[string]any{"name": organisationOf(key), "api_keys": []string{key}})
	}
	if c.noTenants {
		tenants = []map[string]any{}
	}
	h.store.Put("config", "main", map[string]any{
		"version": c.version, "routes": c.routes,
		"services": []map[string]any{{"name": "llm", "health_path": "/health", "max_connections": 200,
			"warmup_s": coldDuration.Seconds(), "warmup_per_s": coldRatePerSecond}},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": headerLimit, "max_body_bytes": cmp.Or(h.bodyLimit, bodyLimit), "header_timeout_ms": headerTime.Milliseconds(), "idle_timeout_ms": idleTime.Milliseconds()},
	})
}
