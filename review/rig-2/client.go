package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one attempt of a client, and what the client saw of its answer.
type call struct {
	id       string
	router   string
	path     string
	sent     time.Time
	ended    time.Time // of the whole answer, or of the connection; zero: the client gave up first
	status   int       // zero: no head
	complete bool      // the whole answer arrived
	body     string
	err      error
	gaveUp   bool // the client left at its deadline
}

func (c *call) String() string {
	outcome := "complete"
	switch {
	case c.gaveUp:
		outcome = "not ended when the client left at its deadline"
	case !c.complete:
		outcome = fmt.Sprintf("connection ended without a complete answer: %v", c.err)
	}
	after := time.Duration(0)
	if !c.ended.IsZero() {
		after = c.ended.Sub(c.sent)
	}
	return fmt.Sprintf("call %s to %s %s: status %d, %d bytes, %s, after %v", c.id, c.router, c.path, c.status, len(c.body), outcome, after.Round(time.Millisecond))
}

// client keeps one connection to a router, on which it sends one request at a time.
type client struct {
	router *router
	out    *record
	mu     sync.Mutex
	conn   net.Conn
	br     *bufio.Reader
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request describes a request.
type request struct {
	method, path string
	header       map[string]string
	body         string
	patience     time.Duration // after which the client leaves; also its Deadline-Ms
}

// do sends a request and reads its answer until it is complete, its connection ends or the client's patience is over.
// With onBytes, that is called with all of the body that has arrived, at each piece.
func (c *client) do(q request, onBytes func(*call, string)) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &call{id: fmt.Sprintf("%016x", rand.Uint64()), router: c.router.name, path: q.path}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router.front(), time.Second)
		if err != nil {
			out.sent = time.Now()
			out.ended, out.err = out.sent, err
			return out
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, out.id, apiKey, q.patience.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	out.sent = time.Now()
	c.out.printf("call %s to %s: sent %s %s, Deadline-Ms %d", out.id, out.router, q.method, q.path, q.patience.Milliseconds())
	_ = c.conn.SetDeadline(out.sent.Add(q.patience))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return c.failed(out, err)
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err != nil {
		return c.failed(out, err)
	}
	out.status = resp.StatusCode
	piece := make([]byte, 4096)
	var body bytes.Buffer
	for {
		n, err := resp.Body.Read(piece)
		if body.Len() < 1<<20 {
			body.Write(piece[:n])
		}
		out.body = body.String()
		if onBytes != nil && n > 0 {
			onBytes(out, out.body)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return c.failed(out, err)
		}
	}
	out.ended, out.complete = time.Now(), true
	if resp.Close {
		c.drop()
	}
	c.out.printf("%s", out)
	return out
}

// failed ends a call without a complete answer.
func (c *client) failed(out *call, err error) *call {
	c.drop()
	out.err = err
	if n, ok := err.(net.Error); ok && n.Timeout() {
		out.gaveUp = true
	} else {
		out.ended = time.Now()
	}
	c.out.printf("%s", out)
	return out
}
