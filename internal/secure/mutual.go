package secure

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

var certificateExpiry = telemetry.NewGauge("secure_certificate_expiry_seconds",
	"When this process's own certificate ends, in seconds since 1970; zero without TLS in the fleet.")

// Paths are the files of one certificate and of the authorities that it and
// its peers are checked against, all PEM.
type Paths struct {
	Cert, Key, CA string
}

// material is what one state of the files holds.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

func parseMaterial(contents [][]byte) (*material, error) {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, errors.WithStack(err)
	}
	roots, err := parseCAs(contents[2])
	if err != nil {
		return nil, err
	}
	return &material{cert: cert, roots: roots}, nil
}

// parseCAs reads a bundle. Unlike x509.CertPool it refuses what it can't read,
// so that a bundle that is cut short is not taken for a smaller one.
func parseCAs(b []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	n := 0
	for {
		var block *pem.Block
		block, b = pem.Decode(b)
		if block == nil {
			break
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, "authority")
		}
		pool.AddCert(cert)
		n++
	}
	if n == 0 || len(bytes.TrimSpace(b)) > 0 {
		return nil, errors.Errorf("want only PEM certificates of authorities, have %d and then %d other bytes", n, len(b))
	}
	return pool, nil
}

// Mutual is TLS in which both sides show certificates of the fleet. Whom a
// certificate names and who signed it is checked on each connection against
// the present files, resumed sessions included: a session outlives the
// certificate with which it began.
type Mutual struct {
	self     Identity
	domain   string
	files    *Files
	material atomic.Pointer[material]
	sessions tls.ClientSessionCache // of the sidecars that this process dials
	tickets  *ticketStore           // of the routers that dial this process

	refusalLogged atomic.Int64 // when a line was written last, in Unix nanoseconds
}

// fleetCurves leaves out the hybrid key exchange that the library prefers: it
// makes a handshake of 650 bytes one of 2,970, and routers that come and go at
// thousands of sidecars count those bytes. Towards callers it stays.
var fleetCurves = []tls.CurveID{tls.X25519}

// sessionsKept bounds the sessions that are kept for resumption: one for each
// peer at the target's size, on either side.
const sessionsKept = 4096

// NewMutual reads the files. The own certificate must name self.
func NewMutual(self Identity, domain string, p Paths) (*Mutual, error) {
	m := &Mutual{self: self, domain: domain, sessions: tls.NewLRUClientSessionCache(sessionsKept), tickets: newTicketStore(sessionsKept)}
	var err error
	m.files, err = Follow([]string{p.Cert, p.Key, p.CA}, m.take)
	return m, errors.Wrap(err, "secure: certificates of the fleet")
}

// Files returns the files to follow.
func (m *Mutual) Files() *Files {
	return m.files
}

func (m *Mutual) take(contents [][]byte) error {
	fresh, err := parseMaterial(contents)
	if err != nil {
		return err
	}
	// An own certificate that peers will refuse is a mistake to notice here,
	// where the former one can stay in use.
	id, err := verify(fresh.cert.Leaf, nil, fresh.roots, m.domain, x509.ExtKeyUsageAny)
	if err != nil {
		return err
	}
	if id != m.self {
		return errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", id.Role, id.VM, m.self.Role, m.self.VM)
	}
	m.material.Store(fresh)
	certificateExpiry.Set(fresh.cert.Leaf.NotAfter.Unix())
	return nil
}

// verify checks that a certificate was signed for a use by one of roots, and
// returns whom it names.
func verify(cert *x509.Certificate, intermediates []*x509.Certificate, roots *x509.CertPool, domain string, use x509.ExtKeyUsage) (Identity, error) {
	between := x509.NewCertPool()
	for _, c := range intermediates {
		between.AddCert(c)
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: between, CurrentTime: time.Now(), KeyUsages: []x509.ExtKeyUsage{use}}
	if _, err := cert.Verify(opts); err != nil {
		return Identity{}, errors.WithStack(err)
	}
	return identityOf(cert, domain)
}

// peer checks the certificates of the other side of a connection.
func (m *Mutual) peer(cs tls.ConnectionState, use x509.ExtKeyUsage) (Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "no certificate")
	}
	return verify(cs.PeerCertificates[0], cs.PeerCertificates[1:], m.material.Load().roots, m.domain, use)
}

// Server returns the configuration by which a sidecar serves routers and
// other sidecars.
func (m *Mutual) Server() *tls.Config {
	c := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		ClientAuth:       tls.RequireAnyClientCert, // and VerifyConnection judges it
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.material.Load().cert, nil },
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := m.peer(cs, x509.ExtKeyUsageClientAuth)
			if err == nil && id.Role != RoleRouter && id.Role != RoleSidecar {
				err = errors.Wrapf(ErrIdentity, "role %q", id.Role)
			}
			return err
		},
	}
	m.tickets.install(c)
	return c
}

// Client returns the configuration by which a process dials the sidecar of a VM.
func (m *Mutual) Client(vm string) *tls.Config {
	want := Identity{Role: RoleSidecar, VM: vm}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		// Sidecars have ids instead of host names. VerifyConnection checks the
		// chain and the id, and unlike the usual check also on resumption.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &m.material.Load().cert, nil
		},
		ClientSessionCache: m.sessions,
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := m.peer(cs, x509.ExtKeyUsageServerAuth)
			if err == nil && id != want {
				err = errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", id.Role, id.VM, want.Role, want.VM)
			}
			return err
		},
	}
}
