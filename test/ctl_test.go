package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/parsleyfront/parsleyfront/internal/ctl"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	sharedProfile = `kind: profile
name: shared
pool: notes
model: notes-7b
deadline: 30s
`
	notesPool = `kind: pool
name: notes
model: notes-7b
version: "1"
---
`
)

// commandResult is the exit code and output of a command.
type commandResult struct {
	code   ctl.Code
	out    string
	errOut string
}

// runCtl runs parsleyctl against a platform and waits for its exit.
func runCtl(platformURL string, args ...string) commandResult {
	GinkgoHelper()
	cmd := exec.Command(ctlPath, args...)
	cmd.Env = append(os.Environ(), "PARSLEYCTL_PLATFORM="+platformURL, "PARSLEYCTL_AUTHOR=ann")
	session, err := gexec.Start(cmd, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	session.Wait(2 * waitTimeout)
	return commandResult{ctl.Code(session.ExitCode()), string(session.Out.Contents()), string(session.Err.Contents())}
}

// writeFile writes objects.yaml for parsleyctl and returns its path.
func writeFile(text string) string {
	GinkgoHelper()
	name := filepath.Join(GinkgoT().TempDir(), "objects.yaml")
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// addListedRouter starts a router with an admin API and registers its VM. It returns the VM's id.
func (f *fleet) addListedRouter() string {
	GinkgoHelper()
	addr := freeAddr()
	id := fmt.Sprintf("entry-%d", len(f.routers))
	f.registerVM(topo.VM{ID: id, Role: topo.RoleRouter, AdminAddr: addr})
	f.addRouter("--admin-listen", addr)
	return id
}

// platformProxy starts a proxy to the platform. serve handles writes of objects of kind; all other
// requests are forwarded.
func platformProxy(platformURL string, kind topo.Kind, serve func(http.ResponseWriter, *http.Request, http.Handler)) *httptest.Server {
	GinkgoHelper()
	target, err := url.Parse(platformURL)
	Expect(err).NotTo(HaveOccurred())
	proxy := httputil.NewSingleHostReverseProxy(target)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/objects/"+string(kind)+"/") {
			serve(w, r, proxy)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	return server
}

// loseResponse lets a write take effect and closes the connection without a response.
func loseResponse(r *http.Request, proxy http.Handler) {
	proxy.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

// setObjectFaults injects faults into the platform's object API.
func (f *fleet) setObjectFaults(faults standin.ObjectFaults) {
	GinkgoHelper()
	b, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, f.platformURL+"/faults/objects", bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

func (f *fleet) objectFaults() standin.ObjectFaults {
	GinkgoHelper()
	resp, err := http.Get(f.platformURL + "/faults/objects")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var faults standin.ObjectFaults
	Expect(json.NewDecoder(resp.Body).Decode(&faults)).To(Succeed())
	return faults
}

// testDomain is the failure domain of the upstreams.
const testDomain = "casablanca/hall-a"

var _ = Describe("parsleyctl", func() {
	var f *fleet

	BeforeEach(func() {
		f = newFleet()
	})

	It("applies and rolls back a change, and shows its history", func() {
		f.addUpstream("engine", "notes")
		f.addListedRouter()
		router := f.addListedRouter()
		file := writeFile(notesPool + sharedProfile)
		Expect(runCtl(f.platformURL, "validate", file).code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "diff", file).code).To(Equal(ctl.ExitDiffers))

		first := runCtl(f.platformURL, "apply", "--wait", "-m", "new", file)
		Expect(first.code).To(Equal(ctl.ExitOK), first.errOut)
		Expect(first.out).To(ContainSubstring("in force at 2 of 2 routers"))
		Expect(runCtl(f.platformURL, "diff", file).code).To(Equal(ctl.ExitOK))

		longer := writeFile(strings.Replace(sharedProfile, "30s", "40s", 1))
		Expect(runCtl(f.platformURL, "apply", "--wait", longer).code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "rollback", "--wait", "profile/shared").code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "get", "profile/shared").out).To(ContainSubstring("deadline: 30s"))

		history := runCtl(f.platformURL, "history", "profile/shared", "-o", "json")
		var h struct {
			Changes []struct{ Author, Reason, Diff string }
		}
		Expect(json.Unmarshal([]byte(history.out), &h)).To(Succeed())
		Expect(h.Changes).To(HaveLen(3))
		Expect(h.Changes[0].Reason).To(HavePrefix("rollback to "))
		Expect(h.Changes[0].Diff).To(ContainSubstring("-deadline: 40s\n+deadline: 30s"))
		Expect(h.Changes[2].Author).To(Equal("ann"))

		Expect(runCtl(f.platformURL, "drain", "vm-0", "--wait").code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "list", "drain").out).To(ContainSubstring("vm-0"))
		Expect(runCtl(f.platformURL, "status", "--upstreams").out).To(MatchRegexp(`vm-0 +notes +` + testDomain + ` +draining`))
		Expect(runCtl(f.platformURL, "undrain", "vm-0", "--wait").code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "drain", "vm-9").code).To(Equal(ctl.ExitNotFound))

		Expect(runCtl(f.platformURL, "drain", "--failure-domain", testDomain, "--wait", "-m", "works on the power").code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "list", "domain-drain").out).To(ContainSubstring(testDomain))
		Expect(runCtl(f.platformURL, "status", "--upstreams").out).To(MatchRegexp(`vm-0 +notes +` + testDomain + ` +draining`))
		Expect(runCtl(f.platformURL, "undrain", "--failure-domain", testDomain, "--wait").code).To(Equal(ctl.ExitOK))
		Expect(runCtl(f.platformURL, "drain", "--failure-domain", "nowhere").code).To(Equal(ctl.ExitNotFound))
		Expect(runCtl(f.platformURL, "drain").code).To(Equal(ctl.ExitUsage))

		Eventually(func() string { return runCtl(f.platformURL, "status").out }, waitTimeout).
			Should(And(MatchRegexp(router+` .* serving`), Not(ContainSubstring("behind")), Not(ContainSubstring("no answer"))))
		explained := runCtl(f.platformURL, "explain", "--organisation", "club", "--model", model, "--session", "s")
		Expect(explained.out).To(MatchRegexp(`1 +vm-0 .* ranks high for the session`))
	})

	// A router has died and the list of VMs still contains it. An operator who waits for a change
	// must not see it reported as in force there.
	It("names the router that does not confirm a change", func() {
		f.addListedRouter()
		f.registerVM(topo.VM{ID: "entry-9", Role: topo.RoleRouter, AdminAddr: freeAddr()})
		got := runCtl(f.platformURL, "apply", "--wait", "--wait-timeout", "4s", writeFile(notesPool+sharedProfile))
		Expect(got.code).To(Equal(ctl.ExitNotInForce))
		Expect(got.out).To(ContainSubstring("in force at 1 of 2 routers"))
		Expect(got.out).To(ContainSubstring("pending: entry-9 did not answer"))
		Expect(runCtl(f.platformURL, "get", "profile/shared").code).To(Equal(ctl.ExitOK))
	})

	// A request was running when its upstream crashed. The operator must see that this request may
	// have caused the crash.
	It("names a request that may crash upstreams", func() {
		vm := f.addUpstream("engine", "notes", "--token-delay", "60ms")
		f.addListedRouter()
		chatStream := openStream("http://"+f.routers[0].addr+"/v1/chat/completions", "who lost the ball")
		Expect(runCtl(f.platformURL, "status").out).NotTo(ContainSubstring("QUARANTINED"))
		vm.upstream.session.Kill().Wait(waitTimeout)
		_, err := chatStream.readRest()
		Expect(err).To(HaveOccurred())
		Eventually(func() string { return runCtl(f.platformURL, "status").out }, waitTimeout).
			Should(MatchRegexp(`(?s)QUARANTINED REQUEST.*[0-9a-f]{16} +suspect +1 `))
	})

	// The connection on which a router watches for changes is stalled: no error, no data. An
	// operator who waits for a change must not have to wait until the router gives up the watch.
	It("does not wait for a stalled watch", func() {
		f.addListedRouter()
		file := writeFile(notesPool + sharedProfile)
		f.setObjectFaults(standin.ObjectFaults{UnresponsiveWatches: 1})
		Expect(runCtl(f.platformURL, "apply", file).code).To(Equal(ctl.ExitOK))
		Eventually(func() int { return f.objectFaults().UnresponsiveWatches }, waitTimeout).Should(BeZero())
		longer := writeFile(strings.Replace(sharedProfile, "30s", "40s", 1))
		got := runCtl(f.platformURL, "apply", "--wait", "--wait-timeout", "20s", longer)
		Expect(got.code).To(Equal(ctl.ExitOK), got.out)
	})

	// The store commits the change and its response is lost. Reported as failed, the change might
	// be repeated on top of another operator's. Reported as applied without a check, it might not
	// be in force.
	It("finds out whether a change was committed when the response is lost", func() {
		var lost atomic.Bool
		p := platformProxy(f.platformURL, topo.KindPool, func(w http.ResponseWriter, r *http.Request, proxy http.Handler) {
			if lost.CompareAndSwap(false, true) {
				loseResponse(r, proxy)
			}
			proxy.ServeHTTP(w, r)
		})
		got := runCtl(p.URL, "apply", writeFile(notesPool))
		Expect(got.code).To(Equal(ctl.ExitOK), got.errOut)
		Expect(got.out).To(ContainSubstring("created"))
		Expect(runCtl(f.platformURL, "history", "pool/notes", "-o", "yaml").out).NotTo(ContainSubstring("parent"))
	})

	It("reports an unknown outcome when the store goes down after a lost response", func() {
		p := platformProxy(f.platformURL, topo.KindPool, func(_ http.ResponseWriter, r *http.Request, proxy http.Handler) {
			defer f.setObjectFaults(standin.ObjectFaults{Down: true})
			loseResponse(r, proxy)
		})
		got := runCtl(p.URL, "--timeout", "4s", "apply", writeFile(notesPool+sharedProfile))
		Expect(got.code).To(Equal(ctl.ExitUnknown))
		Expect(got.out).To(MatchRegexp(`pool/notes +unknown`))
		Expect(got.out).To(MatchRegexp(`profile/shared +skipped`))
		Expect(got.errOut).To(ContainSubstring("advice: look for change"))

		f.setObjectFaults(standin.ObjectFaults{})
		again := runCtl(f.platformURL, "apply", writeFile(notesPool+sharedProfile))
		Expect(again.code).To(Equal(ctl.ExitOK))
		Expect(again.out).To(And(MatchRegexp(`pool/notes +unchanged`), MatchRegexp(`profile/shared +created`)))
	})

	// The platform fails between two objects. An operator who sees only "failed" would assume that
	// nothing has changed.
	It("reports which objects were changed when an apply fails midway", func() {
		p := platformProxy(f.platformURL, topo.KindProfile, func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := runCtl(p.URL, "--timeout", "3s", "apply", writeFile(notesPool+sharedProfile))
		Expect(got.code).To(Equal(ctl.ExitPartial))
		Expect(got.out).To(And(MatchRegexp(`pool/notes +created`), MatchRegexp(`profile/shared +failed`)))
		Expect(runCtl(f.platformURL, "get", "profile/shared").code).To(Equal(ctl.ExitNotFound))
	})

	// Two operators edit the same profile. Without a check of the base version, the second to apply
	// would silently undo the change of the first.
	It("accepts one of two concurrent edits and shows both to the other operator", func() {
		Expect(runCtl(f.platformURL, "apply", writeFile(notesPool+sharedProfile)).code).To(Equal(ctl.ExitOK))
		base := runCtl(f.platformURL, "get", "profile/shared").out
		faster := writeFile(strings.Replace(base, "30s", "40s", 1))
		slower := writeFile(strings.Replace(base, "retry_budget: 0.1", "retry_budget: 0.2", 1))
		Expect(runCtl(f.platformURL, "apply", faster).code).To(Equal(ctl.ExitOK))
		got := runCtl(f.platformURL, "apply", slower)
		Expect(got.code).To(Equal(ctl.ExitConflict))
		Expect(got.errOut).To(And(ContainSubstring("+deadline: 40s"), ContainSubstring("+retry_budget: 0.2")))
		now := runCtl(f.platformURL, "get", "profile/shared").out
		Expect(now).To(And(ContainSubstring("deadline: 40s"), ContainSubstring("retry_budget: 0.1")))
	})

	// The same edits at the same time, from several machines: some read before the winner's write
	// and fail at the store, others read after it and fail by the change id.
	It("accepts exactly one of many simultaneous changes", func() {
		Expect(runCtl(f.platformURL, "apply", writeFile(notesPool+sharedProfile)).code).To(Equal(ctl.ExitOK))
		base := runCtl(f.platformURL, "get", "profile/shared").out
		const racers = 8
		codes := make(chan ctl.Code, racers)
		for i := range racers {
			file := writeFile(strings.Replace(base, "30s", fmt.Sprintf("%ds", 31+i), 1))
			go func() {
				defer GinkgoRecover()
				codes <- runCtl(f.platformURL, "apply", file).code
			}()
		}
		count := make(map[ctl.Code]int)
		for range racers {
			var code ctl.Code
			Eventually(codes, 2*waitTimeout).Should(Receive(&code))
			count[code]++
		}
		Expect(count).To(Equal(map[ctl.Code]int{ctl.ExitOK: 1, ctl.ExitConflict: racers - 1}))
		history := runCtl(f.platformURL, "history", "profile/shared", "-o", "yaml").out
		Expect(strings.Count(history, "- id:")).To(Equal(2))
	})

	// A deployment is applied while the platform accepts few writes a second. An apply that failed
	// midway would leave half of it in force.
	It("applies many objects within the platform's rate", func() {
		f.addListedRouter()
		f.setObjectFaults(standin.ObjectFaults{WritesPerSecond: 10})
		got := runCtl(f.platformURL, "apply", "--wait", "../examples/atlas", "../examples/thamel")
		Expect(got.code).To(Equal(ctl.ExitOK), got.errOut)
		Expect(strings.Count(got.out, " created ")).To(Equal(34))
	})

	It("writes nothing when a file has a mistake", func() {
		got := runCtl(f.platformURL, "apply", writeFile(notesPool+sharedProfile+"loadmultiple: 2\n"))
		Expect(got.code).To(Equal(ctl.ExitInvalid))
		Expect(got.errOut).To(ContainSubstring("objects.yaml:11:1: profile/shared: loadmultiple: unknown field: write load_multiple"))
		Expect(runCtl(f.platformURL, "get", "pool/notes").code).To(Equal(ctl.ExitNotFound))
		Expect(runCtl(f.platformURL, "apply", writeFile("")).code).To(Equal(ctl.ExitInvalid))
	})
})
