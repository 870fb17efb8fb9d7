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

// caller is a caller in the middle of an answer.
type caller struct {
	resp *http.Response
	got  []byte
}

func ask(streamed bool, text string) chat {
	return chat{Model: model, Stream: streamed, Messages: []message{{"user", text}}}
}

// begin sends a chat and returns when the answer's head has come.
func begin(router *process, c chat, header http.Header) (*caller, error) {
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
	return &caller{resp: resp}, nil
}

func chatURL(router *process) string {
	return "http://" + router.addr + "/v1/chat/completions"
}

// reads takes at least n more bytes of the answer, or all that come before an error.
func (c *caller) reads(n int) error {
	buf := make([]byte, 4096)
	for end := len(c.got) + n; len(c.got) < end; {
		k, err := c.resp.Body.Read(buf)
		c.got = append(c.got, buf[:k]...)
		if err != nil {
			return err
		}
	}
	return nil
}

// all is more than any answer.
const all = 1 << 30

// streams begins a streamed chat and reads the start of its answer.
func streams(router *process, text string) *caller {
	GinkgoHelper()
	c, err := begin(router, ask(true, text), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.resp.StatusCode).To(Equal(http.StatusOK))
	Expect(c.reads(1000)).To(Succeed())
	return c
}

func (c *caller) id() string {
	return c.resp.Header.Get("Parsley-Request-Id")
}

// fetch asks a router for the answer to an earlier request from an offset on.
func fetch(router *process, id string, offset int) reply {
	GinkgoHelper()
	return send(http.MethodGet, "http://"+router.addr+"/v1/requests/"+id+"?offset="+strconv.Itoa(offset), apiKey, nil, nil)
}

var word = regexp.MustCompile(`"content":"w[0-9a-f]+-(\d+) "`)

// beWhole matches a streamed answer with all its tokens, each once and in order.
func beWhole(tokens int) OmegaMatcher {
	return WithTransform(func(answer []byte) error {
		found := word.FindAllSubmatch(answer, -1)
		for i, f := range found {
			if string(f[1]) != strconv.Itoa(i) {
				return fmt.Errorf("token %s in place %d", f[1], i)
			}
		}
		if len(found) != tokens || !bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")) {
			return fmt.Errorf("%d tokens, ending in %q", len(found), answer[max(0, len(answer)-40):])
		}
		return nil
	}, Succeed())
}

// vmFaults breaks the list of VMs.
func (f *fleet) vmFaults(faults standin.VMFaults) {
	GinkgoHelper()
	Expect(send(http.MethodPut, f.platformURL+"/faults/vms", "", faults, nil).status).To(Equal(http.StatusOK))
}

// runs returns how often all upstreams have run something.
func (f *fleet) runs() int {
	GinkgoHelper()
	n := 0
	for _, vm := range f.upstreams {
		n += len(vm.runs())
	}
	return n
}

// other returns the one upstream besides vm.
func (f *fleet) other(vm *upstreamVM) *upstreamVM {
	GinkgoHelper()
	Expect(f.upstreams).To(HaveLen(2))
	if f.upstreams[0] == vm {
		return f.upstreams[1]
	}
	return f.upstreams[0]
}

var _ = Describe("an answer under way", func() {
	const tokens = 150
	pace := []string{"--token-delay", "10ms", "--tokens", strconv.Itoa(tokens)}

	// A coach reads halftime notes when the router is killed: the stream breaks
	// off. The coach's program asks another router for the rest, from the byte
	// at which it was. Without the sidecar's buffer it would have to ask anew.
	It("goes on at another router when its own is killed", func() {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", pace...)
		one, two := f.addRouter(), f.addRouter()
		c := streams(one, "halftime notes")
		one.session.Kill()
		Expect(c.reads(all)).NotTo(Succeed())
		rest := fetch(two, c.id(), len(c.got))
		Expect(append(c.got, rest.body...)).To(beWhole(tokens))
		Expect(string(c.got) + rest.body).To(Equal(fetch(two, c.id(), 0).body))
		Expect(vm.runs()).To(HaveLen(1))
	})

	// A coach reads notes when something between router and sidecar loses track
	// of the connection: it breaks, or nothing fails and nothing comes. New
	// connections work. Notes that stop for good, or that run a second time and
	// start over, are what a coach would see.
	DescribeTable("is whole and ran once when its connection", func(lose func(*middle)) {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", pace...)
		m := newMiddle(vm.sidecar.addr)
		f.list(topo.VM{ID: vm.id, Role: topo.RoleUpstream, Addr: m.addr, Pool: "notes"})
		c := streams(f.addRouter(), "notes")
		lose(m)
		Expect(c.reads(all)).To(MatchError("EOF"))
		Expect(c.got).To(beWhole(tokens))
		Expect(vm.runs()).To(HaveLen(1))
		Expect(m.connections()).To(Equal(2), "the rest came over a new connection")
	},
		Entry("is cut", (*middle).cut),
		Entry("goes silent", (*middle).silence),
	)

	// The VM of an upstream freezes for some seconds in the middle of an answer
	// and then goes on as if nothing had been.
	It("is whole and ran once when its sidecar freezes and thaws", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", pace...)
		f.addUpstream("engine", "notes", pace...)
		admin := freeAddr()
		c := streams(f.addRouter("--admin-listen", admin), "notes")
		vm := f.busy()
		vm.sidecar.session.Signal(syscall.SIGSTOP)
		Eventually(func() float64 { return counter(admin, "wire_silent_connections_total") }, startWithin).Should(BeEquivalentTo(1))
		vm.sidecar.session.Signal(syscall.SIGCONT)
		Expect(c.reads(all)).To(MatchError("EOF"))
		Expect(c.got).To(beWhole(tokens))
		Expect(f.runs()).To(Equal(1))
	})

	// A sidecar or its upstream dies in the middle of an answer. The caller has a
	// part of it: a regular end would pass the part off as the whole, and the
	// other upstream must not begin what has been begun here.
	DescribeTable("breaks off with the truth when", func(kill func(*upstreamVM)) {
		f := newFleet()
		f.addUpstream("engine", "notes", pace...)
		f.addUpstream("engine", "notes", pace...)
		c := streams(f.addRouter(), "notes")
		vm := f.busy()
		kill(vm)
		Expect(c.reads(all)).NotTo(MatchError("EOF"))
		Expect(c.got).NotTo(beWhole(tokens))
		Expect(string(c.got)).To(ContainSubstring(`"verdict":"ran"`))
		Expect(f.other(vm).runs()).To(BeEmpty())
	},
		Entry("its sidecar is killed", func(vm *upstreamVM) { vm.sidecar.session.Kill().Wait(startWithin) }),
		Entry("its upstream is killed", func(vm *upstreamVM) { vm.upstream.session.Kill().Wait(startWithin) }),
	)

	// A request that may not run twice has been sent, and not a byte has come
	// back, when the sidecar dies. Told "not run", the caller would send it anew.
	It("may have run when its sidecar is killed before the first byte", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", "--token-delay", "1h")
		f.addUpstream("engine", "notes", "--token-delay", "1h")
		r := f.addRouter()
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- send(http.MethodPost, chatURL(r), apiKey, ask(false, "tag this clip"), nil)
		}()
		Eventually(f.runs, startWithin).Should(Equal(1))
		vm := f.busy()
		vm.sidecar.session.Kill().Wait(startWithin)
		var got reply
		Eventually(answered, startWithin).Should(Receive(&got))
		Expect(got.header.Get("Parsley-Verdict")).To(Equal("may-have-run"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(f.runs()).To(Equal(1))
	})

	// The list of VMs shows late that an upstream is leaving, and then drops it
	// while it is still writing. New chats must go elsewhere within seconds, also
	// those that carry a ticket for it, and the answer under way must not be cut.
	It("is not cut when its VM leaves by a list that lags", func() {
		const long = 400
		f := newFleet()
		slow := []string{"--token-delay", "10ms", "--tokens", strconv.Itoa(long)}
		f.addUpstream("engine", "notes", slow...)
		f.addUpstream("engine", "notes", slow...)
		r := f.addRouter()
		c := streams(r, "full match breakdown")
		leaver := f.busy()
		f.vmFaults(standin.VMFaults{Lag: profile.Duration(time.Second)})
		f.list(topo.VM{ID: leaver.id, Role: topo.RoleUpstream, Addr: leaver.sidecar.addr, Pool: "notes", Leaving: true})

		ticket := http.Header{"Parsley-Ticket": {c.resp.Header.Get("Parsley-Ticket")}}
		another := func() int {
			next, err := begin(r, ask(true, "full match breakdown"), ticket)
			Expect(err).NotTo(HaveOccurred())
			Expect(next.resp.StatusCode).To(Equal(http.StatusOK))
			Expect(send(http.MethodDelete, "http://"+r.addr+"/v1/requests/"+next.id(), apiKey, nil, nil).status).To(Equal(http.StatusOK))
			Expect(next.resp.Body.Close()).To(Succeed())
			return len(leaver.runs())
		}
		before := another()
		Eventually(func() bool {
			now := another()
			same := now == before
			before = now
			return same
		}, 4*time.Second).Should(BeTrue(), "no new work within a few seconds")
		Expect(send(http.MethodDelete, f.platformURL+"/v1/vms/"+leaver.id, "", nil, nil).status).To(Equal(http.StatusOK))
		for range 5 {
			Expect(another()).To(Equal(before))
		}
		Expect(c.reads(all)).To(MatchError("EOF"))
		Expect(c.got).To(beWhole(long))
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

	// Chats, calls of services and requests under the fleet's own keys must go
	// on. Only a caller's own key, which has to be claimed in the store, is turned
	// away, truly as not run, and it is said when to come back.
	serves := func(r, other *process) {
		GinkgoHelper()
		url := chatURL(r)
		Expect(send(http.MethodPost, url, apiKey, ask(true, "notes"), nil).body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(send(http.MethodPost, "http://"+r.addr+"/services/clips/tags", apiKey, "tag", nil).status).To(Equal(http.StatusOK))

		minted := send(http.MethodPost, "http://"+r.addr+"/v1/keys", apiKey, map[string]string{"profile": "chat"}, nil)
		var keys struct{ Keys []string }
		Expect(json.Unmarshal([]byte(minted.body), &keys)).To(Succeed())
		Expect(keys.Keys).To(HaveLen(1))
		before := len(vm.runs())
		once := send(http.MethodPost, url, apiKey, ask(false, "book"), http.Header{"Idempotency-Key": keys.Keys})
		twice := send(http.MethodPost, chatURL(other), apiKey, ask(false, "book"), http.Header{"Idempotency-Key": keys.Keys})
		Expect(once.status).To(Equal(http.StatusOK))
		Expect(twice.body).To(Equal(once.body))
		Expect(vm.runs()).To(HaveLen(before + 1))

		own := send(http.MethodPost, url, apiKey, ask(false, "pay"), http.Header{"Idempotency-Key": {"mine"}})
		Expect(own.status).To(Equal(http.StatusServiceUnavailable))
		Expect(own.header.Get("Parsley-Verdict")).To(Equal("not-run"))
		Expect(own.header.Get("Parsley-Reason")).To(Equal("store-down"))
		Expect(own.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(vm.runs()).To(HaveLen(before + 1))
	}

	It("is not noticed by callers of routers that know their configuration", func() {
		one, two := f.addRouter(), f.addRouter()
		f.faults(standin.ObjectFaults{Down: true})
		serves(one, two)
	})

	// The platform's list of VMs is down as well.
	It("is not noticed either when no part of the platform answers", func() {
		one, two := f.addRouter(), f.addRouter()
		f.faults(standin.ObjectFaults{Unresponsive: true})
		f.vmFaults(standin.VMFaults{Down: true})
		serves(one, two)
	})

	// All routers are replaced while the store is down. A new one has its
	// configuration from the sidecars, or it would turn every caller away.
	It("is not noticed by callers of a router that starts in it", func() {
		former := f.addRouter()
		Expect(send(http.MethodPost, chatURL(former), apiKey, ask(false, "notes"), nil).status).To(Equal(http.StatusOK))
		f.faults(standin.ObjectFaults{Down: true})
		former.session.Kill().Wait(startWithin)
		r := f.addRouter()
		serves(r, r)
	})
})
