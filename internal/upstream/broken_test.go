package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	halfText  = "id: 1\ndata: x\n\n" // ends after a whole event
	wholeText = halfText + "id: 2\ndata: y\n\n"
)

// newRawUpstream returns an upstream that answers with bytes of its own.
func newRawUpstream(t *testing.T, respond standin.RawResponder) *HTTP {
	u, err := standin.StartRaw(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	return NewHTTP("http://" + u.Addr())
}

// upload makes a call with a body of a size and returns the body of its response, and an error if it is not whole.
func upload(u *HTTP, size int, idempotent bool) (string, error) {
	call := wire.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, size)}
	resp, err := u.Do(context.Background(), Request{ID: "1", Idempotent: idempotent, Call: call})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// An upstream answers before it has read a long body, sends a part of its response and breaks off. Guards against a
// sidecar that takes that part for the whole response: the goroutine that writes the body meets the reset, which a socket
// reports once, and the reader meets a regular end.
func TestEarlyResponseThatBreaksOffIsIncomplete(t *testing.T) {
	const calls = 40
	for _, c := range []struct {
		name, head string
		pause      time.Duration
		reset      bool
	}{
		{"reset", "HTTP/1.1 200 OK\r\n\r\n", 0, true},
		{"reset after a pause", "HTTP/1.1 200 OK\r\n\r\n", 5 * time.Millisecond, true},
		{"reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", 0, true},
		{"stream reset after an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", 0, true},
		{"closed with the body unread", "HTTP/1.1 200 OK\r\n\r\n", 0, false},
	} {
		for _, size := range []int{256 << 10, 4 << 20} {
			for _, idempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d KiB, idempotent %v", c.name, size>>10, idempotent), func(t *testing.T) {
					u := newRawUpstream(t, func(conn *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(conn, c.head+halfText)
						time.Sleep(c.pause)
						if c.reset {
							_ = conn.SetLinger(0)
						}
					})
					whole := 0
					for range calls {
						if _, err := upload(u, size, idempotent); err == nil {
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
}

// An upstream sends a whole response without a length, after it has read the request, or before and then ends its sending
// side and reads the request to its end. The response must be kept.
func TestResponseWithoutALengthIsWhole(t *testing.T) {
	for name, early := range map[string]bool{"after the request": false, "before the request is read": true} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn *net.TCPConn, r *http.Request) {
				if !early {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+wholeText)
				if early {
					_ = conn.CloseWrite()
					time.Sleep(20 * time.Millisecond)
					_, _ = io.Copy(io.Discard, r.Body)
				}
			})
			for range 20 {
				if body, err := upload(u, 4<<20, false); err != nil || body != wholeText {
					t.Fatalf("%q, error %v", body, err)
				}
			}
		})
	}
}

// newTextUpstream returns an upstream that answers each call with a text and ends the connection.
func newTextUpstream(t *testing.T, text string) *HTTP {
	return newRawUpstream(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) })
}

// checkNoAnswer checks that a text is taken for an answer by none of the clients, and that the call may have run.
func checkNoAnswer(t *testing.T, text string) {
	t.Helper()
	u := newTextUpstream(t, text)
	for _, idempotent := range []bool{false, true} {
		body, err := upload(u, 0, idempotent)
		if err == nil {
			t.Errorf("%q is an answer with %q", text, body)
			continue
		}
		if e := verdict.From(err); e == nil || e.Verdict != verdict.MayHaveRun {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

// soundResponse is a response, which may follow bytes that are none.
const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// An upstream sends an answer whose status is none. Guards against a sidecar that passes it on, so that the router breaks the
// caller's connection without a reason, and against one that takes the bytes after it for the answer.
func TestAnswersWithoutAStatusAreNone(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " OK\r\n"
		for _, text := range []string{
			head + "Content-Length: 5\r\n\r\nhello", head + "\r\n" + soundResponse,
			"HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n" + soundResponse,
		} {
			checkNoAnswer(t, text)
		}
	}
}

// An upstream sends an answer in whose head the name of a field holds a blank or a control byte. Guards against a sidecar that
// passes that line on, or a body that is not the upstream's where the line says its length.
func TestAnswersWithFaultyNamesAreNone(t *testing.T) {
	for _, field := range []string{"Content-Length : 5", "Transfer-Encoding : chunked", "X Y: z", "X : z", "X\t: z", "X\x00: z", ": z", "X: z\x00"} {
		checkNoAnswer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nhello, and more")
		checkNoAnswer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 5\r\n\r\nhello")
		checkNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+soundResponse)
	}
}

// An upstream says twice where the body of its answer ends, or in a way that the version of its answer doesn't have. Guards
// against a sidecar that keeps the sizes of chunks, or bytes after the body, as the body.
func TestAnswersWithFaultyFramingAreNone(t *testing.T) {
	const chunks = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 200 OK\r\nContent-Length: 15\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked" + chunks,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked" + chunks,
		"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + soundResponse,
	} {
		checkNoAnswer(t, text)
	}
}
