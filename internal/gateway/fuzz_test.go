package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// FuzzRequest sends arbitrary requests to a gateway without upstreams. Each failure
// must be a problem document whose verdict is true: nothing has run.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/chat/completions", "", "", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`)
	f.Add("POST", "/v1/chat/completions", "own key", "", `{"model":"m","messages":[]}`)
	f.Add("POST", "/v1/chat/completions", "", "", strings.Repeat("[", 20000))
	f.Add("GET", "/v1/models", "", "", "")
	f.Add("PATCH", "/v1/models", "", "", "")
	f.Add("POST", "/v1/keys", "", "", `{"profile":"clips","count":-1}`)
	f.Add("DELETE", "/v1/requests/rk-AQ", "", "", "")
	f.Add("GET", "/v1/requests/rk-?offset=-1", "", "", "")
	f.Add("PUT", "/services/clips/a%2Fb/../c?x=%zz", "rk-AQ", "s", "body")
	f.Add("GET", "/services//x", "\x00", "\xff", "")
	f.Add("GET", "//", "", "", "")
	g := gatewayWithoutUpstreams(f)
	f.Fuzz(func(t *testing.T, method, target, key, session, body string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || method == "" {
			return
		}
		r := httptest.NewRequest(http.MethodGet, "/", bytes.NewBufferString(body))
		r.Method, r.URL = method, u
		r.Header.Set("Authorization", "Bearer "+apiKey)
		r.Header["Idempotency-Key"] = []string{key}
		r.Header.Set(gateway.HeaderSession, session)
		r.Header.Set(gateway.HeaderTicket, key)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if w.Code < http.StatusBadRequest {
			return
		}
		var p struct{ Verdict, Reason string }
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("status %d with a body that is not a problem document: %q", w.Code, w.Body)
		}
		if p.Verdict != "not-run" && p.Reason != "incarnation-gone" || p.Reason == "internal" {
			t.Fatalf("verdict %s, reason %s, though nothing can run", p.Verdict, p.Reason)
		}
	})
}

// gatewayWithoutUpstreams returns a gateway of a fleet without upstreams.
func gatewayWithoutUpstreams(f *testing.F) *gateway.Gateway {
	s := newStore()
	for _, model := range []string{"", "m"} {
		p := profile.New(topo.KindProfile).(*profile.Profile)
		p.Name, p.Model, p.Pool, p.Deadline = "chat", model, "p", profile.Duration(time.Second)
		if model == "" {
			p.Name, p.Service = clips, clips
		}
		s.put(topo.KindProfile, p.Name, p)
	}
	s.put(topo.KindOrganisation, "club", profile.Organisation{
		Name: "club", Weight: 1, Profiles: []string{"chat", clips}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey(apiKey)}},
	})
	ring, err := token.NewKeyring(token.Secret{ID: 1, Value: bytes.Repeat([]byte{7}, 16)})
	if err != nil {
		f.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.Cleanup(stop)
	r := router.New(ctx, router.Config{Store: s, VMs: &vmList{}, Ring: ring})
	for len(r.View().Orgs) == 0 || len(r.View().Profiles) < 2 {
		time.Sleep(time.Millisecond) // wait until the configuration has been read
	}
	return gateway.New(r, budget.NewMemory(0))
}
