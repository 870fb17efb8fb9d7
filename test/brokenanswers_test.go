package test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/parsleyfront/parsleyfront/internal/standin"
)

var _ = Describe("answers that are broken", func() {
	for _, scheme := range []string{"http", "https"} {
		Context("to callers over "+scheme, func() { describeBrokenAnswers(scheme) })
	}
})

// describeBrokenAnswers has the specs of an upstream that sends broken answers to its sidecar.
func describeBrokenAnswers(scheme string) {
	const longBodyBytes = 1 << 20 // the limit on bodies
	var respond standin.RawResponder
	var r *process
	var security *tls.Config // of callers; nil: none

	BeforeEach(func() {
		f := newFleet()
		u, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
			if r.URL.Path != "/clip" { // a probe
				_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				return
			}
			respond(c, r)
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		f.addSidecar(&upstreamVM{id: "vm"}, "clips", "http://"+u.Addr())
		admin := freeAddr()
		flags := []string{"--admin-listen", admin}
		security = nil
		if scheme == "https" {
			var more []string
			more, security = f.trust.callerTLS()
			flags = append(flags, more...)
		}
		r = f.startRouter(flags...)
		waitReady(admin)
	})

	// call sends a request with a body of a size, and returns its answer and the error with which the body ended.
	call := func(version string, bodyBytes int) (response, error) {
		GinkgoHelper()
		var c net.Conn
		c, err := net.Dial("tcp", r.addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		if security != nil {
			c = tls.Client(c, security)
		}
		Expect(c.SetDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(c, "POST /services/clips/clip %s\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			version, apiKey, bodyBytes, strings.Repeat("u", bodyBytes))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return response{}, fmt.Errorf("head: %w", err)
		}
		text, err := io.ReadAll(resp.Body)
		return response{status: resp.StatusCode, header: resp.Header, body: string(text)}, err
	}

	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		// Guards against a regular end of the connection, which ends a body where chunks are not known.
		It("end visibly broken over "+version, func() {
			respond = func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
			}
			for range 10 {
				got, err := call(version, 10)
				Expect(err).To(HaveOccurred(), "status %d with %q is complete", got.status, got.body)
			}
		})

		// Guards against a part of an answer that its sidecar has kept as the whole.
		It("end visibly broken while a long body is sent over "+version, func() {
			respond = func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhello")
				time.Sleep(5 * time.Millisecond)
				_ = c.SetLinger(0)
			}
			for range 10 {
				got, err := call(version, longBodyBytes)
				Expect(err == nil && got.status == http.StatusOK).To(BeFalse(), "%q is complete", got.body)
			}
		})

		// Guards against a caller that loses its connection without a reason.
		It("are reported where their status is none over "+version, func() {
			respond = func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello")
			}
			got, err := call(version, 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.header.Get("Parsley-Verdict")).To(Equal("may-have-run"))
		})

		// Whole answers that end with their connection are served.
		It("are told from whole ones without a length over "+version, func() {
			respond = func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nhello")
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, r.Body)
			}
			for range 5 {
				got, err := call(version, longBodyBytes)
				Expect(err).NotTo(HaveOccurred(), "status %d with %q", got.status, got.body)
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal("hello"))
			}
		})
	}
}
