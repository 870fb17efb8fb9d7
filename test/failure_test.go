package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// responseReader reads a response in parts and keeps what it has read.
type responseReader struct {
	resp     *http.Response
	received []byte
}

func newChat(streamed bool, text string) chat {
	return chat{Model: model, Stream: streamed, Messages: []message{{"user", text}}}
}

// startChat sends a chat and returns when the headers of the response have arrived.
func startChat(router *process, c chat, header http.Header) (*responseReader, error) {
	GinkgoHelper()
	body, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, chatURL(router), bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	return &responseReader{resp: resp}, nil
}

func chatURL(router *process) string {
	return "http://" + router.addr + "/v1/chat/completions"
}

// read reads at least n more bytes of the response, or all up to an error, which it returns.
func (c *responseReader) read(n int) error {
	buf := make([]byte, 4096)
	for end := len(c.received) + n; len(c.received) < end; {
		k, err := c.resp.Body.Read(buf)
		c.received = append(c.received, buf[:k]...)
		if err != nil {
			return err
		}
	}
	return nil
}

// untilEnd is a length beyond that of any response.
const untilEnd = 1 << 30

// startStream sends a streamed chat and reads the first 1000 bytes of the response.
func startStream(router *process, text string) *responseReader {
	GinkgoHelper()
	c, err := startChat(router, newChat(true, text), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.resp.StatusCode).To(Equal(http.StatusOK))
	Expect(c.read(1000)).To(Succeed())
	return c
}

func (c *responseReader) id() string {
	return c.resp.Header.Get("Parsley-Request-Id")
}

// fetchResponse requests from a router the response to an earlier request, from an offset on.
func fetchResponse(router *process, id string, offset int) response {
	GinkgoHelper()
	return send(http.MethodGet, "http://"+router.addr+"/v1/requests/"+id+"?offset="+strconv.Itoa(offset), apiKey, nil, nil)
}

var tokenPattern = regexp.MustCompile(`"content":"w[0-9a-f]+-(\d+) "`)

// beCompleteStream matches a streamed response that has all its tokens, each once and in order.
func beCompleteStream(tokens int) OmegaMatcher {
	return WithTransform(func(body []byte) error {
		found := tokenPattern.FindAllSubmatch(body, -1)
		for i, f := range found {
			if string(f[1]) != strconv.Itoa(i) {
				return fmt.Errorf("token %s at position %d", f[1], i)
			}
		}
		if len(found) != tokens || !bytes.HasSuffix(body, []byte("data: [DONE]\n\n")) {
			return fmt.Errorf("%d tokens, ending in %q", len(found), body[max(0, len(body)-40):])
		}
		return nil
	}, Succeed())
}

// setVMFaults injects faults into the list of VMs.
func (f *fleet) setVMFaults(faults standin.VMFaults) {
	GinkgoHelper()
	Expect(send(http.MethodPut, f.platformURL+"/faults/vms", "", faults, nil).status).To(Equal(http.StatusOK))
}

// runs returns the number of requests that all upstreams have run.
func (f *fleet) runs() int {
	GinkgoHelper()
	n := 0
	for _, vm := range f.upstreams {
		n += len(vm.runs())
	}
	return n
}

// otherUpstream returns the upstream other than vm in a fleet of two.
func (f *fleet) otherUpstream(vm *upstreamVM) *upstreamVM {
	GinkgoHelper()
	Expect(f.upstreams).To(HaveLen(2))
	if f.upstreams[0] == vm {
		return f.upstreams[1]
	}
	return f.upstreams[0]
}

var _ = Describe("a response in flight", func() {
	const tokens = 150
	slowSettings := []string{"--token-delay", "10ms", "--tokens", strconv.Itoa(tokens)}

	// A router is killed during a streamed response. The caller requests the rest from another
	// router, from the offset that it has reached. Without the sidecar's buffer it would have to
	// send the request again.
	It("continues at another router when its own is killed", func() {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", slowSettings...)
		one, two := f.addRouter(), f.addRouter()
		c := startStream(one, "halftime notes")
		one.session.Kill()
		Expect(c.read(untilEnd)).NotTo(Succeed())
		rest := fetchResponse(two, c.id(), len(c.received))
		Expect(append(c.received, rest.body...)).To(beCompleteStream(tokens))
		Expect(string(c.received) + rest.body).To(Equal(fetchResponse(two, c.id(), 0).body))
		Expect(vm.runs()).To(HaveLen(1))
	})

	// The connection between router and sidecar fails during a response: it breaks, or bytes are
	// lost without an error. New connections work. Without recovery, the response would stall for
	// good, or run a second time and start over.
	DescribeTable("is complete and ran once when its connection", func(lose func(*tcpProxy)) {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", slowSettings...)
		m := newTCPProxy(vm.sidecar.addr)
		f.registerVM(topo.VM{ID: vm.id, Role: topo.RoleUpstream, Addr: m.addr, Pool: "notes"})
		c := startStream(f.addRouter(), "notes")
		lose(m)
		Expect(c.read(untilEnd)).To(MatchError("EOF"))
		Expect(c.received).To(beCompleteStream(tokens))
		Expect(vm.runs()).To(HaveLen(1))
		Expect(m.connections()).To(Equal(2), "the rest must arrive over a new connection")
	},
		Entry("is cut", (*tcpProxy).cut),
		Entry("stalls", (*tcpProxy).blackhole),
	)

	// The sidecar of an upstream freezes for some seconds during a response and then continues.
	It("is complete and ran once when its sidecar freezes and continues", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", slowSettings...)
		f.addUpstream("engine", "notes", slowSettings...)
		admin := freeAddr()
		c := startStream(f.addRouter("--admin-listen", admin), "notes")
		vm := f.busyUpstream()
		vm.sidecar.session.Signal(syscall.SIGSTOP)
		Eventually(func() float64 { return counter(admin, "wire_silent_connections_total") }, waitTimeout).Should(BeEquivalentTo(1))
		vm.sidecar.session.Signal(syscall.SIGCONT)
		Expect(c.read(untilEnd)).To(MatchError("EOF"))
		Expect(c.received).To(beCompleteStream(tokens))
		Expect(f.runs()).To(Equal(1))
	})

	// A sidecar or its upstream dies during a response. The caller has a part of it: with a regular
	// end, the part would look complete. The other upstream must not run the request again.
	DescribeTable("ends with an error that says it ran when", func(kill func(*upstreamVM)) {
		f := newFleet()
		f.addUpstream("engine", "notes", slowSettings...)
		f.addUpstream("engine", "notes", slowSettings...)
		c := startStream(f.addRouter(), "notes")
		vm := f.busyUpstream()
		kill(vm)
		Expect(c.read(untilEnd)).NotTo(MatchError("EOF"))
		Expect(c.received).NotTo(beCompleteStream(tokens))
		Expect(string(c.received)).To(ContainSubstring(`"verdict":"ran"`))
		Expect(f.otherUpstream(vm).runs()).To(BeEmpty())
	},
		Entry("its sidecar is killed", func(vm *upstreamVM) { vm.sidecar.session.Kill().Wait(waitTimeout) }),
		Entry("its upstream is killed", func(vm *upstreamVM) { vm.upstream.session.Kill().Wait(waitTimeout) }),
	)

	// A request that may not run twice has been sent, and no byte has come back, when the sidecar
	// dies. If the verdict were not-run, the caller would send it again.
	It("may have run when its sidecar is killed before the first byte", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", "--token-delay", "1h")
		f.addUpstream("engine", "notes", "--token-delay", "1h")
		r := f.addRouter()
		responses := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			responses <- send(http.MethodPost, chatURL(r), apiKey, newChat(false, "tag this clip"), nil)
		}()
		Eventually(f.runs, waitTimeout).Should(Equal(1))
		vm := f.busyUpstream()
		vm.sidecar.session.Kill().Wait(waitTimeout)
		var got response
		Eventually(responses, waitTimeout).Should(Receive(&got))
		Expect(got.header.Get("Parsley-Verdict")).To(Equal("may-have-run"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(f.runs()).To(Equal(1))
	})

	// The list of VMs shows late that an upstream is leaving, and drops it while it still responds.
	// New chats must go elsewhere within seconds, also those with a ticket for it, and the response
	// in flight must not be cut.
	It("is not cut when its VM leaves and the list of VMs lags", func() {
		const longTokens = 400
		f := newFleet()
		longSettings := []string{"--token-delay", "10ms", "--tokens", strconv.Itoa(longTokens)}
		f.addUpstream("engine", "notes", longSettings...)
		f.addUpstream("engine", "notes", longSettings...)
		r := f.addRouter()
		c := startStream(r, "full match breakdown")
		leaving := f.busyUpstream()
		f.setVMFaults(standin.VMFaults{Lag: profile.Duration(time.Second)})
		f.registerVM(topo.VM{ID: leaving.id, Role: topo.RoleUpstream, Addr: leaving.sidecar.addr, Pool: "notes", Leaving: true})

		ticket := http.Header{"Parsley-Ticket": {c.resp.Header.Get("Parsley-Ticket")}}
		runsAfterNextChat := func() int {
			next, err := startChat(r, newChat(true, "full match breakdown"), ticket)
			Expect(err).NotTo(HaveOccurred())
			Expect(next.resp.StatusCode).To(Equal(http.StatusOK))
			Expect(send(http.MethodDelete, "http://"+r.addr+"/v1/requests/"+next.id(), apiKey, nil, nil).status).To(Equal(http.StatusOK))
			Expect(next.resp.Body.Close()).To(Succeed())
			return len(leaving.runs())
		}
		before := runsAfterNextChat()
		Eventually(func() bool {
			now := runsAfterNextChat()
			same := now == before
			before = now
			return same
		}, 4*time.Second).Should(BeTrue(), "new chats must go elsewhere within a few seconds")
		Expect(send(http.MethodDelete, f.platformURL+"/v1/vms/"+leaving.id, "", nil, nil).status).To(Equal(http.StatusOK))
		for range 5 {
			Expect(runsAfterNextChat()).To(Equal(before))
		}
		Expect(c.read(untilEnd)).To(MatchError("EOF"))
		Expect(c.received).To(beCompleteStream(longTokens))
	})
})

var _ = Describe("an outage of the store", func() {
	var (
		f  *fleet
		vm *upstreamVM
	)

	BeforeEach(func() {
		f = newFleet()
		vm = f.addUpstream("engine", "notes")
		f.addUpstream("service", "clips")
	})

	// Chats, service calls and requests under keys that the fleet issued must succeed. Only a
	// request under a caller's own key, which has to be claimed in the store, is rejected, as not
	// run and with a Retry-After.
	expectServing := func(r, other *process) {
		GinkgoHelper()
		url := chatURL(r)
		Expect(send(http.MethodPost, url, apiKey, newChat(true, "notes"), nil).body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(send(http.MethodPost, "http://"+r.addr+"/services/clips/tags", apiKey, "tag", nil).status).To(Equal(http.StatusOK))

		minted := send(http.MethodPost, "http://"+r.addr+"/v1/keys", apiKey, map[string]string{"profile": "chat"}, nil)
		var keys struct{ Keys []string }
		Expect(json.Unmarshal([]byte(minted.body), &keys)).To(Succeed())
		Expect(keys.Keys).To(HaveLen(1))
		before := len(vm.runs())
		once := send(http.MethodPost, url, apiKey, newChat(false, "book"), http.Header{"Idempotency-Key": keys.Keys})
		twice := send(http.MethodPost, chatURL(other), apiKey, newChat(false, "book"), http.Header{"Idempotency-Key": keys.Keys})
		Expect(once.status).To(Equal(http.StatusOK))
		Expect(twice.body).To(Equal(once.body))
		Expect(vm.runs()).To(HaveLen(before + 1))

		callerKeyed := send(http.MethodPost, url, apiKey, newChat(false, "pay"), http.Header{"Idempotency-Key": {"mine"}})
		Expect(callerKeyed.status).To(Equal(http.StatusServiceUnavailable))
		Expect(callerKeyed.header.Get("Parsley-Verdict")).To(Equal("not-run"))
		Expect(callerKeyed.header.Get("Parsley-Reason")).To(Equal("store-down"))
		Expect(callerKeyed.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(vm.runs()).To(HaveLen(before + 1))
	}

	It("does not affect callers of routers that have their configuration", func() {
		one, two := f.addRouter(), f.addRouter()
		f.setObjectFaults(standin.ObjectFaults{Down: true})
		expectServing(one, two)
	})

	// The platform's list of VMs is down as well.
	It("does not affect callers when no part of the platform responds", func() {
		one, two := f.addRouter(), f.addRouter()
		f.setObjectFaults(standin.ObjectFaults{Unresponsive: true})
		f.setVMFaults(standin.VMFaults{Down: true})
		expectServing(one, two)
	})

	// All routers are replaced while the store is down. A new one gets its configuration from the
	// sidecars; without it, it would reject every caller.
	It("does not affect callers of a router that starts during the outage", func() {
		former := f.addRouter()
		Expect(send(http.MethodPost, chatURL(former), apiKey, newChat(false, "notes"), nil).status).To(Equal(http.StatusOK))
		f.setObjectFaults(standin.ObjectFaults{Down: true})
		former.session.Kill().Wait(waitTimeout)
		r := f.addRouter()
		expectServing(r, r)
	})
})
