package soak

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a caller and the response to it.
type call struct {
	id, method, path, key, body string
	idempotent                  bool
	maxAttempts                 int // limit of the runners that it may be sent to
	stream                      bool
	parts                       []string      // the shared parts of a stream's prompt; nil: the usual ones
	http10                      bool          // the caller speaks HTTP/1.0
	resumes                     string        // the call that brought the first event of its stream; empty: it is new
	unnamed                     bool          // it takes up the stream without naming it
	lastEvent                   int           // number of the last event that the caller has
	patience                    time.Duration // how long the caller waits for the response
	deadline                    time.Duration // how long it says that it waits
	entry                       *entry
	incarnation                 int
	sent, done                  time.Time

	status         int // zero: the connection ended without a response
	signature      string
	responseBody   string
	complete       bool
	trailingBytes  bool // bytes followed the response
	signalsLeaving bool // the response announces that its runner leaves
}

const (
	// callTimeout is how long a caller waits for the end of a response, long after the router had to end
	// it.
	callTimeout = 15 * time.Second
	// callDeadline is how long it says that it waits.
	callDeadline = 5 * time.Second
	// minPatience and maxPatience bound how long a caller waits that leaves early.
	minPatience = 50 * time.Millisecond
	maxPatience = 450 * time.Millisecond
	// http10Every is the mean number of calls for each one over HTTP/1.0.
	http10Every = 6
)

// nameOfUnnamed is a header that routers pass on and do not read, by which runners know the name of a stream that its
// caller does not name.
const nameOfUnnamed = "X-Stream-Name"

// clientConn is a caller's connection to a router.
type clientConn struct {
	entry       *entry
	incarnation int
	conn        net.Conn
	r           *bufio.Reader
}

func connect(e *entry) *clientConn {
	c, err := net.DialTimeout("tcp", e.addr(), 500*time.Millisecond)
	if err != nil {
		return nil
	}
	return &clientConn{entry: e, incarnation: e.currentIncarnation(), conn: c, r: bufio.NewReader(c)}
}

func (l *clientConn) close() { _ = l.conn.Close() }

// send sends a call, records the response in it, and reports whether the connection can be reused.
func (l *clientConn) send(c *call) bool {
	c.entry, c.incarnation, c.sent = l.entry, l.incarnation, time.Now()
	defer func() { c.done = time.Now() }()
	_ = l.conn.SetDeadline(c.sent.Add(c.patience))
	auth := ""
	if c.key != "" {
		auth = "Authorization: Token " + c.key + "\r\n"
	}
	prefix := ""
	if c.stream {
		prefix = "Model: m\r\nToken-Usage: 30,20\r\nPrompt-Prefix: " + c.prompt() + "\r\n"
	}
	version := "HTTP/1.1"
	if c.http10 {
		version = "HTTP/1.0"
	}
	if c.resumes != "" {
		name := "Resumes"
		if c.unnamed {
			name = nameOfUnnamed
		}
		prefix += fmt.Sprintf("%s: %s\r\nLast-Event-Id: %d\r\n", name, c.resumes, c.lastEvent)
	}
	_, err := fmt.Fprintf(l.conn, "%s %s %s\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, version, callerHost, c.id, c.deadline.Milliseconds(), auth, prefix, len(c.body), c.body)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(l.r, &http.Request{Method: c.method})
	if err != nil {
		return false
	}
	c.signalsLeaving = resp.Header.Get("Server-Leaving") != ""
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	c.status, c.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	c.responseBody, c.complete = string(body), err == nil
	var tooLong *http.MaxBytesError
	c.trailingBytes = l.r.Buffered() > 0 && !errors.As(err, &tooLong) // the caller leaves a response that is too long
	return c.complete && !resp.Close
}

// prompt returns the parts of a stream's prompt. The last one is its own.
func (c *call) prompt() string {
	parts := c.parts
	if parts == nil {
		parts = []string{"aa", "s" + c.id[len(c.id)-1:]}
	}
	return strings.Join(parts, ":20,") + ":20,own-" + c.id + ":5"
}

// newCall returns a call with a unique id and registers it as sent.
func (h *harness) newCall(method, path, key string) *call {
	c := &call{id: "attempt-" + strconv.FormatInt(h.nextAttempt.Add(1), 10), method: method, path: path, key: key, maxAttempts: 1, patience: callTimeout, deadline: callDeadline}
	if method == http.MethodPost {
		c.body = "body of " + c.id
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[c.id] = c
	return c
}

func (h *harness) recordCall(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// newestKey returns the newest API key.
func (h *harness) newestKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config.keys[len(h.config.keys)-1]
}

// randomCall returns a call of a random kind. Callers use the oldest key, which is in force from
// the start and never revoked.
func (h *harness) randomCall() *call {
	switch h.intN(4) {
	case 0:
		return h.newCall(http.MethodPost, "/book/1", "key-0")
	case 1:
		c := h.newCall(http.MethodGet, "/fetch/1?x=%2f", "key-0")
		c.idempotent, c.maxAttempts = true, 2
		return c
	case 2:
		c := h.newCall(http.MethodPost, "/stream/1", "key-0")
		c.stream = true
		return c
	default:
		return h.newResumableStream()
	}
}

// newResumableStream returns a call for a stream that may be taken up.
func (h *harness) newResumableStream() *call {
	c := h.newCall(http.MethodPost, cmp.Or(h.streamPath, "/stream/note/1"), "key-0")
	c.stream, c.idempotent, c.maxAttempts = true, true, 3
	return c
}

// callers sends random calls, from several callers at a time, until stop is closed. They reuse
// their connections until the router closes them or announces in a response that it will.
func (h *harness) callers(stop <-chan struct{}) {
	for range *callers {
		h.running.Go(func() {
			var l *clientConn
			for !isStopped(stop) {
				if l == nil {
					if l = connect(h.pickEntry()); l == nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				c := h.randomCall()
				c.http10 = h.intN(http10Every) == 0
				if h.callersLeave {
					c.patience = h.randomDuration(minPatience, maxPatience)
				}
				reusable := l.send(c)
				h.recordCall(c)
				if h.takesUp {
					h.takeUp(c)
				}
				if !reusable {
					l.close()
					l = nil
				}
				time.Sleep(h.randomDuration(time.Millisecond, 40*time.Millisecond))
			}
			if l != nil {
				l.close()
			}
		})
	}
}

// pickEntry returns a random router, a ready one if a few tries find one, as the balancer would.
func (h *harness) pickEntry() *entry {
	e := h.entries[h.intN(len(h.entries))]
	for range h.entries {
		if e.ready() {
			return e
		}
		e = h.entries[h.intN(len(h.entries))]
	}
	return e
}

func isStopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// versionPath returns the path of the route that version v of the configuration added.
func versionPath(v int) string { return fmt.Sprintf("/g%d/", v) }

// probers requests, from each router, routes and keys that show which configuration is in force
// there, until stop is closed. The test fails if a process returns to an older configuration.
func (h *harness) probers(stop <-chan struct{}) {
	for _, e := range h.entries {
		h.running.Go(func() {
			p := &prober{harness: h, entry: e}
			for !isStopped(stop) {
				p.probe()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// prober records which configuration one router has shown to have in force.
type prober struct {
	harness     *harness
	entry       *entry
	incarnation int
	version     int             // the newest seen in force; zero: none
	rejected    map[string]bool // revoked keys that the router has rejected
}

func (p *prober) probe() {
	if current := p.entry.currentIncarnation(); current != p.incarnation {
		p.incarnation, p.version, p.rejected = current, 0, make(map[string]bool)
	}
	if p.version > 0 && p.requestStatus(versionPath(p.version), "") == http.StatusNotFound && p.entry.currentIncarnation() == p.incarnation {
		p.harness.t.Errorf("%s rejects a route of version %d, which it had in force", p.entry.name, p.version)
	}
	newest := p.harness.newestVersion()
	for v := newest; v > max(p.version, 1); v-- {
		status := p.requestStatus(versionPath(v), "")
		if status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable && p.entry.currentIncarnation() == p.incarnation {
			p.version = v
		}
		if v < newest-2 {
			break
		}
	}
	p.probeRevokedKey()
}

// probeRevokedKey sends a request with a revoked key once the router has shown the version that
// revoked it. Before that, the router may reject the key because it has not learnt of it yet.
func (p *prober) probeRevokedKey() {
	key, version := p.harness.anyRevokedKey()
	if key == "" || p.version < version {
		return
	}
	status := p.requestStatus("/book/1", key)
	switch {
	case p.entry.currentIncarnation() != p.incarnation:
	case status == http.StatusUnauthorized:
		p.rejected[key] = true
	case status == http.StatusOK && p.rejected[key]:
		p.harness.t.Errorf("%s accepts key %s, which it had rejected", p.entry.name, key)
	}
}

// requestStatus returns the status of a call over a connection of its own; zero: no response.
func (p *prober) requestStatus(path, key string) int {
	return p.harness.requestStatus(p.entry, path, key)
}

func (h *harness) requestStatus(e *entry, path, key string) int {
	l := connect(e)
	if l == nil {
		return 0
	}
	defer l.close()
	c := h.newCall(http.MethodGet, path, key)
	if key != "" {
		c = h.newCall(http.MethodPost, path, key)
	}
	l.send(c)
	return c.status
}

func (h *harness) newestVersion() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config.version
}

// anyRevokedKey returns a revoked key and the version that revoked it.
func (h *harness) anyRevokedKey() (string, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, version := range h.revoked {
		return key, version
	}
	return "", 0
}
