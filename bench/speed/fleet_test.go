// Package speed measures the overhead that the fleet adds to a call. Callers, a router,
// sidecars and a stub upstream run as separate processes, or all in the test process so
// that a profile covers all of them. Run it with `make speed`.
package speed

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/daemon"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	apiKey       = "speed-key"
	tokenSecret  = "1:000102030405060708090a0b0c0d0e0f\n"
	stubEnv      = "SPEED_STUB"    // address; set in the stub's process
	relayEnv     = "SPEED_RELAY"   // listen address and target address; set in a relay's process
	helloEnv     = "SPEED_GREETER" // address and directory of certificates; set in the process of sidecars that answer only the handshake
	startTimeout = 10 * time.Second
)

var (
	inProcess   = flag.Bool("inprocess", false, "run router, sidecar and stub in this process")
	sidecars    = flag.Int("sidecars", 4, "sidecars of a fleet; all have the same stub")
	procs       = flag.Int("procs", 2, "GOMAXPROCS of each of the other processes")
	fixedRate   = flag.Float64("rate", 0, "unary calls a second to measure latencies at; default: half of what saturates the fleet")
	olderBinary = flag.String("before", "", "an older parsleyd to measure as well, in turns with this one")
	daemonBin   string
)

func TestMain(m *testing.M) {
	runHelperProcess()
	flag.Parse()
	dir, err := os.MkdirTemp("", "speed")
	if err != nil {
		panic(err)
	}
	daemonBin = filepath.Join(dir, "parsleyd")
	if out, err := exec.Command("go", "build", "-o", daemonBin, "../../cmd/parsleyd").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// path is a route from the caller to the stub.
type path struct {
	name        string
	url         string // base URL; the stub's paths are appended
	admin       string // the router's admin address
	routerPID   int    // 0 without a router; the test process's ID with -inprocess
	sidecarPIDs []int
}

// newPaths starts the stub and returns the paths to it: direct; through two processes
// that only copy bytes, which shows the overhead of the machine; and through a fleet of
// one router and its sidecars.
func newPaths(b *testing.B) []path {
	addr := freeAddr(b)
	startStub(b, addr)
	url := "http://" + addr
	paths := []path{{name: "direct", url: url}}
	if !*inProcess {
		paths = append(paths, path{name: "relays", url: "http://" + startRelay(b, startRelay(b, addr))})
	}
	if *olderBinary != "" {
		paths = append(paths, newFleet(b, "before", *olderBinary, url))
	}
	return append(paths, newFleet(b, "fleet", daemonBin, url))
}

// newFleet starts a router and sidecars in front of the stub and returns the path through
// them, after warm-up calls.
func newFleet(b *testing.B, name, binary, stub string) path {
	mux := http.NewServeMux()
	vms := standin.NewVMList()
	standin.NewObjectAPI().Register(mux)
	vms.Register(mux)
	platform := httptest.NewServer(mux)
	b.Cleanup(platform.Close)
	configure(b, platform.URL)
	secrets := filepath.Join(b.TempDir(), "secrets")
	if err := os.WriteFile(secrets, []byte(tokenSecret), 0o600); err != nil {
		b.Fatal(err)
	}
	router, admin := freeAddr(b), freeAddr(b)
	f := path{name: name, admin: admin, url: "http://" + router + "/services/bench"}
	for i := range *sidecars {
		addr, vm := freeAddr(b), fmt.Sprintf("vm-%d", i)
		pid := parsleyd(b, binary, addr, "sidecar", "--insecure-plain", "--slots", "20000", "--max-waiting", "20000", "--listen", addr, "--vm", vm, "--upstream", stub)
		f.sidecarPIDs = append(f.sidecarPIDs, pid)
		vms.Set(topo.VM{ID: vm, Role: topo.RoleUpstream, Addr: addr, Pool: "bench"})
	}
	f.routerPID = parsleyd(b, binary, router, "router", "--insecure-plain", "--listen", router, "--admin-listen", admin, "--vm", "vm-r", "--platform", platform.URL, "--token-secrets", secrets)
	waitFor(b, func() bool {
		resp, err := http.Get("http://" + router + "/readyz")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
	for range 200 { // warm-up calls
		unary(b, f)
	}
	return f
}

// configure writes the profile and organisation of the benchmarks to the store at url.
func configure(b *testing.B, url string) {
	store := topo.NewHTTP(url)
	put := func(kind topo.Kind, name string, v any) {
		value, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		edit := change.Edit{Base: change.StoredObject{Ref: topo.Ref{Kind: kind, Name: name}}, Spec: value, Author: "speed"}
		if r := change.NewEditor(store).Commit(context.Background(), edit); r.Outcome != change.Applied {
			b.Fatal(name, r.Outcome)
		}
	}
	put(topo.KindProfile, "bench", profile.Profile{
		Name: "bench", Pool: "bench", Service: "bench", Deadline: profile.Duration(time.Hour), Idempotent: true, KeepAnswer: profile.MinKeepAnswer, LoadMultiple: profile.MaxLoadMultiple,
		Queue: profile.Queue{PerUpstream: profile.MaxQueue, PerOrganisation: profile.MaxQueue},
	})
	put(topo.KindOrganisation, "org", profile.Organisation{
		Name: "org", Weight: 1, Profiles: []string{"bench"},
		Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey(apiKey)}},
	})
}

// startStub starts the stub on addr.
func startStub(b *testing.B, addr string) {
	if *inProcess {
		server := &http.Server{Addr: addr, Handler: stub()}
		go func() { _ = server.ListenAndServe() }()
		b.Cleanup(func() { _ = server.Close() })
		waitForAddr(b, addr)
		return
	}
	runSelf(b, addr, stubEnv+"="+addr)
}

// startRelay starts a process that relays connections to the address to, and returns the
// relay's own address.
func startRelay(b *testing.B, to string) string {
	addr := freeAddr(b)
	runSelf(b, addr, relayEnv+"="+addr+" "+to)
	return addr
}

// relay accepts connections on the first of two space-separated addresses and relays each
// to the second.
func relay(addrs string) {
	from, to, _ := strings.Cut(addrs, " ")
	l, err := net.Listen("tcp", from)
	if err != nil {
		panic(err)
	}
	for {
		downstream, err := l.Accept()
		if err != nil {
			panic(err)
		}
		upstream, err := net.Dial("tcp", to)
		if err != nil {
			panic(err)
		}
		forward := func(to, from net.Conn) {
			_, _ = io.Copy(struct{ io.Writer }{to}, from) // hides ReadFrom, so that bytes go through this process instead of splice(2)
			_ = to.Close()
		}
		go forward(downstream, upstream)
		go forward(upstream, downstream)
	}
}

// runSelf starts this program as a helper process that listens on addr, and returns its
// process ID. The variable env selects the helper.
func runSelf(b *testing.B, addr, env string) int {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	return startProcess(b, exec.Command(self), addr, env)
}

// parsleyd starts a role of parsleyd that listens on addr, and returns its process ID.
func parsleyd(b *testing.B, binary, addr string, args ...string) int {
	if !*inProcess {
		return startProcess(b, exec.Command(binary, args...), addr)
	}
	go daemon.Main(args, io.Discard, os.Stderr) // runs until the test process ends
	waitForAddr(b, addr)
	return os.Getpid()
}

// startProcess starts cmd, waits until it listens on addr and returns its process ID. It
// kills the process at the end of the benchmark and logs its output on failure.
func startProcess(b *testing.B, cmd *exec.Cmd, addr string, env ...string) int {
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	cmd.Env = append(append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", *procs)), env...)
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if b.Failed() {
			b.Log(log.String())
		}
	})
	waitForAddr(b, addr)
	return cmd.Process.Pid
}

func waitForAddr(b *testing.B, addr string) {
	waitFor(b, func() bool {
		c, err := net.Dial("tcp", addr)
		return err == nil && c.Close() == nil
	})
}

// waitFor polls ok until it returns true. It fails the benchmark after startTimeout.
func waitFor(b *testing.B, ok func() bool) {
	for end := time.Now().Add(startTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("process not ready before the start timeout")
		}
	}
}

func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// clockTick is the unit of CPU times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the total CPU time that processes have used.
func cpuTime(b *testing.B, pids ...int) (used time.Duration) {
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		used += time.Duration(user+system) * clockTick
	}
	return used
}

// residentBytes returns the total resident memory of processes in bytes.
func residentBytes(b *testing.B, pids ...int) (total int) {
	for _, pid := range pids {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			b.Fatal(err)
		}
		for line := range strings.Lines(string(status)) {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.Atoi(strings.Fields(rest)[0])
				total += kb << 10
			}
		}
	}
	return total
}
