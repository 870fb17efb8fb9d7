package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

// stream is a chat whose answer arrives bit by bit.
type stream struct {
	resp  *http.Response
	lines *bufio.Reader
}

// openStream begins a streamed chat and returns when its first line has come.
func openStream(url, text string) *stream {
	GinkgoHelper()
	return openStreamWith(http.DefaultClient, url, text)
}

func openStreamWith(client *http.Client, url, text string) *stream {
	GinkgoHelper()
	body, err := json.Marshal(chat{Model: model, Stream: true, Messages: []message{{"user", text}}})
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s := &stream{resp: resp, lines: bufio.NewReader(resp.Body)}
	_, err = s.lines.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return s
}

// readRest reads the answer to its end.
func (s *stream) readRest() (string, error) {
	defer s.resp.Body.Close()
	b, err := io.ReadAll(s.lines)
	return string(b), err
}

// visitResult is one request that the balancer sent while the router was leaving.
type visitResult struct {
	status  int
	closing bool // the answer asks for its connection to be closed
}

// balancer sends requests and keeps connections, as balancers do.
type balancer struct {
	client *http.Client
	url    string
}

func (b balancer) visit() (visitResult, error) {
	req, err := http.NewRequest(http.MethodGet, b.url, nil)
	if err != nil {
		return visitResult{}, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := b.client.Do(req)
	if err != nil {
		return visitResult{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return visitResult{resp.StatusCode, resp.Close}, err
}

var _ = Describe("a planned stop of a router", func() {
	// A router is replaced during a match. Its balancer looks at readiness now
	// and then and sends until it has seen it fail. Were the listener closed at
	// once, coaches would see refused connections and halftime notes that break
	// off; were kept connections closed, requests that cross with the closing.
	It("cuts no stream while the balancer still sends", func() {
		f := newFleet()
		// The streams go on after the delay, which begins when the router leaves.
		f.addUpstream("engine", "notes", "--token-delay", "20ms", "--tokens", "250")
		f.addUpstream("service", "clips")
		r := f.addRouter("--drain-delay", "3s")
		url := "http://" + r.addr + "/v1/chat/completions"
		var streams []*stream
		for _, text := range []string{"who lost the ball", "and then", "the second half"} {
			streams = append(streams, openStream(url, text))
		}
		lb := balancer{client: &http.Client{Transport: &http.Transport{}}, url: "http://" + r.addr + "/services/clips/clip"}
		Expect(lb.visit()).To(Equal(visitResult{http.StatusOK, false}))
		r.session.Signal(syscall.SIGTERM)

		Eventually(func() (int, error) {
			resp, err := http.Get("http://" + r.addr + "/readyz")
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, resp.Body.Close()
		}, waitTimeout).Should(Equal(http.StatusServiceUnavailable), "readiness fails while the listener is open")
		liveness := send(http.MethodGet, "http://"+r.addr+"/livez", apiKey, nil, nil)
		Expect(liveness.status).To(Equal(http.StatusOK), "a router that is leaving is not to be killed")

		for range 20 {
			Expect(lb.visit()).To(Equal(visitResult{status: http.StatusOK, closing: true}))
		}
		for _, s := range streams {
			answer, err := s.readRest()
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(HaveSuffix("data: [DONE]\n\n"))
		}
		_, err := lb.visit()
		Expect(err).To(MatchError(syscall.ECONNREFUSED), "the streams ended after the listener closed")
		Eventually(r.session, waitTimeout).Should(gexec.Exit(0))
	})

	// An operator who has sent SIGTERM by mistake to a router with a long
	// answer in flight, or cannot wait, must not need kill -9.
	It("ends at once on a second signal", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", "--token-delay", "100ms", "--tokens", "3000")
		r := f.addRouter("--drain-delay", "1h")
		answer := openStream("http://"+r.addr+"/v1/chat/completions", "who lost the ball")
		r.session.Signal(syscall.SIGTERM)
		Eventually(r.session.Err, waitTimeout).Should(gbytes.Say("leaving: readiness fails"))
		r.session.Signal(syscall.SIGTERM)
		Eventually(r.session, waitTimeout).Should(gexec.Exit())
		Expect(r.session.ExitCode()).NotTo(BeZero())
		_, err := answer.readRest()
		Expect(err).To(HaveOccurred(), "a cut answer must not look whole")
	})
})

var _ = Describe("a sidecar whose upstream is down", func() {
	// The upstream's process ends at night. What watches the sidecar must see
	// that nothing is served there, and must not restart the sidecar for it:
	// with the sidecar would go what it knows of the requests that ran.
	It("is live and not ready", func() {
		f := newFleet()
		vm := f.addUpstream("engine", "notes")
		waitReady(vm.admin)
		vm.upstream.session.Kill().Wait(waitTimeout)
		Eventually(func() int {
			return send(http.MethodGet, "http://"+vm.admin+"/readyz", "", nil, nil).status
		}, waitTimeout).Should(Equal(http.StatusServiceUnavailable))
		Expect(send(http.MethodGet, "http://"+vm.admin+"/livez", "", nil, nil).status).To(Equal(http.StatusOK))
	})
})
