package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// dialTimeout limits the time to open a connection to a sidecar.
	dialTimeout = time.Second
	// handshakeTimeout limits the time of a handshake. A peer that connects and then
	// sends nothing would otherwise occupy a slot for ever.
	handshakeTimeout = 3 * time.Second
	// maxConcurrentHandshakes limits the handshakes of a listener that run at a time,
	// so that a flood of connections waits in the kernel's queue, not in memory.
	maxConcurrentHandshakes = 256
	// refusalLogInterval is the minimum time between two log lines about refused peers.
	refusalLogInterval = time.Minute
)

// handshakeKind distinguishes full handshakes from resumptions.
type handshakeKind string

const (
	handshakeFull    handshakeKind = "full"
	handshakeResumed handshakeKind = "resumed"
)

var (
	handshakes = telemetry.NewFamily[handshakeKind]("secure_handshakes_total", "kind",
		"TLS handshakes between routers and sidecars, on either side.")
	refusedPeers = telemetry.NewCounter("secure_refused_peers_total",
		"TLS handshakes between routers and sidecars in which a certificate was missing or refused.", telemetry.Alert)
	distrustedConns = telemetry.NewCounter("secure_distrusted_connections_total",
		"Connections between routers and sidecars ended because the present files no longer trust the peer's certificate.")
	brokenHandshakes = telemetry.NewCounter("secure_broken_handshakes_total",
		"TLS handshakes between routers and sidecars that broke off or took too long.")
)

// Transport opens and accepts the connections between routers and sidecars.
type Transport interface {
	// Dial connects to the sidecar of a VM.
	Dial(ctx context.Context, vm, addr string) (net.Conn, error)
	// Listen returns a listener for peers that arrive on l.
	Listen(l net.Listener) net.Listener
}

// Plain is a Transport without encryption or authentication, for development on one
// machine.
type Plain struct{}

// Dial implements Transport.
func (Plain) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen implements Transport.
func (Plain) Listen(l net.Listener) net.Listener {
	return l
}

// Conn is a connection whose peer is authenticated.
type Conn struct {
	*tls.Conn
	Peer   Identity
	usage  x509.ExtKeyUsage // required of the peer's certificate
	mutual *MutualTLS
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutual.removeConn(c)
	return c.Conn.Close()
}

// PeerOf returns the identity of the peer of a connection opened or accepted by a
// Transport. It returns false for a Plain one, whose peer is unknown.
func PeerOf(c net.Conn) (Identity, bool) {
	conn, ok := c.(*Conn)
	if !ok {
		return Identity{}, false
	}
	return conn.Peer, true
}

// Dial implements Transport.
func (m *MutualTLS) Dial(ctx context.Context, vm, addr string) (net.Conn, error) {
	raw, err := Plain{}.Dial(ctx, vm, addr)
	if err != nil {
		return nil, err
	}
	return m.handshake(ctx, raw, x509.ExtKeyUsageServerAuth, func(c net.Conn) *tls.Conn { return tls.Client(c, m.ClientConfig(vm)) })
}

// handshake runs a TLS handshake over raw with a peer whose certificate must allow
// usage. It closes raw on failure.
func (m *MutualTLS) handshake(ctx context.Context, raw net.Conn, usage x509.ExtKeyUsage, wrap func(net.Conn) *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	initial := m.credentials.Load()
	counted := &countingConn{Conn: raw}
	conn := wrap(counted)
	err := conn.HandshakeContext(ctx)
	var peer Identity
	if err == nil {
		peer, err = identityOf(conn.ConnectionState().PeerCertificates[0], m.trustDomain)
	}
	telemetry.ControlBytes.Add(telemetry.ControlHandshake, counted.byteCount.Load())
	if err != nil {
		_ = raw.Close()
		m.recordFailure(raw.RemoteAddr(), err)
		return nil, err
	}
	kind := handshakeFull
	if conn.ConnectionState().DidResume {
		kind = handshakeResumed
	}
	handshakes.Inc(kind)
	c := &Conn{Conn: conn, Peer: peer, usage: usage, mutual: m}
	m.addConn(c)
	// A reload during the handshake did not check this connection, which was not yet
	// registered.
	if m.credentials.Load() != initial {
		m.closeDistrusted()
	}
	return c, nil
}

// recordFailure counts a failed handshake. A failed connection is only counted. Any
// other failure counts as a refusal of one side's certificate by the other and is also
// logged, at most once per refusalLogInterval.
func (m *MutualTLS) recordFailure(from net.Addr, err error) {
	if isConnectionFailure(err) {
		brokenHandshakes.Inc()
		return
	}
	refusedPeers.Inc()
	now := time.Now().UnixNano()
	last := m.lastRefusalLog.Load()
	if now-last > int64(refusalLogInterval) && m.lastRefusalLog.CompareAndSwap(last, now) {
		slog.Warn("TLS handshake refused; further refusals within a minute are only counted", "peer", from.String(), "error", err)
	}
}

// remoteAlertOp is the Op of the net.OpError that crypto/tls returns for an alert
// sent by the peer.
const remoteAlertOp = "remote error"

// isConnectionFailure reports whether a handshake failed because the connection broke,
// or because the handshake took too long or was cancelled. An alert from the peer is a
// refusal instead.
func isConnectionFailure(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op != remoteAlertOp
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// countingConn counts bytes in both directions. The count is read only after the
// handshake, though counting continues.
type countingConn struct {
	net.Conn
	byteCount atomic.Int64
}

// NetConn returns the wrapped connection, like the method of tls.Conn.
func (c *countingConn) NetConn() net.Conn {
	return c.Conn
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Listen implements Transport. Handshakes run concurrently, so that a slow or stalled
// peer does not delay others.
func (m *MutualTLS) Listen(l net.Listener) net.Listener {
	out := &listener{
		Listener: l,
		mutual:   m,
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
		slots:    make(chan struct{}, maxConcurrentHandshakes),
	}
	go out.run()
	return out
}

type listener struct {
	net.Listener
	mutual   *MutualTLS
	accepted chan net.Conn
	slots    chan struct{}
	once     sync.Once
	closed   chan struct{}
	err      error // why accepting ended; set before closed is closed
}

func (l *listener) run() {
	config := l.mutual.ServerConfig()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.stop(err)
			return
		}
		select {
		case l.slots <- struct{}{}:
		case <-l.closed:
			_ = raw.Close()
			return
		}
		go l.serve(raw, config)
	}
}

func (l *listener) serve(raw net.Conn, config *tls.Config) {
	conn, err := l.mutual.handshake(context.Background(), raw, x509.ExtKeyUsageClientAuth, func(c net.Conn) *tls.Conn { return tls.Server(c, config) })
	<-l.slots
	if err != nil {
		return
	}
	select {
	case l.accepted <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

func (l *listener) stop(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.closed)
	})
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, l.err
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.stop(net.ErrClosed)
	return l.Listener.Close()
}
