package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/gateway"
)

func (f *fleet) chat(router int, messages string) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[%s]}`, model, messages)
	return f.send(context.Background(), router, http.MethodPost, "/v1/chat/completions", body, nil)
}

// The turns of a chat without ticket or session header arrive at different routers.
// The upstream that ran the first turn has the prompt cached. If the session were
// derived from anything that changes between turns, later turns would run elsewhere.
func TestChatTurnsGoToOneUpstream(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for chat := range 5 {
			turns := fmt.Sprintf(`{"role":"system","content":"coach"},{"role":"user","content":"match %d"}`, chat)
			before := make([]int, testVMs)
			for i, v := range f.upstreamVMs {
				before[i] = len(v.upstream.runs)
			}
			for turn := range 4 {
				f.chat(turn%testRouters, turns).expect(t, http.StatusOK, "ran", "")
				turns += fmt.Sprintf(`,{"role":"assistant","content":"a%d"},{"role":"user","content":"q%d"}`, turn, turn)
			}
			for i, v := range f.upstreamVMs {
				if n := len(v.upstream.runs) - before[i]; n != 0 && n != 4 {
					t.Fatalf("chat %d: %d of 4 turns at %s", chat, n, v.id)
				}
			}
		}
	})
}

// A caller disconnects while a clip is being fetched, and another one while a room
// is being booked. The fetch is of no use to anyone and must be cancelled; the
// booking must not be interrupted half-way.
func TestDisconnectCancelsReadButNotBooking(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		cancelledAfterDisconnect := func(method, profile string) (n int) {
			ctx, disconnect := context.WithTimeout(context.Background(), 3*responseInterval)
			defer disconnect()
			f.send(ctx, 0, method, "/services/"+profile+"/x", method+profile, nil)
			time.Sleep(2 * responseInterval)
			for _, v := range f.upstreamVMs {
				v.upstream.mu.Lock()
				n += v.upstream.cancelled
				v.upstream.mu.Unlock()
			}
			return n
		}
		if n := cancelledAfterDisconnect(http.MethodPost, booking); n != 0 {
			t.Fatal("the booking was cancelled")
		}
		if n := cancelledAfterDisconnect(http.MethodGet, clips); n != 1 {
			t.Fatalf("%d reads were cancelled", n)
		}
	})
}

// Headers that concern one connection, the caller's secrets and the fleet's own
// headers must not be forwarded, neither to the upstream nor to the caller.
func TestHeadersNotForwarded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		header := http.Header{
			"Accept": {"text/plain"}, "Cookie": {"c"}, "Connection": {"X-Hop, close"}, "X-Hop": {"1"},
			"Te": {"trailers"}, "X-Request-Id": {"spoofed"}, "X-Priority": {"9"}, "X-Forwarded-For": {"1.2.3.4"},
			gateway.HeaderIdempotencyKey: {f.mint(0, booking)}, gateway.HeaderSession: {"s"},
		}
		r := f.send(context.Background(), 0, http.MethodPost, "/services/"+booking+"/x", "book", header)
		for _, v := range f.upstreamVMs {
			if v.upstream.ran("book") {
				if got := v.upstream.header; len(got) != 1 || got.Get("Accept") != "text/plain" {
					t.Errorf("the upstream got headers %v", got)
				}
			}
		}
		if r.header.Get("X-Own") != "1" || r.header.Get("X-Hop")+r.header.Get("Set-Cookie") != "" || r.header.Get(gateway.HeaderTicket) == "spoofed" {
			t.Errorf("the caller got headers %v", r.header)
		}
	})
}

// Invalid requests must be rejected as not-run, with the status and reason of the
// mistake, and without running anything.
func TestInvalidRequests(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	cases := []struct {
		method, path, body string
		header             http.Header
		status             int
		reason             string
	}{
		{"POST", "/v1/chat/completions", `{`, nil, 400, "bad-request"},
		{"POST", "/v1/chat/completions", `{"model":"notes","messages":[]}`, nil, 400, "bad-request"},
		{"POST", "/v1/chat/completions", `{"model":"other","messages":[{}]}`, nil, 404, "unknown-profile"},
		{"POST", "/v1/chat/completions", `"` + long + `"`, nil, 413, "too-large"},
		{"GET", "/v1/chat/completions", "", nil, 405, "method-not-allowed"},
		{"POST", "/services/none/x", "", nil, 404, "unknown-profile"},
		{"POST", "/services/" + booking + "/x", long, nil, 413, "too-large"},
		{"POST", "/services/" + booking + "/x", "", http.Header{"X": {long}}, 431, "header-too-large"},
		{"POST", "/services/" + booking + "/x", "", http.Header{"Idempotency-Key": {""}}, 400, "bad-key"},
		{"POST", "/services/" + booking + "/x", "", http.Header{"Authorization": {"Bearer no"}}, 401, "unauthorized"},
		{"POST", "/v1/keys", `{"profile":"secret"}`, nil, 404, "unknown-profile"},
		{"POST", "/v1/keys", `{"profile":"booking","count":100000}`, nil, 400, "bad-request"},
		{"GET", "/v1/requests/none", "", nil, 404, "unknown-request"},
		{"GET", "/nowhere", "", nil, 404, "not-found"},
	}
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, c := range cases {
			f.send(f.ctx, 0, c.method, c.path, c.body, c.header).expect(t, c.status, "not-run", c.reason)
		}
		if runs := f.runs(); len(runs) != 0 {
			t.Fatalf("requests have run: %v", runs)
		}
	})
}
