package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// private are the headers of a request that concern the caller and the fleet,
// not the upstream. Whoever has the API key or a request key can act as the
// caller. Cookies would mix those of all services, which share one origin.
var private = []string{
	"Authorization", "Cookie", "Host", "Content-Length", "Expect", HeaderIdempotencyKey,
	"Traceparent", "Tracestate", "X-Request-Id", "X-Priority",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip",
}

// replaced are the headers of an answer that the gateway sets itself or that
// would speak for the fleet's origin.
var replaced = []string{"Date", "Set-Cookie", "Alt-Svc", "Strict-Transport-Security"}

// passed returns the headers of a request that go on to the upstream.
func passed(h http.Header) http.Header {
	return without(h, private)
}

// without returns h less the hop-by-hop headers, those that h itself names as
// such, our own and those that are listed.
func without(h http.Header, listed []string) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, name := range hopByHop {
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
