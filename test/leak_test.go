package test

import (
	"io"
	"net/http"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("logs and counters", func() {
	// Counters and logs are read by more people than may act for an organisation, and are pasted
	// into tickets. With an API key, a reader could act as the organisation; with a request id,
	// fetch its response; with a token secret, do both for everyone.
	It("contain no key, no secret and no request id", func() {
		f := newFleet()
		upstream := f.addUpstream("engine", "notes")
		admin := freeAddr()
		token := f.trust.dir + "/admin-token"
		replaceFile(token, []byte("operators-only\n"))
		r := f.addRouter("--admin-listen", admin, "--admin-token-file", token, "--log-level", "debug")
		url := "http://" + r.addr + "/v1/chat/completions"
		body := chat{Model: model, Messages: []message{{"user", "the injured striker"}}}

		success := send(http.MethodPost, url, apiKey, body, nil)
		Expect(success.status).To(Equal(http.StatusOK))
		id, ticket := success.header.Get("Parsley-Request-Id"), success.header.Get("Parsley-Ticket")
		forged := strings.Repeat("A", 90)
		problems := []response{
			send(http.MethodPost, url, "a-stolen-key", body, nil),
			send(http.MethodPost, url, apiKey, body, http.Header{"Idempotency-Key": {id}, "Parsley-Ticket": {forged}, "Parsley-Profile": {"none"}}),
			send(http.MethodPost, url, apiKey, body, http.Header{"Traceparent": {"a-stolen-key"}, "Parsley-Ticket": {ticket}}),
			send(http.MethodGet, "http://"+r.addr+"/v1/requests/"+forged, apiKey, nil, nil),
			send(http.MethodGet, "http://"+admin+"/debug/vars", "a-stolen-key", nil, nil),
		}
		upstream.upstream.session.Kill().Wait(waitTimeout) // so that errors are logged, too
		problems = append(problems, send(http.MethodPost, url, apiKey, body, nil))
		Expect(problems[len(problems)-1].status).NotTo(Equal(http.StatusOK))

		output := vars(admin, "operators-only") + vars(upstream.admin, "")
		for _, p := range problems {
			output += p.body
		}
		for _, s := range []*gexec.Session{r.session, upstream.sidecar.session} {
			output += string(s.Out.Contents()) + string(s.Err.Contents())
		}
		Expect(output).To(ContainSubstring("memstats"))
		for _, secret := range []string{apiKey, "a-stolen-key", "operators-only", "000102030405", "striker", forged, id, ticket} {
			Expect(output).NotTo(ContainSubstring(secret))
		}
		key, err := os.ReadFile(f.trust.dir + "/router-entry-0.key")
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(key)) {
			Expect(output).NotTo(ContainSubstring(strings.TrimSpace(line)))
		}
	})
})

// vars returns the page of counters at an admin address.
func vars(admin, token string) string {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, "http://"+admin+"/debug/vars", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}
