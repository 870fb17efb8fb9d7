package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"
)

// Whatever bytes come, a head that is accepted ends where net/http reads its end, and means the same to it: a status that is
// an answer or an interim one, names that are tokens, and one end of the body. Guards against a head that is checked as one
// thing and read as another.
func FuzzHeadChecker(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nhello",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", "HTTP/1.1 200 OK\nX: y\n z\n\n", "HTTP/1.1 200 OK\r\nX: y\r\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	for _, name := range faultyNames {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + name + ": 5\r\n\r\nhello"))
	}
	for _, lines := range faultyFramings {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nhello"))
		f.Add([]byte("HTTP/1.0 204 OK\r\n" + lines + "\r\n\r\nhello"))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var head, bytewise HeadChecker
		n, err := head.Check(b)
		for i := 0; i < n; i++ {
			if _, err := bytewise.Check(b[i : i+1]); err != nil {
				t.Fatalf("%q: %v byte by byte", b[:i+1], err)
			}
		}
		var fault *HeadError
		if err != nil && !errors.As(err, &fault) {
			t.Fatalf("%q: %v is no HeadError", b, err)
		}
		if err != nil || !head.Ended() {
			return
		}
		if !bytewise.Ended() {
			t.Fatalf("%q has not ended byte by byte", b[:n])
		}
		checkAgainstNetHTTP(t, b, n, head)
	})
}

// checkAgainstNetHTTP checks that net/http refuses a head that was accepted, or reads the same.
func checkAgainstNetHTTP(t *testing.T, b []byte, n int, head HeadChecker) {
	r := bufio.NewReaderSize(bytes.NewReader(b), max(len(b), 16))
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return
	}
	if read := len(b) - r.Buffered(); read != n {
		t.Fatalf("%q ends after %d bytes, and for net/http after %d", b, n, read)
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || head.IsInterim() != (resp.StatusCode < http.StatusOK) {
		t.Fatalf("%q has the status %d", b, resp.StatusCode)
	}
	hasNoBody := resp.Body == http.NoBody
	if framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0; framed != head.IsFramed() && !hasNoBody {
		t.Fatalf("%q is framed: %v, for net/http %v", b, head.IsFramed(), framed)
	}
	for name := range resp.Header {
		for i := range len(name) {
			if !isTokenByte(name[i]) {
				t.Fatalf("%q has the name %q", b, name)
			}
		}
	}
}
