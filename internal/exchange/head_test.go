package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// callRaw calls an upstream that sends text, with $ID for the id of the call, and ends the connection. It returns the body of
// the response, and an error if there is none or it is not whole.
func callRaw(t *testing.T, text string) (string, error) {
	t.Helper()
	u, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "$ID", r.Header.Get("Id")))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	client := exchange.NewClient(plainDialect{}, exchange.Dialer())
	s, err := client.Do(context.Background(), topo.VM{ID: "vm", Addr: u.Addr()}, endlessCall(), func(time.Time) bool { return true })
	if err != nil {
		return "", err
	}
	defer s.Close()
	return readBody(s)
}

// soundResponse is a response to the call, which may follow bytes that are none.
const soundResponse = "HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 5\r\n\r\nhello"

// An upstream sends an answer whose status is none. Guards against a caller that gets it as an answer, or the bytes after
// it, which were read as if it were an interim response.
func TestAnswersWithoutAStatusAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "+99", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " OK\r\nId: $ID\r\n"
		for _, text := range []string{
			head + "Content-Length: 5\r\n\r\nhello", head + "\r\n" + soundResponse,
			"HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n" + soundResponse,
		} {
			if body, err := callRaw(t, text); err == nil {
				t.Errorf("%q is an answer with %q", text, body)
			}
		}
	}
}

// An upstream sends an answer in whose head the name of a field holds a blank or a control byte. Guards against a caller that
// gets it as an answer, without that line, or with a body that is not the upstream's where the line says its length.
func TestAnswersWithFaultyNamesAreNone(t *testing.T) {
	for _, field := range []string{"Content-Length : 5", "Transfer-Encoding : chunked", "X Y: z", "X : z", "X\t: z", "X\x00: z", "\x01: z", "X\x7fY: z", ": z", "X: z\x00"} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nId: $ID\r\n" + field + "\r\n\r\nhello, and more",
			"HTTP/1.1 200 OK\r\n" + field + "\r\nId: $ID\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + soundResponse,
		} {
			if body, err := callRaw(t, text); err == nil {
				t.Errorf("%q is an answer with %q", text, body)
			}
		}
	}
}

// An upstream says twice where the body of its answer ends, or in a way that the version of its answer doesn't have. Guards
// against a caller that gets the sizes of chunks, or bytes after the body, as the body.
func TestAnswersWithFaultyFramingAreNone(t *testing.T) {
	const chunks = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\nId: $ID\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.0 200 OK\r\nId: $ID\r\nContent-Length: 15\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 15\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nTransfer-Encoding: chunked\r\nContent-Length: 5" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nTransfer-Encoding: gzip, chunked" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nTransfer-Encoding: identity" + chunks,
		"HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 5, 6\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: +5\r\n\r\nhello",
		"HTTP/1.1 204 No Content\r\nId: $ID\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 204 No Content\r\nId: $ID\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + soundResponse,
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + soundResponse,
	} {
		if body, err := callRaw(t, text); err == nil {
			t.Errorf("%q is an answer with %q", text, body)
		}
	}
}

// Bodies that end in chunks, or have one length or the same one twice, are delivered, also with an answer of HTTP/1.0.
func TestAnswersWithOneFramingAreDelivered(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: $ID\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 5\r\ncontent-length:5 \r\n\r\nhello",
		"HTTP/1.0 200 OK\r\nId: $ID\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\nId: $ID\r\n\r\nhello",
		"HTTP/1.1 200 OK\nId: $ID\n\nhello",
	} {
		if body, err := callRaw(t, text); err != nil || body != "hello" {
			t.Errorf("%q: %q, error %v", text, body, err)
		}
	}
}

// Interim responses are skipped, and the response after them is delivered.
func TestResponseAfterInterimOnesIsDelivered(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
	if body, err := callRaw(t, interim+"HTTP/1.1 100 Continue\r\n\r\n"+soundResponse); err != nil || body != "hello" {
		t.Errorf("%q, error %v", body, err)
	}
}

// An upstream sends a faulty line of a head, and then nothing more. Guards against a caller that waits until its deadline.
func TestCallEndsWithTheFirstFaultyLine(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nX Y"} {
		t.Run(begin, func(t *testing.T) { expectEndAfter(t, begin) })
	}
}
