package exchange

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/netpeek"
)

const (
	// readBufferBytes is the size of a connection's buffer: the head of a response and
	// a few events fit into it.
	readBufferBytes = 4 << 10
	// concurrentBodyBytes is the size from which a body is written while the response
	// is awaited. An upstream may refuse a long request before it has read it, and a
	// smaller body fits into the socket's buffer.
	concurrentBodyBytes = 8 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle connection is
	// closed. A call sent while the upstream closes the connection may have run.
	idleMargin = 500 * time.Millisecond
)

// conn is a connection to an upstream. One call uses it at a time.
type conn struct {
	*http1.Conn
	r         *bufio.Reader
	allowance int64             // bytes that Read may still take from the socket
	head      http1.HeadChecker // of the head that is read, or of the latest one
	opened    time.Time         // when it was opened
	reused    bool              // the connection has been idle before
	proven    bool              // the incarnation that was called is at the other end: it has run a call
	expires   time.Time         // when an idle connection is to be closed
	upload    *http1.Upload     // of the latest call; nil: none was sent

	// The client's mutex guards the fields below.
	awaitsHead bool // a call was sent, and the head of its response has not been read
	lingers    bool // the call was left, and the head is still read
}

// newConn returns a conn with an empty read buffer.
func newConn(c net.Conn) *conn {
	out := &conn{Conn: http1.NewConn(c), allowance: unlimited, opened: time.Now()}
	out.r = bufio.NewReaderSize(out, readBufferBytes)
	return out
}

// Read implements net.Conn. It returns no bytes that complete a faulty head. Once the allowance is used up, it returns
// errTooLong.
func (c *conn) Read(b []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.allowance)])
	c.allowance -= int64(n)
	if _, fault := c.head.Check(b[:n]); fault != nil {
		c.Fail(fault)
		return 0, fault
	}
	return n, err
}

// reusable reports whether an idle connection is open and has nothing to read. Bytes
// after a complete response belong to no call, and the next call would take them for
// its own response.
func (c *conn) reusable() bool {
	state := netpeek.Peek(c.NetConn())
	return c.r.Buffered() == 0 && (state == netpeek.Idle || state == netpeek.Unknown)
}

// send writes a call. A long body is written by another goroutine, which may still be
// running when send returns; upload tells when it is done.
func (c *conn) send(call Call, header http.Header) error {
	var b bytes.Buffer
	b.Grow(readBufferBytes)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	if len(call.Body) > 0 || !omitsEmptyBody(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	_ = header.Write(&b) // writes to a Buffer do not fail
	b.WriteString("\r\n")
	upload := http1.NewUpload()
	c.upload = upload
	if len(call.Body) < concurrentBodyBytes {
		b.Write(call.Body)
		n, err := c.Write(b.Bytes())
		upload.End(uint64(n), err)
		return err
	}
	head, err := c.Write(b.Bytes())
	if err != nil {
		upload.End(uint64(head), err)
		return err
	}
	go func() {
		body, err := c.Write(call.Body)
		upload.End(uint64(head+body), err)
	}()
	return nil
}

// omitsEmptyBody reports whether a request with this method and an empty body is sent
// without Content-Length.
func omitsEmptyBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// keepFor returns how long a connection may stay idle after a response with headers h:
// less than the Keep-Alive timeout, or defaultIdleTimeout if there is none.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
