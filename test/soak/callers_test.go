package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is one attempt of a caller.
type call struct {
	id, method, path, key, body string
	idempotent                  bool
	attempts                    int // runners to which it may be sent
	stream                      bool
	entry                       *entry
	life                        int
	sent, done                  time.Time

	status    int // zero: the connection ended without an answer
	signature string
	answer    string
	whole     bool
	extra     bool // bytes came behind the answer
	leaving   bool // it says that its runner leaves
}

const (
	callersCount = 6
	// callTimeout is what a caller waits for an answer.
	callTimeout = 6 * time.Second
)

// line is a caller's connection to a router.
type line struct {
	entry *entry
	life  int
	conn  net.Conn
	r     *bufio.Reader
}

func connect(e *entry) *line {
	c, err := net.DialTimeout("tcp", e.addr(), 500*time.Millisecond)
	if err != nil {
		return nil
	}
	return &line{entry: e, life: e.lives(), conn: c, r: bufio.NewReader(c)}
}

func (l *line) close() { _ = l.conn.Close() }

// do makes a call and reports whether the connection goes on.
func (l *line) do(c *call) bool {
	c.entry, c.life, c.sent = l.entry, l.life, time.Now()
	defer func() { c.done = time.Now() }()
	_ = l.conn.SetDeadline(c.sent.Add(callTimeout))
	auth := ""
	if c.key != "" {
		auth = "Authorization: Token " + c.key + "\r\n"
	}
	prefix := ""
	if c.stream {
		prefix = "Model: m\r\nToken-Usage: 30,20\r\nPrompt-Prefix: aa:10,s" + c.id[len(c.id)-1:] + ":20,cc:5\r\n"
	}
	_, err := fmt.Fprintf(l.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\n%s%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, callerHost, c.id, auth, prefix, len(c.body), c.body)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(l.r, &http.Request{Method: c.method})
	if err != nil {
		return false
	}
	c.leaving = resp.Header.Get("Server-Leaving") != ""
	body, err := io.ReadAll(resp.Body)
	c.status, c.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	c.answer, c.whole = string(body), err == nil
	c.extra = l.r.Buffered() > 0
	return c.whole && !resp.Close
}

// newCall returns a call with an id of its own and enters it.
func (w *world) newCall(method, path, key string) *call {
	c := &call{id: "attempt-" + strconv.FormatInt(w.next.Add(1), 10), method: method, path: path, key: key, attempts: 1}
	if method == http.MethodPost {
		c.body = "body of " + c.id
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[c.id] = c
	return c
}

func (w *world) enter(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

// newestKey returns the newest API key.
func (w *world) newestKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.keys[len(w.config.keys)-1]
}

// draw returns a call of a random kind. Callers use the oldest key, which has been
// in force from the start and is never taken away.
func (w *world) draw() *call {
	switch w.intN(4) {
	case 0:
		return w.newCall(http.MethodPost, "/book/1", "key-0")
	case 1:
		c := w.newCall(http.MethodGet, "/fetch/1?x=%2f", "key-0")
		c.idempotent, c.attempts = true, 2
		return c
	case 2:
		c := w.newCall(http.MethodPost, "/stream/1", "key-0")
		c.stream = true
		return c
	default:
		c := w.newCall(http.MethodPost, "/stream/note/1", "key-0")
		c.stream, c.idempotent, c.attempts = true, true, 3
		return c
	}
}

// callers ask until stop. They keep their connections until the process is gone or
// says that it closes them.
func (w *world) callers(stop <-chan struct{}) {
	for range callersCount {
		w.running.Go(func() {
			var l *line
			for !over(stop) {
				if l == nil {
					if l = connect(w.pick()); l == nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				c := w.draw()
				goesOn := l.do(c)
				w.enter(c)
				if !goesOn {
					l.close()
					l = nil
				}
				time.Sleep(w.between(time.Millisecond, 40*time.Millisecond))
			}
			if l != nil {
				l.close()
			}
		})
	}
}

// pick returns a router that is ready, as the balancer would, or any.
func (w *world) pick() *entry {
	e := w.entries[w.intN(len(w.entries))]
	for range w.entries {
		if e.ready() {
			return e
		}
		e = w.entries[w.intN(len(w.entries))]
	}
	return e
}

func over(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// generation returns the path that version v of the configuration has added.
func generation(v int) string { return fmt.Sprintf("/g%d/", v) }

// probers ask each router which configuration it has in force, and fail the test if
// one goes back while its process lives.
func (w *world) probers(stop <-chan struct{}) {
	for _, e := range w.entries {
		w.running.Go(func() {
			p := &prober{world: w, entry: e}
			for !over(stop) {
				p.probe()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// prober is what one router has shown to have in force.
type prober struct {
	world   *world
	entry   *entry
	life    int
	version int             // the newest that was seen; zero: none
	refused map[string]bool // keys that were refused
}

func (p *prober) probe() {
	if life := p.entry.lives(); life != p.life {
		p.life, p.version, p.refused = life, 0, make(map[string]bool)
	}
	if p.version > 0 && p.ask(generation(p.version), "") == http.StatusNotFound && p.entry.lives() == p.life {
		p.world.t.Errorf("%s refuses a route of version %d, which it had in force", p.entry.name, p.version)
	}
	newest := p.world.newestVersion()
	for v := newest; v > max(p.version, 1); v-- {
		status := p.ask(generation(v), "")
		if status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable && p.entry.lives() == p.life {
			p.version = v
		}
		if v < newest-2 {
			break
		}
	}
	p.askRevoked()
}

// askRevoked asks with a key that was taken away, once the router has shown to know
// that: before, it may refuse the key as one that it does not know yet.
func (p *prober) askRevoked() {
	key, version := p.world.aRevokedKey()
	if key == "" || p.version < version {
		return
	}
	status := p.ask("/book/1", key)
	switch {
	case p.entry.lives() != p.life:
	case status == http.StatusUnauthorized:
		p.refused[key] = true
	case status == http.StatusOK && p.refused[key]:
		p.world.t.Errorf("%s takes key %s, which it had refused", p.entry.name, key)
	}
}

// ask returns the status of a call over a connection of its own; zero: none.
func (p *prober) ask(path, key string) int {
	return p.world.askOnce(p.entry, path, key)
}

func (w *world) askOnce(e *entry, path, key string) int {
	l := connect(e)
	if l == nil {
		return 0
	}
	defer l.close()
	c := w.newCall(http.MethodGet, path, key)
	if key != "" {
		c = w.newCall(http.MethodPost, path, key)
	}
	l.do(c)
	return c.status
}

func (w *world) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.version
}

// aRevokedKey returns a key that was taken away, and the version that did.
func (w *world) aRevokedKey() (string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, version := range w.revoked {
		return key, version
	}
	return "", 0
}
