package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// countingHandler admits every submit, and closes done after the remaining frames have arrived.
type countingHandler struct {
	remaining int
	done      chan struct{}
}

func (c *countingHandler) HandleCall(_ context.Context, _ *Conn, _ Method, p Params) (any, error) {
	var s Submit
	return Admission{}, p.Decode(&s)
}

func (c *countingHandler) HandleFrame(*Conn, Frame) {
	if c.remaining--; c.remaining == 0 {
		close(c.done)
	}
}

// loopback connects two Conns over TCP and returns one of them.
func loopback(b *testing.B, h Handler) *Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	x, y := NewConn(context.Background(), near, h), NewConn(context.Background(), <-accepted, h)
	b.Cleanup(func() { _, _ = x.Close(), y.Close() })
	b.ReportAllocs()
	b.ResetTimer()
	return x
}

// BenchmarkData measures a Data frame of the size of one token's event, from Send to
// HandleFrame.
func BenchmarkData(b *testing.B) {
	h := &countingHandler{remaining: b.N, done: make(chan struct{})}
	c := loopback(b, h)
	for i := range b.N {
		if err := c.Send(Data{Stream: 1, Offset: int64(i), Bytes: make([]byte, 220)}); err != nil {
			b.Fatal(err)
		}
	}
	<-h.done
}

// BenchmarkSubmit measures a submit and its reply for several body sizes.
func BenchmarkSubmit(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := loopback(b, &countingHandler{})
			s := Submit{
				Org: "acme", Policy: RequestPolicy{Profile: "chat", Deadline: time.Minute, Priority: 3},
				Call: Call{Method: "POST", Path: "/v1/chat/completions", Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, size)},
			}
			for range b.N {
				if _, err := c.submit(context.Background(), s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
