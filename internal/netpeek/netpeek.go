// Package netpeek inspects the state of a connection without reading from it.
package netpeek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// State states whether a connection is open and has bytes to read.
type State uint8

const (
	// Unknown is a connection that can't be inspected.
	Unknown State = iota
	// Idle is an open connection with nothing to read.
	Idle
	// Readable is a connection with bytes that have not been read.
	Readable
	// Closed is a connection that the other side has closed or reset.
	Closed
)

// Peek returns the state of c. Other goroutines may use c at the same time.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		case err != nil || n == 0:
			state = Closed
		default:
			state = Readable
		}
	})
	if err != nil { // c has been closed by this process
		return Closed
	}
	return state
}
