// Package netpeek inspects the state of a connection without reading from it.
package netpeek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// State is the state of a connection as its reading end sees it.
type State uint8

const (
	// Unknown is the state of a connection that can't be inspected.
	Unknown State = iota
	// Idle is the state of an open connection with nothing to read.
	Idle
	// Readable is the state of a connection with bytes that have not been read. The
	// other side may have closed it after sending them.
	Readable
	// Closed is the state of a connection that this process has closed, or that the
	// other side has closed or reset with nothing left to read.
	Closed
)

// Stater is a connection without a socket that knows its State.
type Stater interface{ PeekState() State }

// Peek returns the state of c without blocking. It reads nothing from c, so other
// goroutines may use c at the same time.
func Peek(c net.Conn) State {
	if known, ok := c.(Stater); ok {
		return known.PeekState()
	}
	state := Unknown
	err := control(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		case err != nil || n == 0:
			state = Closed
		default:
			state = Readable
		}
	})
	if err != nil && !errors.Is(err, errNoSocket) { // c has been closed by this process
		return Closed
	}
	return state
}

// HasHungUp reports whether the other side of c has closed its sending side or reset the connection, also while bytes that
// it sent before have not been read. It does not block and reads nothing from c. It is false for a connection that can't
// be inspected.
func HasHungUp(c net.Conn) bool {
	return polls(c, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// HasFailed reports whether c can be used in neither direction any more, as after a reset. It does not block, and leaves
// the error of the reset to the next read or write. It is false for a connection that can't be inspected.
func HasFailed(c net.Conn) bool {
	return polls(c, unix.POLLHUP|unix.POLLERR)
}

// polls reports whether c is in one of the states of events.
func polls(c net.Conn, events int16) bool {
	found := false
	err := control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		found = err == nil && n > 0 && fds[0].Revents&events != 0
	})
	return err == nil && found
}

// Transmission is what the kernel knows of the bytes that were written to a TCP connection.
type Transmission struct {
	Acknowledged   uint64 // bytes that the other side has acknowledged
	Unacknowledged uint64 // bytes that it has not
	Unsent         uint64 // bytes of these that have not been sent yet
	Retransmitted  uint64 // bytes that have been sent again
	SegmentBytes   uint64 // size of the largest segment that is sent
}

// TransmissionOf returns the Transmission of c. known is false for a connection that can't be inspected.
func TransmissionOf(c net.Conn) (t Transmission, known bool) {
	err := control(c, func(fd int) {
		queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil {
			return
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		t = Transmission{
			Acknowledged: info.Bytes_acked, Unacknowledged: uint64(queued),
			Unsent: uint64(info.Notsent_bytes), Retransmitted: info.Bytes_retrans,
			SegmentBytes: uint64(info.Snd_mss),
		}
		known = true
	})
	return t, err == nil && known
}

// Socket returns the innermost connection of c, below TLS for example.
func Socket(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// errNoSocket reports that a connection is not a socket of this process.
var errNoSocket = errors.New("netpeek: not a socket")

// control calls f with the file descriptor of c. It returns errNoSocket if there is none, and another error if this process
// has closed c.
func control(c net.Conn, f func(fd int)) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return errNoSocket
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
