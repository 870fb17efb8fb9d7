package test

import (
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// busyUpstream returns the upstream that has run something.
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

	// A coach reads an answer when the VM of its engine is to be replaced. The
	// sidecar is told to stop; a sidecar that ended at once would cut the answer,
	// and the coach's next question would find no cached prompt anywhere.
	It("that leaves cuts no answer and hands its cached prefixes on", func() {
		f := newFleet()
		for range 3 {
			f.addUpstream("engine", "notes", slowSettings...)
		}
		r := f.addRouter()
		url := "http://" + r.addr + "/v1/chat/completions"
		answer := openStream(url, first.Messages[0].Content)
		leaving := f.busyUpstream()
		leaving.sidecar.session.Signal(syscall.SIGTERM)
		text, err := answer.readRest()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(leaving.sidecar.session, waitTimeout).Should(gexec.Exit(0))

		second := first
		second.Messages = append(second.Messages, message{"assistant", "the left back"}, message{"user", "and then"})
		two := send(http.MethodPost, url, apiKey, second, http.Header{"Parsley-Ticket": {answer.resp.Header.Get("Parsley-Ticket")}})
		Expect(two.status).To(Equal(http.StatusOK))
		Expect(two.body).To(ContainSubstring(`"cached_tokens":4`))
		Expect(leaving.runs()).To(HaveLen(1))
	})

	// An engine's process is killed while a coach reads. The coach must be told
	// that the answer is not whole; the next request must hear at once that it
	// has not run, as long as the engine is away, and run when it is back.
	It("that crashes is told from one that is busy, and comes back", func() {
		f := newFleet()
		vm := f.addUpstream("engine", "notes", slowSettings...)
		r := f.addRouter()
		url := "http://" + r.addr + "/v1/chat/completions"
		answer := openStream(url, first.Messages[0].Content)
		vm.upstream.session.Kill().Wait(waitTimeout)
		_, err := answer.readRest()
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
