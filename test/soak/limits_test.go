package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Limits in time in the configuration of a soak.
const (
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
)

// One caller at a time sends requests that use all that the operators' limits allow, to a router of the smallest
// machine. Guards against limits of the router's own that a caller inside the operators' meets.
func TestSoakRequestsAtTheLimits(t *testing.T) {
	t.Parallel()
	h := newHarness(t, *from, true)
	h.entryCount = 1
	h.machine = smallMachine
	defer h.close()
	h.start()
	e := h.entries[0]

	write := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		h.checkError(err)
	}
	// headOf returns the head of a request, without the empty line at its end.
	headOf := func(more string) string {
		call := h.newCall(http.MethodPost, "/book/1", "key-0")
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Token %s\r\n%s", call.path, callerHost, call.id, call.key, more)
	}
	// fill returns a head of exactly the limit, without the empty line at its end, with as many of a field as fit.
	fill := func(head, field string) string {
		const last = "y:\r\n"
		for len(head)+len(field)+len(last) <= headerLimit {
			head += field
		}
		return head + "y:" + strings.Repeat("v", headerLimit-len(head)-len(last)) + "\r\n"
	}
	plain := func() string { return headOf("Content-Length: 2\r\n") + "\r\nok" }
	requests := []struct {
		name string
		send func(c net.Conn, r *bufio.Reader)
	}{
		{"a body with a length", func(c net.Conn, _ *bufio.Reader) {
			write(c, headOf(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+"\r\n"+strings.Repeat("b", bodyLimit))
		}},
		{"a body in chunks of a byte", func(c net.Conn, _ *bufio.Reader) {
			write(c, headOf("Transfer-Encoding: chunked\r\n")+"\r\n"+strings.Repeat("1\r\nb\r\n", bodyLimit)+"0\r\n\r\n")
		}},
		{"a head in short fields", func(c net.Conn, _ *bufio.Reader) {
			write(c, fill(headOf("Content-Length: 0\r\n"), "x:\r\n")+"\r\n")
		}},
		{"a head in one field", func(c net.Conn, _ *bufio.Reader) {
			write(c, fill(headOf("Content-Length: 0\r\n"), strings.Repeat("x", headerLimit))+"\r\n")
		}},
		{"a head that takes its time", func(c net.Conn, _ *bufio.Reader) {
			text := plain()
			write(c, text[:1])
			time.Sleep(headerTime)
			write(c, text[1:])
		}},
		{"a connection that was idle", func(c net.Conn, r *bufio.Reader) {
			write(c, plain())
			resp, err := http.ReadResponse(r, nil)
			if h.checkError(err); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			time.Sleep(idleTime * 4 / 5)
			write(c, plain())
		}},
	}
	t.Run("requests", func(t *testing.T) {
		for _, request := range requests {
			t.Run(strings.ReplaceAll(request.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", e.addr())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				r := bufio.NewReader(c)
				request.send(c, r)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				text, err := io.ReadAll(resp.Body)
				if resp.StatusCode != http.StatusOK || err != nil {
					t.Errorf("status %d, %q, %v", resp.StatusCode, text, err)
				}
			})
		}
	})
}
