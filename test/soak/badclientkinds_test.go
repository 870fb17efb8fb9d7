package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// badClient is a connection of a client that does not behave.
type badClient struct {
	net.Conn
	door    door
	clients int // that send at a time
	began   time.Time
	sent    int // bytes
}

// pace counts n bytes as sent, and waits so that all clients of a kind send attackPace bytes a second at most.
func (c *badClient) pace(n int) {
	c.sent += n
	time.Sleep(time.Until(c.began.Add(time.Duration(c.sent*c.clients) * time.Second / attackPace)))
}

// badClientKind is a way in which clients do not behave.
type badClientKind struct {
	name    string
	clients int              // at a time
	play    func(*badClient) // until the router closes the connection
}

// Limits in the configuration of a soak.
const (
	headerLimit = 16 << 10
	bodyLimit   = 1 << 20
)

const (
	// slowPause is the pause between two pieces of a client that sends or reads slowly.
	slowPause = 50 * time.Millisecond
	// largeAnswer is the size in bytes of a response to a path with largeMark, behind which stands how many clients ask
	// for such responses at a time.
	largeAnswer = 4 << 20
	// smallWindow is the receive buffer in bytes of a client that does not read.
	smallWindow = 4 << 10
	// attackPace bounds how many bytes a second the clients of one kind send.
	attackPace = 64 << 20
	largeMark  = "large-"
	// slowAnswerTime is how long an upstream takes for a response to a path with slowMark.
	slowAnswerTime = 4 * time.Second
	slowMark       = "slow-"
)

var badClients = []badClientKind{
	{"bodies in one piece", 200, func(c *badClient) { c.sendBodies(bodyLimit) }},
	{"bodies in small pieces", 200, func(c *badClient) { c.sendBodies(512) }},
	{"bodies in chunks", 200, (*badClient).sendChunkedBodies},
	{"bodies far over the limit", 200, (*badClient).sendHugeBody},
	{"chunks without end", 200, (*badClient).sendEndlessChunks},
	{"short fields", 1000, (*badClient).holdShortFields},
	{"short fields half-way", 1500, (*badClient).holdHalfOfShortFields},
	{"slow heads", 1000, (*badClient).sendSlowHead},
	{"heads without end", 100, func(c *badClient) { c.sendEndless("X-Long: ", "x") }},
	{"lines without end", 100, func(c *badClient) { c.sendEndless("", "X-Line: 1\r\n") }},
	{"requests sent ahead", 200, (*badClient).sendAhead},
	{"trickled bodies", 2300, (*badClient).trickleBody},
	{"half of a body", 1000, (*badClient).holdHalfOfBody},
	{"half of a head", 2300, (*badClient).holdHalfOfHead},
	{"silent", 4300, (*badClient).hold},
	{"answers unread", 300, func(c *badClient) { c.readAnswers(0) }},
	{"answers read slowly", 300, func(c *badClient) { c.readAnswers(64) }},
	{"many parts", 200, (*badClient).sendManyParts},
	{"one long field", 200, (*badClient).sendLongField},
	{"padded lengths", 2300, func(c *badClient) { c.holdBody("Content-Length:" + strings.Repeat(" ", 64) + "%d\r\n") }},
	{"folded lengths", 2300, func(c *badClient) { c.holdBody("Content-Length:\r\n %d\r\n") }},
	{"expecting 100-continue", 2300, func(c *badClient) { c.holdBody("Expect: 100-continue\r\nContent-Length: %d\r\n") }},
	{"unknown expectations", 2300, func(c *badClient) { c.holdBody("Expect: something\r\nContent-Length: %d\r\n") }},
	{"options of no path", 2300, (*badClient).holdOptions},
	{"long ids", 200, (*badClient).sendLongIDs},
	{"asked without a pause", 300, (*badClient).askWithoutPause},
	{"hung up at once", 200, (*badClient).hangUpAtOnce},
	{"half closed", 300, (*badClient).halfClose},
	{"crowd that reads slowly", 2300, func(c *badClient) { c.readAnswers(64) }},
	{slowUpstreamsCrowd, 2300, (*badClient).askForSlowAnswers},
}

// slowUpstreamsCrowd is the kind that waits for slow upstreams with a valid key.
const slowUpstreamsCrowd = "crowd at slow upstreams"

// stoppingKinds are the kinds that stop before a request is whole.
var stoppingKinds = []string{"short fields half-way", "trickled bodies", "half of a head", "silent"}

// write writes text and reports whether the connection is still open.
func (c *badClient) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// hold waits until the router closes the connection.
func (c *badClient) hold() { _, _ = io.Copy(io.Discard, c) }

// roundTrip reads a response and reports whether the connection can be used again.
func (c *badClient) roundTrip(r *bufio.Reader) bool {
	resp, err := http.ReadResponse(r, &http.Request{Method: c.door.method})
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// sendBodies sends bodies of the largest legal size, in pieces of a size, and reads the answers.
func (c *badClient) sendBodies(piece int) {
	r, body := bufio.NewReader(c), make([]byte, piece)
	for {
		if !c.write(c.door.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)) {
			return
		}
		for range bodyLimit / piece {
			if _, err := c.Write(body); err != nil {
				break
			}
			c.pace(piece)
		}
		if !c.roundTrip(r) {
			return
		}
	}
}

// sendChunkedBodies sends bodies of the largest legal size in chunks of a few bytes, and reads the answers.
func (c *badClient) sendChunkedBodies() {
	const chunk, size = "10\r\n0123456789abcdef\r\n", 16
	r, chunks := bufio.NewReader(c), []byte(strings.Repeat(chunk, 256))
	for {
		if !c.write(c.door.head() + "Transfer-Encoding: chunked\r\n\r\n") {
			return
		}
		for range bodyLimit / size / 256 {
			if _, err := c.Write(chunks); err != nil {
				break
			}
			c.pace(len(chunks))
		}
		if !c.write("0\r\n\r\n") || !c.roundTrip(r) {
			return
		}
	}
}

// sendHugeBody sends a body that is far over the limit, and reads nothing.
func (c *badClient) sendHugeBody() {
	c.sendRaw(c.lengthHead(1<<40), "x")
}

// lengthHead returns the head of a request with a body of n bytes.
func (c *badClient) lengthHead(n int64) string {
	return c.door.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
}

// sendEndlessChunks sends a chunked body without an end.
func (c *badClient) sendEndlessChunks() {
	c.sendRaw(c.door.head()+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")
}

// sendEndless sends the head of a request, then begin, then rest over and over.
func (c *badClient) sendEndless(begin, rest string) { c.sendRaw(c.door.head()+begin, rest) }

// sendRaw sends begin, and then rest over and over until the connection is closed.
func (c *badClient) sendRaw(begin, rest string) {
	const piece = 16 << 10
	if !c.write(begin) {
		return
	}
	for text := strings.Repeat(rest, max(1, piece/len(rest))); c.write(text); {
		c.pace(len(text))
	}
}

// shortFields returns header lines of at most size bytes in all, which are short and of different names.
func shortFields(size int) string {
	text := allShortFields()[:size]
	return text[:strings.LastIndex(text, "\n")+1]
}

// allShortFields returns short header lines, of far more bytes than are legal.
var allShortFields = sync.OnceValue(func() string {
	var b bytes.Buffer
	for i := 0; b.Len() < 5*headerLimit; i++ {
		b.WriteString(shortName(i) + ":\r\n")
	}
	return b.String()
})

// shortName returns the name of field i, in as few letters as there are names.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	name := "z"
	for ; i > 0; i /= len(letters) {
		name += string(letters[i%len(letters)])
	}
	return name
}

// holdShortFields sends a head of the largest legal size made of very many short fields, and nothing of its body.
func (c *badClient) holdShortFields() {
	head := c.door.head() + "Content-Length: 10\r\n"
	if c.write(head + shortFields(headerLimit-len(head)-2) + "\r\n") {
		c.hold()
	}
}

// holdHalfOfShortFields stops half-way in such a head.
func (c *badClient) holdHalfOfShortFields() {
	if c.write(c.door.head() + shortFields(headerLimit/2)) {
		c.hold()
	}
}

// sendSlowHead sends a head that is over the limit, slowly.
func (c *badClient) sendSlowHead() {
	fields := shortFields(4 * headerLimit)
	for ok := c.write(c.door.head()); ok && len(fields) > 0; time.Sleep(slowPause) {
		n := min(512, len(fields))
		ok = c.write(fields[:n])
		fields = fields[n:]
	}
}

// sendAhead sends requests without reading the answers.
func (c *badClient) sendAhead() {
	for {
		requests := c.door.requests(16)
		if !c.write(requests) {
			return
		}
		c.pace(len(requests))
	}
}

// trickleBody sends a body of the largest legal size, a few bytes at a time.
func (c *badClient) trickleBody() {
	for ok := c.write(c.lengthHead(bodyLimit)); ok; time.Sleep(slowPause) {
		ok = c.write(strings.Repeat("x", 64))
	}
}

// holdHalfOfBody sends half of a body.
func (c *badClient) holdHalfOfBody() {
	const size = bodyLimit / 8 // bounds the load: callers that are refused send it again
	if c.write(c.lengthHead(size) + strings.Repeat("x", size/2)) {
		c.hold()
	}
}

// holdHalfOfHead sends the first lines of a head.
func (c *badClient) holdHalfOfHead() {
	if c.write(c.door.head()) {
		c.hold()
	}
}

// readAnswers asks for large answers, several ahead, and reads so many bytes of them at a time, slowly.
func (c *badClient) readAnswers(piece int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	d := c.door
	if d.key != "" {
		d.target += largeMark + strconv.Itoa(c.clients)
	}
	if !c.write(d.requests(4)) {
		return
	}
	for deadline := time.Now().Add(badClientTime); time.Now().Before(deadline); time.Sleep(slowPause) {
		if _, err := io.CopyN(io.Discard, c, int64(piece)); err != nil {
			return
		}
		if piece == 0 && !c.write("X") { // shows that the router has closed the connection
			return
		}
	}
}

// sendManyParts sends requests whose prompts have very many parts, and reads the answers.
func (c *badClient) sendManyParts() {
	r := bufio.NewReader(c)
	for {
		parts := strings.ReplaceAll(manyParts(), partMark, fmt.Sprintf("%x", badAttempts.Add(1)))
		if !c.write(c.door.head()+"Model: m\r\nToken-Usage: 30,20\r\nPrompt-Prefix: "+parts+"0:1\r\nContent-Length: 0\r\n\r\n") || !c.roundTrip(r) {
			return
		}
	}
}

// partMark stands for what distinguishes the parts of one request from those of others.
const partMark = "+"

// manyParts returns the parts of a prompt that are almost as long as a head may be.
var manyParts = sync.OnceValue(func() string {
	const margin = 6 << 10 // for the rest of the head, and what takes the place of partMark
	var b strings.Builder
	for i := 0; b.Len() < headerLimit-margin; i++ {
		fmt.Fprintf(&b, "%s%x:1,", partMark, i)
	}
	return b.String()
})

// sendLongField sends requests with a head of the largest legal size in one field, and reads the answers.
func (c *badClient) sendLongField() {
	r := bufio.NewReader(c)
	for {
		head := c.door.head() + "Content-Length: 0\r\nX-Long: "
		if !c.write(head+strings.Repeat("x", headerLimit-len(head)-4)+"\r\n\r\n") || !c.roundTrip(r) {
			return
		}
	}
}

// holdBody sends the head of a request with a header that says the length of its body, and nothing of the body.
func (c *badClient) holdBody(header string) {
	if c.write(c.door.head() + fmt.Sprintf(header, bodyLimit/8) + "\r\n") {
		c.hold()
	}
}

// holdOptions asks for the options of no path, with a body that does not come.
func (c *badClient) holdOptions() {
	c.door.method, c.door.target = http.MethodOptions, "*"
	c.holdBody("Content-Length: %d\r\n")
}

// sendLongIDs sends requests whose id and names fill a head of the largest legal size, and reads the answers.
func (c *badClient) sendLongIDs() {
	const each = headerLimit / 5
	r := bufio.NewReader(c)
	for {
		head := c.door.head()
		long := fmt.Sprintf("%d%s", badAttempts.Add(1), strings.Repeat("0", each))
		head = strings.Replace(head, "Attempt-Id: bad-", "Attempt-Id: bad-"+long, 1)
		head = strings.Replace(head, " HTTP/1.1", "?"+long+" HTTP/1.1", 1)
		if !c.write(head+"Model: "+long+"\r\nPrompt-Prefix: "+long+":1,0:1\r\nContent-Length: 0\r\n\r\n") || !c.roundTrip(r) {
			return
		}
	}
}

// askWithoutPause sends requests one after the other, and reads the answers.
func (c *badClient) askWithoutPause() {
	r := bufio.NewReader(c)
	for c.write(c.door.requests(1)) && c.roundTrip(r) {
	}
}

// askForSlowAnswers sends requests that take their upstreams long, one each second at most, and reads the answers.
func (c *badClient) askForSlowAnswers() {
	c.door.target += slowMark
	r := bufio.NewReader(c)
	for began := time.Now(); c.write(c.door.requests(1)) && c.roundTrip(r); began = time.Now() {
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

// hangUpAtOnce sends a request and closes the connection.
func (c *badClient) hangUpAtOnce() { c.write(c.door.requests(1)) }

// halfClose sends a request, closes the sending side of the connection and keeps the other one.
func (c *badClient) halfClose() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && c.write(c.door.requests(1)) && tcp.CloseWrite() == nil {
		c.hold()
	}
}

// handleBadClient answers a request of a bad client, and reports whether it was one. Nothing of it is recorded.
func (h *harness) handleBadClient(r *runner, c net.Conn, req *http.Request) bool {
	if !h.badClients || !strings.HasPrefix(req.Header.Get("Attempt-Id"), "bad-") {
		return false
	}
	const small, piece = "served", 16 << 10
	if strings.Contains(req.URL.Path, slowMark) {
		time.Sleep(slowAnswerTime)
	}
	_, clients, isLarge := strings.Cut(req.URL.Path, largeMark)
	if !isLarge {
		r.WriteHead(c, req, http.StatusOK, fmt.Sprintf("Content-Length: %d", len(small)))
		fmt.Fprint(c, small)
		return true
	}
	r.WriteHead(c, req, http.StatusOK, fmt.Sprintf("Content-Length: %d", largeAnswer))
	out := &badClient{Conn: c, began: time.Now()}
	out.clients, _ = strconv.Atoi(clients) // as readAnswers has written it
	for range largeAnswer / piece {
		if _, err := c.Write(make([]byte, piece)); err != nil {
			break
		}
		out.pace(piece)
	}
	return true
}
