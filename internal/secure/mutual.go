package secure

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"

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

// MutualTLS is TLS in which both sides show certificates of the fleet. Whom a
// certificate names and who signed it is checked on each connection against
// the present files, resumed sessions included: a session outlives the
// certificate with which it began.
type MutualTLS struct {
	self        Identity
	trustDomain string
	watcher     *FileWatcher
	material    atomic.Pointer[material]
	tickets     *ticketStore // of the routers that dial this process

	lastRefusalLog atomic.Int64 // when a line was written last, in Unix nanoseconds

	mu    sync.Mutex
	conns map[*Conn]struct{} // open
}

// fleetCurves leaves out the hybrid key exchange that the library prefers: it
// makes a handshake of 650 bytes one of 2,970, and routers that come and go at
// thousands of sidecars count those bytes. Towards callers it stays.
var fleetCurves = []tls.CurveID{tls.X25519}

// maxSessions bounds the sessions that are kept for resumption: one for each
// peer at the target's size, on either side.
const maxSessions = 4096

// NewMutualTLS reads the files. The own certificate must name self.
func NewMutualTLS(self Identity, trustDomain string, p Paths) (*MutualTLS, error) {
	m := &MutualTLS{
		self:        self,
		trustDomain: trustDomain,
		conns:       make(map[*Conn]struct{}),
	}
	m.tickets = newTicketStore(maxSessions, m.material.Load)
	var err error
	m.watcher, err = WatchFiles([]string{p.Cert, p.Key, p.CA}, m.load)
	return m, errors.Wrap(err, "secure: certificates of the fleet")
}

// Watcher returns the files to follow.
func (m *MutualTLS) Watcher() *FileWatcher {
	return m.watcher
}

func (m *MutualTLS) load(contents [][]byte) error {
	loaded, err := parseMaterial(contents)
	if err != nil {
		return err
	}
	// An own certificate that peers will refuse is a mistake to notice here,
	// where the former one can stay in use.
	own, err := loaded.ownIdentity(m.trustDomain)
	if err != nil {
		return err
	}
	if own != m.self {
		return errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", own.Role, own.VM, m.self.Role, m.self.VM)
	}
	m.material.Store(loaded)
	certificateExpiry.Set(loaded.cert.Leaf.NotAfter.Unix())
	m.closeDistrusted()
	return nil
}

func (m *MutualTLS) addConn(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = struct{}{}
}

func (m *MutualTLS) removeConn(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// closeDistrusted ends connections whose peer's certificate the present files
// refuse. A connection lasts as long as there is traffic on it, so a peer with
// a leaked certificate would otherwise keep what it has. A peer that has a new
// certificate connects again and resumes its streams.
func (m *MutualTLS) closeDistrusted() {
	m.mu.Lock()
	var refused []*Conn
	for c := range m.conns {
		if _, err := m.verifyPeer(c.ConnectionState(), c.usage); err != nil {
			refused = append(refused, c)
		}
	}
	m.mu.Unlock()
	for _, c := range refused {
		distrustedConns.Inc()
		_ = c.Close()
	}
}

// verifyPeer checks the certificates of the other side of a connection.
func (m *MutualTLS) verifyPeer(cs tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "no certificate")
	}
	return m.material.Load().verify(cs.PeerCertificates, m.trustDomain, usage)
}

// ServerConfig returns the configuration by which a sidecar serves routers and
// other sidecars.
func (m *MutualTLS) ServerConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		ClientAuth:       tls.RequireAnyClientCert, // and VerifyConnection judges it
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.material.Load().cert, nil },
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := m.verifyPeer(cs, x509.ExtKeyUsageClientAuth)
			if err == nil && id.Role != RoleRouter && id.Role != RoleSidecar {
				err = errors.Wrapf(ErrIdentity, "role %q", id.Role)
			}
			return err
		},
	}
	m.tickets.install(c)
	return c
}

// ClientConfig returns the configuration by which a process dials the sidecar of a VM.
func (m *MutualTLS) ClientConfig(vm string) *tls.Config {
	want := Identity{Role: RoleSidecar, VM: vm}
	mat := m.material.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		// Sidecars have ids instead of host names. VerifyConnection checks the
		// chain and the id, and unlike the usual check also on resumption.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &mat.cert, nil },
		ClientSessionCache:   mat.sessions,
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := m.verifyPeer(cs, x509.ExtKeyUsageServerAuth)
			if err == nil && id != want {
				err = errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", id.Role, id.VM, want.Role, want.VM)
			}
			return err
		},
	}
}
