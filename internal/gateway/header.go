package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that concern a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are the headers of a request that are meant for the fleet and
// not for the upstream. An upstream that received the API key or a request key could
// act as the caller. Cookies of different services would be mixed, because all services
// share one origin.
var privateHeaders = []string{
	"Authorization", "Cookie", "Host", "Content-Length", "Expect", HeaderIdempotencyKey,
	"Traceparent", "Tracestate", "X-Request-Id", "X-Priority",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip",
}

// replacedHeaders are the headers of a response that the gateway sets itself or
// that would apply to the fleet's origin.
var replacedHeaders = []string{"Date", "Set-Cookie", "Alt-Svc", "Strict-Transport-Security"}

// forwardedHeaders returns the headers of a request that are forwarded to the upstream.
func forwardedHeaders(h http.Header) http.Header {
	return withoutHeaders(h, privateHeaders)
}

// withoutHeaders returns h without hop-by-hop headers, headers that its Connection
// header lists, headers that begin with headerPrefix, and those in listed.
func withoutHeaders(h http.Header, listed []string) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range listed {
		out.Del(name)
	}
	return out
}
