package http1

import (
	"errors"
	"testing"
)

// checkWhole checks a head byte by byte and in one piece, and returns why it is none.
func checkWhole(t *testing.T, head string) error {
	t.Helper()
	var whole, pieces HeadChecker
	_, err := whole.Check([]byte(head))
	var bytewise error
	for i := 0; i < len(head) && bytewise == nil; i++ {
		_, bytewise = pieces.Check([]byte{head[i]})
	}
	if (err == nil) != (bytewise == nil) {
		t.Errorf("%q: %v, and byte by byte %v", head, err, bytewise)
	}
	var fault *HeadError
	if err != nil && !errors.As(err, &fault) {
		t.Errorf("%q: %v is no HeadError", head, err)
	}
	if err == nil && !whole.Ended() {
		t.Errorf("%q has not ended", head)
	}
	return err
}

// Guards against answers whose status is none, or that are read as interim ones, so that the bytes after them are taken for
// the answer.
func TestStatusesThatAnswerNothing(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-20", "20", "2000", "0x2", " ", "", "２00", "600", "999", "101"} {
		for _, version := range []string{"HTTP/1.1 ", "HTTP/1.0 "} {
			if checkWhole(t, version+status+" OK\r\n\r\n") == nil {
				t.Errorf("%q is taken for a status", status)
			}
		}
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/1.10", "HTTP/1", "HTTP/0.9", "http/1.1", "HTTP/1.x", "ICY"} {
		if checkWhole(t, version+" 200 OK\r\n\r\n") == nil {
			t.Errorf("%q is taken for a version of HTTP/1", version)
		}
	}
}

// faultyNames are names that no field has.
var faultyNames = []string{"Content-Length ", "Content Length", "X Y", "X ", "X\t", "X\x00", "\x01", "X\x7f", "\x80", "X(Y)", "Content-Length\r", "", "X\x1fY", "X/Y", "<html>"}

// Guards against answers in whose head the name of a field holds a blank or a control byte: net/http keeps some of these
// as they are, and does not know the length that such a line gives.
func TestNamesThatNoFieldHas(t *testing.T) {
	for _, name := range faultyNames {
		for _, status := range []string{"200 OK", "503 Service Unavailable", "103 Early Hints"} {
			for _, before := range []string{"", "X: y\r\n", "X: y\r\n z\r\n"} {
				if checkWhole(t, "HTTP/1.1 "+status+"\r\n"+before+name+": 5\r\n\r\n") == nil {
					t.Errorf("%q is taken for the name of a field", name)
				}
			}
		}
	}
	for _, line := range []string{" X: y", "\tX: y", "X", "hello world", "X: y\x00", "X: y\rZ: q", "X: y\r\n z\x01"} {
		if checkWhole(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n") == nil {
			t.Errorf("%q is taken for a field", line)
		}
	}
}

// faultyFramings are lines that say twice where a body ends, in a way that HTTP/1.1 doesn't have, or not at all.
var faultyFramings = []string{
	"Content-Length: 5\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5", "Transfer-Encoding: chunked\r\ncontent-length: 0",
	"Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5\r\nX: y\r\nContent-Length: 05", "Content-Length: 5, 5", "Content-Length: 5,6", "Content-Length: 5\r\n 6",
	"Content-Length:", "Content-Length: ", "Content-Length: +5", "Content-Length: -5", "Content-Length: 0x5", "Content-Length: 5 5", "Content-Length: 5;", "Content-Length: 5.0", "Content-Length: \xb2",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip",
	"Transfer-Encoding: identity", "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1", "Transfer-Encoding: xchunked", "Transfer-Encoding: chun\r\n ked",
}

// Guards against a body that is read to where the upstream did not mean it to end.
func TestFramingsThatSayNothingSure(t *testing.T) {
	for _, lines := range faultyFramings {
		if checkWhole(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\n\r\n") == nil {
			t.Errorf("%q is believed", lines)
		}
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked", "HTTP/1.1 204 No Content\r\nContent-Length: 5",
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked", "HTTP/1.1 100 Continue\r\nContent-Length: 05",
	} {
		if checkWhole(t, head+"\r\n\r\n") == nil {
			t.Errorf("%q is believed", head)
		}
	}
}

// Heads that are lax, and mean one thing only, must be served.
func TestLaxHeadsAreHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n", "HTTP/1.1 599 Not\tFound\x80\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX:\r\nY: \r\nx!#$%&'*+-.^_`|~9: \x80 z\t\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\t\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nCONTENT-LENGTH:5 \r\ncontent-length:\t5\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	} {
		if err := checkWhole(t, head); err != nil {
			t.Error(err)
		}
	}
}
