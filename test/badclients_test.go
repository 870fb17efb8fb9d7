package test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("clients that do not behave", func() {
	var r *process

	BeforeEach(func() {
		f := newFleet()
		f.addUpstream("engine", "notes")
		r = f.addRouter("--max-connections", "40")
	})

	// Guards against callers who are shut out while others keep all connections and send nothing.
	It("leave connections to others when they send nothing", func() {
		for range 120 {
			c, err := net.Dial("tcp", r.addr)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}} // a connection of its own
		body := strings.NewReader(`{"model":"` + model + `","messages":[{"role":"user","content":"who lost the ball"}]}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+"/v1/chat/completions", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a head that is parsed, at many times its size, before its limit is looked at.
	It("are told that a head is too large while they send it", func() {
		c, err := net.Dial("tcp", r.addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		go func() {
			_, _ = io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("x:\r\n", 20<<10))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against an answer that waits for a body that nobody wants, for as long as its caller likes.
	DescribeTable("are answered though the rest of their body does not come", func(request string, status int) {
		c, err := net.Dial("tcp", r.addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, request+" HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{")
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
})
