package topo

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// dialTimeout bounds the opening of a connection, and then its TLS handshake.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdleConnections is how many unused connections each client keeps.
	maxIdleConnections = 2
)

// clientKind selects one of the HTTP clients. Each has its own connections.
type clientKind uint8

const (
	// readClient and watchClient reuse connections. They are separate, so that the
	// timeout of a watch on a dead connection does not close the connections of reads.
	readClient clientKind = iota
	watchClient
	// writeClient opens a connection for each write. On a reused connection that a
	// middlebox has silently dropped, a write would time out and its outcome would be
	// unknown; a new connection fails before anything is sent.
	writeClient
	clientCount
)

// callName is the name of a call of the platform in the metrics.
type callName string

const (
	callGet    callName = "get"
	callList   callName = "list"
	callPut    callName = "put"
	callDelete callName = "delete"
	callWatch  callName = "watch"
	callVMs    callName = "vms"
)

func (c callName) client() clientKind {
	switch c {
	case callPut, callDelete:
		return writeClient
	case callWatch:
		return watchClient
	default:
		return readClient
	}
}

// callOutcome is the outcome of a call in the metrics.
type callOutcome string

const (
	outcomeOK        callOutcome = "ok"
	outcomeConflict  callOutcome = "conflict"
	outcomeRefused   callOutcome = "refused"
	outcomeUnknown   callOutcome = "unknown"
	outcomeCompacted callOutcome = "compacted"
	outcomeWithheld  callOutcome = "withheld" // not made, because of a backoff
)

var (
	calls = telemetry.NewFamily[callName]("platform_calls_total", "call",
		"Calls made of the platform, repeated ones included. A waiting watch is one.")
	outcomes = telemetry.NewFamily[callOutcome]("platform_outcomes_total", "outcome",
		"Calls of the platform by how they ended; unknown are writes whose answer was lost, withheld those that were not made while it wants none.")
	callBytes = telemetry.NewFamily[callName]("platform_bytes_total", "call",
		"Bytes sent to and received from the platform, headers included.")
)

func outcomeOf(err error) callOutcome {
	switch {
	case err == nil, errors.Is(err, ErrNotFound), errors.Is(err, errNotModified):
		return outcomeOK
	case errors.Is(err, ErrConflict):
		return outcomeConflict
	case errors.Is(err, ErrCompacted):
		return outcomeCompacted
	case errors.Is(err, ErrUnknown):
		return outcomeUnknown
	default:
		return outcomeRefused
	}
}

// DialFunc opens a connection to the platform.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// newClient returns a client over connections that dial opens. tlsConfig returns the configuration of TLS; nil: that of
// package tls.
func newClient(kind clientKind, dial DialFunc, tlsConfig func() *tls.Config) *http.Client {
	counted := dialCounted(dial)
	transport := &http.Transport{
		DialContext:         counted,
		DisableKeepAlives:   kind == writeClient,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	if tlsConfig != nil {
		transport.DialTLSContext = http1.DialTLS(counted, tlsConfig, dialTimeout)
	}
	return &http.Client{
		Transport: http1.NewTransport(transport),
		// A redirect could send a write to a server that ignores its condition.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialCounted returns a DialFunc whose connections count their bytes.
func dialCounted(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// countedConn counts the bytes of the call that uses it. HTTP/1.1 has one call at a
// time on a connection.
type countedConn struct {
	net.Conn
	use atomic.Pointer[connUse]
}

// connUse holds the labels under which the bytes of a connection are counted.
type connUse struct {
	call    callName
	control telemetry.ControlKind
}

// setConnUse makes c count the bytes that it transfers from now on as those of r.
func setConnUse(c net.Conn, r request) {
	for {
		if counted, ok := c.(*countedConn); ok {
			counted.use.Store(&connUse{call: r.name, control: controlKind(r)})
			return
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = outer.NetConn()
	}
}

func controlKind(r request) telemetry.ControlKind {
	switch {
	case r.name == callVMs:
		return telemetry.ControlVMs
	case r.kind == KindLease, r.kind == KindClaim:
		return telemetry.ControlLease
	default:
		return telemetry.ControlConfig
	}
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *countedConn) count(n int) {
	if u := c.use.Load(); u != nil {
		callBytes.Add(u.call, int64(n))
		telemetry.ControlBytes.Add(u.control, int64(n))
	}
}
