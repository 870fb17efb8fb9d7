package test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callerTLS returns the flags of a router whose callers speak TLS, and the configuration of these.
func (t *trust) callerTLS() ([]string, *tls.Config) {
	GinkgoHelper()
	cert, key := filepath.Join(t.dir, "caller.crt"), filepath.Join(t.dir, "caller.key")
	authority := newAuthority()
	c, k, err := authority.Issue(nil)
	Expect(err).NotTo(HaveOccurred())
	replaceFile(cert, c)
	replaceFile(key, k)
	roots := x509.NewCertPool()
	Expect(roots.AppendCertsFromPEM(authority.PEM)).To(BeTrue())
	return []string{"--caller-cert", cert, "--caller-key", key}, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
}

var _ = Describe("clients that do not behave", func() {
	for _, scheme := range []string{"http", "https"} {
		Context("over "+scheme, func() { describeBadClients(scheme) })
	}
})

// describeBadClients has the specs of bad clients that speak plain HTTP, or TLS.
func describeBadClients(scheme string) {
	const connections = 40
	var r *process
	var security *tls.Config // of callers; nil: none

	BeforeEach(func() {
		f := newFleet()
		f.addUpstream("engine", "notes")
		admin := freeAddr()
		flags := []string{"--max-connections", strconv.Itoa(connections), "--admin-listen", admin}
		if scheme == "https" {
			var more []string
			more, security = f.trust.callerTLS()
			flags = append(flags, more...)
		}
		r = f.startRouter(flags...)
		waitReady(admin)
	})

	// dial returns a new connection over which requests are sent.
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", r.addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		if security != nil {
			return tls.Client(c, security)
		}
		return c
	}

	// expectServed sends the request of a caller that behaves, over a connection of its own.
	expectServed := func() {
		GinkgoHelper()
		client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: security}}
		body := strings.NewReader(`{"model":"` + model + `","messages":[{"role":"user","content":"who lost the ball"}]}`)
		req, err := http.NewRequest(http.MethodPost, scheme+"://"+r.addr+"/v1/chat/completions", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}

	// Guards against callers who are shut out while others keep all connections and send nothing.
	It("leave connections to others when they send nothing", func() {
		for range 3 * connections {
			c, err := net.Dial("tcp", r.addr)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		expectServed()
	})

	// Guards against the same by half of a head, after the handshake if there is one.
	It("leave connections to others when they stop half-way", func() {
		for range connections {
			_, err := io.WriteString(dial(), "GET /v1/models HTTP/1.1\r\nHost: a\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		expectServed()
	})

	// Guards against a head that is parsed, at many times its size, before its limit is looked at.
	It("are told that a head is too large while they send it", func() {
		c := dial()
		go func() {
			_, _ = io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("x:\r\n", 20<<10))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against an answer that waits for a body that nobody wants, for as long as its caller likes.
	DescribeTable("are answered though the rest of their body does not come", func(request string, status int) {
		c := dial()
		_, err := io.WriteString(c, request+" HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status))
	},
		Entry("at a route", "POST /v1/chat/completions", http.StatusUnauthorized),
		Entry("without a route", "POST /nothing", http.StatusNotFound),
		Entry("at a route of another method", "PUT /v1/chat/completions", http.StatusMethodNotAllowed),
		Entry("at the path that says ready", "GET /readyz", http.StatusOK),
	)
}
