package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	apiKey      = "club-key"
	model       = "notes-7b"
	tokenSecret = "1:000102030405060708090a0b0c0d0e0f"
	waitTimeout = 20 * time.Second
)

// fleet is a set of processes: a fake platform, upstreams with their sidecars, and routers.
type fleet struct {
	trust       *trust
	platformURL string
	store       *topo.HTTP
	upstreams   []*upstreamVM
	routers     []*process
}

// process is a running program and the address that it listens on.
type process struct {
	addr    string
	session *gexec.Session
}

// upstreamVM is an upstream with its sidecar.
type upstreamVM struct {
	id       string
	upstream *process
	sidecar  *process
	admin    string // the sidecar's admin address
}

func start(program, addr string, args ...string) *process {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(program, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(waitTimeout) })
	Eventually(func() error {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err
	}, waitTimeout, 20*time.Millisecond).Should(Succeed())
	return &process{addr: addr, session: session}
}

func freeAddr() string {
	GinkgoHelper()
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1))%portCount)
		if l, err := net.Listen("tcp", addr); err == nil {
			Expect(l.Close()).To(Succeed())
			return addr
		}
	}
	Fail("no port is free")
	return ""
}

// Ports of the processes under test lie below the ephemeral range of the kernel. A free port in
// that range may be taken by any outgoing connection before the process listens on it; the process
// then fails with "address already in use", and the test times out.
const firstPort, portCount = 21000, 11000

// nextPort counts the ports that have been tried; each is tried once. It starts at a value derived
// from the process id, so that two concurrent runs start at different ports.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 131)
	return &n
}()

// newFleet starts a fake platform with a chat profile, a service profile and one organisation.
func newFleet() *fleet {
	GinkgoHelper()
	addr := freeAddr()
	start(standinPath, addr, "--kind", "platform", "--listen", addr)
	f := &fleet{trust: newTrust(), platformURL: "http://" + addr}
	f.store = topo.NewHTTP(f.platformURL)
	f.put(topo.Ref{Kind: topo.KindProfile, Name: "chat"},
		profile.Profile{Name: "chat", Pool: "notes", Model: model, Deadline: profile.Duration(time.Minute)})
	f.put(topo.Ref{Kind: topo.KindProfile, Name: "clips"},
		profile.Profile{Name: "clips", Pool: "clips", Service: "clips", Deadline: profile.Duration(10 * time.Second)})
	f.put(topo.Ref{Kind: topo.KindOrganisation, Name: "club"},
		profile.Organisation{Name: "club", Profiles: []string{"chat", "clips"}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey(apiKey)}}})
	return f
}

func (f *fleet) put(ref topo.Ref, v any) {
	GinkgoHelper()
	b, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	edit := change.Edit{Base: change.StoredObject{Ref: ref}, Spec: b, Author: "test"}
	result := change.NewEditor(f.store).Commit(context.Background(), edit)
	Expect(result.Outcome).To(Equal(change.Applied))
}

// addUpstream starts a fake upstream of a kind with additional flags, and its sidecar, and
// registers the VM.
func (f *fleet) addUpstream(kind, pool string, settings ...string) *upstreamVM {
	GinkgoHelper()
	vm := &upstreamVM{id: fmt.Sprintf("vm-%d", len(f.upstreams))}
	addr := freeAddr()
	standin := append([]string{"--kind", kind, "--listen", addr, "--name", model}, settings...)
	vm.upstream = start(standinPath, addr, standin...)
	f.addSidecar(vm, pool, "http://"+addr)
	return vm
}

// addSidecar starts the sidecar of an upstream at a URL, and registers the VM.
func (f *fleet) addSidecar(vm *upstreamVM, pool, url string) {
	GinkgoHelper()
	sidecarAddr := freeAddr()
	vm.admin = freeAddr()
	args := []string{"sidecar", "--listen", sidecarAddr, "--upstream", url, "--admin-listen", vm.admin, "--platform", f.platformURL}
	args = append(args, f.trust.identityFlags(secure.Identity{Role: secure.RoleSidecar, VM: vm.id})...)
	vm.sidecar = start(daemonPath, sidecarAddr, args...)
	f.registerVM(topo.VM{ID: vm.id, Role: topo.RoleUpstream, Addr: sidecarAddr, Pool: pool, FailureDomain: testDomain})
	f.upstreams = append(f.upstreams, vm)
}

func (f *fleet) registerVM(vm topo.VM) {
	GinkgoHelper()
	b, err := json.Marshal(vm)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, f.platformURL+"/v1/vms/"+vm.ID, bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// addRouter starts a router with additional flags and waits until it is ready.
func (f *fleet) addRouter(settings ...string) *process {
	GinkgoHelper()
	r := f.startRouter(settings...)
	waitReady(r.addr)
	return r
}

// startRouter starts a router with additional flags and waits until it listens.
func (f *fleet) startRouter(settings ...string) *process {
	GinkgoHelper()
	addr := freeAddr()
	args := []string{"router", "--listen", addr, "--platform", f.platformURL, "--token-secrets", f.trust.secrets}
	id := secure.Identity{Role: secure.RoleRouter, VM: fmt.Sprintf("entry-%d", len(f.routers))}
	args = append(args, f.trust.identityFlags(id)...)
	r := start(daemonPath, addr, append(args, settings...)...)
	f.routers = append(f.routers, r)
	return r
}

// waitReady waits until the process with health endpoints at addr is ready.
func waitReady(addr string) {
	GinkgoHelper()
	Eventually(func() (int, error) {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}, waitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
}

// response is a complete response as its caller received it.
type response struct {
	status int
	header http.Header
	body   string
}

func send(method, url, key string, body any, header http.Header) response {
	GinkgoHelper()
	b, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, url, bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return response{status: resp.StatusCode, header: resp.Header, body: string(text)}
}

// runs returns the requests that the upstream has run.
func (vm *upstreamVM) runs() []standin.Run {
	GinkgoHelper()
	resp, err := http.Get("http://" + vm.upstream.addr + "/debug/runs")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var runs []standin.Run
	Expect(json.NewDecoder(resp.Body).Decode(&runs)).To(Succeed())
	return runs
}
