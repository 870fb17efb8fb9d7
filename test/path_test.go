package test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// message is one turn of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is the body of a chat request.
type chat struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

var _ = Describe("the request path", func() {
	It("serves a returning chat from its cached prefix", func() {
		f := newFleet()
		for range 3 {
			f.addUpstream("engine", "notes")
		}
		r := f.addRouter()
		url := "http://" + r.addr + "/v1/chat/completions"
		first := chat{Model: model, Stream: true, Messages: []message{{"user", "who lost the ball"}}}

		one := send(http.MethodPost, url, apiKey, first, nil)
		Expect(one.status).To(Equal(http.StatusOK))
		Expect(one.header.Get("Parsley-Verdict")).To(Equal("ran"))
		Expect(one.header.Get("Parsley-Request-Id")).NotTo(BeEmpty())
		Expect(one.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(one.body).To(ContainSubstring(`"cached_tokens":0`))

		second := first
		second.Messages = append(second.Messages, message{"assistant", "the left back"}, message{"user", "and then"})
		header := http.Header{"Parsley-Ticket": {one.header.Get("Parsley-Ticket")}, "Parsley-Session": {"s"}}
		two := send(http.MethodPost, url, apiKey, second, header)
		Expect(two.status).To(Equal(http.StatusOK))
		Expect(strings.Count(two.body, "data: ")).To(Equal(strings.Count(one.body, "data: ")))

		three := send(http.MethodPost, url, apiKey, second, header)
		Expect(three.body).To(ContainSubstring(`"cached_tokens":9`))
	})

	It("routes calls to a plain service", func() {
		f := newFleet()
		vm := f.addUpstream("service", "clips")
		r := f.addRouter()
		got := send(http.MethodPost, "http://"+r.addr+"/services/clips/tags?clip=7", apiKey, "tag", nil)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(ContainSubstring("POST /tags?clip=7"))
		Expect(vm.runs()).To(HaveLen(1))
	})

	It("rejects an unknown caller", func() {
		f := newFleet()
		f.addUpstream("engine", "notes")
		r := f.addRouter()
		got := send(http.MethodPost, "http://"+r.addr+"/v1/chat/completions", "wrong", chat{}, nil)
		Expect(got.status).To(Equal(http.StatusUnauthorized))
		Expect(got.header.Get("Parsley-Verdict")).To(Equal("not-run"))
	})
})
