package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
	// memoryRetryAfter is when a caller may return for whose head there is no memory, in seconds. What takes the memory
	// are requests that are served, for some seconds.
	memoryRetryAfter = 1
)

// refusal is why a head is refused.
type refusal string

// Reasons of refusals.
const (
	refusedTooLarge refusal = "header-too-large"
	refusedTimeout  refusal = "request-timeout"
	refusedMemory   refusal = "queue-full"
)

// statuses holds the statuses of refusals. 408 and 503 promise that the request has not run and never will.
var statuses = map[refusal]int{
	refusedTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	refusedTimeout:  http.StatusRequestTimeout,
	refusedMemory:   http.StatusServiceUnavailable,
}

var refusedHeads = telemetry.NewFamily[refusal]("httpserver_refused_heads_total", "reason",
	"Requests that were refused before their heads were parsed: too large, too slow, or without memory for them.", telemetry.Alert)

// refuseReading ends a connection on which a head could not be received.
func (c *conn) refuseReading(err error) error {
	switch {
	case c.claim.SetComplete() != nil, errors.Is(err, budget.ErrNoMemory), errors.Is(err, budget.ErrNoShare), errors.Is(err, budget.ErrReclaimed):
		return c.refuse(refusedMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(refusedTimeout)
	}
	return err
}

// refuse answers a request whose head was not parsed, and returns io.EOF, after which net/http closes the connection
// without an answer of its own.
func (c *conn) refuse(reason refusal) error {
	refusedHeads.Inc(reason)
	c.enter(budget.PhaseClosing)
	c.noMore = true
	c.drop()
	c.claim.Release()
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := io.WriteString(c.Conn, refusalText(reason))
	c.lingers.Store(err == nil)
	return io.EOF
}

// refusalText returns the response to a refused request.
func refusalText(reason refusal) string {
	var b strings.Builder
	status := statuses[reason]
	body := fmt.Sprintf("{\"title\":%q,\"verdict\":\"not-run\"}\n", reason)
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n", status, http.StatusText(status), len(body))
	if reason == refusedMemory {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", memoryRetryAfter)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	return b.String()
}
