package secure

import (
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
	// countedWithin is how long a test waits for a count that must come.
	countedWithin = 20 * time.Second
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

func write(t testing.TB, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue returns a certificate and its key.
func issue(t testing.TB, ca *securetest.CA, uri *url.URL) (cert, key []byte) {
	t.Helper()
	cert, key, err := ca.Issue(uri)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// place writes the files of one process.
func place(t testing.TB, ca *securetest.CA, uri *url.URL, roots []byte) Paths {
	t.Helper()
	dir := t.TempDir()
	p := Paths{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	cert, key := issue(t, ca, uri)
	write(t, p.Cert, cert)
	write(t, p.Key, key)
	write(t, p.CA, roots)
	return p
}

func newMutual(t testing.TB, ca *securetest.CA, id Identity) (*MutualTLS, Paths) {
	t.Helper()
	p := place(t, ca, id.URI(domain), ca.PEM)
	m, err := NewMutualTLS(id, domain, p)
	return must(t, m, err), p
}

// serve echoes to each authenticated peer and returns the address.
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

// talk makes a connection and a round trip over it.
func talk(m *MutualTLS, addr string) (*Conn, error) {
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

// A router's VM vanishes without a word while a connection to a sidecar is idle.
// Package wire has the kernel probe idle connections, for which it must find the
// TCP connection below; else the sidecar keeps each such connection for good.
func TestTCPConnectionCanBeReached(t *testing.T) {
	side, _ := newMutual(t, newCA(t), sidecar)
	c, err := talk(side, serve(t, side))
	below, ok := must(t, c, err).NetConn().(interface{ NetConn() net.Conn })
	if !ok {
		t.Fatal("the connection below is hidden")
	}
	if _, ok := below.NetConn().(*net.TCPConn); !ok {
		t.Errorf("%T is no TCP connection", below.NetConn())
	}
}

// A process of another role, another fleet or another VM, or one whose
// certificate names nobody, gets hold of a sidecar's address: it must not get
// work run, and a router must not hand a guest's chat to it in turn.
func TestOnlyTheRightPeersTalk(t *testing.T) {
	ours, other := newCA(t), newCA(t)
	side, _ := newMutual(t, ours, sidecar)
	addr := serve(t, side)
	good, _ := newMutual(t, ours, router)
	if c, err := talk(good, addr); err != nil || c.Peer != sidecar {
		t.Fatalf("a router was refused: %v", err)
	}
	// The check of the own files would stop these at their start; here they lie.
	lie := func(m *MutualTLS) *MutualTLS { m.domain = domain; return m }
	foreign := must2(t, NewMutualTLS, router, "elsewhere.test", place(t, ours, router.URI("elsewhere.test"), ours.PEM))
	console := Identity{Role: "console", VM: "x"}
	for name, m := range map[string]*MutualTLS{
		"another authority":    must2(t, NewMutualTLS, router, domain, place(t, other, router.URI(domain), append(other.PEM, ours.PEM...))),
		"another trust domain": lie(foreign),
		"another role":         must2(t, NewMutualTLS, console, domain, place(t, ours, console.URI(domain), ours.PEM)),
	} {
		before := refusedPeers.Value()
		if _, err := talk(m, addr); err == nil {
			t.Errorf("%s was let in", name)
		}
		// The sidecar counts after it has told the peer.
		gomega.NewWithT(t).Eventually(refusedPeers.Value, countedWithin).Should(gomega.BeNumerically(">", before), name)
	}
	impostor, _ := newMutual(t, ours, Identity{Role: RoleSidecar, VM: "vm-8"})
	if _, err := talk(good, serve(t, impostor)); !errors.Is(err, ErrIdentity) {
		t.Errorf("another VM in the place of the sidecar: %v", err)
	}
	if _, err := NewMutualTLS(router, domain, place(t, ours, sidecar.URI(domain), ours.PEM)); !errors.Is(err, ErrIdentity) {
		t.Errorf("a router started with the files of a sidecar: %v", err)
	}
	for _, bad := range []string{"spiffe://fleet.test/router/", "spiffe://fleet.test/router", "https://fleet.test/router/entry-1", "spiffe://fleet.test/router/entry-1?x"} {
		u, err := url.Parse(bad)
		cert := &x509.Certificate{URIs: []*url.URL{must(t, u, err)}}
		if id, err := identityOf(cert, domain); err == nil {
			t.Errorf("%s was taken for %+v", bad, id)
		}
	}
}

func must2(t *testing.T, f func(Identity, string, Paths) (*MutualTLS, error), id Identity, domain string, p Paths) *MutualTLS {
	t.Helper()
	m, err := f(id, domain, p)
	return must(t, m, err)
}

// Operators take an authority out of the bundle because its key has leaked.
// A router with a certificate of that authority has a connection open, and
// comes back with a session from before: resumption skips the certificates, so
// it would stay in for as long as it likes.
func TestLeakedAuthorityIsShutOut(t *testing.T) {
	former, next := newCA(t), newCA(t)
	side := must2(t, NewMutualTLS, sidecar, domain, place(t, next, sidecar.URI(domain), append(next.PEM, former.PEM...)))
	addr := serve(t, side)
	r := must2(t, NewMutualTLS, router, domain, place(t, former, router.URI(domain), append(former.PEM, next.PEM...)))
	for i := range 2 {
		if c, err := talk(r, addr); err != nil || c.ConnectionState().DidResume != (i == 1) {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	open, err := r.Dial(context.Background(), sidecar.VM, addr)
	if err != nil || roundTrip(open) != nil {
		t.Fatal(err)
	}
	must(t, open, err)
	write(t, side.files.paths[2], next.PEM)
	side.files.poll()
	side.files.poll()
	_ = open.SetReadDeadline(time.Now().Add(countedWithin))
	if _, err := open.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection from before is still open: %v", err)
	}
	if _, err := talk(r, addr); err == nil {
		t.Error("a session of the former authority was resumed")
	}
}

// At night a deploy tool renews the files while routers connect: first the
// certificate, then its key, then the bundle, which it writes in two parts. In
// no state between may a router be shut out, and a state that stays broken
// must show in a counter while the former files serve on.
func TestRotationShutsNoOneOut(t *testing.T) {
	former, next := newCA(t), newCA(t)
	bundle := append(append([]byte{}, former.PEM...), next.PEM...)
	p := place(t, former, sidecar.URI(domain), bundle)
	side := must2(t, NewMutualTLS, sidecar, domain, p)
	addr := serve(t, side)
	r := must2(t, NewMutualTLS, router, domain, place(t, next, router.URI(domain), bundle))
	cert, key := issue(t, next, sidecar.URI(domain))
	renewed := append(bundle, '\n')
	steps := []struct {
		path    string
		content []byte
		polls   int
		fails   int64
	}{
		{p.CA, bundle[:len(former.PEM)], 1, 0}, // cut between two authorities: whole, but wrong
		{p.CA, bundle[:len(bundle)-30], 3, 1},  // cut within one, and left so
		{p.CA, renewed, 2, 0},
		{p.Cert, cert, 3, 1}, // without its key, and left so
		{p.Key, key[:40], 1, 0},
		{p.Key, key, 2, 0},
	}
	for i, step := range steps {
		before := reloadFailures.Value()
		write(t, step.path, step.content)
		for range step.polls {
			side.files.poll()
			if _, err := talk(r, addr); err != nil {
				t.Fatalf("step %d shut a router out: %v", i, err)
			}
		}
		if got := reloadFailures.Value() - before; got != step.fails {
			t.Errorf("step %d was counted as %d failures, want %d", i, got, step.fails)
		}
	}
	if side.files.current != fingerprintOf([][]byte{cert, key, renewed}, nil) {
		t.Error("the new files are not in use")
	}
	write(t, p.CA, nil)
	if _, err := NewMutualTLS(sidecar, domain, p); err == nil {
		t.Error("an empty bundle was taken at the start")
	}
}

// Routers read a rotated file up to some seconds apart. A guest gets a ticket
// from the first and returns through one that has not looked yet, which would
// call the ticket forged: the chat loses its cached prefix, a retry its key.
func TestNewSecretSignsOnlyOnceAllAcceptIt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secrets")
	one, two := "1:"+strings.Repeat("11", 32)+"\n", "2:"+strings.Repeat("22", 32)+"\n"
	now := time.Unix(1e9, 0)
	look := func(s *Secrets) { s.files.poll(); s.files.poll(); s.promote() }
	write(t, path, []byte(one))
	start := func() *Secrets {
		s, err := newSecrets(path, func() time.Time { return now })
		return must(t, s, err)
	}
	early, late := start(), start()
	passes := func(step string, from, to *Secrets) {
		t.Helper()
		if _, err := to.Keyring.Open(from.Keyring.Seal(token.Token{Purpose: token.PurposeKey}), token.PurposeKey); err != nil {
			t.Errorf("%s: %v", step, err)
		}
	}
	write(t, path, []byte(two+one))
	look(early)
	passes("one has looked", early, late)
	passes("one has looked", late, early)
	look(late)
	now = now.Add(signAfter)
	look(early)
	passes("one signs with the new secret", early, late)
	passes("one signs with the new secret", late, early)
	look(late)
	write(t, path, []byte(two))
	look(early)
	passes("one has dropped the former secret", early, late)
	passes("one has dropped the former secret", late, early)
	look(late)
	if _, err := late.Keyring.Open(mustSeal(t, one), token.PurposeKey); err == nil {
		t.Error("a secret that was taken out still opens tokens")
	}
	write(t, path, []byte("3:"+strings.Repeat("33", 32)+"\n"))
	look(early)
	if _, err := late.Keyring.Open(early.Keyring.Seal(token.Token{Purpose: token.PurposeKey}), token.PurposeKey); err == nil {
		t.Error("a signer that was taken out, perhaps because it leaked, still signs")
	}
}

func mustSeal(t *testing.T, secrets string) string {
	s, err := token.ParseSecrets(secrets)
	r, err2 := token.NewKeyring(must(t, s, err)...)
	return must(t, r, err2).Seal(token.Token{Purpose: token.PurposeKey})
}
