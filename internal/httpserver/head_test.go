package httpserver

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHeadScan compares where a head ends with what net/http reads as one. Guards against a scan that waits for more of
// a head which net/http takes as whole: the request would wait for its timeout; and against one that hands over more
// than the body of a request: the head of the next one would be parsed while it arrives.
func FuzzHeadScan(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: a\r\ncontent-length:  3 \r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n  2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n \r\nY: 2\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:" + strings.Repeat(" ", maxScannedLine) + "3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n \r\n\r\nabc",
		"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(text), 1)
		f.Add([]byte(text), 5)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		rest := bytes.NewReader(b)
		buffered := bufio.NewReader(rest)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return // nothing is served
		}
		head := len(b) - rest.Len() - buffered.Buffered()
		var scan headScan
		piece = max(1, min(piece, len(b)))
		end := 0
		for end < len(b) && !scan.ended {
			end += scan.feed(b[end:min(end+piece, len(b))])
		}
		if !scan.ended || end > head {
			t.Fatalf("%q: the head ends at %d, ended %v, for net/http at %d", b, end, scan.ended, head)
		}
		if end == head && scan.body != unknownLength && len(r.TransferEncoding) == 0 && scan.body != max(r.ContentLength, 0) {
			t.Errorf("%q: a body of %d bytes, for net/http %d", b, scan.body, r.ContentLength)
		}
		if len(r.TransferEncoding) > 0 && scan.body != unknownLength {
			t.Errorf("%q: a body of %d bytes, in chunks", b, scan.body)
		}
	})
}

// Guards against a head that is taken for larger than it is: a request of exactly the limit would be refused.
func TestSizeOfAHead(t *testing.T) {
	text := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("b:\r\n", 20)
	var scan headScan
	if n := scan.feed([]byte(text + "\r\n")); n != len(text)+emptyLine || scan.size() != len(text) || scan.lines != 23 {
		t.Errorf("%d bytes scanned, size %d, %d lines", n, scan.size(), scan.lines)
	}
}
