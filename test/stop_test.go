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

// stream is the streamed response to a chat.
type stream struct {
	resp  *http.Response
	lines *bufio.Reader
}

// openStream sends a streamed chat and returns when the first line of the response has arrived.
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

// readRest reads the response to its end.
func (s *stream) readRest() (string, error) {
	defer s.resp.Body.Close()
	b, err := io.ReadAll(s.lines)
	return string(b), err
}

// visitResult is the result of one request from the balancer.
type visitResult struct {
	status  int
	closing bool // the response announces that the connection closes
}

// balancer sends requests and reuses connections, as load balancers do.
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
	// A router is replaced under traffic. Its balancer polls readiness and sends requests until it
	// has seen it fail. If the listener closed at once, callers would see refused connections and
	// truncated streams. If idle connections were closed, requests sent at the same moment would
	// fail.
	It("cuts no stream while the balancer still sends", func() {
		f := newFleet()
		// The streams last longer than the drain delay, which begins when the router starts to leave.
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
		Expect(liveness.status).To(Equal(http.StatusOK), "a router that is leaving must stay live")

		for range 20 {
			Expect(lb.visit()).To(Equal(visitResult{status: http.StatusOK, closing: true}))
		}
		for _, s := range streams {
			rest, err := s.readRest()
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(HaveSuffix("data: [DONE]\n\n"))
		}
		_, err := lb.visit()
		Expect(err).To(MatchError(syscall.ECONNREFUSED), "the listener must close before the streams end")
		Eventually(r.session, waitTimeout).Should(gexec.Exit(0))
	})

	// An operator who has sent SIGTERM by mistake to a router with a long response in flight, or
	// cannot wait, must not need SIGKILL.
	It("exits at once on a second signal", func() {
		f := newFleet()
		f.addUpstream("engine", "notes", "--token-delay", "100ms", "--tokens", "3000")
		r := f.addRouter("--drain-delay", "1h")
		chatStream := openStream("http://"+r.addr+"/v1/chat/completions", "who lost the ball")
		r.session.Signal(syscall.SIGTERM)
		Eventually(r.session.Err, waitTimeout).Should(gbytes.Say("leaving: readiness fails"))
		r.session.Signal(syscall.SIGTERM)
		Eventually(r.session, waitTimeout).Should(gexec.Exit())
		Expect(r.session.ExitCode()).NotTo(BeZero())
		_, err := chatStream.readRest()
		Expect(err).To(HaveOccurred(), "a truncated response must not look complete")
	})
})

var _ = Describe("a sidecar whose upstream is down", func() {
	// The upstream's process exits. Probes of the sidecar must see that it cannot serve, and must
	// not restart it: a restart would lose the sidecar's record of the requests that ran.
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
