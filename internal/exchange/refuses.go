package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/netpeek"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// newConnIdleTimeout is how long a connection that has not served a call yet is kept.
const newConnIdleTimeout = time.Second

// Reachability is what an attempt to open a connection to an upstream has shown.
type Reachability int

const (
	ReachUnknown Reachability = iota // nothing: it timed out, or another check is under way
	Accepts                          // it accepts connections
	Refuses                          // it refuses connections
)

// Check finds out whether an upstream accepts connections. If one is idle and open, it does: a process that
// ends closes them. Otherwise Check opens one, and keeps it for the next call. Only one check of an
// upstream runs at a time.
func (c *Client) Check(ctx context.Context, vm topo.VM) Reachability {
	return c.check(ctx, vm, true)
}

// CheckAnew is Check with a new connection in any case. The idle ones of a machine that has fallen silent
// stay open.
func (c *Client) CheckAnew(ctx context.Context, vm topo.VM) Reachability {
	return c.check(ctx, vm, false)
}

func (c *Client) check(ctx context.Context, vm topo.VM, idleSuffices bool) Reachability {
	ep := endpoint{instance: vm.ID, addr: vm.Addr}
	if !c.beginCheck(ep) {
		return ReachUnknown
	}
	defer c.endCheck(ep)
	if idleSuffices && c.hasOpenIdle(ep) {
		return Accepts
	}
	conn, err := c.openConn(ctx, ep)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	case err != nil:
		return ReachUnknown
	}
	conn.expires = time.Now().Add(newConnIdleTimeout)
	c.putIdle(ep, conn)
	return Accepts
}

// hasOpenIdle reports whether an idle connection to an upstream is known to be open.
func (c *Client) hasOpenIdle(ep endpoint) bool {
	conn := c.takeIdle(ep)
	if conn == nil {
		return false
	}
	if netpeek.Peek(conn.NetConn()) != netpeek.Idle {
		_ = conn.Close()
		return false
	}
	c.putIdle(ep, conn)
	return true
}

func (c *Client) beginCheck(ep endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking[ep] {
		return false
	}
	c.checking[ep] = true
	return true
}

func (c *Client) endCheck(ep endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checking, ep)
}
