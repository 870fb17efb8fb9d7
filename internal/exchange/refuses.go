package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// newConnIdleTimeout is how long a connection that has not served a call yet is kept.
const newConnIdleTimeout = time.Second

// Refuses reports whether an upstream refuses connections. It opens one only if none is idle, and
// keeps it for the next call. Only one check of an upstream runs at a time; others return false.
func (c *Client) Refuses(ctx context.Context, vm topo.VM) bool {
	ep := endpoint{instance: vm.ID, addr: vm.Addr}
	if !c.beginCheck(ep) {
		return false
	}
	defer c.endCheck(ep)
	conn, err := c.getConn(ctx, ep)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if conn.expires.IsZero() {
		conn.expires = time.Now().Add(newConnIdleTimeout)
	}
	c.putIdle(ep, conn)
	return false
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
