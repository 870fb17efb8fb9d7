package test

import (
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// busyUpstream returns the first upstream that has run a request.
func (f *fleet) busyUpstream() *upstreamVM {
	GinkgoHelper()
	for _, vm := range f.upstreams {
		if len(vm.runs()) > 0 {
			return vm
		}
	}
	Fail("no upstream has run anything")
	return nil
}

var _ = Describe("an upstream", func() {
	slowSettings := []string{"--token-delay", "60ms"}
	first := chat{Model: model, Stream: true, Messages: []message{{"user", "who lost the ball"}}}

	// A response is in flight when the VM of its engine is to be replaced and the sidecar receives
	// SIGTERM. If the sidecar exited at once, the response would be cut, and the next request of
	// the session would find no cached prefix.
	It("that leaves cuts no response and transfers its cached prefixes", func() {
		f := newFleet()
		for range 3 {
			f.addUpstream("engine", "notes", slowSettings...)
		}
		r := f.addRouter()
		url := "http://" + r.addr + "/v1/chat/completions"
		chatStream := openStream(url, first.Messages[0].Content)
		leaving := f.busyUpstream()
		leaving.sidecar.session.Signal(syscall.SIGTERM)
		text, err := chatStream.readRest()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(leaving.sidecar.session, waitTimeout).Should(gexec.Exit(0))

		second := first
		second.Messages = append(second.Messages, message{"assistant", "the left back"}, message{"user", "and then"})
		two := send(http.MethodPost, url, apiKey, second, http.Header{"Parsley-Ticket": {chatStream.resp.Header.Get("Parsley-Ticket")}})
		Expect(two.status).To(Equal(http.StatusOK))
		Expect(two.body).To(ContainSubstring(`"cached_tokens":4`))
		Expect(leaving.runs()).To(HaveLen(1))
	})

	// An engine's process is killed during a response. Its caller must see that the response is
	// incomplete. The next request must be rejected at once as not run while the engine is down,
	// and run when it is back.
	It("that crashes is reported as down, and serves again when it is back", func() {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", slowSettings...)
		r := f.addRouter()
		url := "http://" + r.addr + "/v1/chat/completions"
		chatStream := openStream(url, first.Messages[0].Content)
		vm.upstream.session.Kill().Wait(waitTimeout)
		_, err := chatStream.readRest()
		Expect(err).To(HaveOccurred())

		rejected := send(http.MethodPost, url, apiKey, chat{Model: model, Messages: []message{{"user", "another"}}}, nil)
		Expect(rejected.status).To(Equal(http.StatusServiceUnavailable))
		Expect(rejected.header.Get("Parsley-Verdict")).To(Equal(verdict.NotRun.String()))
		Expect(rejected.header.Get("Retry-After")).NotTo(BeEmpty())

		start(standinPath, vm.upstream.addr, "--kind", "engine", "--listen", vm.upstream.addr, "--name", model)
		Eventually(func() int {
			return send(http.MethodPost, url, apiKey, chat{Model: model, Messages: []message{{"user", "another"}}}, nil).status
		}, waitTimeout).Should(Equal(http.StatusOK))
	})
})
