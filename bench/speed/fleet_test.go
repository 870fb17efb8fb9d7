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
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
)

const (
	apiKey      = "speed-key"
	secret      = "1:000102030405060708090a0b0c0d0e0f\n"
	stubVar     = "SPEED_STUB" // address; set in the process that is the stub
	startWithin = 10 * time.Second
)

var (
	inProcess = flag.Bool("inprocess", false, "run router, sidecar and stub in this process")
	procs     = flag.Int("procs", 2, "GOMAXPROCS of each of the other processes")
	daemonBin string
)

func TestMain(m *testing.M) {
	if addr := os.Getenv(stubVar); addr != "" {
		panic(http.ListenAndServe(addr, stub()))
	}
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

// fleet is one router before one sidecar before the stub.
type fleet struct {
	router, stub          string // URLs
	routerPID, sidecarPID int    // both this process's with -inprocess
}

func newFleet(b *testing.B) *fleet {
	mux := http.NewServeMux()
	vms := standin.NewVMList()
	standin.NewObjectAPI().Register(mux)
	vms.Register(mux)
	p := httptest.NewServer(mux)
	b.Cleanup(p.Close)
	configure(b, p.URL)

	stubAddr, sidecarAddr, routerAddr := freeAddr(b), freeAddr(b), freeAddr(b)
	f := &fleet{router: "http://" + routerAddr, stub: "http://" + stubAddr}
	startStub(b, stubAddr)
	f.sidecarPID = parsleyd(b, sidecarAddr, "sidecar", "--insecure-plain", "--listen", sidecarAddr, "--vm", "vm-1", "--upstream", f.stub)
	vms.Set(platform.VM{ID: "vm-1", Role: platform.RoleUpstream, Addr: sidecarAddr, Pool: "bench"})
	secrets := filepath.Join(b.TempDir(), "secrets")
	if err := os.WriteFile(secrets, []byte(secret), 0o600); err != nil {
		b.Fatal(err)
	}
	f.routerPID = parsleyd(b, routerAddr, "router", "--insecure-plain", "--listen", routerAddr, "--vm", "vm-r", "--platform", p.URL, "--token-secrets", secrets)
	await(b, func() bool {
		resp, err := http.Get(f.router + "/readyz")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
	return f
}

func configure(b *testing.B, url string) {
	store := platform.NewHTTP(url)
	put := func(kind platform.Kind, name string, v any) {
		value, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		edit := change.Edit{Base: change.Current{Ref: platform.Ref{Kind: kind, Name: name}}, Spec: value, Author: "speed"}
		if r := change.NewEditor(store).Commit(context.Background(), edit); r.Outcome != change.Applied {
			b.Fatal(name, r.Outcome)
		}
	}
	put(platform.KindProfile, "bench", profile.Profile{
		Name: "bench", Pool: "bench", Service: "bench", Deadline: profile.Duration(time.Hour), LoadMultiple: profile.MaxLoadMultiple,
		Queue: profile.Queue{PerUpstream: profile.MaxQueue, PerOrganisation: profile.MaxQueue},
	})
	put(platform.KindOrganisation, "org", profile.Organisation{
		Name: "org", Weight: 1, Profiles: []string{"bench"},
		Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey(apiKey)}},
	})
}

func startStub(b *testing.B, addr string) {
	if *inProcess {
		server := &http.Server{Addr: addr, Handler: stub()}
		go func() { _ = server.ListenAndServe() }()
		b.Cleanup(func() { _ = server.Close() })
		awaitAddr(b, addr)
		return
	}
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	run(b, exec.Command(self), addr, stubVar+"="+addr)
}

// parsleyd starts a role and returns its process id.
func parsleyd(b *testing.B, addr string, args ...string) int {
	if !*inProcess {
		return run(b, exec.Command(daemonBin, args...), addr)
	}
	go daemon.Main(args, io.Discard, os.Stderr) // until the benchmark's process ends
	awaitAddr(b, addr)
	return os.Getpid()
}

func run(b *testing.B, cmd *exec.Cmd, addr string, env ...string) int {
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
	awaitAddr(b, addr)
	return cmd.Process.Pid
}

func awaitAddr(b *testing.B, addr string) {
	await(b, func() bool {
		c, err := net.Dial("tcp", addr)
		return err == nil && c.Close() == nil
	})
}

func await(b *testing.B, ok func() bool) {
	for end := time.Now().Add(startWithin); !ok(); time.Sleep(10 * time.Millisecond) {
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

// url returns where to call path: directly at the stub, or through the fleet.
func (f *fleet) url(through bool, path string) string {
	if through {
		return f.router + "/services/bench" + path
	}
	return f.stub + path
}

// clockTick is the unit of processor times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// cpu returns the processor time that a process has used.
func cpu(b *testing.B, pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// resident returns the resident memory of a process in bytes.
func resident(b *testing.B, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	b.Fatal("no VmRSS")
	return 0
}
