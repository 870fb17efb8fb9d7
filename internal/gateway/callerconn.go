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
	// headerTimeoutSentinel and idleMark are the timeouts of the http.Server. It has one of
	// each for its life, while operators change theirs as connections live: a
	// callerConn knows by them which of its deadlines one is meant to be. Both are
	// far longer than any that operators set.
	headerTimeoutSentinel = 24 * time.Hour
	idleTimeoutSentinel   = 48 * time.Hour
	// sentinelSlack is how much may pass between the choice of a deadline and its
	// setting.
	sentinelSlack = time.Hour
	// serverMaxHeaderBytes bounds what the server reads of headers before the operators'
	// limit is looked at.
	serverMaxHeaderBytes = 1 << 20
)

// Server returns a server of callers that keeps at most a number of connections.
// Their timeouts are those of the operators' limits in force, and grace more:
// callers may not have heard of a shorter one yet, or this router of a longer one.
func (g *PlatformGateway) Server(h http.Handler, connections int, grace time.Duration) *CallerServer {
	return &CallerServer{
		Server: &http.Server{
			Handler:           h,
			ConnContext:       withConn,
			ReadHeaderTimeout: headerTimeoutSentinel,
			IdleTimeout:       idleTimeoutSentinel,
			MaxHeaderBytes:    serverMaxHeaderBytes,
		},
		limits: g.limits,
		grace:  grace,
		slots:  make(chan struct{}, connections),
	}
}

// limits returns the operators' limits on callers that are in force.
func (g *PlatformGateway) limits() *profile.Limits {
	return limitsOf(g.router.View())
}

// CallerServer serves the callers of a platform.
type CallerServer struct {
	*http.Server
	limits func() *profile.Limits
	grace  time.Duration
	slots  chan struct{} // one for each open connection
}

// Serve serves the connections of l until it is closed.
func (s *CallerServer) Serve(l net.Listener) error {
	return s.Server.Serve(callerListener{Listener: l, server: s})
}

type callerListener struct {
	net.Listener
	server *CallerServer
}

// Accept implements net.Listener. Connections over the most that are kept wait to
// be accepted: out of descriptors, the router could call no upstream for those that
// it has.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.slots <- struct{}{}
	return &callerConn{Conn: c, server: l.server}, nil
}

// callerConn is a connection of a caller. It turns the timeouts of the server into
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

// SetReadDeadline implements net.Conn.
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

// withConn keeps the caller's connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		c = caller.Conn
	}
	return context.WithValue(ctx, connKey{}, c)
}
