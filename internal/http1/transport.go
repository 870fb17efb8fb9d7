package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// MaxHeadBytes bounds the heads of a response, interim ones included.
const MaxHeadBytes = 32 << 10

// errUnknownLength reports a request whose end can't be known.
var errUnknownLength = errors.New("http1: the request has a body of unknown length")

// Transport is an http.RoundTripper that speaks HTTP/1.1 over an http.Transport. A response whose head a HeadChecker refuses
// is an error that wraps a *HeadError. A body that ends with its connection ends with an error unless it is whole, see
// Conn.ConfirmEnd. Requests must have a known length.
type Transport struct {
	base *http.Transport
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a Transport over base, which must not be used otherwise any more. Its MaxResponseHeaderBytes is
// replaced by MaxHeadBytes.
func NewTransport(base *http.Transport) *Transport {
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
	}
	if base.DialTLSContext == nil {
		config := base.TLSClientConfig.Clone() // nil if there is none
		base.DialTLSContext = DialTLS(base.DialContext, func() *tls.Config { return config }, base.TLSHandshakeTimeout)
	}
	base.DialContext = dialCalls(base.DialContext)
	base.DialTLSContext = dialCalls(base.DialTLSContext)
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base: base}
}

// dialCalls returns a DialFunc whose connections follow the calls on them.
func dialCalls(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &callConn{Conn: NewConn(c)}, nil
	}
}

// DialTLS returns a DialFunc for HTTP/1.1 over TLS, over connections that dial opens. config returns the configuration, in which
// an empty ServerName stands for the host that is dialled; nil: that of package tls. The handshake is bounded by timeout;
// zero: by the context alone.
func DialTLS(dial DialFunc, config func() *tls.Config, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		secured := tls.Client(c, configFor(config(), host))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, errors.WithStack(err)
		}
		return secured, nil
	}
}

// configFor returns a copy of config that has the name of a server.
func configFor(config *tls.Config, host string) *tls.Config {
	if config == nil {
		return &tls.Config{ServerName: host}
	}
	config = config.Clone()
	if config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.ContentLength < 0 || r.ContentLength == 0 && r.Body != nil && r.Body != http.NoBody {
		_ = r.Body.Close()
		return nil, errUnknownLength
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*callConn); ok {
			c.begin(r.ContentLength)
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// callConn is a connection of a Transport. It follows the call that uses it.
type callConn struct {
	*Conn
	call atomic.Pointer[call] // the latest call; nil: there was none
}

// call is one request and its response.
type call struct {
	request requestMeter // used by Write
	upload  *Upload
	head    HeadChecker // used by Read
}

// checkHead checks the heads of a response in the bytes that have arrived, interim ones included.
func (c *call) checkHead(b []byte) error {
	for len(b) > 0 && !c.head.Ended() {
		n, err := c.head.Check(b)
		if err != nil {
			return err
		}
		b = b[n:]
		if c.head.Ended() && c.head.IsInterim() {
			c.head.Reset()
		}
	}
	return nil
}

// begin starts a call with a body of a length.
func (c *callConn) begin(bodyBytes int64) {
	c.call.Store(&call{request: requestMeter{bodyLeft: bodyBytes}, upload: NewUpload()})
}

// Read implements net.Conn. It returns no bytes that complete a faulty head. At the end of a body that ends with the
// connection, it returns io.EOF once ConfirmEnd has confirmed it: http.Transport closes the connection then, and so ends the
// writing of the request.
func (c *callConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	call := c.call.Load()
	if call == nil {
		return n, err
	}
	if failure := call.checkHead(b[:n]); failure != nil {
		c.Fail(failure)
		return 0, failure
	}
	if err != io.EOF || !call.head.Ended() || call.head.IsFramed() {
		return n, err
	}
	if failure := c.ConfirmEnd(call.upload, time.Now().Add(EndTimeout)); failure != nil {
		c.Fail(failure)
		return n, failure
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *callConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if call := c.call.Load(); call != nil {
		if call.request.advance(b[:n]) || err != nil {
			call.upload.End(call.request.bytes, err)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *callConn) Close() error {
	if call := c.call.Load(); call != nil {
		call.upload.End(0, net.ErrClosed)
	}
	return c.Conn.Close()
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// requestMeter follows the bytes of one request.
type requestMeter struct {
	headEndSeen int    // bytes of headEnd that the latest bytes match
	bodyLeft    int64  // bytes of the body that have not passed
	bytes       uint64 // that have passed
}

// advance takes the next bytes, and reports whether they complete the request.
func (m *requestMeter) advance(b []byte) bool {
	m.bytes += uint64(len(b))
	for m.headEndSeen < len(headEnd) && len(b) > 0 {
		switch {
		case b[0] == headEnd[m.headEndSeen]:
			m.headEndSeen++
		case b[0] == headEnd[0]:
			m.headEndSeen = 1
		default:
			m.headEndSeen = 0
		}
		b = b[1:]
	}
	m.bodyLeft -= int64(len(b))
	return m.headEndSeen == len(headEnd) && m.bodyLeft <= 0
}
