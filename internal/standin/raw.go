package standin

import (
	"bufio"
	"net"
	"net/http"
)

// RawResponder answers one request by writing to its connection, which is closed after it. The body of the request has not
// been read.
type RawResponder func(c *net.TCPConn, r *http.Request)

// Raw is an upstream that answers with bytes of its own, which may be no response.
type Raw struct {
	listener net.Listener
	respond  RawResponder
}

// StartRaw starts a Raw upstream at a free port of the loopback interface.
func StartRaw(respond RawResponder) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: l, respond: respond}
	go r.serve()
	return r, nil
}

// Addr returns the host:port of the upstream.
func (u *Raw) Addr() string { return u.listener.Addr().String() }

// Close stops accepting connections.
func (u *Raw) Close() error { return u.listener.Close() }

func (u *Raw) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				u.respond(c.(*net.TCPConn), r)
			}
		}()
	}
}
