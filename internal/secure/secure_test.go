package secure

import (
	"bytes"
	"context"
	"crypto/x509"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
	"github.com/parsleyfront/parsleyfront/internal/token"
)

const (
	domain = "fleet.test"
	// eventTimeout is how long a test waits for an event that must occur.
	eventTimeout = 20 * time.Second
)

var (
	router  = Identity{Role: RoleRouter, VM: "entry-1"}
	sidecar = Identity{Role: RoleSidecar, VM: "vm-7"}
)

func init() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
}

func must[T any](t testing.TB, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func newCA(t testing.TB) *securetest.CA {
	ca, err := securetest.NewCA("fleet")
	return must(t, ca, err)
}

func writeFile(t testing.TB, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue returns a certificate for uri and its key.
func issue(t testing.TB, ca *securetest.CA, uri *url.URL) (cert, key []byte) {
	t.Helper()
	cert, key, err := ca.Issue(uri)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// writeCertFiles writes the certificate, key and authorities of one process.
func writeCertFiles(t testing.TB, ca *securetest.CA, uri *url.URL, roots []byte) Paths {
	t.Helper()
	dir := t.TempDir()
	p := Paths{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	cert, key := issue(t, ca, uri)
	writeFile(t, p.Cert, cert)
	writeFile(t, p.Key, key)
	writeFile(t, p.CA, roots)
	return p
}

func newTestMutualTLS(t testing.TB, ca *securetest.CA, id Identity) (*MutualTLS, Paths) {
	t.Helper()
	p := writeCertFiles(t, ca, id.URI(domain), ca.PEM)
	m, err := NewMutualTLS(id, domain, p)
	return must(t, m, err), p
}

// serve starts a server that echoes to each authenticated peer and returns its address.
func serve(t testing.TB, m *MutualTLS) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	l := m.Listen(must(t, raw, err))
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return raw.Addr().String()
}

// dialAndEcho connects to a server and makes a round trip.
func dialAndEcho(m *MutualTLS, addr string) (*Conn, error) {
	c, err := m.Dial(context.Background(), sidecar.VM, addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.(*Conn), roundTrip(c)
}

func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// A router's VM disappears without closing an idle connection to a sidecar. Package
// wire makes the kernel probe idle connections, for which it must reach the TCP
// connection under the wrappers. If it can't, the sidecar keeps such connections for
// ever.
func TestTCPConnectionIsAccessible(t *testing.T) {
	server, _ := newTestMutualTLS(t, newCA(t), sidecar)
	c, err := dialAndEcho(server, serve(t, server))
	counting, ok := must(t, c, err).NetConn().(interface{ NetConn() net.Conn })
	if !ok {
		t.Fatal("the wrapped connection is not accessible")
	}
	if _, ok := counting.NetConn().(*net.TCPConn); !ok {
		t.Errorf("%T is not a TCP connection", counting.NetConn())
	}
}

// A process of another role, another fleet or another VM, or one whose certificate
// names no identity, learns a sidecar's address. The sidecar must not run its
// requests, and a router must not send it a user's chat.
func TestOnlyTrustedPeersConnect(t *testing.T) {
	ours, other := newCA(t), newCA(t)
	server, _ := newTestMutualTLS(t, ours, sidecar)
	addr := serve(t, server)
	client, _ := newTestMutualTLS(t, ours, router)
	if c, err := dialAndEcho(client, addr); err != nil || c.Peer != sidecar {
		t.Fatalf("a router was refused: %v", err)
	}
	// NewMutualTLS rejects a certificate of another trust domain than its own, so the
	// domain is overridden afterwards.
	overrideDomain := func(m *MutualTLS) *MutualTLS { m.trustDomain = domain; return m }
	foreign := mustMutualTLS(t, NewMutualTLS, router, "elsewhere.test", writeCertFiles(t, ours, router.URI("elsewhere.test"), ours.PEM))
	console := Identity{Role: "console", VM: "x"}
	for name, m := range map[string]*MutualTLS{
		"another authority":    mustMutualTLS(t, NewMutualTLS, router, domain, writeCertFiles(t, other, router.URI(domain), append(other.PEM, ours.PEM...))),
		"another trust domain": overrideDomain(foreign),
		"another role":         mustMutualTLS(t, NewMutualTLS, console, domain, writeCertFiles(t, ours, console.URI(domain), ours.PEM)),
	} {
		before := refusedPeers.Value()
		if _, err := dialAndEcho(m, addr); err == nil {
			t.Errorf("%s was accepted", name)
		}
		// The sidecar counts the refusal after it has sent the alert.
		gomega.NewWithT(t).Eventually(refusedPeers.Value, eventTimeout).Should(gomega.BeNumerically(">", before), name)
	}
	impostor, _ := newTestMutualTLS(t, ours, Identity{Role: RoleSidecar, VM: "vm-8"})
	if _, err := dialAndEcho(client, serve(t, impostor)); !errors.Is(err, ErrIdentity) {
		t.Errorf("sidecar of another VM accepted: %v", err)
	}
	if _, err := NewMutualTLS(router, domain, writeCertFiles(t, ours, sidecar.URI(domain), ours.PEM)); !errors.Is(err, ErrIdentity) {
		t.Errorf("router started with the files of a sidecar: %v", err)
	}
	for _, bad := range []string{"spiffe://fleet.test/router/", "spiffe://fleet.test/router", "https://fleet.test/router/entry-1", "spiffe://fleet.test/router/entry-1?x"} {
		u, err := url.Parse(bad)
		cert := &x509.Certificate{URIs: []*url.URL{must(t, u, err)}}
		if id, err := identityOf(cert, domain); err == nil {
			t.Errorf("%s was accepted as %+v", bad, id)
		}
	}
}

func mustMutualTLS(t *testing.T, f func(Identity, string, Paths) (*MutualTLS, error), id Identity, domain string, p Paths) *MutualTLS {
	t.Helper()
	m, err := f(id, domain, p)
	return must(t, m, err)
}

// Operators remove an authority from the bundle because its key has leaked. A peer
// with a certificate of that authority has an open connection and a session ticket.
// Resumption sends no certificates, so without a check it would keep its access
// indefinitely.
func TestRemovedAuthorityIsDistrusted(t *testing.T) {
	previous, next := newCA(t), newCA(t)
	server := mustMutualTLS(t, NewMutualTLS, sidecar, domain, writeCertFiles(t, next, sidecar.URI(domain), append(next.PEM, previous.PEM...)))
	addr := serve(t, server)
	r := mustMutualTLS(t, NewMutualTLS, router, domain, writeCertFiles(t, previous, router.URI(domain), append(previous.PEM, next.PEM...)))
	for i := range 2 {
		if c, err := dialAndEcho(r, addr); err != nil || c.ConnectionState().DidResume != (i == 1) {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	openConn, err := r.Dial(context.Background(), sidecar.VM, addr)
	if err != nil || roundTrip(openConn) != nil {
		t.Fatal(err)
	}
	must(t, openConn, err)
	writeFile(t, server.watcher.paths[2], next.PEM)
	server.watcher.poll()
	server.watcher.poll()
	_ = openConn.SetReadDeadline(time.Now().Add(eventTimeout))
	if _, err := openConn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection opened before the removal is still open: %v", err)
	}
	if _, err := dialAndEcho(r, addr); err == nil {
		t.Error("a session of the removed authority was resumed")
	}
}

// A deployment tool replaces the files in several steps while routers connect: the
// bundle in parts, then the certificate, then its key. No intermediate state may
// lock out a router, and one that stays invalid must be counted while the previous
// files stay in use.
func TestRotationRefusesNoValidPeer(t *testing.T) {
	previous, next := newCA(t), newCA(t)
	bundle := append(append([]byte{}, previous.PEM...), next.PEM...)
	p := writeCertFiles(t, previous, sidecar.URI(domain), bundle)
	server := mustMutualTLS(t, NewMutualTLS, sidecar, domain, p)
	addr := serve(t, server)
	r := mustMutualTLS(t, NewMutualTLS, router, domain, writeCertFiles(t, next, router.URI(domain), bundle))
	cert, key := issue(t, next, sidecar.URI(domain))
	renewed := append(bundle, '\n')
	steps := []struct {
		path    string
		content []byte
		polls   int
		fails   int64
	}{
		{p.CA, bundle[:len(previous.PEM)], 1, 0}, // cut between two authorities: parses, but is incomplete
		{p.CA, bundle[:len(bundle)-30], 3, 1},    // cut within one, and left that way
		{p.CA, renewed, 2, 0},
		{p.Cert, cert, 3, 1}, // without its key, and left that way
		{p.Key, key[:40], 1, 0},
		{p.Key, key, 2, 0},
	}
	for i, step := range steps {
		before := reloadFailures.Value()
		writeFile(t, step.path, step.content)
		for range step.polls {
			server.watcher.poll()
			if _, err := dialAndEcho(r, addr); err != nil {
				t.Fatalf("step %d locked out a router: %v", i, err)
			}
		}
		if got := reloadFailures.Value() - before; got != step.fails {
			t.Errorf("step %d counted %d reload failures, want %d", i, got, step.fails)
		}
	}
	if server.watcher.current != fingerprintOf([][]byte{cert, key, renewed}, nil) {
		t.Error("the new files are not in use")
	}
	writeFile(t, p.CA, nil)
	if _, err := NewMutualTLS(sidecar, domain, p); err == nil {
		t.Error("an empty bundle was accepted at the start")
	}
}

// Routers reload a rotated file up to some seconds apart. A caller gets a ticket from
// one router and returns through another that has not reloaded yet. If the first
// router signed with the new secret at once, the second one would reject the ticket as
// forged: the chat would lose its cached prefix, and a retry its request key.
func TestNewSecretSignsOnlyAfterAllAcceptIt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secrets")
	one, two := "1:"+strings.Repeat("11", 32)+"\n", "2:"+strings.Repeat("22", 32)+"\n"
	now := time.Unix(1e9, 0)
	reload := func(s *Secrets) { s.watcher.poll(); s.watcher.poll(); s.promote() }
	writeFile(t, path, []byte(one))
	start := func() *Secrets {
		s, err := newSecrets(path, func() time.Time { return now })
		return must(t, s, err)
	}
	early, late := start(), start()
	checkAccepted := func(step string, from, to *Secrets) {
		t.Helper()
		if _, err := to.Keyring.Open(from.Keyring.Seal(token.Token{Purpose: token.PurposeKey}), token.PurposeKey); err != nil {
			t.Errorf("%s: %v", step, err)
		}
	}
	writeFile(t, path, []byte(two+one))
	reload(early)
	checkAccepted("one router has reloaded", early, late)
	checkAccepted("one router has reloaded", late, early)
	reload(late)
	now = now.Add(signDelay)
	reload(early)
	checkAccepted("one router signs with the new secret", early, late)
	checkAccepted("one router signs with the new secret", late, early)
	reload(late)
	writeFile(t, path, []byte(two))
	reload(early)
	checkAccepted("one router has dropped the previous secret", early, late)
	checkAccepted("one router has dropped the previous secret", late, early)
	reload(late)
	if _, err := late.Keyring.Open(mustSeal(t, one), token.PurposeKey); err == nil {
		t.Error("a removed secret still opens tokens")
	}
	writeFile(t, path, []byte("3:"+strings.Repeat("33", 32)+"\n"))
	reload(early)
	if _, err := late.Keyring.Open(early.Keyring.Seal(token.Token{Purpose: token.PurposeKey}), token.PurposeKey); err == nil {
		t.Error("a removed signer, which may have leaked, still signs")
	}
}

func mustSeal(t *testing.T, secrets string) string {
	s, err := token.ParseSecrets(secrets)
	r, err2 := token.NewKeyring(must(t, s, err)...)
	return must(t, r, err2).Seal(token.Token{Purpose: token.PurposeKey})
}

// A bundle of two authorities is damaged at the beginning of the first one. Guards against a bundle that
// is accepted with fewer authorities, so that peers of the lost one are refused.
func TestBundleWithADamagedAuthorityIsRejected(t *testing.T) {
	first, second := newCA(t).PEM, newCA(t).PEM
	if _, err := parseCAs(append(bytes.Clone(first), second...)); err != nil {
		t.Fatalf("two authorities: %v", err)
	}
	damaged := bytes.Replace(first, []byte("\n"), []byte("\n*"), 1)
	for name, bundle := range map[string][]byte{
		"first":  append(bytes.Clone(damaged), second...),
		"second": append(bytes.Clone(second), damaged...),
	} {
		if _, err := parseCAs(bundle); err == nil {
			t.Errorf("a bundle whose %s authority is damaged is accepted", name)
		}
	}
}
