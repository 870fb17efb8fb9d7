package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are the headers of a request that concern the caller and the fleet,
// not the upstream. Whoever has the API key or a request key can act as the
// caller. Cookies would mix those of all services, which share one origin.
var privateHeaders = []string{
	"Authorization", "Cookie", "Host", "Content-Length", "Expect", HeaderIdempotencyKey,
	"Traceparent", "Tracestate", "X-Request-Id", "X-Priority",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip",
}

// replacedHeaders are the headers of an answer that the gateway sets itself or that
// would speak for the fleet's origin.
var replacedHeaders = []string{"Date", "Set-Cookie", "Alt-Svc", "Strict-Transport-Security"}

// forwardedHeaders returns the headers of a request that go on to the upstream.
func forwardedHeaders(h http.Header) http.Header {
	return withoutHeaders(h, privateHeaders)
}

// withoutHeaders returns h less the hop-by-hop headers, those that h itself names as
// such, our own and those that are listed.
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
