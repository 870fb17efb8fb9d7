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

// Paths holds the paths of a certificate, its key and the authorities that it and
// its peers are verified against, all PEM files.
type Paths struct {
	Cert, Key, CA string
}

// MutualTLS is a Transport over TLS in which both sides present certificates of the
// fleet. The identity and the signature of the peer's certificate are verified
// against the current files on each connection, including resumed sessions, since a
// session can outlive the certificate with which it was started.
type MutualTLS struct {
	self        Identity
	trustDomain string
	watcher     *FileWatcher
	credentials atomic.Pointer[credentials]
	tickets     *ticketStore // sessions of the peers that dial this process

	lastRefusalLog atomic.Int64 // Unix nanoseconds

	mu    sync.Mutex
	conns map[*Conn]struct{} // open
}

// fleetCurves are the key exchanges between routers and sidecars. They exclude the
// hybrid post-quantum one that crypto/tls prefers, which grows a handshake from 650 to
// 2,970 bytes; this counts for routers that reconnect to thousands of sidecars. The
// hybrid one stays enabled for callers.
var fleetCurves = []tls.CurveID{tls.X25519}

// maxSessions limits the TLS sessions that a process keeps for resumption, separately
// as a client and as a server: one for each peer at the target fleet size.
const maxSessions = 4096

// NewMutualTLS loads the files. It returns an error if they are invalid or if the
// certificate does not name self.
func NewMutualTLS(self Identity, trustDomain string, p Paths) (*MutualTLS, error) {
	m := &MutualTLS{
		self:        self,
		trustDomain: trustDomain,
		conns:       make(map[*Conn]struct{}),
	}
	m.tickets = newTicketStore(maxSessions, m.credentials.Load)
	var err error
	m.watcher, err = WatchFiles([]string{p.Cert, p.Key, p.CA}, m.load)
	return m, errors.Wrap(err, "secure: certificates of the fleet")
}

// Watcher returns the watcher of the files. The caller must run it, otherwise changes
// are not loaded.
func (m *MutualTLS) Watcher() *FileWatcher {
	return m.watcher
}

func (m *MutualTLS) load(contents [][]byte) error {
	loaded, err := parseCredentials(contents)
	if err != nil {
		return err
	}
	// Peers would refuse this process's certificate if it were invalid. Rejecting it
	// here keeps the previous one in use.
	own, err := loaded.ownIdentity(m.trustDomain)
	if err != nil {
		return err
	}
	if own != m.self {
		return errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", own.Role, own.VM, m.self.Role, m.self.VM)
	}
	m.credentials.Store(loaded)
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

// closeDistrusted closes connections whose peer's certificate is no longer trusted
// under the current files. A connection lasts as long as there is traffic on it, so
// a peer with a leaked certificate would otherwise keep its connections. A peer with
// a new certificate connects again and resumes its streams.
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

// verifyPeer verifies the peer's certificates of a connection and returns its identity.
func (m *MutualTLS) verifyPeer(cs tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "no certificate")
	}
	return m.credentials.Load().verify(cs.PeerCertificates, m.trustDomain, usage)
}

// ServerConfig returns the TLS configuration with which a sidecar serves routers and
// other sidecars.
func (m *MutualTLS) ServerConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		ClientAuth:       tls.RequireAnyClientCert, // verified by VerifyConnection
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.credentials.Load().cert, nil },
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

// ClientConfig returns the TLS configuration for dialing the sidecar of a VM.
func (m *MutualTLS) ClientConfig(vm string) *tls.Config {
	want := Identity{Role: RoleSidecar, VM: vm}
	creds := m.credentials.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: fleetCurves,
		// Sidecars have SPIFFE ids instead of host names. VerifyConnection verifies the
		// chain and the id and, unlike the default verification, also on resumption.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &creds.cert, nil },
		ClientSessionCache:   creds.sessions,
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := m.verifyPeer(cs, x509.ExtKeyUsageServerAuth)
			if err == nil && id != want {
				err = errors.Wrapf(ErrIdentity, "%s of VM %q, want %s of VM %q", id.Role, id.VM, want.Role, want.VM)
			}
			return err
		},
	}
}
