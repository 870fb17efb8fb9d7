// Package speed measures what the fleet adds to a call: callers, a router, a
// sidecar and a stub upstream, as separate processes, or in this one so that a
// profile shows all of it. Run it with `make speed`.
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
	stubEnv      = "SPEED_STUB"    // address; set in the process that is the stub
	relayEnv     = "SPEED_RELAY"   // from and to; set in a process that is a relay
	helloEnv     = "SPEED_GREETER" // address, directory; set in a process of sidecars that only introduce themselves
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

// path is a way from the caller to the stub.
type path struct {
	name        string
	url         string // to which a path of the stub is added
	admin       string // the router's address for operators
	routerPID   int    // 0 where there is none; this process's with -inprocess
	sidecarPIDs []int
}

// newPaths starts the stub and the ways to it: directly; through two processes
// that copy bytes and do nothing else, which shows what the machine adds; and
// through a fleet of one router and one sidecar.
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
	for range 200 { // warm up
		unary(b, f)
	}
	return f
}

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

// startRelay starts a process that copies between its address, which is
// returned, and to.
func startRelay(b *testing.B, to string) string {
	addr := freeAddr(b)
	runSelf(b, addr, relayEnv+"="+addr+" "+to)
	return addr
}

// relay copies between connections to the first address and ones to the second.
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
			_, _ = io.Copy(struct{ io.Writer }{to}, from) // not by splice: through this process
			_ = to.Close()
		}
		go forward(downstream, upstream)
		go forward(upstream, downstream)
	}
}

// runSelf starts this program as another process.
func runSelf(b *testing.B, addr, env string) int {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	return startProcess(b, exec.Command(self), addr, env)
}

// parsleyd starts a role and returns its process id.
func parsleyd(b *testing.B, binary, addr string, args ...string) int {
	if !*inProcess {
		return startProcess(b, exec.Command(binary, args...), addr)
	}
	go daemon.Main(args, io.Discard, os.Stderr) // until the benchmark's process ends
	waitForAddr(b, addr)
	return os.Getpid()
}

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

func waitFor(b *testing.B, ok func() bool) {
	for end := time.Now().Add(startTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("not up in time")
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

// clockTick is the unit of processor times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that processes have used.
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

// residentBytes returns the residentBytes memory of processes in bytes.
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
