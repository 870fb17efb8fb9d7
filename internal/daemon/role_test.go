package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const testTrustDomain = "fleet.test"

// newMutualTLS returns the transport of a process whose certificate is issued by ca.
func newMutualTLS(t testing.TB, ca *securetest.CA, id secure.Identity) *secure.MutualTLS {
	t.Helper()
	cert, key, err := ca.Issue(id.URI(testTrustDomain))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	p := secure.Paths{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for path, b := range map[string][]byte{p.Cert: cert, p.Key: key, p.CA: ca.PEM} {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	m, err := secure.NewMutualTLS(id, testTrustDomain, p)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// serveSidecar runs the sidecar of VM vm-1 in front of an upstream that counts the requests
// to /book in runs.
func serveSidecar(t *testing.T, ca *securetest.CA) (addr string, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/book" {
			runs.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	p, err := settings.Parse([]string{"sidecar", "--vm", "vm-1", "--upstream", server.URL, "--insecure-plain"})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	m := newMutualTLS(t, ca, secure.Identity{Role: secure.RoleSidecar, VM: "vm-1"})
	go func() { _ = sidecar.New(sidecarConfig(p.Sidecar)).Serve(ctx, m.Listen(l)) }()
	return l.Addr().String(), runs
}

// Sidecars trust each other's certificates because they transfer cached prefixes between
// them. A process on an upstream VM that obtains its sidecar's certificate must not be able
// to run requests on other upstreams without a router. So a sidecar rejects requests and
// router methods that come from other sidecars, and accepts the methods for transfers from
// sidecars only.
func TestSidecarRejectsRequestsOfOtherSidecars(t *testing.T) {
	ca, err := securetest.NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	addr, runs := serveSidecar(t, ca)
	for _, c := range []struct {
		id      secure.Identity
		allowed bool
	}{
		{secure.Identity{Role: secure.RoleSidecar, VM: "vm-2"}, false},
		{secure.Identity{Role: secure.RoleRouter, VM: "entry-1"}, true},
	} {
		m := newMutualTLS(t, ca, c.id)
		peer := wire.NewPeer(wire.PeerConfig{Dial: func(ctx context.Context) (net.Conn, error) { return m.Dial(ctx, "vm-1", addr) }})
		defer peer.Close()
		hello, err := peer.Connect(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		key := wire.Key{VM: "vm-1", Incarnation: hello.Incarnation, Nonce: token.NewNonce(), Expires: 1 << 33}
		stream, _, err := peer.Submit(t.Context(), wire.Submit{Key: key, Org: "club", Window: 1 << 10, Call: wire.Call{Method: http.MethodPost, Path: "/book"}})
		if err == nil {
			for chunk, nextErr := stream.Next(t.Context()); nextErr == nil && chunk.End == nil; chunk, nextErr = stream.Next(t.Context()) {
				continue
			}
		}
		rejection := verdict.From(err)
		switch {
		case c.allowed && (err != nil || runs.Load() != 1):
			t.Errorf("the request of a %s was run %d times, want 1: %v", c.id.Role, runs.Load(), err)
		case !c.allowed && (err == nil || rejection.Reason != verdict.ReasonForbidden || runs.Load() != 0):
			t.Errorf("the request of a %s was run %d times, want it rejected as forbidden: %v", c.id.Role, runs.Load(), err)
		}
		for _, method := range []wire.Method{wire.MethodOrder, wire.MethodCancel, wire.MethodNotice, wire.MethodReport, wire.MethodConfigSince, wire.MethodImport, wire.MethodJoined} {
			err := peer.Call(t.Context(), method, json.RawMessage("{}"), nil)
			forbidden := err != nil && verdict.From(err).Reason == verdict.ReasonForbidden
			isCalledBySidecars := method == wire.MethodImport || method == wire.MethodJoined // methods for transfers
			if want := isCalledBySidecars == c.allowed; forbidden != want {
				t.Errorf("%s calls %s: forbidden is %v, want %v (%v)", c.id.Role, method, forbidden, want, errors.Cause(err))
			}
		}
	}
}
