package daemon

import (
	"context"
	"log/slog"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// receiveBuffer is the size in bytes of the kernel's receive buffer of an accepted connection, which Linux doubles. What
// has arrived there and has not been read counts as memory of the process on the operators' platform. Left to itself the
// kernel lets it grow to megabytes a connection.
const receiveBuffer = 16 << 10

// listenBounded listens on a TCP address to which anyone may connect, with receive buffers of receiveBuffer.
func listenBounded(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
				slog.Warn("the receive buffers of connections can't be limited", "addr", addr, "error", err)
			}
		})
	}}
	l, err := c.Listen(context.Background(), "tcp", addr)
	return l, errors.WithStack(err)
}
