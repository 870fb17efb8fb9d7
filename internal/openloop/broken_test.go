package openloop

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
)

// A server answers uploads at once, sends a part of a body without a length and resets the connection while the upload is
// written. Guards against a report that counts the part as a whole response.
func TestEarlyResponsesThatBreakOffAreNotCounted(t *testing.T) {
	s, err := standin.StartRaw(func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	o := options("http://" + s.Addr())
	o.Body = strings.Repeat("u", 4<<20)
	if r := runLoad(t, o); r.Statuses["200"] > 0 || r.Statuses["none"] == 0 {
		t.Errorf("statuses %v", r.Statuses)
	}
}
