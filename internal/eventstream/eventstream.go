// Package eventstream cuts a stream of server-sent events where one event ends,
// so that another upstream can go on with it: a caller must see neither a part of
// an event nor one event twice.
package eventstream

import "bytes"

// MediaType is the content type of a stream of events.
const MediaType = "text/event-stream"

// maxHeld bounds the part of an event that is held back, in bytes. A longer event
// goes out in parts: the stream can then not be gone on with within it.
const maxHeld = 1 << 20

// Framer holds back the last part of a stream until the event that it belongs to
// is whole. The zero value is ready to use.
type Framer struct {
	held   []byte
	lastID string
	torn   bool // a part of an event has gone out
}

// Feed takes the next bytes of the stream and returns those that may go out. They
// are valid until the next call.
func (c *Framer) Feed(b []byte) []byte {
	if len(c.held) > 0 {
		b = append(c.held, b...)
		c.held = c.held[:0]
	}
	end := lastEnd(b)
	if end == 0 && len(b) > maxHeld {
		c.torn = true
		return b
	}
	if end > 0 {
		c.torn = false
		c.noteIDs(b[:end])
	}
	if end < len(b) {
		c.held = append([]byte(nil), b[end:]...)
	}
	return b[:end]
}

// Pending returns what was held back, at the stream's regular end.
func (c *Framer) Pending() []byte {
	return c.held
}

// Discard forgets what was held back: the stream has broken off there. It reports
// whether another upstream may go on behind LastID.
func (c *Framer) Discard() bool {
	c.held = nil
	return !c.torn
}

// LastID is the id of the last event that went out, or empty.
func (c *Framer) LastID() string {
	return c.lastID
}

// lastEnd returns the length of the whole events at the start of b. An event ends
// with an empty line.
func lastEnd(b []byte) int {
	end := bytes.LastIndex(b, []byte("\n\n")) + len("\n\n")
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")) + len("\r\n\r\n"); crlf >= len("\r\n\r\n") {
		end = max(end, crlf)
	}
	if end < len("\n\n") {
		return 0
	}
	return end
}

// noteIDs remembers the last id among whole events.
func (c *Framer) noteIDs(b []byte) {
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastID = string(bytes.TrimSpace(id))
		}
	}
}
