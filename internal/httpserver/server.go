// Package httpserver serves HTTP/1.1 to callers that may not behave: it bounds how many connections are open, and what
// callers can make a process hold before a handler sees a request.
//
// The head of a request is received whole, within its limits in bytes and time, before net/http parses it: a head that
// is being parsed takes many times its bytes. The memory for it is claimed first from package budget, which also
// decides which connection makes room for another. Packages daemon and gateway call it, once for each address at which
// a process serves HTTP.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// CallerPatience is the Patience of servers for callers: more than the first packet of a caller takes.
const CallerPatience = 100 * time.Millisecond

const (
	// headTimeoutSentinel and idleTimeoutSentinel are the timeouts that the http.Server is configured with. A server's
	// timeouts are fixed for its lifetime, but limits may change while connections are open. So when the server sets a
	// deadline, a conn derives from the sentinel which timeout is meant and sets the deadline of the limit instead.
	// Both sentinels are far longer than any timeout that operators set.
	headTimeoutSentinel = 24 * time.Hour
	idleTimeoutSentinel = 48 * time.Hour
	// sentinelSlack is the time that may pass between the computation of a deadline by the server and the call that
	// sets it.
	sentinelSlack = time.Hour
	// serverMaxHeaderBytes is the limit of net/http on a head, which must be above all that Limits allow.
	serverMaxHeaderBytes = 64 << 20
	// maxCandidates is how many connections are looked at for the one that makes room, if one of them does. To look at
	// all, for each new connection, would cost more than to serve it.
	maxCandidates = 64
	// aheadConcurrency is how many requests that callers have sent ahead are taken at a time, in all, and aheadPause
	// how long each waits. Callers that read an answer before they send the next request do not wait.
	aheadConcurrency = 4
	aheadPause       = time.Millisecond
	// costlyConcurrency is how many heads of many lines are parsed at a time.
	costlyConcurrency = 2
	// roomRetryInterval is the pause before another look for a connection that makes room for a new one.
	roomRetryInterval = 20 * time.Millisecond
)

var hungUpConns = telemetry.NewCounter("gateway_hung_up_connections_total",
	"Connections whose callers had hung up before their request was parsed. Nothing of it is served.")

var evictedConns = telemetry.NewCounter("gateway_evicted_connections_total",
	"Connections without a whole request, or whose caller does not read, that were closed because the maximum number of connections was open.", telemetry.Alert)

// Limits bound what a caller sends.
type Limits struct {
	HeadBytes int           // of a request's first line and headers
	HeadTime  time.Duration // from the first byte of a head to its last
	IdleTime  time.Duration // for which a connection may be unused between two requests
}

// Config holds the settings of a Server.
type Config struct {
	Handler http.Handler
	// Connections is how many connections may be open at a time.
	Connections int
	// Patience is how long a new connection may take to send a request before it makes room for others, if there is
	// none left.
	Patience time.Duration
	// DropsHungUp is whether a request is dropped unread if its caller has closed its sending side by the time it has
	// arrived. Callers that only half-close their connections get no response then.
	DropsHungUp bool
	// WriteTimeout bounds the time from the end of a request's head to the end of its response, unless the handler sets
	// another deadline; zero: no limit.
	WriteTimeout time.Duration
	// Limits returns the limits in force.
	Limits func() Limits
	// Memory is what the process holds for callers. Several servers may share it.
	Memory *budget.Memory
}

// Server is an http.Server on bounded connections.
type Server struct {
	*http.Server
	config Config
	began  time.Time

	requests *budget.Requests

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed chan struct{} // gets a value when a connection has closed
	ahead  chan struct{} // holds a value for each request that was sent ahead and is about to be read
	costly chan struct{} // holds a value for each head of many lines that is being parsed
}

// New returns a Server. Its Handler, ConnContext, ConnState, timeouts and MaxHeaderBytes must not be changed.
func New(c Config) *Server {
	s := &Server{config: c, began: time.Now(), requests: budget.NewRequests(c.Connections), conns: make(map[*conn]struct{}), closed: make(chan struct{}, 1),
		ahead: make(chan struct{}, aheadConcurrency), costly: make(chan struct{}, costlyConcurrency)}
	s.Server = &http.Server{
		DisableGeneralOptionsHandler: true, // it reads bodies before any handler of ours
		Handler:                      closeAfterUnknownBody(dropUnread(c.Handler)),
		ConnContext:                  contextWithConn,
		ConnState:                    recordState,
		ReadHeaderTimeout:            headTimeoutSentinel,
		IdleTimeout:                  idleTimeoutSentinel,
		WriteTimeout:                 c.WriteTimeout,
		MaxHeaderBytes:               serverMaxHeaderBytes,
	}
	return s
}

// Serve accepts and serves connections of l until l is closed. A Server serves one listener.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(boundedListener{Listener: l, server: s})
}

// ServeUntil serves connections of l in the background until ctx ends.
func (s *Server) ServeUntil(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
}

// boundedListener accepts connections for a Server.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. While the maximum number of connections is open, it closes the one that
// budget.Connection.MakesRoomBefore says, and blocks while there is none. Without the limit the process could run out
// of file descriptors and would then be unable to connect to upstreams. Without the closing, callers that keep
// connections which they do not use would shut out all others.
func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.acceptOpen()
	if err != nil {
		return nil, err
	}
	var retry time.Time // when another connection makes room, if the one before is not yet done with
	for !l.server.add(c) {
		if now := time.Now(); !now.Before(retry) && l.server.makeRoom() {
			retry = now.Add(roomRetryInterval)
		}
		l.server.waitForRoom()
	}
	return c, nil
}

// acceptOpen accepts a connection whose caller has not hung up. Callers that send requests and hang up at once, thousands of
// times a second, would otherwise take the processor from those that wait for a response.
func (l boundedListener) acceptOpen() (*conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l.server)
		if !c.isHungUp() {
			return c, nil
		}
		hungUpConns.Inc()
		_ = accepted.Close() // nobody waits for anything from it
	}
}

// add adds a connection, and reports whether there was room for it.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.config.Connections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// Connections returns how many connections are open, by phase, and how many may be.
func (s *Server) Connections() (open map[budget.Phase]int, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open = make(map[budget.Phase]int)
	for c := range s.conns {
		open[c.state().Phase]++
	}
	return open, s.config.Connections
}

// remove removes a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.closed <- struct{}{}:
	default:
	}
}

// waitForRoom waits until a connection closes, and for roomRetryInterval at most.
func (s *Server) waitForRoom() {
	timer := time.NewTimer(min(roomRetryInterval, max(s.config.Patience, time.Millisecond)))
	defer timer.Stop()
	select {
	case <-s.closed:
	case <-timer.C:
	}
}

// makeRoom closes the connection that makes room before all others, and reports whether there is one. There is room once
// net/http has done with it: until then it takes memory.
func (s *Server) makeRoom() bool {
	victim := s.expendable()
	if victim == nil {
		return false
	}
	evictedConns.Inc()
	victim.abort()
	return true
}

// expendable returns the connection that makes room before all others; nil: there is none. If there are many, it is the
// first of maxCandidates, in the random order of a map. A connection whose caller has sent bytes that were not read yet
// is spared where the process has waited for them: the request is not sent to an upstream, but its caller would have to
// come again.
func (s *Server) expendable() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *conn
	var state budget.Connection
	candidates := 0
	for c := range s.conns {
		if c.isAborted() {
			continue
		}
		if candidates++; candidates > maxCandidates && found != nil {
			return found
		}
		candidate := c.state()
		better := candidate.MakesRoom(s.config.Patience)
		if found != nil {
			better = candidate.MakesRoomBefore(state, s.config.Patience)
		}
		if better && !((candidate.Phase == budget.PhaseIdle || candidate.Phase == budget.PhaseSilent) && netpeek.Peek(c.raw()) == netpeek.Readable) {
			found, state = c, candidate
		}
	}
	return found
}

// closeAfterUnknownBody returns a handler that closes the connection after a request whose body ends where only net/http
// knows, and passes it to next: a body in chunks, or of a length that headScan does not find. net/http may have read a part
// of the next request with it.
//
// It also prevents request smuggling. If a request has both chunks and a Content-Length, the server reads its body by
// the chunks, as it should. A proxy in front that goes by the length may forward bytes after the last chunk as part of
// the body, and the server would read them as the next request. Such requests can't be recognised here, as net/http
// removes the Content-Length.
func closeAfterUnknownBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if len(r.TransferEncoding) > 0 || c != nil && !c.knowsBody(r.ContentLength) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// recordState is the http.Server's ConnState.
func recordState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.endRequest()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// contextWithConn stores the connection in the context of its requests.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the conn of a request; nil: the request does not come from a Server.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// ConnOf returns the caller's connection of a request, as its listener returned it; nil: the request does not come
// from a Server.
func ConnOf(r *http.Request) net.Conn {
	if c := connOf(r); c != nil {
		return c.Conn
	}
	return nil
}

// Reset resets the caller's connection of a request, below TLS, so that no regular end is sent. It has no effect on a request
// that does not come from a Server.
func Reset(r *http.Request) {
	c := connOf(r)
	if c == nil {
		return
	}
	raw := c.raw()
	if socket, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
	_ = raw.Close()
}

// Admit counts a request for a party, an organisation, until its response has been written. It returns
// budget.ErrNoConnections if the party's requests take as many of the server's connections as they may. A request that
// does not come from a Server is admitted.
func Admit(r *http.Request, party string) error {
	if c := connOf(r); c != nil {
		return c.admit(party)
	}
	return nil
}

// ClaimOf returns the claim that holds the memory of a request until its response has been written. The memory for
// its body is added to it. For a request that does not come from a Server it is a claim of nothing, of memory.
func ClaimOf(r *http.Request, memory *budget.Memory) *budget.Claim {
	if c := connOf(r); c != nil {
		return c.claim
	}
	return memory.NewClaim(func() {})
}
