package wire

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// acceptRetryDelay is the pause after an error of a listener that may be temporary.
	acceptRetryDelay = 100 * time.Millisecond
	// silenceTimeout is how long an accepted connection may take to send its first frame. Peers send one at once.
	silenceTimeout = time.Second
)

var refusedPeers = telemetry.NewCounter("wire_refused_connections_total",
	"Accepted connections that were closed because the maximum number was open.", telemetry.Alert)

// Acceptor accepts connections of peers that are not authenticated. It bounds how many are open and what each may make
// the process hold. Without it, anyone who connects and sends nothing could take all descriptors of the process.
type Acceptor struct {
	Listener net.Listener
	Handler  Handler
	// MaxConnections is how many connections may be open at a time. Beyond that the one that has been silent for longest
	// is closed, and if each has sent a frame, the new one.
	MaxConnections int
	// MaxContent is the largest content of a frame in bytes.
	MaxContent int

	mu     sync.Mutex
	silent []*Conn // without a frame, in the order in which they were accepted
	open   int
}

// Run serves connections until the listener is closed. Their calls end with ctx.
func (a *Acceptor) Run(ctx context.Context) {
	for {
		c, err := a.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case a.makeRoom():
			a.serve(ctx, c)
		default:
			_ = c.Close()
		}
	}
}

// makeRoom reports whether another connection may be open, and closes the one that has been silent for longest if it
// takes that.
func (a *Acceptor) makeRoom() bool {
	a.mu.Lock()
	if a.open < a.MaxConnections {
		a.open++
		a.mu.Unlock()
		return true
	}
	var victim *Conn
	if len(a.silent) > 0 {
		victim, a.silent = a.silent[0], a.silent[1:]
	}
	a.mu.Unlock()
	refusedPeers.Inc()
	if victim == nil {
		return false
	}
	_ = victim.Close() // which is counted as it ends
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	return true
}

// serve serves a connection that is counted as open.
func (a *Acceptor) serve(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(silenceTimeout)) // fails only on a closed connection
	conn := prepareConn(c, a.Handler)
	conn.transport.maxContent = a.MaxContent
	conn.transport.onFirstFrame = func() {
		a.removeSilent(conn)
		_ = c.SetReadDeadline(time.Time{}) // likewise
	}
	a.mu.Lock()
	a.silent = append(a.silent, conn)
	a.mu.Unlock()
	conn.run(ctx, func(*Conn) {
		a.removeSilent(conn)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open--
	})
}

// removeSilent records that a connection is not silent any more.
func (a *Acceptor) removeSilent(conn *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.silent, conn); i >= 0 {
		a.silent = slices.Delete(a.silent, i, i+1)
	}
}
