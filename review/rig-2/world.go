package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// zones are the failure domains of the small deployment.
var zones = []string{"za", "zb", "zc"}

// world is a small deployment on loopback addresses: the platform's store, runners, and routers as processes.
type world struct {
	out     *record
	dir     string
	network string // first three numbers of all addresses
	store   *fake.Store
	address string // of the store
	cancel  context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	handler http.Handler // of the store
	routers []*router
	version int // of the configuration
}

// newWorld starts the store.
func newWorld(out *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{out: out, dir: dir, store: fake.NewStore(), ctx: ctx, cancel: cancel, version: 3}
	w.handler = w.store
	for range 20 {
		w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, listenErr := net.Listen("tcp", w.network+".2:0")
		if err = listenErr; err != nil {
			continue
		}
		w.address = l.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(w.serveStore), ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = server.Serve(l) }()
		return w, nil
	}
	return nil, err
}

// serveStore serves the calls of the store.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	h := w.handler
	w.mu.Unlock()
	h.ServeHTTP(rw, r)
}

// setHandler puts a handler before the store.
func (w *world) setHandler(h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handler = h
}

// endRouters ends all routers.
func (w *world) endRouters() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.routers {
		r.kill()
	}
	w.routers = nil
}

// close ends all processes that the world started.
func (w *world) close() {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.routers {
		r.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// writeConfig writes the operator's configuration.
func (w *world) writeConfig(routes []map[string]any, services []map[string]any) {
	w.version += 2
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": "club", "api_keys": []string{apiKey}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
}

const (
	host   = "app.example"
	apiKey = "k3y0fth3club"
)

// route returns a route of the configuration.
func route(name, prefix, service, kind string, timeoutMS, aimMS, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "service": service, "kind": kind,
		"timeout_ms": timeoutMS, "target_latency_ms": aimMS, "max_attempts": attempts, "priority": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// router is a process of the router.
type router struct {
	world  *world
	name   string
	ip     string
	dir    string
	store  string // its address of the store
	graceS int
	cmd    *exec.Cmd
	exited chan struct{}
}

// startRouter starts a router with the command of the deploy file.
func (w *world) startRouter(number, graceS int) (*router, error) {
	r := &router{world: w, name: fmt.Sprintf("front-%d", number), ip: fmt.Sprintf("%s.%d", w.network, 10+number), graceS: graceS}
	r.dir = filepath.Join(w.dir, r.name)
	if err := os.Mkdir(r.dir, 0o700); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", w.network+".2:0") // its own address of the store, which tells the routers apart
	if err != nil {
		return nil, err
	}
	r.store = l.Addr().String()
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		q.RemoteAddr = r.ip + ":1"
		w.serveStore(rw, q)
	})}
	go func() { _ = server.Serve(l) }()
	if err := r.writeSettings(graceS); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, "log"))
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command("target/parsleyd", "entry", "--log-format", "json", "--metrics-port", "9464")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C", "PARSLEYFRONT_BOOT=" + r.settingsPath()}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	r.exited = make(chan struct{})
	go func() {
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	w.mu.Lock()
	w.routers = append(w.routers, r)
	w.mu.Unlock()
	return r, nil
}

func (r *router) settingsPath() string { return filepath.Join(r.dir, "local.yaml") }

// front is the address for clients.
func (r *router) front() string { return r.ip + ":8227" }

// writeSettings writes the settings file as the platform does, with the figures of a small deployment.
func (r *router) writeSettings(graceS int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node: %q\nrole: \"entry\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\nip: %q\nzone: %q\nregion: \"r\"\nzones:\n", r.name, r.ip, zones[0])
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"r\"\n", z)
	}
	fmt.Fprintf(&b, "listen:\n  front: \"%s\"\n  ready: \"%s:8220\"\ninternal_ports:\n  - 7340\n  - 7355\nseed_nodes: []\nbootstrap: true\nfault_counted: false\n", r.front(), r.ip)
	fmt.Fprintf(&b, "limits:\n  cpu_share: 0.304\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n")
	fmt.Fprintf(&b, "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"platform\"\nfault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n")
	fmt.Fprintf(&b, "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: %d\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  downgrade_slack_ms: 250\n  outer_ms: 5000\n  strict_revoke: false\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  budget_window_s: 10\n  retry_slack: 54\n  recover_s: 12\n  pass_ms: 120\n  reuse_window_s: 10\n  cap_factor: 2\n", graceS)
	fmt.Fprintf(&b, "platform:\n  address: %q\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n", r.store)
	next := filepath.Join(r.dir, "next.yaml")
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.settingsPath())
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	_ = r.cmd.Process.Signal(s)
}

// hasExited reports whether the process has ended.
func (r *router) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// kill ends the process, as the platform does after grace_s.
func (r *router) kill() {
	if !r.hasExited() {
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
}

// isReady reports whether the router passes the platform's readiness check.
func (r *router) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + r.ip + ":8220/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (w *world) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, r := range w.routers {
		for !r.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", r.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runner is a runner with its entry in the store, which it writes again at each heartbeat.
type runner struct {
	*fake.Runner
	world   *world
	service string
	zone    string
	slots   int
	born    int64

	mu      sync.Mutex
	state   string
	stopped bool
}

const heartbeat = 1200 * time.Millisecond

// startRunner starts a runner and registers it.
func (w *world) startRunner(number int, service string, slots int) (*runner, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.network, 100+number))
	if err != nil {
		return nil, err
	}
	r := &runner{world: w, service: service, zone: zones[number%len(zones)], slots: slots, state: "ready", born: time.Now().UnixMilli()}
	r.Runner = fake.StartRunner(l, fmt.Sprintf("i-%08x", rand.Uint32()), l.Addr().String())
	r.SetBorn(r.born)
	r.writeEntry()
	go r.beat()
	return r, nil
}

// entry returns the runner's next entry.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "address": r.Addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"warmup_left_ms": 0, "sequence": r.NextSequence(), "born": r.born,
	}
}

func (r *runner) writeEntry() {
	r.world.store.Put("servers", r.ID, r.entry())
}

// stopBeats ends the heartbeats.
func (r *runner) stopBeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

func (r *runner) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-r.world.ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		r.writeEntry()
	}
}
