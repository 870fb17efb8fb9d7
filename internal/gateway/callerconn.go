package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
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

var evictedConns = telemetry.NewCounter("gateway_evicted_connections_total",
	"Idle connections of callers that were closed because the maximum number of connections was open.", telemetry.Alert)

// Server returns a server for callers that serves h on at most the given number of
// connections at a time. Its timeouts are those of the operators' limits in force plus
// grace, as a change of the limits takes time to arrive: when they become shorter, callers
// may still rely on the longer ones, and when they become longer, this router may not have
// received them yet.
func (g *PlatformGateway) Server(h http.Handler, connections int, grace time.Duration) *CallerServer {
	s := newCallerServer(h, connections)
	s.limits, s.grace = g.limits, grace
	return s
}

func newCallerServer(h http.Handler, connections int) *CallerServer {
	s := &CallerServer{slots: make(chan struct{}, connections), idle: make(map[*callerConn]time.Time)}
	s.Server = &http.Server{
		Handler:           h,
		ConnContext:       contextWithConn,
		ConnState:         s.recordState,
		ReadHeaderTimeout: headerTimeoutSentinel,
		IdleTimeout:       idleTimeoutSentinel,
		MaxHeaderBytes:    serverMaxHeaderBytes,
	}
	return s
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

	mu        sync.Mutex
	idle      map[*callerConn]time.Time // connections without a request, and since when
	needsRoom bool                      // a new connection waits until another is closed
}

// Serve accepts and serves connections of l until l is closed.
func (s *CallerServer) Serve(l net.Listener) error {
	return s.Server.Serve(callerListener{Listener: l, server: s})
}

// recordState records whether a connection is idle.
func (s *CallerServer) recordState(c net.Conn, state http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != http.StateIdle {
		delete(s.idle, caller)
		return
	}
	s.idle[caller] = time.Now()
	if s.needsRoom {
		s.closeLongestIdle()
	}
}

// makeRoom closes a connection without a request, at once or as soon as there is one.
func (s *CallerServer) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needsRoom = true
	s.closeLongestIdle()
}

// hasRoom ends what makeRoom has begun, also if a connection was closed for another reason.
func (s *CallerServer) hasRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needsRoom = false
}

// closeLongestIdle closes the connection that has been without a request for the longest time, if there is one. A
// request whose bytes arrive at this moment is not sent to an upstream: its caller has gone by then. The server's mutex
// must be held.
func (s *CallerServer) closeLongestIdle() {
	var longest *callerConn
	for c, since := range s.idle {
		if (longest == nil || since.Before(s.idle[longest])) && netpeek.Peek(c.Conn) != netpeek.Readable {
			longest = c
		}
	}
	if longest != nil {
		s.needsRoom = false
		delete(s.idle, longest)
		evictedConns.Inc()
		_ = longest.Close()
	}
}

type callerListener struct {
	net.Listener
	server *CallerServer
}

// Accept implements net.Listener. While the maximum number of connections is open, it closes the one that has been
// idle for the longest time, and blocks if all have requests. Without this limit the router could run out of file
// descriptors and would then be unable to connect to upstreams for its open connections. Without the closing, callers
// that keep connections which they do not use would shut out all others for as long as a connection may stay idle.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.server.slots <- struct{}{}:
	default:
		l.server.makeRoom()
		l.server.slots <- struct{}{}
		l.server.hasRoom()
	}
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
