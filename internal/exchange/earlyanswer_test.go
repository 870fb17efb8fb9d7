package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	uploadBytes = 4 << 20              // more than the buffers of a connection hold
	halfText    = "id: 1\ndata: x\n\n" // ends after a whole event
	wholeText   = halfText + "id: 2\ndata: y\n\n"
)

// serveEarly answers each call as soon as its head has arrived, with a head that says no length, and lets end end the
// connection.
func serveEarly(t *testing.T, status, text string, end standin.RawResponder) topo.VM {
	u, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "%s\r\nId: %s\r\n%s", status, r.Header.Get("Id"), text)
		end(c, r)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	return topo.VM{ID: "vm", Addr: u.Addr()}
}

// resetConn ends a connection with a reset.
func resetConn(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }

// closeUnread ends a connection on which bytes have not been read; the kernel resets it then.
func closeUnread(*net.TCPConn, *http.Request) {}

func after(pause time.Duration, end standin.RawResponder) standin.RawResponder {
	return func(c *net.TCPConn, r *http.Request) {
		time.Sleep(pause)
		end(c, r)
	}
}

// upload makes a call with a long body and returns the body of its response, and an error if it is not whole.
func upload(client *exchange.Client, vm topo.VM, size int) (string, error) {
	call := exchange.Call{Call: wire.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, size)}, Host: "host", ID: "a"}
	s, err := client.Do(context.Background(), vm, call, func(time.Time) bool { return true })
	if err != nil {
		return "", err
	}
	defer s.Close()
	return readBody(s)
}

// readBody reads a response to its end, and returns an error if it is not whole.
func readBody(s *exchange.Stream) (string, error) {
	var body bytes.Buffer
	for {
		p, err := s.Next()
		if err != nil {
			return body.String(), err
		}
		if p.End != nil {
			return body.String(), nil
		}
		body.Write(p.Bytes)
	}
}

// An upstream answers before it has read a long body, sends a part of its response and breaks off. Guards against
// taking that part for the whole response: the goroutine that writes the body meets the reset, which a socket reports
// once, and the reader meets a regular end.
func TestEarlyResponseThatBreaksOffIsIncomplete(t *testing.T) {
	const calls = 40
	const events = "Content-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct {
		name, status, text string
		end                standin.RawResponder
	}{
		{"reset", "HTTP/1.1 200 OK", "\r\n" + halfText, resetConn},
		{"reset, another success", "HTTP/1.1 201 Created", "\r\n" + halfText, resetConn},
		{"reset, HTTP/1.0", "HTTP/1.0 200 OK", "\r\n" + halfText, resetConn},
		{"reset, connection to be closed", "HTTP/1.1 200 OK", "Connection: close\r\n\r\n" + halfText, resetConn},
		{"reset after a pause", "HTTP/1.1 200 OK", "\r\n" + halfText, after(5*time.Millisecond, resetConn)},
		{"closed with the body unread", "HTTP/1.1 200 OK", "\r\n" + halfText, closeUnread},
		{"stream reset after an event", "HTTP/1.1 200 OK", events + halfText, resetConn},
	} {
		for _, size := range []int{16 << 10, 256 << 10, uploadBytes} {
			t.Run(fmt.Sprintf("%s, %d KiB", c.name, size>>10), func(t *testing.T) {
				vm := serveEarly(t, c.status, c.text, c.end)
				client := exchange.NewClient(plainDialect{}, exchange.Dialer())
				whole := 0
				for range calls {
					if _, err := upload(client, vm, size); err == nil {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d responses look complete", whole, calls)
				}
			})
		}
	}
}

// An upstream answers before it has read a long body, ends its sending side, and reads the body to its end. The response
// is whole, and must be delivered.
func TestEarlyResponseBeforeTheBodyIsReadIsWhole(t *testing.T) {
	vm := serveEarly(t, "HTTP/1.1 200 OK", "\r\n"+wholeText, func(c *net.TCPConn, r *http.Request) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	client := exchange.NewClient(plainDialect{}, exchange.Dialer())
	for range 20 {
		if body, err := upload(client, vm, uploadBytes); err != nil || body != wholeText {
			t.Errorf("%q, error %v", body, err)
		}
	}
}
