package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

const (
	// headerTimeoutSentinel and idleTimeoutSentinel are the timeouts that the
	// http.Server is configured with. A server's timeouts are fixed for its lifetime,
	// but operators may change their limits while connections are open. So when the
	// server sets a deadline, callerConn derives from the sentinel which timeout is
	// meant and sets the deadline of the operators' limit instead. Both sentinels are
	// far longer than any timeout that operators set.
	headerTimeoutSentinel = 24 * time.Hour
	idleTimeoutSentinel   = 48 * time.Hour
	// sentinelSlack is the time that may pass between the computation of a deadline
	// by the server and the call that sets it.
	sentinelSlack = time.Hour
	// serverMaxHeaderBytes bounds the headers that the server reads before the
	// operators' limit is checked.
	serverMaxHeaderBytes = 1 << 20
)

// Server returns a server for callers that serves h on at most the given number of
// connections at a time. Its timeouts are those of the operators' limits in force plus
// grace, as a change of the limits takes time to arrive: when they become shorter, callers
// may still rely on the longer ones, and when they become longer, this router may not have
// received them yet.
func (g *PlatformGateway) Server(h http.Handler, connections int, grace time.Duration) *CallerServer {
	return &CallerServer{
		Server: &http.Server{
			Handler:           h,
			ConnContext:       contextWithConn,
			ReadHeaderTimeout: headerTimeoutSentinel,
			IdleTimeout:       idleTimeoutSentinel,
			MaxHeaderBytes:    serverMaxHeaderBytes,
		},
		limits: g.limits,
		grace:  grace,
		slots:  make(chan struct{}, connections),
	}
}

// limits returns the operators' limits for callers that are in force.
func (g *PlatformGateway) limits() *profile.Limits {
	return limitsOf(g.router.View())
}

// CallerServer serves the callers of a platform and applies the operators' limits to their connections.
type CallerServer struct {
	*http.Server
	limits func() *profile.Limits
	grace  time.Duration
	slots  chan struct{} // holds one value for each open connection
}

// Serve accepts and serves connections of l until l is closed.
func (s *CallerServer) Serve(l net.Listener) error {
	return s.Server.Serve(callerListener{Listener: l, server: s})
}

type callerListener struct {
	net.Listener
	server *CallerServer
}

// Accept implements net.Listener. It blocks while the maximum number of connections
// is open. Without this limit the router could run out of file descriptors and
// would then be unable to connect to upstreams for its open connections.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.slots <- struct{}{}
	return &callerConn{Conn: c, server: l.server}, nil
}

// callerConn is a connection of a caller. It replaces the timeouts of the server by
// those of the operators' limits.
type callerConn struct {
	net.Conn
	server *CallerServer
	closed sync.Once
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Do(func() { <-c.server.slots })
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It replaces a deadline that the server
// derived from a sentinel by the operators' timeout.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() {
		return c.Conn.SetReadDeadline(at)
	}
	now := time.Now()
	switch remaining := at.Sub(now); {
	case remaining > idleTimeoutSentinel-sentinelSlack:
		at = now.Add(c.server.limits().IdleTime.Std() + c.server.grace)
	case remaining > headerTimeoutSentinel-sentinelSlack:
		at = now.Add(c.server.limits().HeaderTime.Std() + c.server.grace)
	}
	return c.Conn.SetReadDeadline(at)
}

// contextWithConn stores the caller's connection in the context of its requests.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		c = caller.Conn
	}
	return context.WithValue(ctx, connKey{}, c)
}
